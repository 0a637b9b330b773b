"""Calls to the platform's workers.

The platform's own documentation calls the workers runners.
"""

import datetime
import json
import typing

from turmerichook._internal.dispatch import orders
from turmerichook._internal.http import addresses
from turmerichook._internal.http import calls
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.platform import fields
from turmerichook._internal.workflow import model
from turmerichook import exceptions

# A worker may delay its answer to a renewal until a task ends. Orders have
# connections of their own, so that a waiting renewal does not delay them.
ORDER_CONNECTIONS = 2
RENEWAL_CONNECTIONS = 1
CONNECT_TIMEOUT_S = 0.6
# Short, because a worker answers an order at once.
ORDER_TIMEOUT_S = 0.8
# Added to the wait of a renewal to give the time-out of its HTTP call.
RENEWAL_TIMEOUT_MARGIN_S = 0.8
# Largest number of ends in one report.
REPORTED_ENDS_MAX = 500
# Longest wait that a worker accepts in a renewal.
RENEWAL_WAIT_MAX = datetime.timedelta(milliseconds=2000)

REFUSALS = {
    "fence": orders.RefusalReason.STALE_TOKEN,
    "old": orders.RefusalReason.OLD_RUN,
    "late": orders.RefusalReason.EXPIRED,
    "room": orders.RefusalReason.NO_ROOM,
    "ticket": orders.RefusalReason.NO_TICKET,
}
REFUSALS_BY_STATUS = {
    400: orders.RefusalReason.INVALID,
    421: orders.RefusalReason.OTHER_INCARNATION,
    429: orders.RefusalReason.UNHEALTHY,
    503: orders.RefusalReason.UNHEALTHY,
}


class PlatformWorkers:
    """Implements ``orders.Workers`` with the platform's HTTP calls."""

    def __init__(self):
        self.order_pools: dict[str, calls.CallPool] = {}
        self.renewal_pools: dict[str, calls.CallPool] = {}
        self.addresses: dict[ids.WorkerId, str] = {}

    async def start(
        self, entry: deployment.WorkerEntry, order: orders.Start
    ) -> orders.Outcome:
        document = {
            "task": task_name(order.task),
            "run": order.run,
            "spec": order.payload,
            "deadline-ms": fields.whole_milliseconds(order.valid_until),
            "fencing-token": order.token,
        }
        if order.checkpoint:
            document["checkpoint"] = order.checkpoint
        if order.ticket:
            document["ticket"] = order.ticket
        return await self._send_order(entry, "/v1/run-start", document)

    async def stop(
        self, entry: deployment.WorkerEntry, order: orders.Stop
    ) -> orders.Outcome:
        return await self._send_order(
            entry,
            "/v1/run-stop",
            {
                "task": task_name(order.task),
                "run": order.run,
                "fencing-token": order.token,
            },
        )

    async def throttle(
        self, entry: deployment.WorkerEntry, order: orders.Throttle
    ) -> orders.Outcome:
        return await self._send_order(
            entry,
            "/v1/pace",
            {
                "task": task_name(order.task),
                "run": order.run,
                "percent": order.percent,
                "fencing-token": order.token,
            },
        )

    async def renew(
        self, entry: deployment.WorkerEntry, order: orders.Renewal
    ) -> orders.Report:
        document: dict[str, typing.Any] = {
            "fencing-token": order.token,
            "ack-cursor": order.acknowledged,
        }
        if order.lease_until is not None:
            document["deadline-ms"] = fields.whole_milliseconds(
                order.lease_until
            )
        wait = min(order.wait, RENEWAL_WAIT_MAX)
        if wait:
            document["wait-ms"] = fields.whole_milliseconds(wait)
        pool = self._pool(self.renewal_pools, entry, RENEWAL_CONNECTIONS)
        try:
            answer = await self._call(
                pool,
                entry,
                "/v1/hold",
                document,
                wait.total_seconds() + RENEWAL_TIMEOUT_MARGIN_S,
            )
        except exceptions.ExchangeError as error:
            raise exceptions.WorkerUnreachableError(
                message=error.message, context=entry.worker
            ) from error
        return _decode_report(entry, answer)

    def forget(self, worker: ids.WorkerId) -> None:
        address = self.addresses.pop(worker, None)
        for pools in (self.order_pools, self.renewal_pools):
            pool = pools.pop(address, None)
            if pool is not None:
                pool.close()

    async def _send_order(
        self,
        entry: deployment.WorkerEntry,
        path: str,
        document: dict[str, typing.Any],
    ) -> orders.Outcome:
        pool = self._pool(self.order_pools, entry, ORDER_CONNECTIONS)
        try:
            answer = await self._call(
                pool, entry, path, document, ORDER_TIMEOUT_S
            )
        except exceptions.ExchangeError as error:
            if error.progress is exceptions.Progress.NOTHING_SENT:
                return orders.Refused(
                    reason=orders.RefusalReason.NOT_CONNECTED
                )
            return orders.Unknown(detail=error.message)
        return _decode_outcome(answer)

    async def _call(
        self,
        pool: calls.CallPool,
        entry: deployment.WorkerEntry,
        path: str,
        document: dict[str, typing.Any],
        timeout: float,
    ) -> calls.Answer:
        return await pool.call(
            method="POST",
            target=path,
            body=json.dumps(document).encode(),
            headers=[
                (b"content-type", b"application/json"),
                # The platform calls one incarnation of a worker an
                # "instance".
                (b"turmerichook-target-instance", entry.worker.encode()),
            ],
            timeout=timeout,
        )

    def _pool(
        self,
        pools: dict[str, calls.CallPool],
        entry: deployment.WorkerEntry,
        connections: int,
    ) -> calls.CallPool:
        pool = pools.get(entry.address)
        if pool is None:
            host, port = addresses.split(entry.address)
            pool = pools[entry.address] = calls.CallPool(
                host=host,
                port=port,
                connections=connections,
                connect_timeout=CONNECT_TIMEOUT_S,
            )
            self.addresses[entry.worker] = entry.address
        return pool


