"""Runs the leader for one term.

Recovers the stored state, follows the store, holds placement rounds and sends
orders to the workers.
"""

import asyncio
import collections.abc
import datetime
import typing

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import advising
from turmerichook._internal.dispatch import commits
from turmerichook._internal.dispatch import committer as committers
from turmerichook._internal.dispatch import decisions
from turmerichook._internal.dispatch import dispatcher as dispatchers
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import feeds
from turmerichook._internal.dispatch import housekeeping
from turmerichook._internal.dispatch import inherited_leases
from turmerichook._internal.dispatch import leadership
from turmerichook._internal.dispatch import load
from turmerichook._internal.dispatch import orders
from turmerichook._internal.dispatch import planning
from turmerichook._internal.dispatch import queue_lengths
from turmerichook._internal.dispatch import session as sessions
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.metrics import registry
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.models import policy as policies
from turmerichook._internal import pauses
from turmerichook._internal.storage import interface
from turmerichook._internal.workflow import model
from turmerichook import exceptions

# Shortest time between two rounds, so that changes that arrive close together
# share a commit.
ROUND_INTERVAL_MIN = datetime.timedelta(milliseconds=25)
# Longest time between two rounds, so that work that only depends on time, such
# as repeated stops and expired leases, is done without any change.
ROUND_INTERVAL_MAX = datetime.timedelta(milliseconds=200)
# Largest number of tasks placed before one commit; others wait for the next.
PLACED_TASKS_MAX = 200
# Time after which a round leaves the steps that it has not checked to the next
# one, so that the lease is renewed and workers' reports are taken in between.
PLACEMENT_TIME_MAX = datetime.timedelta(milliseconds=100)
# Time given to outstanding orders when the term ends.
ORDER_COMPLETION_TIMEOUT_S = 0.3


