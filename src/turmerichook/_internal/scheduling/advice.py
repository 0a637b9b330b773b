"""What co-location says about placing a task on a host."""

import dataclasses
import datetime
import math

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import classes
from turmerichook._internal.scheduling import health as healths
from turmerichook._internal.scheduling import interference
from turmerichook._internal.scheduling import ladder
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import relief as reliefs
from turmerichook._internal.scheduling import tracking

# Deviations added to a predicted slowdown, by the service's urgency. A batch
# class that is unknown next to an urgent service is so taken for a bad one.
CONFIDENCE = {
    site.Urgency.URGENT: 2.0,
    site.Urgency.NORMAL: 1.0,
    site.Urgency.DEFERRABLE: 0.0,
}
# A service may be predicted to come this close to its target.
MARGIN = 0.92
# Slowdown allowed next to a service that has reported no latency yet.
UNMEASURED_SLOWDOWN = math.log(1.1)
# An unknown class is tried only where services have this much room.
TRIAL_RATIO = 0.8
TRIAL_TIME = datetime.timedelta(seconds=30)
# Latency reports older than this say nothing about the present.
STALE = datetime.timedelta(seconds=60)
# A new service that has reported nothing for this long may never report, for
# example since nobody calls it yet; batch does not wait for it any longer.
FIRST_REPORT = datetime.timedelta(seconds=15)
# Variances and trials change slowly; a view of a host is kept this long.
VIEW_TIME = datetime.timedelta(seconds=2)
# Penalties in units of placement score, where a whole host is about 1.
FAILED_BEFORE = 0.5
SUSPICION = 1.0
# A larger penalty would keep batch from a suspected host, so that it would
# neither be quarantined nor cleared.
SUSPICION_OF_BATCH = 0.05
NOISY = 1.0

Advice = float | outcomes.Absent


