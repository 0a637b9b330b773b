"""The leader's exchange with one worker: renewals, reports and orders."""

import asyncio
import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import decisions
from turmerichook._internal.dispatch import dispatcher as dispatchers
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import leadership
from turmerichook._internal.dispatch import orders
from turmerichook._internal.models import deployment
from turmerichook import exceptions

# How long a worker may wait for an end before it answers. Progress and tail
# latencies are only seen in its answers.
REPORT_WAIT = datetime.timedelta(milliseconds=600)
# Shortest pause after a report without an end, also if the worker does not
# wait. After one with an end the next is asked for once the end is durable.
REPORT_PAUSE = datetime.timedelta(milliseconds=5)
# Pause between reports while something must be settled.
SETTLE_PAUSE = datetime.timedelta(milliseconds=80)
RETRY_PAUSE = datetime.timedelta(milliseconds=250)
IDLE_CHECK = datetime.timedelta(seconds=1)
# Renewals without an answer after which a worker counts as out of reach.
FAILURES_MAX = 2
# How long leases on workers are renewed while the store does not confirm the
# leadership. Their end is certain for a successor after this and one lease.
UNCONFIRMED_RENEWALS = datetime.timedelta(seconds=8)


class Session:
    """Talks to one worker as long as the leader needs it."""

    def __init__(
        self,
        *,
        worker: fleet.Worker,
        dispatcher: dispatchers.Dispatcher,
        workers: orders.Workers,
        term: leadership.Term,
        timing: deployment.Timing,
        clock: clocks.Clock,
        changed: asyncio.Event,
    ):
        self.worker = worker
        self.dispatcher = dispatcher
        self.workers = workers
        self.term = term
        self.timing = timing
        self.clock = clock
        # Set to let the leader act on what a report has changed.
        self.changed = changed
        # Set when the worker got tasks or its ends became durable.
        self.wake = asyncio.Event()
        self.acknowledged = 0
        self.failures = 0

    async def run(self) -> None:
        """Renew leases until cancelled."""
        while True:
            if not self._needed():
                await self._pause(IDLE_CHECK)
                continue
            if self.worker.unsaved:
                # The ends would only be listed again.
                await self._pause_while_unsaved()
            await self._renew()

    def _needed(self) -> bool:
        worker = self.worker
        if worker.entry is None:
            return False
        if worker.runs or self.acknowledged < worker.acknowledged:
            return True
        return worker.listed and not (worker.looked and worker.reachable)

    async def _pause(self, limit: datetime.timedelta) -> None:
        await self.clock.wait_event(self.wake, limit)
        self.wake.clear()

    async def _pause_while_unsaved(self) -> None:
        now = self.clock.uptime()
        end = now + self._unsaved_pause(now)
        while self.worker.unsaved and self.clock.uptime() < end:
            await self._pause(end - self.clock.uptime())

    def _unsaved_pause(self, now: datetime.timedelta) -> datetime.timedelta:
        """Return how long the next report can wait for a commit."""
        if self._unsettled():
            return RETRY_PAUSE
        # A worker answers at once while ends are not acknowledged. What it
        # tells sooner than commits catch up can start nothing sooner.
        behind = self.dispatcher.book.unsaved_for(now)
        return min(REPORT_WAIT, max(RETRY_PAUSE, behind))

    async def _renew(self) -> None:
        worker = self.worker
        asked = self.dispatcher.settlement.next_mark()
        acknowledged = worker.acknowledged
        order = orders.Renewal(
            token=self.term.token,
            acknowledged=acknowledged,
            lease_until=self._lease_until(),
            wait=self._wait(),
        )
        try:
            report = await self.workers.renew(worker.entry, order)
        except exceptions.WorkerUnreachableError:
            self.failures += 1
            if self.failures >= FAILURES_MAX:
                self.dispatcher.settlement.unreachable(
                    worker, self.clock.uptime()
                )
            self.changed.set()
            await self.clock.sleep(RETRY_PAUSE)
            return
        except exceptions.IncarnationEndedError:
            self.dispatcher.settlement.incarnation_ended(
                worker, self.clock.uptime()
            )
            self.changed.set()
            await self.clock.sleep(IDLE_CHECK)
            return
        except exceptions.StaleTokenError:
            self.term.end("stale-token")
            return
        self.failures = 0
        self.acknowledged = acknowledged
        self.dispatcher.settlement.take_report(
            worker, report, asked=asked, now=self.clock.uptime()
        )
        self.changed.set()
        if self._unsettled():
            await self.clock.sleep(SETTLE_PAUSE)
        elif not worker.unsaved:
            await self.clock.sleep(REPORT_PAUSE)

    def _lease_until(self) -> datetime.timedelta | None:
        if self.worker.clock is None:
            return None
        if self.term.unconfirmed_for() > UNCONFIRMED_RENEWALS:
            return None
        return self.worker.grant_lease(
            self.clock.uptime(), self.timing.lease_max
        )

    def _wait(self) -> datetime.timedelta:
        if not self.worker.looked or self._unsettled() or self.worker.unsaved:
            return datetime.timedelta()
        if not self.worker.runs:
            return datetime.timedelta()
        return REPORT_WAIT

    def _unsettled(self) -> bool:
        return any(
            run.phase in (fleet.RunPhase.UNCERTAIN, fleet.RunPhase.STOPPING)
            for run in self.worker.runs.values()
        )

    async def start(self, order: decisions.StartOrder) -> None:
        """Send a start, unless the authority for it has ended."""
        worker, run = self.worker, order.run
        now = self.clock.uptime()
        if worker.clock is None or not self.term.has_authority():
            # Nothing was sent; a successor knows of the assignment.
            outcome: orders.Outcome = orders.Refused(
                reason=orders.RefusalReason.EXPIRED
            )
        else:
            outcome = await self.workers.start(
                worker.entry,
                orders.Start(
                    task=run.task,
                    run=run.run,
                    payload=order.payload,
                    token=self.term.token,
                    valid_until=worker.grant_lease(now, self.timing.lease_max),
                    checkpoint=order.checkpoint,
                    ticket=order.ticket,
                ),
            )
        self.dispatcher.settlement.take_start_outcome(
            worker, run, outcome, self.clock.uptime()
        )
        self._note(outcome)

    async def stop(self, order: decisions.StopOrder) -> None:
        """Send a stop."""
        outcome = await self.workers.stop(
            self.worker.entry,
            orders.Stop(
                task=order.run.task,
                run=order.run.run,
                token=self.term.token,
            ),
        )
        self.dispatcher.settlement.take_stop_outcome(
            self.worker, order.run, outcome
        )
        self._note(outcome)

    async def throttle(self, order: decisions.PaceOrder) -> None:
        """Send another pace; a lost one is sent with the next change."""
        outcome = await self.workers.throttle(
            self.worker.entry,
            orders.Throttle(
                task=order.run.task,
                run=order.run.run,
                percent=order.percent,
                token=self.term.token,
            ),
        )
        self._note(outcome)

    def _note(self, outcome: orders.Outcome) -> None:
        if outcome == orders.Refused(reason=orders.RefusalReason.STALE_TOKEN):
            self.term.end("stale-token")
        self.wake.set()
        self.changed.set()