def step_name(step: model.StepKey) -> str:
    """Return the platform's name of a step."""
    return f"{step.job}.{step.occurrence}.{step.step}"


def task_name(task: model.TaskKey) -> str:
    """Return the platform's name of a task."""
    return f"{step_name(task.step_key)}.{task.index}"


def parse_task_name(name: str) -> model.TaskKey:
    """Return the key of the task with a name of the platform.

    :raises MessageError: if the name does not have the form of a task's name.
    """
    parts = name.split(".")
    try:
        job, occurrence, step, index = parts
        return model.TaskKey(
            ids.JobId(job), int(occurrence), int(step), int(index)
        )
    except ValueError as error:
        raise exceptions.MessageError(
            message=f"malformed name of a task: {name[:50]!r}"
        ) from error


def _decode_outcome(answer: calls.Answer) -> orders.Outcome:
    if answer.status == 200:
        return orders.Accepted()
    reason = REFUSALS_BY_STATUS.get(answer.status)
    if answer.status == 409:
        try:
            name = fields.string(fields.parse(answer.body), "reason", "")
        except exceptions.MessageError as error:
            return orders.Unknown(detail=error.message)
        reason = REFUSALS.get(name, orders.RefusalReason.INVALID)
    if reason is None:
        return orders.Unknown(detail=f"status {answer.status}")
    return orders.Refused(reason=reason)


Value = typing.TypeVar("Value")


def _decode_report(
    entry: deployment.WorkerEntry, answer: calls.Answer
) -> orders.Report:
    if answer.status == 421:
        raise exceptions.IncarnationEndedError(
            message="another incarnation of the worker answered a renewal",
            context=entry.worker,
        )
    if answer.status == 409:
        raise exceptions.StaleTokenError(
            message="the worker has seen the fencing token of a later leader",
            context=entry.worker,
        )
    if answer.status != 200:
        raise exceptions.WorkerUnreachableError(
            message=f"the worker answered with status {answer.status}",
            context=entry.worker,
        )
    try:
        document = fields.parse(answer.body)
        ends = fields.array(document, "finished")
        return orders.Report(
            clock=fields.milliseconds(document, "clock-ms"),
            incarnation=fields.integer(document, "born", 0),
            running=tuple(
                _decode_running(row)
                for row in fields.array(document, "running")
            ),
            ends=tuple(_decode_end(row) for row in ends),
            ends_complete=len(ends) < REPORTED_ENDS_MAX,
        )
    except (exceptions.MessageError, ValueError, TypeError) as error:
        raise exceptions.WorkerUnreachableError(
            message=f"the worker's answer to a renewal is unreadable: {error}",
            context=entry.worker,
        ) from error


def _decode_running(row: list[typing.Any]) -> orders.RunningRow:
    task, run, checkpoint, percent, *rest = row
    measurement = rest[0] if rest else None
    return orders.RunningRow(
        task=parse_task_name(_checked(task, str)),
        run=ids.Attempt(_checked(run, int)),
        checkpoint=ids.CheckpointId(_checked(checkpoint, str)),
        percent=_checked(percent, int),
        measurement=(
            None if measurement is None else _checked(measurement, int)
        ),
    )


def _decode_end(row: list[typing.Any]) -> orders.EndRow:
    number, task, run, kind, checkpoint = row
    return orders.EndRow(
        number=_checked(number, int),
        task=parse_task_name(_checked(task, str)),
        run=ids.Attempt(_checked(run, int)),
        kind=model.EndKind(kind),
        checkpoint=ids.CheckpointId(_checked(checkpoint, str)),
    )


def _checked(value: typing.Any, expected_type: type[Value]) -> Value:
    """Return a value of a report's row.

    :raises TypeError: if it has another type, or is out of range.
    """
    if not isinstance(value, expected_type) or isinstance(value, bool):
        raise TypeError(f"expected {expected_type.__name__}: {value!r:.50}")
    if isinstance(value, int) and abs(value) > fields.INTEGER_MAX:
        raise TypeError(f"number out of range: {value!r:.50}")
    return value
