"""The leader's session with one worker: renewals, reports and orders."""

import asyncio
import collections.abc
import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import decisions
from turmerichook._internal.dispatch import dispatcher as dispatchers
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import leadership
from turmerichook._internal.dispatch import orders
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import deployment
from turmerichook import exceptions

# How long a worker may delay a report until a run ends. This limits the age of
# progress and tail latencies, which the leader learns from reports only.
REPORT_WAIT = datetime.timedelta(milliseconds=600)
# Pause after a report without an end, in case the worker answers at once
# instead of waiting for an end. After a report with an end there is no pause,
# as the next report is requested once the end is durable.
REPORT_PAUSE = datetime.timedelta(milliseconds=5)
# Pause between reports while the state of a run is uncertain or a stop is
# outstanding.
UNSETTLED_PAUSE = datetime.timedelta(milliseconds=80)
# Pause after a renewal without an answer. Also the pause between reports while
# ends are unsaved, unless commits take longer.
RETRY_PAUSE = datetime.timedelta(milliseconds=250)
# A session checks at least this often whether its worker needs renewals.
IDLE_CHECK_INTERVAL = datetime.timedelta(seconds=1)
# Longest pause after a renewal that failed unexpectedly; the first pause is
# ``RETRY_PAUSE``, and each further one twice as long.
DEFECT_PAUSE_MAX = datetime.timedelta(seconds=10)
# Successive renewals without an answer after which a worker is unreachable.
UNREACHABLE_AFTER_FAILURES = 2
# Length of the leases granted to a listed worker that does not answer. A
# worker whose answers are slow or lost keeps its runs, and the leases of one
# that has crashed end as soon as those granted before.
SILENT_LEASE = datetime.timedelta(seconds=3)
# A listed worker that has not answered for this time gets no more leases, so
# that its tasks can run where their ends are seen.
SILENT_RENEWAL_TIME = datetime.timedelta(seconds=20)
# Longest time by which leases on workers outlive the last confirmation of the
# leader's own lease, unless a single lease is longer. Runs survive a loss of
# the store for this time, and a successor that the former leader's worker does
# not answer waits as long.
UNCONFIRMED_LEASE_TIME = datetime.timedelta(seconds=9)


def unconfirmed_lease_time(
    lease_max: datetime.timedelta,
) -> datetime.timedelta:
    """Return how long leases may outlive a leader's last confirmation.

    :param lease_max: longest lease on a worker.
    """
    return max(UNCONFIRMED_LEASE_TIME, lease_max)


def renewed_while_silent(
    worker: fleet.Worker, now: datetime.timedelta
) -> bool:
    """Return whether leases on a worker that does not answer are renewed."""
    return (
        worker.listed
        and worker.clock is not None
        and now - worker.clock_read_at <= SILENT_RENEWAL_TIME
    )


