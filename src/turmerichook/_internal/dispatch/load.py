"""Measurement of the leader's work and of its backlog.

One log line per second shows whether the leader lacks processor time, waits
for the store, or finds no worker with free capacity.
"""

import collections
import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import customers
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import fleet_room
from turmerichook._internal.dispatch import postponement
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.metrics import registry

REPORT_INTERVAL = datetime.timedelta(seconds=1)
# Time from which on a single piece of work that holds the event loop is
# reported. No lease is renewed and no caller answered meanwhile.
HOLD_REPORTED = 200 * clocks.MILLISECOND
ZERO = datetime.timedelta()


class LoadMeter:
    """Counts the work of a leader between two log lines."""

    def __init__(self, *, metrics: registry.Registry, clock: clocks.Clock):
        self.metrics = metrics
        self.clock = clock
        self.since = clock.monotonic()
        self.processor_since = clock.processor_time()
        self._clear()

    def _clear(self) -> None:
        self.rounds = 0
        self.placements = 0
        self.placed = 0
        self.limited = 0
        self.placing = ZERO
        self.commits = 0
        self.saved = 0
        self.entries = 0
        self.full_commits = 0
        self.committing = ZERO
        self.longest_commit = ZERO
        self.released = 0
        self.waited = ZERO
        self.longest_wait = ZERO
        self.longest_hold = ZERO

    def note_hold(self, work: str, elapsed: datetime.timedelta) -> None:
        """Note for how long a piece of work has held the event loop.

        :param work: kind of work, or the key of the item that was applied.
        """
        self.longest_hold = max(self.longest_hold, elapsed)
        if elapsed >= HOLD_REPORTED:
            self.metrics.observe("loop_held_seconds", elapsed.total_seconds())
            logs.emit(
                events.DispatchEvent.LOOP_HELD,
                work=work,
                held_ms=elapsed // clocks.MILLISECOND,
            )

    def note_round(self, elapsed: datetime.timedelta) -> None:
        """Count one round of the leader."""
        self.rounds += 1
        self.note_hold("round", elapsed)

    def note_placement(
        self, placed: int, limited: bool, elapsed: datetime.timedelta
    ) -> None:
        """Count one placement round.

        :param placed: number of tasks placed.
        :param limited: whether the round stopped at the limit of tasks or of
            jobs.
        """
        self.placements += 1
        self.placed += placed
        self.limited += limited
        self.placing += elapsed
        self.note_hold("placement", elapsed)
        self.metrics.observe("placement_seconds", elapsed.total_seconds())

    def note_commit(
        self,
        *,
        saved: int,
        entries: int,
        left: int,
        elapsed: datetime.timedelta,
    ) -> None:
        """Count one commit.

        :param saved: number of jobs saved.
        :param left: number of changed jobs that did not fit in the commit.
        """
        self.commits += 1
        self.saved += saved
        self.entries += entries
        self.full_commits += left > 0
        self.committing += elapsed
        self.longest_commit = max(self.longest_commit, elapsed)
        self.metrics.observe("commit_seconds", elapsed.total_seconds())

    def note_release(self, waited: datetime.timedelta) -> None:
        """Count one released start.

        :param waited: time between the placement and the release.
        """
        self.released += 1
        self.waited += waited
        self.longest_wait = max(self.longest_wait, waited)
        self.metrics.observe("release_seconds", waited.total_seconds())

    def note_crashes(self, counted: collections.Counter[bool]) -> None:
        """Count crashes of workers that may be due to tasks.

        :param counted: number of crashes, by whether a job was given up.
        """
        for given_up, number in counted.items():
            self.metrics.count("task_crashes_total", number)
            if given_up:
                self.metrics.count("jobs_given_up_total", number)

    def report(
        self,
        *,
        jobs: int,
        waiting: int,
        unsaved: int,
        oldest_unsaved_age: datetime.timedelta,
        orders: int,
    ) -> bool:
        """Set the metrics, and write the log line once per interval.

        :param jobs: number of jobs that are not final.
        :param waiting: number of tasks waiting for a worker.
        :param unsaved: number of jobs whose progress is not durable yet.
        :param oldest_unsaved_age: how long the first of these jobs has waited.
        :param orders: number of orders sent to workers and not answered yet.
        :returns: whether a line was written.
        """
        elapsed = self.clock.monotonic() - self.since
        self.metrics.set("waiting_tasks", waiting)
        self.metrics.set("jobs_live", jobs)
        self.metrics.set("unsaved_jobs", unsaved)
        self.metrics.set("unsaved_seconds", oldest_unsaved_age.total_seconds())
        if elapsed < REPORT_INTERVAL:
            return False
        processor = self.clock.processor_time() - self.processor_since
        logs.emit(
            events.DispatchEvent.LEADER_LOAD,
            period_ms=elapsed // clocks.MILLISECOND,
            processor_ms=processor // clocks.MILLISECOND,
            rounds=self.rounds,
            placements=self.placements,
            placed=self.placed,
            limited=self.limited,
            placing_ms=self.placing // clocks.MILLISECOND,
            commits=self.commits,
            saved=self.saved,
            entries=self.entries,
            full_commits=self.full_commits,
            committing_ms=self.committing // clocks.MILLISECOND,
            longest_commit_ms=self.longest_commit // clocks.MILLISECOND,
            released=self.released,
            release_ms=self.waited
            // max(self.released, 1)
            // clocks.MILLISECOND,
            longest_release_ms=self.longest_wait // clocks.MILLISECOND,
            jobs=jobs,
            waiting=waiting,
            unsaved=unsaved,
            unsaved_ms=oldest_unsaved_age // clocks.MILLISECOND,
            orders=orders,
            longest_hold_ms=self.longest_hold // clocks.MILLISECOND,
        )
        self._reset()
        return True

    def report_room(self, room: fleet_room.FleetRoom) -> None:
        """Set the metrics and write the log line on the workers' room."""
        free = room.largest_free
        self.metrics.set("free_millicores", room.free)
        self.metrics.set("largest_free_millicores", free.millicores)
        self.metrics.set("blocked_steps", room.blocked_steps)
        fields = vars(room) | {"largest_free": free.text()}
        logs.emit(events.DispatchEvent.FLEET_ROOM, **fields)

    def report_customers(self, accounts: customers.Customers) -> None:
        """Set the metrics and write a log line for each delayed customer."""
        self.metrics.clear("customer_delayed_tasks")
        for delay in accounts.delays():
            self.metrics.set(
                "customer_delayed_tasks",
                delay.tasks,
                customer=delay.customer,
                reason=delay.reason.value,
            )
            logs.emit(
                events.DispatchEvent.CUSTOMER_DELAYED,
                customer=delay.customer,
                reason=delay.reason.value,
                tasks=delay.tasks,
                used=accounts.usage.usage(delay.customer).text(),
            )

    def report_postponed(
        self, chosen: postponement.Postponement, now: datetime.timedelta
    ) -> None:
        """Set the metrics and write a log line on postponed jobs."""
        for kind, jobs in chosen.by_kind.items():
            cores = chosen.rates[kind].cores(now)
            self.metrics.set("postponed_jobs", len(jobs), kind=kind.value)
            self.metrics.set("work_rate_cores", cores or 0, kind=kind.value)
            if jobs:
                logs.emit(
                    events.DispatchEvent.JOBS_POSTPONED,
                    kind=kind.value,
                    jobs=len(jobs),
                    cores=round(cores or 0, 1),
                )

    def _reset(self) -> None:
        self.since = self.clock.monotonic()
        self.processor_since = self.clock.processor_time()
        self._clear()
