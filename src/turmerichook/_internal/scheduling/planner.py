"""Keeps a zone's wanted work in step with configuration and job records."""

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
    """Submits and withdraws workloads as they come and go."""

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
        # The configuration of the planned services, and those kept then.
        self.planned: tuple[site.Configuration, frozenset] | None = None
        self.services: set[str] = set()
        # State of the job board at which the jobs were planned last.
        self.planned_jobs: tuple | None = None
        self.jobs: set[ids.JobId] = set()

    def plan_services(
        self,
        configuration: site.Configuration,
        kept: frozenset[ids.ServiceId],
        now: datetime.timedelta,
    ) -> list[states.StopCommand]:
        """Want the services' replicas; return what has to stop.

        :param kept: services that keep their replicas in a closed zone.
        """
        # A configuration is compared by identity, since it may be large.
        if self.planned is not None and self.planned[0] is configuration:
            if self.planned[1] == kept:
                return []
        else:
            self.state.configure(configuration)
        self.planned = (configuration, kept)
        wanted = plan.service_work(self.zone, configuration)
        keys = {work.key for work in wanted}
        stops: list[states.StopCommand] = []
        for key in sorted(self.services - keys):
            if plan.service_of(ids.TaskId(key)) not in kept:
                self.services.discard(key)
                stops += self.state.withdraw(key, now)
        unsettled = self._unsettled()
        for work in wanted:
            if work.key in unsettled and work.key not in self.state.groups:
                self.planned = None
                continue
            self.services.add(work.key)
            stops += self.state.submit(work, self.journal.facts, now)
        return stops

    def plan_jobs(self, now: datetime.timedelta) -> list[states.StopCommand]:
        """Want the zone's jobs; return what has to stop."""
        key = (self.board.changes, frozenset(self.journal.facts.moving))
        if key == self.planned_jobs:
            return []
        self.planned_jobs = key
        wanted = self.board.active()
        stops: list[states.StopCommand] = []
        for job in sorted(self.jobs - wanted.keys()):
            self.jobs.discard(job)
            stops += self.state.withdraw(plan.job_key(job), now)
        unsettled = self._unsettled()
        for job, record in wanted.items():
            if job in self.jobs:
                continue
            if plan.job_key(job) in unsettled:
                self.planned_jobs = None
                continue
            self.jobs.add(job)
            age = jobs.age(record.accepted, self.clock.now())
            work = plan.job_work(record.spec, now - age)
            stops += self.state.submit(work, self.journal.facts, now)
        return stops

    def _unsettled(self) -> set[str]:
        """Return the workloads that the journal's facts are behind for.

        One that was withdrawn must not be planned again from them, since
        the end of an attempt may still be pending.
        """
        return {
            plan.split(entry.task)[0]
            for entry in self.journal.pending
            if isinstance(entry, journals.TASK_ENTRIES)
        }
