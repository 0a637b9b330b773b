"""In-memory workers for tests.

They behave as the scheduler assumes of the platform's workers.
"""

import asyncio
import collections.abc
import dataclasses
import datetime
import itertools

from turmerichook._internal import clock as clocks
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.providers import workers
from turmerichook import exceptions

Record = collections.abc.Callable[[dict], None]


@dataclasses.dataclass(kw_only=True)
class Attempt:
    """A running attempt; its times are those of the worker's clock.

    :param done: time at which it finishes; None for a service.
    """

    start: workers.Start
    lease_until: datetime.timedelta
    started_at: datetime.timedelta
    done: datetime.timedelta | None
    address: str = ""


class MemoryWorker:
    """One worker that simulates tasks under leases.

    :param clock: clock that all workers of a test share.
    :param record: called with an entry when an attempt starts or ends.
    :ivar fails: makes each attempt fail as soon as it has started.
    """

    def __init__(
        self,
        *,
        host: ids.HostId,
        zone: ids.ZoneId,
        capacity: resources.Resources,
        clock: clocks.Clock,
        record: Record,
    ):
        self.host = host
        self.zone = zone
        self.capacity = capacity
        self.clock = clock
        self.record = record
        self.boot_numbers = itertools.count(1)
        self.port_numbers = itertools.count(1)
        self.epoch = ids.Epoch(0)
        self.fails = False
        self.changed = asyncio.Event()
        self._boot()

    def restart(self) -> None:
        """Restart the worker, which loses all its attempts and events."""
        for task in list(self.running):
            self._record_end("lost", self.running.pop(task).start)
        self._boot()
        self.changed.set()

    def advance(self) -> None:
        """Finish attempts whose run time is over; stop those without lease."""
        now = self._now()
        for task, attempt in list(self.running.items()):
            if attempt.done is not None and attempt.done <= now:
                # An attempt that was done before its lease expired counts as
                # finished, even if this is noticed only after the expiry.
                if attempt.done <= attempt.lease_until:
                    self._finish(task)
                    continue
            if attempt.lease_until < now:
                self._stop(task, "lapsed", checkpoint=True)

    def apply(self, request: workers.SyncRequest) -> None:
        """Apply a request.

        :raises StaleEpochError: if the worker has seen a higher epoch.
        """
        self.advance()
        if request.epoch < self.epoch:
            raise exceptions.StaleEpochError(
                message=(
                    f"epoch {request.epoch} is below {self.epoch}, which the"
                    " worker has seen"
                )
            )
        self.epoch = request.epoch
        if request.boot != self.boot:
            return
        self.events = [
            e for e in self.events if e.sequence > request.acknowledged
        ]
        for attempt in self.running.values():
            attempt.lease_until = max(attempt.lease_until, request.lease_until)
        for operation in request.operations:
            self._apply_operation(operation, request)

    def answer(self, request: workers.SyncRequest) -> workers.SyncAnswer:
        """Return the response to a request that has been applied."""
        running: tuple[workers.RunningTask, ...] = ()
        if request.inventory:
            running = tuple(
                workers.RunningTask(
                    task=task,
                    attempt=attempt.start.attempt,
                    kind=attempt.start.kind,
                    resources=attempt.start.resources,
                    address=attempt.address,
                )
                for task, attempt in self.running.items()
            )
        return workers.SyncAnswer(
            boot=self.boot,
            clock=self._now(),
            events=tuple(self.events),
            running=running,
        )

    def _boot(self) -> None:
        self.boot = ids.BootId(f"{self.host}-boot-{next(self.boot_numbers)}")
        self.running: dict[ids.TaskId, Attempt] = {}
        self.events: list[workers.TaskEvent] = []
        self.sequence = 0
        # The worker's clock starts again at each boot, so that times from an
        # earlier boot are not valid on it.
        self.clock_offset = self.clock.monotonic() - datetime.timedelta(
            hours=1
        )

    def _now(self) -> datetime.timedelta:
        return self.clock.monotonic() - self.clock_offset

    def _apply_operation(
        self, operation: workers.Operation, request: workers.SyncRequest
    ) -> None:
        match operation:
            case workers.Start():
                self._start(operation, request)
            case workers.Stop():
                attempt = self.running.get(operation.task)
                if attempt and attempt.start.attempt == operation.attempt:
                    self._stop(
                        operation.task,
                        "asked",
                        checkpoint=operation.checkpoint,
                    )

    def _start(
        self, start: workers.Start, request: workers.SyncRequest
    ) -> None:
        now = self._now()
        if start.not_after < now or start.task in self.running:
            self._emit(start, workers.TaskState.REFUSED)
            return
        done = None
        address = ""
        if start.kind is workers.TaskKind.BATCH:
            done = now + start.run_time - _completed_run_time(start.checkpoint)
        else:
            address = f"{self.host}:{next(self.port_numbers)}"
        self.running[start.task] = Attempt(
            start=start,
            lease_until=request.lease_until,
            started_at=now,
            done=done,
            address=address,
        )
        self._record_entry("start", start, checkpoint=start.checkpoint)
        if self.fails:
            del self.running[start.task]
            self._record_end("failed", start)
            self._emit(start, workers.TaskState.FAILED)
            return
        self._emit(start, workers.TaskState.RUNNING, address=address)

    def _finish(self, task: ids.TaskId) -> None:
        start = self.running.pop(task).start
        self._record_end("finished", start)
        self._emit(start, workers.TaskState.FINISHED)

    def _stop(self, task: ids.TaskId, why: str, *, checkpoint: bool) -> None:
        attempt = self.running.pop(task)
        saved_checkpoint = None
        if checkpoint and attempt.done is not None:
            resumed_from = _completed_run_time(attempt.start.checkpoint)
            completed = resumed_from + self._now() - attempt.started_at
            saved_checkpoint = ids.CheckpointId(
                f"done={completed.total_seconds():.3f}"
            )
        self._record_end(why, attempt.start, checkpoint=saved_checkpoint)
        self._emit(
            attempt.start,
            workers.TaskState.STOPPED,
            checkpoint=saved_checkpoint,
        )

    def _emit(
        self,
        start: workers.Start,
        state: workers.TaskState,
        *,
        address: str = "",
        checkpoint: ids.CheckpointId | None = None,
    ) -> None:
        self.sequence += 1
        self.events.append(
            workers.TaskEvent(
                sequence=self.sequence,
                task=start.task,
                attempt=start.attempt,
                state=state,
                address=address,
                checkpoint=checkpoint,
            )
        )
        self.changed.set()

    def _record_end(
        self, why: str, start: workers.Start, **fields: object
    ) -> None:
        self._record_entry("end", start, why=why, **fields)

    def _record_entry(
        self, kind: str, start: workers.Start, **fields: object
    ) -> None:
        self.record(
            {
                "kind": kind,
                "time": self.clock.monotonic(),
                "task": start.task,
                "attempt": start.attempt,
                "host": self.host,
                "zone": self.zone,
                "resources": start.resources,
                "capacity": self.capacity,
                **fields,
            }
        )


