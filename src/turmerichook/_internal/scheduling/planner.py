"""Updates a zone's workloads when configuration or job records change."""

import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal.scheduling import job_board
from turmerichook._internal.scheduling import jobs
from turmerichook._internal.scheduling import journal as journals
from turmerichook._internal.scheduling import journal_store
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import state as states


class Planner:
    """Submits new workloads, and withdraws those that are removed."""

    def __init__(
        self,
        *,
        zone: ids.ZoneId,
        state: states.ZoneTasks,
        journal: journal_store.Journal,
        board: job_board.JobBoard,
        clock: clocks.Clock,
    ):
        self.zone = zone
        self.state = state
        self.journal = journal
        self.board = board
        self.clock = clock
        # Configuration by which services were planned last, and the
        # services that kept their replicas in a closed zone then.
        self.planned_services: tuple[site.Configuration, frozenset] | None = (
            None
        )
        self.services: set[str] = set()
        # Change count of the job board, and the jobs that were moving to
        # another zone, when jobs were planned last.
        self.planned_jobs: tuple | None = None
        self.jobs: set[ids.JobId] = set()

    def plan_services(
        self,
        configuration: site.Configuration,
        kept_services: frozenset[ids.ServiceId],
        now: datetime.timedelta,
    ) -> list[states.StopCommand]:
        """Submit the configured services; return the stops that follow.

        :param kept_services: services that keep their replicas in a closed
            zone.
        """
        # Compare by identity, since comparing large configurations is slow.
        if (
            self.planned_services is not None
            and self.planned_services[0] is configuration
        ):
            if self.planned_services[1] == kept_services:
                return []
        else:
            self.state.configure(configuration)
        self.planned_services = (configuration, kept_services)
        wanted = plan.service_work(self.zone, configuration)
        keys = {work.key for work in wanted}
        stops: list[states.StopCommand] = []
        for key in sorted(self.services - keys):
            if plan.service_of(ids.TaskId(key)) not in kept_services:
                self.services.discard(key)
                stops += self.state.withdraw(key, now)
        pending_keys = self._keys_with_pending_entries()
        for work in wanted:
            if work.key in pending_keys and work.key not in self.state.groups:
                self.planned_services = None
                continue
            self.services.add(work.key)
            stops += self.state.submit(work, self.journal.state, now)
        return stops

    def plan_jobs(self, now: datetime.timedelta) -> list[states.StopCommand]:
        """Submit the jobs of the zone; return the stops that follow."""
        key = (self.board.changes, frozenset(self.journal.state.moving))
        if key == self.planned_jobs:
            return []
        self.planned_jobs = key
        wanted = self.board.wanted()
        stops: list[states.StopCommand] = []
        for job in sorted(self.jobs - wanted.keys()):
            self.jobs.discard(job)
            stops += self.state.withdraw(plan.job_key(job), now)
        pending_keys = self._keys_with_pending_entries()
        for job, record in wanted.items():
            if job in self.jobs:
                continue
            if plan.job_key(job) in pending_keys:
                self.planned_jobs = None
                continue
            self.jobs.add(job)
            age = jobs.age(record.accepted, self.clock.now())
            work = plan.job_work(record.spec, now - age)
            stops += self.state.submit(work, self.journal.state, now)
        return stops

    def _keys_with_pending_entries(self) -> set[str]:
        """Return the keys of workloads with entries not yet in the journal.

        The journal's facts about their tasks are out of date. A workload that
        was withdrawn must not be submitted again from these facts, since the
        end of one of its attempts may still have to be written.
        """
        return {
            plan.split(entry.task)[0]
            for entry in self.journal.pending
            if isinstance(entry, journals.TASK_ENTRIES)
        }
