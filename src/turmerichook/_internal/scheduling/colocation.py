"""Co-location of services and batch work: the facade of its modules.

Events come in (starts, ends, usage reports, the host list), typed decisions
and advice for placement go out. There is no I/O; readings of the clock are
passed in.
"""

import collections.abc
import datetime
import enum

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal.providers import hosts
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import advice
from turmerichook._internal.scheduling import classes
from turmerichook._internal.scheduling import health
from turmerichook._internal.scheduling import interference
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import relief
from turmerichook._internal.scheduling import reports
from turmerichook._internal.scheduling import sharing_decisions as decisions
from turmerichook._internal.scheduling import sizing
from turmerichook._internal.scheduling import tracking

Free = collections.abc.Callable[[ids.HostId], resources.Resources]


class Outcome(enum.Enum):
    """How an attempt ended."""

    FINISHED = "finished"
    FAILED = "failed"
    # Stopped, refused or lost; it says nothing about job or host.
    STOPPED = "stopped"


class Colocation:
    """Everything that one zone's owner knows about sharing hosts."""

    def __init__(self):
        self.tracker = tracking.Tracker()
        self.sizes = sizing.Sizes()
        self.model = interference.Interference()
        self.health = health.Health()
        self.relief = relief.Relief(tracker=self.tracker, model=self.model)
        self.adviser = advice.Adviser(
            tracker=self.tracker,
            model=self.model,
            health=self.health,
            relief=self.relief,
        )
        self.reports = reports.Reports(
            tracker=self.tracker,
            sizes=self.sizes,
            model=self.model,
            adviser=self.adviser,
            relief=self.relief,
        )
        self.largest = resources.NOTHING
        self.pending: list[decisions.Decision] = []
        self.blamed: set[ids.JobId] = set()

    # What is known of the zone

    def configure(self, configuration: site.Configuration) -> None:
        """Take over latency targets and weights."""
        self.adviser.weight = configuration.weights.interference
        self.adviser.targets = {
            classes.TaskClass(f"service/{name}"): service.latency_target
            for name, service in configuration.services.items()
            if service.latency_target is not None
        }

    def set_hosts(self, listing: tuple[hosts.Host, ...]) -> None:
        """Take over the host list."""
        names = {host.host for host in listing}
        self.health.set_hosts(names)
        for host in listing:
            self.tracker.set_capacity(host.host, host.capacity)
        for name in self.tracker.hosts.keys() - names:
            self.tracker.forget_host(name)
        amounts = [host.capacity for host in listing]
        self.largest = resources.Resources(
            millicores=max((a.millicores for a in amounts), default=0),
            memory_mib=max((a.memory_mib for a in amounts), default=0),
            accelerators=max((a.accelerators for a in amounts), default=0),
        )

    def placed(
        self,
        spec: plan.TaskSpec,
        attempt: ids.Attempt,
        host: ids.HostId,
        amount: resources.Resources,
        *,
        resumed: bool,
        now: datetime.timedelta,
        adopted: bool = False,
    ) -> None:
        """Note that an attempt is on a host.

        :param amount: what the host has committed to it.
        :param adopted: whether another owner started it; a throttle of that
            owner may still hold and is lifted.
        """
        earlier = self.tracker.tasks.get(spec.task)
        if earlier is not None:
            # Its end was not told; a probe must not stay open.
            self.ended(spec.task, earlier.attempt, Outcome.STOPPED, now)
        tracked = tracking.Tracked(
            spec=spec,
            task_class=classes.class_of(spec),
            attempt=attempt,
            host=host,
            amount=amount,
            since=now,
            resumed=resumed or adopted,
        )
        if tracked.batch:
            tracked.trial = self.adviser.unknown(spec, host, now)
            self.health.started(host, spec.task)
        self.tracker.add(tracked, now)
        if adopted and tracked.batch:
            self.pending.append(
                decisions.Throttle(
                    host=host, task=spec.task, attempt=attempt, share=1.0
                )
            )

    def ended(
        self,
        task: ids.TaskId,
        attempt: ids.Attempt,
        outcome: Outcome,
        now: datetime.timedelta,
    ) -> None:
        """Note that an attempt has left its host; repeats are ignored."""
        tracked = self.tracker.current(task, attempt)
        if tracked is None:
            return
        self.tracker.remove(task, now)
        self.relief.denied.discard(task)
        if not tracked.batch:
            return
        match outcome:
            case Outcome.FINISHED:
                self._finished(tracked, now)
            case Outcome.FAILED:
                self._failed(tracked, now)
            case Outcome.STOPPED:
                self.health.stopped(tracked.host, task)

    # Reports

    def usage(
        self,
        host: ids.HostId,
        usage: tuple[workers.TaskUsage, ...],
        now: datetime.timedelta,
    ) -> None:
        """Learn from the usage reports of one host."""
        self.pending += self.reports.take(host, usage, now)

    def decide(
        self, now: datetime.timedelta, free: Free
    ) -> list[decisions.Decision]:
        """Return what follows from all that was noted since the last call.

        :param free: what each host may still commit. The caller applies the
            decisions before it commits anything else.
        """
        self._note_good_work(now)
        self.pending += self.relief.review(now)
        found, self.pending = self.pending, []
        granted: dict[ids.HostId, resources.Resources] = {}
        for tracked in self.tracker.tasks.values():
            if not tracked.reported and tracked.stop_asked is None:
                continue
            room = free(tracked.host)
            taken = granted.get(tracked.host, resources.NOTHING)
            resized = self._correct(tracked, room.minus(taken), now)
            if isinstance(resized, decisions.Resize):
                growth = resized.after.minus(resized.before)
                granted[tracked.host] = taken.plus(growth)
            if resized is not None:
                found.append(resized)
        return found

    # Advice for placement

    def size(self, spec: plan.TaskSpec) -> resources.Resources:
        """Return what a new attempt of a task needs."""
        task_class = classes.class_of(spec)
        return self.sizes.size(task_class, spec.resources, self.largest)

    def run_time(self, spec: plan.TaskSpec) -> datetime.timedelta:
        """Return the expected run time of a task from its beginning."""
        return self.sizes.run_time(classes.class_of(spec), spec.run_time)

    def advise(
        self,
        spec: plan.TaskSpec,
        amount: resources.Resources,
        host: ids.HostId,
        now: datetime.timedelta,
    ) -> advice.Advice:
        """Return the penalty of a host for a task, or why it may not."""
        return self.adviser.advise(spec, amount, host, now)

    # Details

    def _finished(
        self, tracked: tracking.Tracked, now: datetime.timedelta
    ) -> None:
        job = plan.job_of(tracked.spec.task)
        self._note(self.health.worked(tracked.host, tracked.spec.task, job))
        if not tracked.resumed and tracked.throttled is None:
            self.sizes.finished(
                tracked.task_class, tracked.spec.run_time, now - tracked.since
            )

    def _failed(
        self, tracked: tracking.Tracked, now: datetime.timedelta
    ) -> None:
        job = plan.job_of(tracked.spec.task)
        change = self.health.failed(
            tracked.host,
            tracked.spec.task,
            job,
            ran=now - tracked.since,
            now=now,
        )
        self._note(change)
        at_fault = self.health.job_at_fault(job)
        if at_fault and job not in self.blamed:
            self.pending.append(decisions.JobAtFault(job=job))
            self.blamed.add(job)
        self.blamed &= self.health.jobs.keys()

    def _note(self, change: health.Change | None) -> None:
        if change is not None:
            self.pending.append(change)

    def _note_good_work(self, now: datetime.timedelta) -> None:
        for tracked in self.tracker.tasks.values():
            if tracked.worked or now - tracked.since < health.QUICK:
                continue
            tracked.worked = True
            if tracked.batch:
                job = plan.job_of(tracked.spec.task)
                change = self.health.worked(
                    tracked.host, tracked.spec.task, job
                )
                self._note(change)

    def _correct(
        self,
        tracked: tracking.Tracked,
        free: resources.Resources,
        now: datetime.timedelta,
    ) -> decisions.Decision | None:
        if tracked.stop_asked is not None:
            return self.relief.ask_again(tracked, now)
        tracked.reported = False
        correction = sizing.correct(
            declared=tracked.spec.resources,
            committed=tracked.amount,
            free=free,
            usage=tracked.usage,
        )
        match correction:
            case sizing.Grow(amount=amount):
                before = tracked.amount
                self.tracker.resize(tracked, amount, now)
                return decisions.Resize(
                    host=tracked.host,
                    task=tracked.spec.task,
                    attempt=tracked.attempt,
                    before=before,
                    after=amount,
                )
            case sizing.Outgrown() if tracked.batch:
                # A budget may refuse now, so it is checked again.
                tracked.reported = True
                return self.relief.evict(
                    tracked, now, decisions.StopReason.OUTGROWN
                )
            case sizing.Outgrown():
                tracked.reported = True
                return self.relief.make_room(tracked.host, now)
        return None