class MemoryWorkerPool:
    """A ``workers.WorkerPool`` of in-memory workers.

    :param network: workers by address, shared by the pools of all owners.
    """

    def __init__(
        self, *, network: dict[str, MemoryWorker], clock: clocks.Clock
    ):
        self.network = network
        self.clock = clock
        # Addresses of workers that this pool cannot reach.
        self.cut: set[str] = set()
        # Addresses of workers whose next response is lost after the worker has
        # applied the request.
        self.lose_answers: set[str] = set()
        # Delays of the next response, by the worker's address.
        self.late_answers: dict[str, datetime.timedelta] = {}
        # Delays of the next request, by the worker's address.
        self.late_requests: dict[str, datetime.timedelta] = {}

    async def sync(
        self, address: str, request: workers.SyncRequest, *, timeout: float
    ) -> workers.SyncAnswer:
        limit = datetime.timedelta(seconds=timeout) + request.wait
        delay = self.late_requests.pop(address, None)
        if delay is not None:
            await self.clock.sleep(delay)
        worker = self.network.get(address)
        if worker is None or address in self.cut:
            await self._raise_unreachable(address, limit)
        worker.apply(request)
        if request.wait and not worker.events:
            worker.changed.clear()
            await self.clock.wait_event(worker.changed, request.wait)
        answer = worker.answer(request)
        if address in self.cut or address in self.lose_answers:
            self.lose_answers.discard(address)
            await self._raise_unreachable(address, limit)
        delay = self.late_answers.pop(address, None)
        if delay is not None:
            await self.clock.sleep(delay)
        return answer

    def forget(self, address: str) -> None:
        """Do nothing, as there are no connections to close."""

    async def _raise_unreachable(
        self, address: str, limit: datetime.timedelta
    ) -> None:
        await self.clock.sleep(limit)
        raise exceptions.WorkerUnreachableError(
            message=f"no response within {limit.total_seconds():g} s",
            context=address,
        )


def _completed_run_time(checkpoint: str | None) -> datetime.timedelta:
    """Return the completed run time that a checkpoint records."""
    if not checkpoint:
        return datetime.timedelta()
    return datetime.timedelta(seconds=float(checkpoint.partition("=")[2]))
