"""Simulated workers of the platform, many in one process.

``python -m standins.worker --hosts hosts.json --record history.jsonl``

The process listens on the address of every host in the file, or of every host
in the zone given with ``--zone``. Each task start, end, stop and throttle is
appended to the record, one JSON object per line.
"""

import argparse
import asyncio
import dataclasses
import datetime
import json
import pathlib
import typing
import uuid

from standins import contention
from standins import endpoint
from standins import holds
from standins import metering
from standins import process
from standins import recorder
from turmerichook._internal import clock as clocks
from turmerichook._internal.http import addresses
from turmerichook._internal.http import server
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.providers import worker_format
from turmerichook._internal.providers import workers
from turmerichook import exceptions

LEASE_CHECK = datetime.timedelta(milliseconds=200)
BEHAVIOUR_PATH = "/v1/behaviour"


@dataclasses.dataclass(kw_only=True)
class Attempt:
    """A running attempt of a task."""

    start: workers.Start
    lease_until: datetime.timedelta
    progress: contention.Progress
    replica: endpoint.Endpoint | None = None
    address: str = ""
    runner: asyncio.Task | None = None


class Worker:
    """One host that runs tasks for the duration of their leases.

    ``PUT /v1/behaviour`` with a JSON document changes the worker's options.
    """

    def __init__(
        self,
        *,
        host: ids.HostId,
        zone: ids.ZoneId,
        capacity: resources.Resources,
        record: recorder.Recorder,
        breakpoints: holds.Breakpoints,
        options: contention.Options = contention.Options(),
    ):
        self.breakpoints = breakpoints
        self.options = options
        self.meter = metering.Meter()
        self.host = host
        self.zone = zone
        self.capacity = capacity
        self.record = record
        self.clock = clocks.SystemClock()
        self.boot = ids.BootId(uuid.uuid4().hex[:12])
        self.epoch = ids.Epoch(0)
        self.running: dict[ids.TaskId, Attempt] = {}
        self.events: list[workers.TaskEvent] = []
        self.sequence = 0
        self.changed = asyncio.Event()
        self.crashed = False
        self.unreachable = False

    async def handle(self, exchange: server.Exchange) -> None:
        """Handle one HTTP request."""
        if exchange.head.path == holds.PATH:
            await self.breakpoints.control(exchange)
            return
        if exchange.head.path == "/power":
            await self._power(exchange)
            return
        if exchange.head.path == BEHAVIOUR_PATH:
            document = json.loads(await exchange.read_all())
            self.options = contention.from_document(document, self.options)
            await exchange.respond_json(document={})
            return
        if self.crashed or self.unreachable:
            exchange.connection.close()
            return
        try:
            document = json.loads(await exchange.read_all())
            request = worker_format.decode_request(document)
        except (ValueError, exceptions.MessageError):
            await exchange.respond_json(document={}, status=400)
            return
        if request.epoch < self.epoch:
            await exchange.respond_json(
                document={"epoch": self.epoch}, status=409
            )
            return
        self.epoch = request.epoch
        try:
            answer = await self.sync(request)
        except holds.DroppedError:
            exchange.connection.close()
            return
        if self.crashed or self.unreachable:
            exchange.connection.close()
            return
        await exchange.respond_json(
            document=worker_format.encode_answer(answer)
        )

    async def _power(self, exchange: server.Exchange) -> None:
        """Simulate a host crash or a loss of connection.

        ``{"on": false}`` ends all tasks and their state, and ``{"on": true}``
        restarts the host. ``{"mute": true}`` makes the worker close every
        connection from schedulers while its tasks keep running.
        """
        document = json.loads(await exchange.read_all())
        self.unreachable = document.get("mute", self.unreachable)
        on = document.get("on", not self.crashed)
        if not on:
            await self._crash()
        elif self.crashed:
            self.boot = ids.BootId(uuid.uuid4().hex[:12])
            self.crashed = False
        await exchange.respond_json(document={})

    async def _crash(self) -> None:
        self.crashed = True
        self.record({"kind": "host-dead", "host": self.host})
        for name in list(self.running):
            attempt = self.running.pop(name)
            if attempt.runner is not None:
                attempt.runner.cancel()
            if attempt.replica is not None:
                await attempt.replica.stop()
        self.events = []
        self.sequence = 0
        self.epoch = ids.Epoch(0)
        self.changed.set()

    async def sync(self, request: workers.SyncRequest) -> workers.SyncAnswer:
        """Apply a request's operations and return unacknowledged events."""
        # A renewal must not revive a lease that lapsed before the renewal
        # arrived.
        await self._expire_leases()
        if request.boot == self.boot:
            self.events = [
                e for e in self.events if e.sequence > request.acknowledged
            ]
            for attempt in self.running.values():
                attempt.lease_until = max(
                    attempt.lease_until, request.lease_until
                )
            for operation in request.operations:
                await self._apply_operation(operation, request)
        if request.wait and not self.events:
            self.changed.clear()
            try:
                async with asyncio.timeout(request.wait.total_seconds()):
                    await self.changed.wait()
            except TimeoutError:
                pass
        return workers.SyncAnswer(
            boot=self.boot,
            clock=self.clock.monotonic(),
            events=tuple(self.events),
            usage=self.meter.pop_due(self.clock.monotonic(), self.options.lag),
            running=self._inventory() if request.inventory else (),
        )

    async def expire(self) -> None:
        """Periodically stop tasks whose lease has lapsed."""
        while True:
            await self.clock.sleep(LEASE_CHECK)
            await self._expire_leases()

    async def _expire_leases(self) -> None:
        now = self.clock.monotonic()
        for name, attempt in list(self.running.items()):
            if attempt.lease_until < now and name in self.running:
                await self._stop(name, "lease lapsed", checkpoint=True)

    def _inventory(self) -> tuple[workers.RunningTask, ...]:
        return tuple(
            workers.RunningTask(
                task=name,
                attempt=attempt.start.attempt,
                kind=attempt.start.kind,
                resources=attempt.start.resources,
                address=attempt.address,
            )
            for name, attempt in self.running.items()
        )

    async def _apply_operation(
        self, operation: workers.Operation, request: workers.SyncRequest
    ) -> None:
        match operation:
            case workers.Start():
                await self._start(operation, request)
            case workers.Stop():
                attempt = self.running.get(operation.task)
                if attempt and attempt.start.attempt == operation.attempt:
                    label = f"worker stop {operation.task}"
                    await self.breakpoints.wait_at(f"{label} before")
                    await self._stop(
                        operation.task,
                        "asked",
                        checkpoint=operation.checkpoint,
                    )
            case workers.Throttle():
                self._throttle(operation)

    async def _start(
        self, start: workers.Start, request: workers.SyncRequest
    ) -> None:
        await self.breakpoints.wait_at(f"worker start {start.task} before")
        now = self.clock.monotonic()
        superseded = request.epoch < self.epoch
        late = start.not_after < now
        if self.crashed or superseded or late or start.task in self.running:
            self._emit(start, workers.TaskState.REFUSED, detail="too late")
            return
        remaining = start.run_time - _progress(start.checkpoint)
        attempt = Attempt(
            start=start,
            lease_until=request.lease_until,
            progress=contention.Progress(left=remaining, since=now),
        )
        self.running[start.task] = attempt
        self._record("start", start, checkpoint=start.checkpoint)
        if self.options.fail_all:
            del self.running[start.task]
            self._record("fail", start)
            self._emit(start, workers.TaskState.FAILED, detail="fault")
            return
        if start.kind is workers.TaskKind.SERVICE:
            await self._serve(attempt)
        else:
            attempt.runner = asyncio.create_task(self._finish(attempt))
        self._emit(start, workers.TaskState.RUNNING, address=attempt.address)
        await self.breakpoints.wait_at(f"worker start {start.task} after")

    def _throttle(self, operation: workers.Throttle) -> None:
        attempt = self.running.get(operation.task)
        if attempt is None or attempt.runner is None:
            return
        if attempt.start.attempt != operation.attempt:
            return
        attempt.progress.throttle(operation.share, self.clock.monotonic())
        attempt.runner.cancel()
        attempt.runner = asyncio.create_task(self._finish(attempt))
        self._record("throttle", attempt.start, share=operation.share)

    async def _serve(self, attempt: Attempt) -> None:
        start = attempt.start
        attempt.replica = endpoint.Endpoint(
            task=start.task,
            slots=start.slots,
            connections=start.connections,
            record=self.record,
            breakpoints=self.breakpoints,
        )
        port = await attempt.replica.start()
        attempt.address = f"127.0.0.1:{port}"

    async def _finish(self, attempt: Attempt) -> None:
        await self.clock.sleep(attempt.progress.wait(self.clock.monotonic()))
        start = attempt.start
        del self.running[start.task]
        self._record("finish", start)
        self._emit(start, workers.TaskState.FINISHED)

    async def _stop(
        self, name: ids.TaskId, why: str, *, checkpoint: bool
    ) -> None:
        attempt = self.running.pop(name)
        if attempt.runner is not None:
            attempt.runner.cancel()
        if attempt.replica is not None:
            await attempt.replica.stop()
        mark = None
        if checkpoint and attempt.start.kind is workers.TaskKind.BATCH:
            mark = self._checkpoint(attempt)
        self._record("stop", attempt.start, why=why, checkpoint=mark)
        self._emit(attempt.start, workers.TaskState.STOPPED, checkpoint=mark)

    def _checkpoint(self, attempt: Attempt) -> ids.CheckpointId:
        left = attempt.progress.left_at(self.clock.monotonic())
        seconds = (attempt.start.run_time - left).total_seconds()
        return ids.CheckpointId(f"done={seconds:.3f}")

    def _emit(
        self,
        start: workers.Start,
        state: workers.TaskState,
        *,
        detail: str = "",
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
                detail=detail,
                address=address,
                checkpoint=checkpoint,
            )
        )
        self.changed.set()

    def _record(
        self, kind: str, start: workers.Start, **fields: typing.Any
    ) -> None:
        self.record(
            {
                "kind": kind,
                "task": start.task,
                "attempt": start.attempt,
                "host": self.host,
                "zone": self.zone,
                "resources": start.resources.to_map(),
                **fields,
            }
        )


