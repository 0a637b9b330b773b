"""In-memory workers for tests, with the behaviour that the product assumes."""

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
    """An attempt that runs.

    :param done: time at which it finishes; None for a service.
    """

    start: workers.Start
    lease_until: datetime.timedelta
    began: datetime.timedelta
    done: datetime.timedelta | None
    address: str = ""


class MemoryWorker:
    """One worker that runs tasks under leases on the shared clock."""

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
        self.boots = itertools.count(1)
        self.ports = itertools.count(1)
        self.epoch = ids.Epoch(0)
        self.fails = False
        self.changed = asyncio.Event()
        self._boot()

    def restart(self) -> None:
        """Lose everything, as a worker that starts anew does."""
        for name in list(self.running):
            self._end("lost", self.running.pop(name).start)
        self._boot()
        self.changed.set()

    def advance(self) -> None:
        """Carry out what has become due on the clock."""
        now = self._now()
        for name, attempt in list(self.running.items()):
            if attempt.done is not None and attempt.done <= now:
                # A task that was done before its lease lapsed has finished.
                if attempt.done <= attempt.lease_until:
                    self._finish(name)
                    continue
            if attempt.lease_until < now:
                self._stop(name, "lapsed", checkpoint=True)

    def apply(self, request: workers.SyncRequest) -> None:
        """Apply a request that has arrived.

        :raises StaleEpochError: if a later owner was here.
        """
        self.advance()
        if request.epoch < self.epoch:
            raise exceptions.StaleEpochError(message="a later owner was here")
        self.epoch = request.epoch
        if request.boot != self.boot:
            return
        self.events = [
            e for e in self.events if e.sequence > request.acknowledged
        ]
        for attempt in self.running.values():
            attempt.lease_until = max(attempt.lease_until, request.lease_until)
        for operation in request.operations:
            self._operate(operation, request)

    def answer(self, request: workers.SyncRequest) -> workers.SyncAnswer:
        """Return the present state."""
        running: tuple[workers.RunningTask, ...] = ()
        if request.inventory:
            running = tuple(
                workers.RunningTask(
                    task=name,
                    attempt=attempt.start.attempt,
                    kind=attempt.start.kind,
                    resources=attempt.start.resources,
                    address=attempt.address,
                )
                for name, attempt in self.running.items()
            )
        return workers.SyncAnswer(
            boot=self.boot,
            clock=self._now(),
            events=tuple(self.events),
            running=running,
        )

    def _boot(self) -> None:
        self.boot = ids.BootId(f"{self.host}-boot-{next(self.boots)}")
        self.running: dict[ids.TaskId, Attempt] = {}
        self.events: list[workers.TaskEvent] = []
        self.sequence = 0
        # Each boot's clock starts anew, so readings of another one differ.
        self.offset = self.clock.monotonic() - datetime.timedelta(hours=1)

    def _now(self) -> datetime.timedelta:
        return self.clock.monotonic() - self.offset

    def _operate(
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
            done = now + start.run_time - progress_of(start.checkpoint)
        else:
            address = f"{self.host}:{next(self.ports)}"
        self.running[start.task] = Attempt(
            start=start,
            lease_until=request.lease_until,
            began=now,
            done=done,
            address=address,
        )
        self._note("start", start, checkpoint=start.checkpoint)
        if self.fails:
            del self.running[start.task]
            self._end("failed", start)
            self._emit(start, workers.TaskState.FAILED)
            return
        self._emit(start, workers.TaskState.RUNNING, address=address)

    def _finish(self, name: ids.TaskId) -> None:
        start = self.running.pop(name).start
        self._end("finished", start)
        self._emit(start, workers.TaskState.FINISHED)

    def _stop(self, name: ids.TaskId, why: str, *, checkpoint: bool) -> None:
        attempt = self.running.pop(name)
        mark = None
        if checkpoint and attempt.done is not None:
            before = progress_of(attempt.start.checkpoint)
            seconds = before + self._now() - attempt.began
            mark = ids.CheckpointId(f"done={seconds.total_seconds():.3f}")
        self._end(why, attempt.start, checkpoint=mark)
        self._emit(attempt.start, workers.TaskState.STOPPED, checkpoint=mark)

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

    def _end(self, why: str, start: workers.Start, **fields: object) -> None:
        self._note("end", start, why=why, **fields)

    def _note(self, kind: str, start: workers.Start, **fields: object) -> None:
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
        # Addresses that this pool cannot reach.
        self.cut: set[str] = set()
        # Addresses whose next answer is lost after the worker acted, or is
        # delivered late.
        self.lose_answers: set[str] = set()
        self.late_answers: dict[str, datetime.timedelta] = {}
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
            await self._lost(address, limit)
        worker.apply(request)
        if request.wait and not worker.events:
            worker.changed.clear()
            await self.clock.wait_event(worker.changed, request.wait)
        answer = worker.answer(request)
        if address in self.cut or address in self.lose_answers:
            self.lose_answers.discard(address)
            await self._lost(address, limit)
        delay = self.late_answers.pop(address, None)
        if delay is not None:
            await self.clock.sleep(delay)
        return answer

    def forget(self, address: str) -> None:
        """There are no connections to close."""

    async def _lost(self, address: str, limit: datetime.timedelta) -> None:
        await self.clock.sleep(limit)
        raise exceptions.WorkerUnreachableError(
            message="no answer", context=address
        )


def progress_of(checkpoint: str | None) -> datetime.timedelta:
    """Return the work that a checkpoint holds."""
    if not checkpoint:
        return datetime.timedelta()
    return datetime.timedelta(seconds=float(checkpoint.partition("=")[2]))