class Leader:
    """The work of this process as leader during one term."""

    def __init__(
        self,
        *,
        term: leadership.Term,
        storage: interface.Storage,
        workers: orders.Workers,
        advisor: orders.Advisor | None = None,
        registry_format: feeds.RegistryFormat,
        configuration: deployment.Configuration,
        closed_zones: collections.abc.Collection[ids.ZoneId],
        timing: deployment.Timing,
        metrics: registry.Registry,
        clock: clocks.Clock,
        policy: policies.Policy = policies.DEFAULT,
    ):
        self.term = term
        self.storage = storage
        self.workers = workers
        self.advisor = advisor
        self.timing = timing
        self.clock = clock
        self.meter = load.LoadMeter(metrics=metrics, clock=clock)
        self.commit_log = commits.CommitLog(
            storage=storage, term=term, clock=clock
        )
        self.dispatcher = dispatchers.Dispatcher(
            timing=timing, configuration=configuration, policy=policy
        )
        self.inherited_leases = inherited_leases.InheritedLeases(
            storage=storage,
            term=term,
            commit_log=self.commit_log,
            run_tracker=self.dispatcher.run_tracker,
            lease_max=timing.lease_max,
            clock=clock,
        )
        self.dispatcher.closed_zones = set(closed_zones)
        self.changed = asyncio.Event()
        self.sessions: dict[ids.WorkerId, sessions.Session] = {}
        self.session_tasks: dict[ids.WorkerId, asyncio.Task] = {}
        self.feeds = feeds.Feeds(
            storage=storage,
            registry_format=registry_format,
            dispatcher=self.dispatcher,
            clock=clock,
            changed=self.changed,
            on_worker=self._ensure_session,
            held=self.meter.note_hold,
        )
        self.housekeeping = housekeeping.Housekeeping(
            final=self.dispatcher.final,
            orphaned_cancels=self.feeds.orphaned_cancels,
            early_cancels=self.feeds.early_cancels,
            state_retention=timing.state_retention,
            clock=clock,
        )
        self.committer = committers.Committer(
            dispatcher=self.dispatcher,
            commit_log=self.commit_log,
            inherited_leases=self.inherited_leases,
            place=self._place,
            removals=self.housekeeping.removals,
            send=self._send,
            wake_session=self._wake_session,
            changed=self.changed,
            meter=self.meter,
            clock=clock,
        )
        self.queue_lengths = queue_lengths.QueueLengths(
            storage=storage,
            term=term,
            dispatcher=self.dispatcher,
            metrics=metrics,
            clock=clock,
        )
        self.tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Act as leader until the term ends."""
        try:
            await self._open_log()
            self.inherited_leases.open()
            self._spawn(self.inherited_leases.run())
            await self.feeds.recover(
                self.term, jobs_read=self._restore_entries
            )
            self._call_silent_workers()
            self._log_recovered()
            self._spawn(self.feeds.inbox.run())
            self._spawn(self.feeds.registry.run())
            self._spawn(self.queue_lengths.run())
            if self.advisor is not None:
                self._spawn(self._advising(self.advisor).run())
            self._spawn(self.committer.run())
            await self._rounds()
        finally:
            await self._close()

    async def _open_log(self) -> None:
        while not self.term.ended.is_set():
            try:
                await self.commit_log.open()
                return
            except exceptions.StoreError as error:
                logs.emit(
                    events.DispatchEvent.RECOVERY_FAILED, error=str(error)
                )
                await self.clock.sleep(commits.RETRY_PAUSE)

    def _log_recovered(self) -> None:
        inherited = self.inherited_leases
        remaining = inherited.remaining()
        logs.emit(
            events.DispatchEvent.RECOVERED,
            epoch=self.term.token,
            jobs=len(self.dispatcher.jobs),
            final=len(self.dispatcher.final),
            workers=len(self.dispatcher.workers),
            inherited_until_ms=round(remaining / clocks.MILLISECOND),
            open_terms=inherited.open_terms,
            earlier_terms_recorded=inherited.earlier_terms_recorded,
        )

    def _restore_entries(self) -> None:
        """Add what former leaders have stored of silent workers' entries.

        The registry may already list another incarnation of a worker that
        has shut down as planned. That it was draining must be known by then.
        """
        for worker_id, silent in self.inherited_leases.inherited.items():
            if silent.address:
                self.dispatcher.restore_entry(
                    worker_id, silent.address, draining=silent.draining
                )

    def _call_silent_workers(self) -> None:
        """Open sessions with workers that are no longer registered.

        A worker that lives keeps its runs. If another incarnation answers at
        its address, they have certainly ended.
        """
        for worker_id in self.inherited_leases.inherited:
            worker = self.dispatcher.workers.get(worker_id)
            if worker is not None and worker.entry is not None:
                self._ensure_session(worker_id)

    async def _close(self) -> None:
        outstanding_orders = {t for t in self.tasks if t.get_name() == "order"}
        if outstanding_orders:
            await asyncio.wait(
                outstanding_orders, timeout=ORDER_COMPLETION_TIMEOUT_S
            )
        for task in list(self.tasks):
            task.cancel()
        for worker in self.sessions:
            self.workers.forget(worker)
        if self.advisor is not None:
            self.advisor.close()
        logs.emit(
            events.DispatchEvent.LEADERSHIP_LOST,
            epoch=self.term.token,
            reason=self.term.end_reason,
        )

    def configure(
        self,
        configuration: deployment.Configuration,
        closed_zones: collections.abc.Collection[ids.ZoneId],
    ) -> None:
        """Apply a newer configuration or a changed set of closed zones."""
        self.dispatcher.configure(configuration)
        self.dispatcher.closed_zones = set(closed_zones)
        self.changed.set()

    def _advising(self, advisor: orders.Advisor) -> advising.AdvisorLoop:
        return advising.AdvisorLoop(
            advisor=advisor,
            dispatcher=self.dispatcher,
            feeds=self.feeds,
            changed=self.changed,
            clock=self.clock,
        )

    def _ensure_session(self, worker_id: ids.WorkerId) -> None:
        worker = self.dispatcher.workers[worker_id]
        existing = self.sessions.get(worker_id)
        if existing is not None and existing.worker is worker:
            return
        session = sessions.Session(
            worker=worker,
            dispatcher=self.dispatcher,
            workers=self.workers,
            term=self.term,
            timing=self.timing,
            clock=self.clock,
            changed=self.changed,
        )
        self.sessions[worker_id] = session
        if existing is not None:
            # The worker was forgotten meanwhile. The former session takes all
            # runs that the worker lists now for strays.
            self.session_tasks[worker_id].cancel()
        self.session_tasks[worker_id] = self._spawn(session.run())

    def plan(self, spec: model.JobSpec) -> planning.JobPlan | None:
        """Return what would become of a job now, without accepting it.

        None if the leader must not rely on its state now.
        """
        if not self.term.has_authority():
            return None
        return planning.plan_job(
            self.dispatcher,
            spec,
            now=self.clock.uptime(),
            wall=self.feeds.wall(),
        )

    # Rounds

    async def _rounds(self) -> None:
        ended = asyncio.ensure_future(self.term.ended.wait())
        try:
            while not self.term.ended.is_set():
                await self.clock.wait_event(self.changed, ROUND_INTERVAL_MAX)
                self.changed.clear()
                self._round()
                await asyncio.wait(
                    (ended,), timeout=ROUND_INTERVAL_MIN.total_seconds()
                )
        finally:
            ended.cancel()

    def _round(self) -> None:
        """Do the work that needs no commit, and trigger the next commit."""
        began = self.clock.monotonic()
        now = self.clock.uptime()
        dispatcher = self.dispatcher
        dispatcher.open_all_due(self.feeds.wall(), now)
        dispatcher.watchdog.tick(now)
        self._send_orders()
        self.committer.wake.set()
        self.meter.note_round(self.clock.monotonic() - began)
        self.meter.note_crashes(dispatcher.run_tracker.crash_counts.pop())
        reported = self.meter.report(
            jobs=len(dispatcher.jobs),
            waiting=len(dispatcher.waiting),
            unsaved=len(dispatcher.unsaved_jobs),
            oldest_unsaved_age=dispatcher.run_tracker.oldest_unsaved_age(now),
            orders=len(self.tasks),
        )
        if reported:
            self.meter.report_room(dispatcher.fleet_room(now))
            self.meter.report_customers(dispatcher.run_tracker.customers)
            postponement = dispatcher.waiting.postponement
            self.meter.report_postponed(postponement, now)

    def _place(self, jobs_limit: int) -> None:
        """Place waiting tasks of at most ``jobs_limit`` jobs."""
        if not self.term.has_authority():
            return
        dispatcher = self.dispatcher
        began = self.clock.monotonic()
        time_limit = pauses.TimeLimit(self.clock, PLACEMENT_TIME_MAX)
        placed = dispatcher.place(
            self.clock.uptime(),
            self.feeds.wall(),
            PLACED_TASKS_MAX,
            jobs_limit,
            exhausted=time_limit.passed,
        )
        limited = (
            placed >= PLACED_TASKS_MAX
            or len(dispatcher.run_tracker.unreleased) >= jobs_limit
            or time_limit.passed()
        )
        if limited:
            self.changed.set()
        self.meter.note_placement(
            placed, limited, self.clock.monotonic() - began
        )

    def _wake_session(self, worker: ids.WorkerId) -> None:
        session = self.sessions.get(worker)
        if session is not None:
            session.wake.set()

    def _send_orders(self) -> None:
        for order in self.dispatcher.pop_orders():
            self._send(order)

    def _send(self, order: decisions.Order) -> None:
        session = self.sessions.get(order.worker)
        if session is None or session.worker.entry is None:
            return
        match order:
            case decisions.StartOrder():
                coroutine = session.start(order)
            case decisions.StopOrder():
                coroutine = session.stop(order)
            case decisions.PaceOrder():
                coroutine = session.throttle(order)
        session.wake.set()
        self._spawn(coroutine, name="order")

    def _spawn(
        self,
        coroutine: collections.abc.Coroutine[typing.Any, typing.Any, None],
        name: str = "",
    ) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        # An exception here is a defect. The leader cannot work without the
        # task that has failed, so the term ends.
        logs.emit(
            events.DispatchEvent.LEADER_FAILED, error=repr(task.exception())
        )
        self.term.end(leadership.FAILED)
