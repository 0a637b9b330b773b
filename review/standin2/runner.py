"""A runner as the pages describe it, based on the project's stand-in."""

import asyncio
import datetime

from standin2 import link as links
from standins import batch_platform
from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import orders
from turmerichook._internal.http import server
from turmerichook._internal.platform import worker_calls
from turmerichook._internal.workflow import model
from turmerichook import exceptions

MS = batch_platform.MS
HOLD_MAX = datetime.timedelta(seconds=10)
# A task that lasts is at work after a short start-up.
LASTS_FROM_S = 300.0


class Runner(batch_platform.WorkerHost):
    """A runner whose channels pass a link.

    Its answers to ``hold`` state the real progress, and ends are forgotten up
    to the cursor of the call that has just arrived.
    """

    def __init__(self, *, name: str, zone: str):
        super().__init__(name=name, zone=zone)
        self.channels: links.Link | None = None
        # Whether the runner fails all that it starts and runs.
        self.unhealthy = False

    def tick(self, span: datetime.timedelta) -> None:
        """Advance the clock; fail what runs while the runner is unhealthy."""
        super().tick(span)
        if self.unhealthy:
            for task in list(self.state.running):
                self.fail(task)

    async def start(self, *, linked: bool = False) -> None:
        """Listen on a free loopback port behind a link."""
        await super().start()
        self.channels = links.Link(("127.0.0.1", self.port))
        self.port = await self.channels.start()

    async def stop(self) -> None:
        """Stop listening."""
        await self.channels.stop()
        await super().stop()

    def crash_for(self, seconds: float) -> None:
        """Crash, and start again under the same id after some seconds.

        The new lifetime runs and knows nothing, and its counts start anew.
        """
        self.crash()
        self.state.clock = batch_platform.SECOND
        self.state.lease_until = datetime.timedelta()
        self.back_at = asyncio.get_running_loop().time() + seconds
        for connection in list(self.server.connections):
            connection.wire.abort()

    def fail(self, task: model.TaskKey) -> None:
        """End a run by the task's own fault."""
        self.state.end(task, model.EndKind.FAILED)
        self._note_ends()
        self.changed.set()

    def _percent(self, task: model.TaskKey) -> int:
        now = asyncio.get_running_loop().time()
        started = max(at for t, at in self.started_at if t == task)
        length = self.ends_at[task] - started
        if length >= LASTS_FROM_S:
            return 100 if now - started > 0.3 else 50
        return min(99, int(100 * (now - started) / length))

    async def _hold(self, exchange: server.Exchange, document: dict) -> None:
        until = document.get("deadline-ms")
        lease_until = None
        if until is not None:
            lease_until = min(until * MS, self.state.clock + HOLD_MAX)
        try:
            report = self.state.renew(
                orders.Renewal(
                    token=document["fencing-token"],
                    acknowledged=document["ack-cursor"],
                    lease_until=lease_until,
                )
            )
            if not report.ends and document.get("wait-ms"):
                self.changed.clear()
                await clocks.SystemClock().wait_event(
                    self.changed, document["wait-ms"] * MS
                )
                report = self.state.renew(
                    orders.Renewal(
                        token=document["fencing-token"], acknowledged=0
                    )
                )
        except exceptions.StaleTokenError:
            await exchange.respond_json(
                document={
                    "clock-ms": self.state.clock // MS,
                    "reason": "fence",
                },
                status=409,
            )
            return
        name = worker_calls.task_name
        await exchange.respond_json(
            document={
                "clock-ms": report.clock // MS,
                "born": report.incarnation,
                "running": [
                    [name(row.task), row.run, "", self._percent(row.task), 0]
                    for row in report.running
                ],
                "finished": [
                    [end.number, name(end.task), end.run, end.kind.value, ""]
                    for end in report.ends
                ],
            }
        )
