"""Decodes callers' requests and encodes the answers to them."""

import datetime
import json
import re
import typing

from turmerichook._internal.http import heads
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.platform import documents
from turmerichook._internal.platform import fields
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses
from turmerichook import exceptions

READY_PATH = "/v1/ready"
METRICS_PATH = "/metrics"
PAYLOAD_BYTES_MAX = 4000
# All tasks and steps of a job are held in memory, and its tasks in a single
# stored value, so their numbers are limited.
TASKS_MAX = 20_000
# Longest estimate of a task's duration, 30 days.
ESTIMATE_MS_MAX = 30 * 24 * 3600 * 1000
# Longest number of milliseconds in a time-out header.
TIMEOUT_DIGITS_MAX = 9
JOB_ID = re.compile(r"[0-9a-f]{16}")
TIMEOUT_HEADER = b"turmerichook-request-timeout-ms"
KEY_HEADER = b"turmerichook-key"
# Applies to requests without a valid time-out header.
DEFAULT_TIMEOUT = datetime.timedelta(seconds=3)


def timeout(head: heads.RequestHead) -> datetime.timedelta:
    """Return the time that the caller allows for an answer."""
    text = head.header(TIMEOUT_HEADER)
    valid = text.isascii() and text.isdigit()
    if not valid or len(text) > TIMEOUT_DIGITS_MAX or not int(text):
        return DEFAULT_TIMEOUT
    return datetime.timedelta(milliseconds=int(text))


def key(head: heads.RequestHead) -> bytes:
    """Return the customer's key; empty without exactly one header for it."""
    values = [value for name, value in head.headers if name == KEY_HEADER]
    return values[0] if len(values) == 1 else b""


def host_name(head: heads.RequestHead) -> str:
    """Return the ``Host`` header without a port."""
    return head.header(b"host").partition(":")[0]


def job_id(path: str, queue: deployment.Queue) -> ids.JobId:
    """Return the job id in a path, or an empty id if the path is the queue's.

    :raises MessageError: if what follows the queue's prefix is not a job id.
    """
    suffix = path[len(queue.prefix) :]
    if suffix and not JOB_ID.fullmatch(suffix):
        raise exceptions.MessageError(
            message=f"a job id has 16 hexadecimal digits, not {suffix[:50]!r}",
            context="path",
        )
    return ids.JobId(suffix)


def submission(
    body: bytes,
    *,
    job: ids.JobId,
    queue: deployment.Queue,
    customer: ids.CustomerId = ids.CustomerId(""),
    accepted: datetime.timedelta,
) -> model.JobSpec:
    """Return the specification of a submitted job.

    :param customer: customer of the request's key; empty if it needs none.
    :raises MessageError: if a field is missing or invalid; names the field.
    """
    document = fields.parse(body)
    payload = fields.string(document, "spec", "")
    if len(payload.encode()) > PAYLOAD_BYTES_MAX:
        raise exceptions.MessageError(
            message=f"'spec' exceeds the limit of {PAYLOAD_BYTES_MAX} bytes",
            context="spec",
        )
    rows = fields.objects(document, "steps")
    steps = tuple(
        _decode_step(row, number, queue) for number, row in enumerate(rows)
    )
    occurrences = fields.integer(document, "repeat-count", 0)
    tasks = sum(step.count for step in steps) * max(1, occurrences)
    if not 0 < tasks <= TASKS_MAX:
        raise exceptions.MessageError(
            message=f"a job must have 1 to {TASKS_MAX} tasks, not {tasks}",
            context="steps",
        )
    repeated_steps = len(steps) * max(1, occurrences)
    if repeated_steps > TASKS_MAX:
        raise exceptions.MessageError(
            message=f"a job must have at most {TASKS_MAX} steps over all"
            f" occurrences, not {repeated_steps}",
            context="steps",
        )
    return model.JobSpec(
        job=job,
        queue=queue.queue,
        service=queue.service,
        customer=customer,
        payload=payload,
        steps=steps,
        accepted=accepted,
        repetition=_decode_repetition(document, occurrences),
    )


def state_body(
    state: model.JobState, reason: progresses.FailureReason | None
) -> bytes:
    """Return the response body for a query of a job's state.

    :param reason: why the job has failed; None if it has not.
    """
    document = {"state": state.value}
    if reason is not None:
        document["reason"] = reason.value
    return json.dumps(document).encode()


def pending_body(count: int) -> bytes:
    """Return the response body for a query of a queue's length."""
    return json.dumps({"pending": count}).encode()


def _decode_repetition(
    document: dict[str, typing.Any], count: int
) -> model.Repetition | None:
    if not count:
        return None
    return model.Repetition(
        count=count,
        first=fields.milliseconds(document, "start-time-ms", 0),
        interval=fields.milliseconds(document, "interval-ms", 0),
    )


def _decode_step(
    row: dict[str, typing.Any], number: int, queue: deployment.Queue
) -> model.Step:
    after = tuple(fields.array(row, "after", []))
    if not all(type(n) is int and 0 <= n < number for n in after):
        raise exceptions.MessageError(
            message="'after' must list indexes of earlier steps",
            context="after",
        )
    return model.Step(
        count=fields.integer(row, "count", 0),
        demand=documents.amounts(row),
        estimate=fields.milliseconds(row, "estimate-ms", 0, ESTIMATE_MS_MAX),
        after=after,
        checkpointing=fields.boolean(row, "checkpointing"),
        gang=fields.boolean(row, "gang"),
        same_rack=fields.boolean(row, "same-rack"),
        label=fields.string(row, "requires", ""),
        rack=ids.RackId(fields.string(row, "affinity", "")),
        max_per_worker=fields.integer(row, "max-per-server", 0),
        speculative=fields.boolean(row, "speculative"),
        long_running=fields.boolean(row, "long-running"),
        image=ids.ImageId(fields.string(row, "image", "")),
        latency_target=fields.milliseconds(row, "target-ms", 0),
        filler=fields.boolean(row, "fills"),
        max_unavailable=fields.integer(row, "max-missing", 0),
        max_attempts=queue.max_attempts,
    )
