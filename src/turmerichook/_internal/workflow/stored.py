"""Encode jobs and their progress for the store.

Both are msgpack lists whose first element is the version of the format.
"""

import collections.abc
import dataclasses
import datetime
import typing

import msgpack

from turmerichook._internal import clock as clocks
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses
from turmerichook import exceptions

FORMAT_VERSION = 1
# Errors of decoding a value whose parts have other types or ranges.
MALFORMED_ERRORS = (
    TypeError,
    ValueError,
    LookupError,
    AttributeError,
    OverflowError,
)
# A phase is stored as its index in this tuple.
PHASE_BY_CODE = (
    progresses.Phase.WAITING,
    progresses.Phase.ASSIGNED,
    progresses.Phase.DONE,
)
# Crashes are stored as the number of certain ones plus this multiple of the
# number of others. Earlier versions stored all as certain.
DOUBTFUL_CRASH = 16
# The reason of a job's failure is stored as its index in this tuple. Earlier
# versions stored false for no failure, and true for exhausted attempts.
FAILURE_BY_CODE = (
    None,
    progresses.FailureReason.ATTEMPTS_EXHAUSTED,
    progresses.FailureReason.WORKERS_CRASHED,
)


def encode_spec(spec: model.JobSpec) -> bytes:
    """Encode an accepted job for the store."""
    repetition = None
    if spec.repetition is not None:
        repetition = [
            spec.repetition.count,
            _milliseconds(spec.repetition.first),
            _milliseconds(spec.repetition.interval),
        ]
    return msgpack.packb(
        [
            FORMAT_VERSION,
            spec.queue,
            spec.service,
            spec.payload,
            _milliseconds(spec.accepted),
            repetition,
            [_encode_step(step) for step in spec.steps],
            # Earlier versions cannot read jobs of customers.
            *([spec.customer] if spec.customer else ()),
        ]
    )


def decode_spec(job: ids.JobId, value: bytes) -> model.JobSpec:
    """Decode an accepted job.

    :raises StoredValueError: if the value is malformed or has another format
        version.
    """
    document = _unpack(job, value)
    try:
        _, queue, service, payload, accepted, *later = document
        repetition, steps, *customer = later
        return model.JobSpec(
            job=job,
            queue=queue,
            service=service,
            payload=payload,
            steps=tuple(_decode_step(step) for step in steps),
            accepted=accepted * clocks.MILLISECOND,
            repetition=_decode_repetition(repetition),
            customer=customer[0] if customer else ids.CustomerId(""),
        )
    except MALFORMED_ERRORS as error:
        raise _decoding_error(job, str(error)) from error


def encode_progress(progress: progresses.Progress) -> bytes:
    """Encode a job's progress for the store."""
    final = progress.state.final
    # Of a final job only the tasks that a worker may still be running are
    # stored; the records of the other tasks are needed no more.
    tasks = [
        [*task[1:], *_encode_record(record)]
        for task, record in progress.tasks.items()
        if not final or record.phase is progresses.Phase.ASSIGNED
    ]
    document = [
        FORMAT_VERSION,
        progress.state.value,
        progress.opened_occurrences,
        progress.canceled,
        FAILURE_BY_CODE.index(progress.failed),
        tasks,
    ]
    if final and tasks and progress.spec.customer:
        document.append(_encode_charges(progress.spec, {t[1] for t in tasks}))
    return msgpack.packb(document)


def _encode_charges(
    spec: model.JobSpec, steps: collections.abc.Iterable[int]
) -> list[typing.Any]:
    """Encode the customer of a final job and what tasks of its steps use."""
    rows = [
        [
            number,
            *dataclasses.astuple(spec.steps[number].committed),
            spec.steps[number].demand.millicores,
        ]
        for number in sorted(steps)
    ]
    return [spec.customer, rows]


def _encode_record(record: progresses.TaskRecord) -> list[typing.Any]:
    row = [
        PHASE_BY_CODE.index(record.phase),
        record.run,
        record.worker,
        record.failures,
        record.checkpoint,
    ]
    if record.incarnation or record.suspected:
        row += [
            record.incarnation,
            record.certain_crashes
            + DOUBTFUL_CRASH * (record.crashes - record.certain_crashes),
            int(record.proven),
        ]
    if record.unconfirmed:
        row.append(record.unconfirmed)
    return row


def decode_state(job: ids.JobId, value: bytes) -> model.JobState:
    """Decode a job's state from its encoded progress.

    :raises StoredValueError: if the value is malformed or has another format
        version.
    """
    try:
        return model.JobState(_unpack(job, value)[1])
    except (ValueError, IndexError) as error:
        raise _decoding_error(job, str(error)) from error


def decode_failure(
    job: ids.JobId, value: bytes
) -> progresses.FailureReason | None:
    """Decode why a job has failed; None if it has not.

    :raises StoredValueError: if the value is malformed or has another format
        version.
    """
    try:
        return FAILURE_BY_CODE[_unpack(job, value)[4]]
    except MALFORMED_ERRORS as error:
        raise _decoding_error(job, str(error)) from error


