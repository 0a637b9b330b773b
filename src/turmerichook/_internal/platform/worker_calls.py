"""Calls to the platform's workers, which its pages call runners."""

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

# A renewal may wait for an end, so orders have connections of their own.
ORDER_CONNECTIONS = 2
RENEWAL_CONNECTIONS = 1
CONNECT_TIMEOUT_S = 0.6
# Time for an answer; a worker answers at once.
ORDER_TIMEOUT_S = 0.8
# Time beyond a renewal's wait after which its connection counts as silent.
RENEWAL_MARGIN_S = 0.8
# Longest wait that a worker accepts.
WAIT_MAX = datetime.timedelta(milliseconds=2000)

REFUSALS = {
    "fence": orders.RefusalReason.STALE_TOKEN,
    "old": orders.RefusalReason.OLD_RUN,
    "late": orders.RefusalReason.EXPIRED,
    "room": orders.RefusalReason.NO_ROOM,
    "ticket": orders.RefusalReason.NO_TICKET,
}
STATUS_REFUSALS = {
    400: orders.RefusalReason.INVALID,
    421: orders.RefusalReason.OTHER_INCARNATION,
    429: orders.RefusalReason.UNHEALTHY,
    503: orders.RefusalReason.UNHEALTHY,
}


class PlatformWorkers:
    """An ``orders.Workers`` over the platform's HTTP calls."""

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
        return await self._order(entry, "/v1/run-start", document)

    async def stop(
        self, entry: deployment.WorkerEntry, order: orders.Stop
    ) -> orders.Outcome:
        return await self._order(
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
        return await self._order(
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
        wait = min(order.wait, WAIT_MAX)
        if wait:
            document["wait-ms"] = fields.whole_milliseconds(wait)
        pool = self._pool(self.renewal_pools, entry, RENEWAL_CONNECTIONS)
        try:
            answer = await self._call(
                pool,
                entry,
                "/v1/hold",
                document,
                wait.total_seconds() + RENEWAL_MARGIN_S,
            )
        except exceptions.ExchangeError as error:
            raise exceptions.WorkerUnreachableError(
                message=error.message, context=entry.worker
            ) from error
        return _report(entry, answer)

    def forget(self, worker: ids.WorkerId) -> None:
        address = self.addresses.pop(worker, None)
        for pools in (self.order_pools, self.renewal_pools):
            pool = pools.pop(address, None)
            if pool is not None:
                pool.close()

    async def _order(
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
        return _outcome(answer)

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
                # An "instance" is one life of a worker.
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
    """Return the task that a name stands for.

    :raises MessageError: if it is not the name of a task.
    """
    parts = name.split(".")
    try:
        job, occurrence, step, index = parts
        return model.TaskKey(
            ids.JobId(job), int(occurrence), int(step), int(index)
        )
    except ValueError as error:
        raise exceptions.MessageError(
            message=f"not a task's name: {name[:50]!r}"
        ) from error


def _outcome(answer: calls.Answer) -> orders.Outcome:
    if answer.status == 200:
        return orders.Accepted()
    reason = STATUS_REFUSALS.get(answer.status)
    if answer.status == 409:
        try:
            name = fields.text(fields.parse(answer.body), "reason", "")
        except exceptions.MessageError as error:
            return orders.Unknown(detail=error.message)
        reason = REFUSALS.get(name, orders.RefusalReason.INVALID)
    if reason is None:
        return orders.Unknown(detail=f"status {answer.status}")
    return orders.Refused(reason=reason)


def _report(
    entry: deployment.WorkerEntry, answer: calls.Answer
) -> orders.Report:
    if answer.status == 421:
        raise exceptions.IncarnationEndedError(
            message="another incarnation answers", context=entry.worker
        )
    if answer.status == 409:
        raise exceptions.StaleTokenError(
            message="the worker has seen a later leader", context=entry.worker
        )
    if answer.status != 200:
        raise exceptions.WorkerUnreachableError(
            message=f"status {answer.status}", context=entry.worker
        )
    try:
        document = fields.parse(answer.body)
        return orders.Report(
            clock=fields.milliseconds(document, "clock-ms"),
            incarnation=fields.integer(document, "born", 0),
            running=tuple(
                _running(row)
                for row in fields.listing(document, "running", [])
            ),
            ends=tuple(
                _end(row) for row in fields.listing(document, "finished", [])
            ),
        )
    except (exceptions.MessageError, ValueError, TypeError) as error:
        raise exceptions.WorkerUnreachableError(
            message=f"unreadable answer: {error}", context=entry.worker
        ) from error


def _running(row: list[typing.Any]) -> orders.RunningRow:
    task, run, checkpoint, percent, *rest = row
    return orders.RunningRow(
        task=parse_task_name(task),
        run=ids.Attempt(run),
        checkpoint=ids.CheckpointId(checkpoint),
        percent=percent,
        measurement=rest[0] if rest else None,
    )


def _end(row: list[typing.Any]) -> orders.EndRow:
    number, task, run, kind, checkpoint = row
    return orders.EndRow(
        number=number,
        task=parse_task_name(task),
        run=ids.Attempt(run),
        kind=model.EndKind(kind),
        checkpoint=ids.CheckpointId(checkpoint),
    )