class Adviser:
    """Reads the learned state; changes nothing."""

    def __init__(
        self,
        *,
        tracker: tracking.Tracker,
        model: interference.Interference,
        health: healths.Health,
        relief: reliefs.Relief,
    ):
        self.tracker = tracker
        self.model = model
        self.health = health
        self.relief = relief
        self.targets: dict[classes.TaskClass, datetime.timedelta] = {}
        self.weight = 1.0

    def advise(
        self,
        spec: plan.TaskSpec,
        amount: resources.Resources,
        host: ids.HostId,
        now: datetime.timedelta,
    ) -> Advice:
        """Return a penalty to subtract from a host's score, or a refusal."""
        batch = spec.kind is workers.TaskKind.BATCH
        if not self.health.may_start(host, now, probe=batch):
            return outcomes.Absent(reason=outcomes.Reason.HOST_QUARANTINED)
        suspicion = self.health.suspicion(host)
        penalty = (SUSPICION_OF_BATCH if batch else SUSPICION) * suspicion
        tasks = self.tracker.hosts.get(host)
        if not batch:
            return penalty + self._beside_batch(spec, tasks, host, now)
        if self.relief.step(host) is not ladder.Step.NONE:
            return outcomes.Absent(reason=outcomes.Reason.SERVICE_AT_RISK)
        if self.health.failed_before(host, plan.job_of(spec.task)):
            penalty += FAILED_BEFORE
        if tasks is None or not tasks.services:
            return penalty
        slowdown = self._beside_services(spec, amount, tasks, now)
        if slowdown is None:
            return outcomes.Absent(reason=outcomes.Reason.SERVICE_AT_RISK)
        return penalty + self.weight * slowdown

    def unknown(
        self,
        spec: plan.TaskSpec,
        host: ids.HostId,
        now: datetime.timedelta,
    ) -> bool:
        """Tell whether a batch task is a trial next to a host's services."""
        tasks = self.tracker.hosts.get(host)
        if tasks is None:
            return False
        task_class = classes.class_of(spec)
        return any(
            self.model.unknown(
                service.task_class, task_class, now.total_seconds()
            )
            for service in tasks.services.values()
        )

    def _beside_batch(
        self,
        spec: plan.TaskSpec,
        tasks: tracking.HostTasks | None,
        host: ids.HostId,
        now: datetime.timedelta,
    ) -> float:
        if tasks is None:
            return 0.0
        slowdown = self.model.slowdown(
            classes.class_of(spec), tasks.neighbours(), now.total_seconds()
        )
        noisy = NOISY * (self.relief.step(host) is not ladder.Step.NONE)
        cautious = slowdown.upper(CONFIDENCE[spec.urgency])
        return noisy + self.weight * max(0.0, cautious)

    def _beside_services(
        self,
        spec: plan.TaskSpec,
        amount: resources.Resources,
        tasks: tracking.HostTasks,
        now: datetime.timedelta,
    ) -> float | None:
        """Return the slowdown that a batch task adds, None if too much."""
        task_class = classes.class_of(spec)
        before = tasks.neighbours().get(task_class, 0.0)
        after = before + tasks.weight_of(amount)
        seconds = now.total_seconds()
        view = self._view(tasks, now)
        total = 0.0
        for service in view.services:
            mean, variance, unknown = self.model.pair(
                service.task_class, task_class, seconds
            )
            added = mean * (after - before)
            total += added
            if service.room is None:
                # Without a target nothing says how much is too much.
                continue
            if unknown and (view.trying or not service.trial):
                return None
            variance *= after * after - before * before
            deviation = math.sqrt(service.variance + variance)
            if added + service.confidence * deviation > service.room:
                return None
        return max(0.0, total)

    def _view(
        self, tasks: tracking.HostTasks, now: datetime.timedelta
    ) -> "_HostView":
        """Return what does not depend on the task to place."""
        view = tasks.view
        if (
            isinstance(view, _HostView)
            and view.version == tasks.version
            and now - view.made < VIEW_TIME
        ):
            return view
        view = _HostView(
            version=tasks.version,
            made=now,
            trying=any(
                tracked.trial and now - tracked.since < TRIAL_TIME
                for tracked in tasks.batch.values()
            ),
            services=tuple(
                self._service_view(service, tasks, now)
                for service in tasks.services.values()
            ),
        )
        tasks.view = view
        return view

    def _service_view(
        self,
        service: tracking.Tracked,
        tasks: tracking.HostTasks,
        now: datetime.timedelta,
    ) -> "_ServiceView":
        target = self.targets.get(service.task_class)
        patience = STALE if service.latency is not None else FIRST_REPORT
        if now - max(service.since, service.latency_measured) > patience:
            # Without reports a target cannot be judged, and batch must not
            # wait for reports that may never come.
            target = None
        present = self._slowdown(service, tasks.neighbours(), now)
        room = None
        if target is not None:
            room = self._room(service, target, tasks, now) - present.mean
        return _ServiceView(
            task_class=service.task_class,
            room=room,
            variance=present.deviation**2,
            confidence=CONFIDENCE[service.spec.urgency],
            trial=target is None or _has_room(service, target),
        )

    def _room(
        self,
        service: tracking.Tracked,
        target: datetime.timedelta,
        tasks: tracking.HostTasks,
        now: datetime.timedelta,
    ) -> float:
        """Return how much slowdown in all a service can stand."""
        latency = service.latency
        measured = service.latency_measured
        if latency is None:
            return UNMEASURED_SLOWDOWN
        # The report contains the slowdown by what ran when it was measured.
        then = tasks.neighbours_at(measured) or {}
        alone = math.log(latency.total_seconds())
        alone -= self._slowdown(service, then, now).mean
        return math.log(MARGIN * target.total_seconds()) - alone

    def _slowdown(
        self,
        service: tracking.Tracked,
        neighbours: interference.Neighbours,
        now: datetime.timedelta,
    ) -> interference.Prediction:
        return self.model.slowdown(
            service.task_class, neighbours, now.total_seconds()
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _ServiceView:
    """A service as a neighbour of a task to place.

    :param room: further logarithmic slowdown allowed, None for any.
    :param variance: variance of the present slowdown.
    :param trial: whether it may stand the trial of an unknown class.
    """

    task_class: classes.TaskClass
    room: float | None
    variance: float
    confidence: float
    trial: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _HostView:
    """The services of a host, valid for one version of its tasks."""

    version: int
    made: datetime.timedelta
    trying: bool
    services: tuple[_ServiceView, ...]


def _has_room(service: tracking.Tracked, target: datetime.timedelta) -> bool:
    """Tell whether a service may stand the trial of an unknown class."""
    if service.spec.urgency is not site.Urgency.URGENT:
        return True
    return service.latency is None or service.latency < TRIAL_RATIO * target
