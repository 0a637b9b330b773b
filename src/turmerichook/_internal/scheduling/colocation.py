"""Facade of the modules that co-locate services and batch work.

Its inputs are events (starts and ends of attempts, usage reports, the host
list), its outputs are typed decisions and advice for placement. The module
does no I/O; readings of the clock are passed as arguments.
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

FreeCapacity = collections.abc.Callable[[ids.HostId], resources.Resources]


class Outcome(enum.Enum):
    """How an attempt ended."""

    FINISHED = "finished"
    FAILED = "failed"
    # Stopped, refused or lost, which counts neither for nor against the job
    # and the host.
    STOPPED = "stopped"


class Colocation:
    """Learned and current state of co-location in one zone.

    Each owner of the zone builds this state anew.
    """

    def __init__(self):
        self.tracker = tracking.Tracker()
        self.sizes = sizing.Sizes()
        self.model = interference.Interference()
        self.health = health.Health()
        self.mitigation = relief.Mitigation(
            tracker=self.tracker, model=self.model
        )
        self.adviser = advice.Adviser(
            tracker=self.tracker,
            model=self.model,
            health=self.health,
            mitigation=self.mitigation,
        )
        self.reports = reports.Reports(
            tracker=self.tracker,
            sizes=self.sizes,
            model=self.model,
            adviser=self.adviser,
            mitigation=self.mitigation,
        )
        self.largest_amounts = resources.NOTHING
        self.pending: list[decisions.Decision] = []
        self.reported_at_fault: set[ids.JobId] = set()

    # State of the zone

    def configure(self, configuration: site.Configuration) -> None:
        """Apply the latency targets and weights of a configuration."""
        self.adviser.weight = configuration.weights.interference
        self.adviser.targets = {
            classes.TaskClass(f"service/{name}"): service.latency_target
            for name, service in configuration.services.items()
            if service.latency_target is not None
        }

    def set_hosts(self, listing: tuple[hosts.Host, ...]) -> None:
        """Apply the host list."""
        names = {host.host for host in listing}
        self.health.set_hosts(names)
        for host in listing:
            self.tracker.set_capacity(host.host, host.capacity)
        for name in self.tracker.hosts.keys() - names:
            self.tracker.forget_host(name)
        amounts = [host.capacity for host in listing]
        self.largest_amounts = resources.Resources(
            millicores=max((a.millicores for a in amounts), default=0),
            memory_mib=max((a.memory_mib for a in amounts), default=0),
            accelerators=max((a.accelerators for a in amounts), default=0),
        )

    def record_placement(
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
        """Record that an attempt is on a host.

        :param amount: resources that the host has committed to the attempt.
        :param resumed: whether the attempt started from a checkpoint.
        :param adopted: whether another owner started the attempt. A throttle
            that the other owner set may still apply and is lifted.
        """
        earlier = self.tracker.tasks.get(spec.task)
        if earlier is not None:
            # The end of the earlier attempt was not reported. If that attempt
            # was a probe of its host, the probe has to end.
            self.record_end(spec.task, earlier.attempt, Outcome.STOPPED, now)
        tracked = tracking.TrackedAttempt(
            spec=spec,
            task_class=classes.class_of(spec),
            attempt=attempt,
            host=host,
            amount=amount,
            since=now,
            resumed=resumed or adopted,
        )
        if tracked.batch:
            tracked.trial = self.adviser.is_trial(spec, host, now)
            self.health.started(host, spec.task)
        self.tracker.add(tracked, now)
        if adopted and tracked.batch:
            self.pending.append(
                decisions.Throttle(
                    host=host, task=spec.task, attempt=attempt, share=1.0
                )
            )

    def record_end(
        self,
        task: ids.TaskId,
        attempt: ids.Attempt,
        outcome: Outcome,
        now: datetime.timedelta,
    ) -> None:
        """Record that an attempt has left its host; repeats are ignored."""
        tracked = self.tracker.current(task, attempt)
        if tracked is None:
            return
        self.tracker.remove(task, now)
        self.mitigation.denials_reported.discard(task)
        if not tracked.batch:
            return
        match outcome:
            case Outcome.FINISHED:
                self._finished(tracked, now)
            case Outcome.FAILED:
                self._failed(tracked, now)
            case Outcome.STOPPED:
                self.health.stopped(tracked.host, task)

    # Usage reports and decisions

    def process_usage(
        self,
        host: ids.HostId,
        usage: tuple[workers.TaskUsage, ...],
        now: datetime.timedelta,
    ) -> None:
        """Process the usage reports of one host."""
        self.pending += self.reports.process(host, usage, now)

    def decide(
        self, now: datetime.timedelta, free: FreeCapacity
    ) -> list[decisions.Decision]:
        """Return the decisions that are due since the last call.

        :param free: returns the resources that a host may still commit. The
            caller applies the decisions before any other commitment.
        """
        self._record_long_runs(now)
        self.pending += self.mitigation.review(now)
        decisions_due, self.pending = self.pending, []
        granted: dict[ids.HostId, resources.Resources] = {}
        for tracked in self.tracker.tasks.values():
            if not tracked.usage_reported and tracked.stop_requested is None:
                continue
            host_free = free(tracked.host)
            granted_on_host = granted.get(tracked.host, resources.NOTHING)
            resized = self._check_commitment(
                tracked, host_free.minus(granted_on_host), now
            )
            if isinstance(resized, decisions.Resize):
                growth = resized.after.minus(resized.before)
                granted[tracked.host] = granted_on_host.plus(growth)
            if resized is not None:
                decisions_due.append(resized)
        return decisions_due

    # Advice for placement

    def size(self, spec: plan.TaskSpec) -> resources.Resources:
        """Return the resources to commit to a new attempt of a task."""
        task_class = classes.class_of(spec)
        return self.sizes.size(
            task_class, spec.resources, self.largest_amounts
        )

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
        """Return the penalty of a host for a task, or why it is refused."""
        return self.adviser.advise(spec, amount, host, now)

    # Details

    def _finished(
        self, tracked: tracking.TrackedAttempt, now: datetime.timedelta
    ) -> None:
        job = plan.job_of(tracked.spec.task)
        self._queue_change(
            self.health.succeeded(tracked.host, tracked.spec.task, job)
        )
        if not tracked.resumed and tracked.last_throttled is None:
            self.sizes.finished(
                tracked.task_class, tracked.spec.run_time, now - tracked.since
            )

    def _failed(
        self, tracked: tracking.TrackedAttempt, now: datetime.timedelta
    ) -> None:
        job = plan.job_of(tracked.spec.task)
        change = self.health.failed(
            tracked.host,
            tracked.spec.task,
            job,
            ran=now - tracked.since,
            now=now,
        )
        self._queue_change(change)
        at_fault = self.health.job_at_fault(job)
        if at_fault and job not in self.reported_at_fault:
            self.pending.append(decisions.JobAtFault(job=job))
            self.reported_at_fault.add(job)
        self.reported_at_fault &= self.health.jobs.keys()

    def _queue_change(self, change: health.Change | None) -> None:
        if change is not None:
            self.pending.append(change)

    def _record_long_runs(self, now: datetime.timedelta) -> None:
        for tracked in self.tracker.tasks.values():
            if (
                tracked.success_recorded
                or now - tracked.since < health.QUICK_FAILURE_TIME
            ):
                continue
            tracked.success_recorded = True
            if tracked.batch:
                job = plan.job_of(tracked.spec.task)
                change = self.health.succeeded(
                    tracked.host, tracked.spec.task, job
                )
                self._queue_change(change)

    def _check_commitment(
        self,
        tracked: tracking.TrackedAttempt,
        free: resources.Resources,
        now: datetime.timedelta,
    ) -> decisions.Decision | None:
        if tracked.stop_requested is not None:
            return self.mitigation.retry_stop(tracked, now)
        tracked.usage_reported = False
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
                # An eviction budget may deny the eviction for now, so the
                # commitment is checked again at the next decision.
                tracked.usage_reported = True
                return self.mitigation.evict(
                    tracked, now, decisions.StopReason.OUTGROWN
                )
            case sizing.Outgrown():
                tracked.usage_reported = True
                return self.mitigation.evict_for_service(tracked.host, now)
        return None