def decode_progress(spec: model.JobSpec, value: bytes) -> progresses.Progress:
    """Decode a job's progress.

    :raises StoredValueError: if the value is malformed or has another format
        version.
    """
    document = _unpack(spec.job, value)
    try:
        _, _, opened_occurrences, canceled, failed, rows, *_ = document
        tasks = {}
        for occurrence, step, index, phase, *fields in rows:
            # Earlier versions stored none of the later fields.
            run, worker, failures, checkpoint, *later = fields
            incarnation, crashes, proven, *rest = later or (0, 0, 0)
            doubtful, certain = divmod(crashes, DOUBTFUL_CRASH)
            key = model.TaskKey(spec.job, occurrence, step, index)
            tasks[key] = progresses.TaskRecord(
                phase=PHASE_BY_CODE[phase],
                run=run,
                worker=worker,
                failures=failures,
                checkpoint=checkpoint,
                incarnation=incarnation,
                crashes=certain + doubtful,
                certain_crashes=certain,
                # Earlier versions stored the time of the assignment there.
                proven=proven == 1,
                unconfirmed=tuple(
                    progresses.LostWorker(*lost)
                    for lost in (rest[0] if rest else ())
                ),
            )
        return progresses.restore(
            spec,
            tasks,
            opened_occurrences=opened_occurrences,
            canceled=canceled,
            failed=FAILURE_BY_CODE[failed],
        )
    except MALFORMED_ERRORS as error:
        raise _decoding_error(spec.job, str(error)) from error


class UnfinishedRun(typing.NamedTuple):
    """A run of a final job that its worker may still be running.

    :param customer: customer that the run counts for, or empty.
    :param committed: what the run occupies of its worker's capacity; None if
        it is not known.
    :param charge: what the run counts against the customer's quota.
    """

    run: ids.Attempt
    worker: ids.WorkerId
    customer: ids.CustomerId = ids.CustomerId("")
    committed: resources.Resources | None = None
    charge: resources.Resources = resources.NOTHING


def decode_unfinished_runs(
    job: ids.JobId, value: bytes
) -> dict[model.TaskKey, UnfinishedRun]:
    """Decode the runs of a final job that workers may still be running.

    :param value: encoded progress of the job.
    :raises StoredValueError: if the value is malformed or has another format
        version.
    """
    try:
        _, _, _, _, _, rows, *charges = _unpack(job, value)
        runs = {
            model.TaskKey(job, row[0], row[1], row[2]): UnfinishedRun(
                row[4], row[5]
            )
            for row in rows
            if PHASE_BY_CODE[row[3]] is progresses.Phase.ASSIGNED
        }
        # Only jobs of customers have these.
        for customer, steps in charges:
            _decode_charges(runs, customer, steps)
        return runs
    except MALFORMED_ERRORS as error:
        raise _decoding_error(job, str(error)) from error


def _decode_charges(
    runs: dict[model.TaskKey, UnfinishedRun],
    customer: ids.CustomerId,
    steps: list[list[int]],
) -> None:
    """Add to unfinished runs for which customer they count, and how much."""
    committed = {
        number: resources.Resources(
            millicores=millicores,
            memory_mib=memory_mib,
            accelerators=accelerators,
        )
        for number, millicores, memory_mib, accelerators, _ in steps
    }
    demanded = {row[0]: row[4] for row in steps}
    for task, run in runs.items():
        amount = committed[task.step]
        runs[task] = run._replace(
            customer=customer,
            committed=amount,
            charge=dataclasses.replace(amount, millicores=demanded[task.step]),
        )


def _encode_step(step: model.Step) -> list[typing.Any]:
    flags = (
        step.checkpointing
        | step.gang << 1
        | step.same_rack << 2
        | step.speculative << 3
        | step.long_running << 4
        | step.filler << 5
    )
    return [
        step.count,
        step.demand.millicores,
        step.demand.memory_mib,
        step.demand.accelerators,
        _milliseconds(step.estimate),
        step.after,
        flags,
        step.label,
        step.rack,
        step.max_per_worker,
        step.image,
        _milliseconds(step.latency_target),
        step.max_unavailable,
        step.max_attempts,
    ]


def _decode_step(row: list[typing.Any]) -> model.Step:
    flags = row[6]
    return model.Step(
        count=row[0],
        demand=resources.Resources(
            millicores=row[1], memory_mib=row[2], accelerators=row[3]
        ),
        estimate=row[4] * clocks.MILLISECOND,
        after=tuple(row[5]),
        checkpointing=bool(flags & 1),
        gang=bool(flags & 2),
        same_rack=bool(flags & 4),
        speculative=bool(flags & 8),
        long_running=bool(flags & 16),
        filler=bool(flags & 32),
        label=row[7],
        rack=row[8],
        max_per_worker=row[9],
        image=row[10],
        latency_target=row[11] * clocks.MILLISECOND,
        max_unavailable=row[12],
        # Earlier versions did not store the attempts.
        max_attempts=row[13] if len(row) > 13 else 0,
    )


def _decode_repetition(
    row: list[int] | None,
) -> model.Repetition | None:
    if row is None:
        return None
    return model.Repetition(
        count=row[0],
        first=row[1] * clocks.MILLISECOND,
        interval=row[2] * clocks.MILLISECOND,
    )


def _milliseconds(duration: datetime.timedelta) -> int:
    return duration // clocks.MILLISECOND


def _unpack(job: ids.JobId, value: bytes) -> list[typing.Any]:
    try:
        document = msgpack.unpackb(value)
    except (ValueError, msgpack.UnpackException) as error:
        raise _decoding_error(job, str(error)) from error
    if not isinstance(document, list) or not document:
        raise _decoding_error(job, "expected a non-empty list")
    if document[0] != FORMAT_VERSION:
        raise _decoding_error(
            job, f"format version {document[0]}, expected {FORMAT_VERSION}"
        )
    return document


def _decoding_error(
    job: ids.JobId, reason: str
) -> exceptions.StoredValueError:
    return exceptions.StoredValueError(
        message=f"cannot decode a stored value of job {job}: {reason}",
        context=job,
    )