def _progress(checkpoint: str | None) -> datetime.timedelta:
    if not checkpoint:
        return datetime.timedelta()
    return datetime.timedelta(seconds=float(checkpoint.partition("=")[2]))


async def serve(
    hosts: list[dict],
    record: recorder.Recorder,
    options: contention.Options,
) -> None:
    """Serve all workers until cancelled."""
    breakpoints = holds.Breakpoints()
    async with asyncio.TaskGroup() as group:
        for item in hosts:
            worker = Worker(
                host=ids.HostId(item["host"]),
                zone=ids.ZoneId(item["zone"]),
                capacity=resources.Resources(**item["capacity"]),
                record=record,
                breakpoints=breakpoints,
                options=options,
            )
            host, port = addresses.split(item["address"])
            listener = server.Server(handler=worker.handle)
            await listener.start(host=host, port=port)
            group.create_task(worker.expire())
            group.create_task(metering.run(worker))


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description="Stand-in workers.")
    parser.add_argument("--hosts", type=pathlib.Path, required=True)
    parser.add_argument("--record", type=pathlib.Path, required=True)
    parser.add_argument("--zone", default="")
    parser.add_argument(
        "--behaviour",
        type=pathlib.Path,
        help="JSON file: lag_s, used_share, interference, fail_all",
    )
    options = parser.parse_args()
    hosts = json.loads(options.hosts.read_text())["hosts"]
    if options.zone:
        hosts = [h for h in hosts if h["zone"] == options.zone]
    behaviour = contention.read_options(options.behaviour)
    record = recorder.Recorder(path=options.record)
    process.run(serve(hosts, record, behaviour))


if __name__ == "__main__":
    main()