class Session:
    """Renews the leases on one worker and sends it orders."""

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
        # Set to trigger a round of the leader after a report or an outcome.
        self.changed = changed
        # Set when the worker was sent an order or its ends became durable.
        self.wake = asyncio.Event()
        self.acknowledged = 0
        # Successive renewals without an answer, and when the last answer was
        # received.
        self.failures = 0
        self.answered_at = clock.uptime()
        # Successive renewals that ended with an unexpected error.
        self.defects = 0

    async def run(self) -> None:
        """Renew leases until cancelled.

        After an unexpected error the worker counts as one that has not
        answered; the leader and the other sessions go on.
        """
        while True:
            try:
                await self._renew_while_needed()
            except Exception as error:
                self._log_defect("renew", error)
                self._note_failure()
                await self.clock.sleep(
                    clocks.doubled_pause(
                        RETRY_PAUSE, self.defects, DEFECT_PAUSE_MAX
                    )
                )
                self.defects += 1

    async def _renew_while_needed(self) -> None:
        while True:
            if not self._needs_renewal():
                await self._pause(IDLE_CHECK_INTERVAL)
                continue
            if self.worker.unsaved:
                # A report would only list the unsaved ends again.
                await self._pause_while_unsaved()
            await self._renew()
            self.defects = 0

    def _log_defect(self, call: str, error: Exception) -> None:
        logs.emit(
            events.DispatchEvent.WORKER_CALL_FAILED,
            worker=self.worker.worker,
            call=call,
            error=repr(error),
        )

    def _note_failure(self) -> None:
        """Count a renewal without an answer."""
        self.failures += 1
        if self.failures >= UNREACHABLE_AFTER_FAILURES:
            self.dispatcher.settlement.mark_unreachable(
                self.worker, self.clock.uptime()
            )
        self.changed.set()

    def _needs_renewal(self) -> bool:
        worker = self.worker
        if worker.entry is None:
            return False
        if worker.runs or self.acknowledged < worker.acknowledged:
            return True
        if worker.report_received and worker.reachable:
            return False
        if not worker.listed:
            return self.dispatcher.run_tracker.crash_counts.awaits(
                worker.worker
            )
        # An entry of any other service may come from another writer.
        return self.dispatcher.uses(worker.entry.service)

    async def _pause(self, limit: datetime.timedelta) -> None:
        await self.clock.wait_event(self.wake, limit)
        self.wake.clear()

    async def _pause_while_unsaved(self) -> None:
        now = self.clock.uptime()
        end = now + self._unsaved_pause(now)
        while self.worker.unsaved and self.clock.uptime() < end:
            await self._pause(end - self.clock.uptime())

    def _unsaved_pause(self, now: datetime.timedelta) -> datetime.timedelta:
        """Return how long the next report may wait for a commit."""
        if self._has_unsettled_runs():
            return RETRY_PAUSE
        # A worker does not delay its report while it has unacknowledged ends.
        # A report before the outstanding changes are committed would not let
        # any task start sooner.
        commit_delay = self.dispatcher.run_tracker.oldest_unsaved_age(now)
        return min(REPORT_WAIT, max(RETRY_PAUSE, commit_delay))

    async def _renew(self) -> None:
        worker, entry = self.worker, self.worker.entry
        asked = self.dispatcher.settlement.next_sequence_number()
        # Another incarnation may answer, whose ends are numbered anew.
        acknowledged = 0 if self.failures else worker.acknowledged
        lease_until = self._lease_until()
        order = orders.Renewal(
            token=self.term.token,
            acknowledged=acknowledged,
            lease_until=lease_until,
            wait=self._report_wait(lease_until),
        )
        try:
            report = await self.workers.renew(entry, order)
        except exceptions.WorkerUnreachableError:
            self._note_failure()
            await self.clock.sleep(RETRY_PAUSE)
            return
        except exceptions.IncarnationEndedError:
            # The worker may have moved while the request was under way.
            if worker.entry.address == entry.address:
                self.dispatcher.settlement.incarnation_ended(
                    worker, self.clock.uptime()
                )
            self.changed.set()
            await self.clock.sleep(IDLE_CHECK_INTERVAL)
            return
        except exceptions.StaleTokenError:
            self.term.end("stale-token")
            return
        self.failures = 0
        self.answered_at = self.clock.uptime()
        self.acknowledged = acknowledged
        self.dispatcher.settlement.apply_report(
            worker, report, requested_at=asked, now=self.answered_at
        )
        self.changed.set()
        if self._has_unsettled_runs():
            await self.clock.sleep(UNSETTLED_PAUSE)
        elif not worker.unsaved:
            await self.clock.sleep(REPORT_PAUSE)

    def _lease_until(self) -> datetime.timedelta | None:
        if self.worker.clock is None or self.term.ended.is_set():
            return None
        now = self.clock.uptime()
        length = self._lease_length()
        if self.failures:
            # The leases of a worker that has crashed must end: a renewal
            # counts as granted although no answer confirms it.
            if not self.worker.listed:
                return None
            if now - self.answered_at > SILENT_RENEWAL_TIME:
                return None
            length = min(length, SILENT_LEASE)
        limit = self._lease_limit()
        if limit is not None:
            length = min(length, self.worker.longest_lease(now, limit))
        if length <= fleet.ZERO:
            return None
        return self.worker.grant_lease(now, length)

    def _lease_limit(self) -> datetime.timedelta | None:
        limits = self.dispatcher.run_tracker.lease_limits
        return limits.get(self.worker.worker)

    def _lease_length(self) -> datetime.timedelta:
        """Return how long a lease that is granted now may last."""
        lease_max = self.timing.lease_max
        remaining = (
            unconfirmed_lease_time(lease_max) - self.term.unconfirmed_for()
        )
        return min(lease_max, remaining)

    def _report_wait(
        self, lease_until: datetime.timedelta | None
    ) -> datetime.timedelta:
        """Return how long the worker may delay its report.

        :param lease_until: the lease that the worker gets with the request.
        """
        if (
            not self.worker.report_received
            or self._has_unsettled_runs()
            or self.worker.unsaved
        ):
            return datetime.timedelta()
        if not self.worker.runs:
            return datetime.timedelta()
        if self.failures:
            # A worker that is not listed gets no lease before it answers.
            return datetime.timedelta()
        if lease_until is None and self._lease_limit() is not None:
            # The next commit may allow a lease.
            return RETRY_PAUSE
        return REPORT_WAIT

    def _has_unsettled_runs(self) -> bool:
        return any(
            run.phase in (fleet.RunPhase.UNCERTAIN, fleet.RunPhase.STOPPING)
            for run in self.worker.runs.values()
        )

    async def start(self, order: decisions.StartOrder) -> None:
        """Send a start, unless the leader must not rely on its state now.

        The process may have been suspended since the commit.
        """
        worker, run = self.worker, order.run
        now = self.clock.uptime()
        self.dispatcher.check_registry_age(now)
        if (
            worker.clock is None
            or worker.entry_outdated
            or self._lease_limit() is not None
            or not self.term.has_authority()
        ):
            # Nothing is sent. The assignment is in the store, so a successor
            # reads it.
            outcome: orders.Outcome = orders.Refused(
                reason=orders.RefusalReason.EXPIRED
            )
        else:
            start = orders.Start(
                task=run.task,
                run=run.run,
                payload=order.payload,
                token=self.term.token,
                valid_until=worker.grant_lease(now, self._lease_length()),
                checkpoint=order.checkpoint,
                ticket=order.ticket,
            )
            outcome = await self._outcome(
                "start", self.workers.start(worker.entry, start)
            )
        self.dispatcher.settlement.apply_start_outcome(
            worker, run, outcome, self.clock.uptime()
        )
        self._handle_outcome(outcome)

    async def stop(self, order: decisions.StopOrder) -> None:
        """Send a stop."""
        stop = orders.Stop(
            task=order.run.task, run=order.run.run, token=self.term.token
        )
        outcome = await self._outcome(
            "stop", self.workers.stop(self.worker.entry, stop)
        )
        self.dispatcher.settlement.apply_stop_outcome(
            self.worker, order.run, outcome
        )
        self._handle_outcome(outcome)

    async def throttle(self, order: decisions.PaceOrder) -> None:
        """Send a filler task's pace.

        An order that may be lost is sent again with the next report.
        """
        throttle = orders.Throttle(
            task=order.run.task,
            run=order.run.run,
            percent=order.percent,
            token=self.term.token,
        )
        outcome = await self._outcome(
            "throttle", self.workers.throttle(self.worker.entry, throttle)
        )
        if not isinstance(outcome, orders.Accepted):
            order.run.pace_known = False
        self._handle_outcome(outcome)

    async def _outcome(
        self,
        call: str,
        answer: collections.abc.Awaitable[orders.Outcome],
    ) -> orders.Outcome:
        """Return an order's outcome, which an unexpected error leaves open."""
        try:
            return await answer
        except Exception as error:
            self._log_defect(call, error)
            return orders.Unknown(detail=repr(error))

    def _handle_outcome(self, outcome: orders.Outcome) -> None:
        if outcome == orders.Refused(reason=orders.RefusalReason.STALE_TOKEN):
            self.term.end("stale-token")
        self.wake.set()
        self.changed.set()
