"""Placement advice of co-location: the penalty of a host for a task."""

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

# Standard deviations added to a predicted slowdown, by the service's urgency.
# The more urgent the service, the more slowdown is assumed of a batch class
# that has not been observed next to it.
CONFIDENCE_DEVIATIONS = {
    site.Urgency.URGENT: 2.0,
    site.Urgency.NORMAL: 1.0,
    site.Urgency.DEFERRABLE: 0.0,
}
# Highest predicted latency of a service, as a fraction of its target.
TARGET_FRACTION = 0.92
# Logarithmic slowdown allowed for a service that has not reported a latency.
MAX_LOG_SLOWDOWN_UNREPORTED = math.log(1.1)
# A batch class whose slowdown is unknown is tried on a host only while the
# latency of its urgent services is below this fraction of their target.
TRIAL_MAX_LATENCY_RATIO = 0.8
# A host runs one trial at a time; a trial counts for this long.
TRIAL_DURATION = datetime.timedelta(seconds=30)
# Older latency reports are ignored as outdated.
REPORT_MAX_AGE = datetime.timedelta(seconds=60)
# Batch tasks are placed next to a new service after this time without a
# latency report: the service may never report one, for example because it
# receives no calls yet.
FIRST_REPORT_TIMEOUT = datetime.timedelta(seconds=15)
# Variances and trials change slowly, so the derived view of a host is reused
# for this long.
HOST_VIEW_MAX_AGE = datetime.timedelta(seconds=2)
# Penalties in units of the placement score, in which a whole host is about 1.
FAILED_JOB_PENALTY = 0.5
SUSPICION_PENALTY = 1.0
# A larger penalty would keep batch tasks away from a suspected host, which
# could then neither be quarantined nor cleared of the suspicion.
BATCH_SUSPICION_PENALTY = 0.05
# Penalty for a service on a host whose escalation step is not ``NONE``.
MITIGATION_PENALTY = 1.0

Advice = float | outcomes.Absent


class Adviser:
    """Computes penalties from the learned state without changing it."""

    def __init__(
        self,
        *,
        tracker: tracking.Tracker,
        model: interference.Interference,
        health: healths.Health,
        mitigation: reliefs.Mitigation,
    ):
        self.tracker = tracker
        self.model = model
        self.health = health
        self.mitigation = mitigation
        self.targets: dict[classes.TaskClass, datetime.timedelta] = {}
        self.weight = 1.0

    def advise(
        self,
        spec: plan.TaskSpec,
        amount: resources.Resources,
        host: ids.HostId,
        now: datetime.timedelta,
    ) -> Advice:
        """Return the penalty to subtract from a host's score, or a refusal."""
        batch = spec.kind is workers.TaskKind.BATCH
        if not self.health.may_start(host, now, probe=batch):
            return outcomes.Absent(reason=outcomes.Reason.HOST_QUARANTINED)
        suspicion = self.health.suspicion(host)
        penalty = (
            BATCH_SUSPICION_PENALTY if batch else SUSPICION_PENALTY
        ) * suspicion
        tasks = self.tracker.hosts.get(host)
        if not batch:
            return penalty + self._service_penalty(spec, tasks, host, now)
        if self.mitigation.step(host) is not ladder.Step.NONE:
            return outcomes.Absent(reason=outcomes.Reason.SERVICE_AT_RISK)
        if self.health.job_failed_on(host, plan.job_of(spec.task)):
            penalty += FAILED_JOB_PENALTY
        if tasks is None or not tasks.services:
            return penalty
        slowdown = self._batch_slowdown(spec, amount, tasks, now)
        if slowdown is None:
            return outcomes.Absent(reason=outcomes.Reason.SERVICE_AT_RISK)
        return penalty + self.weight * slowdown

    def is_trial(
        self,
        spec: plan.TaskSpec,
        host: ids.HostId,
        now: datetime.timedelta,
    ) -> bool:
        """Tell whether a batch task would be a trial on a host.

        A trial is a task whose class has an unknown effect on a service of
        the host.
        """
        tasks = self.tracker.hosts.get(host)
        if tasks is None:
            return False
        task_class = classes.class_of(spec)
        return any(
            self.model.is_unknown(
                service.task_class, task_class, now.total_seconds()
            )
            for service in tasks.services.values()
        )

    def _service_penalty(
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
        mitigation_penalty = MITIGATION_PENALTY * (
            self.mitigation.step(host) is not ladder.Step.NONE
        )
        upper_bound = slowdown.upper_bound(CONFIDENCE_DEVIATIONS[spec.urgency])
        return mitigation_penalty + self.weight * max(0.0, upper_bound)

    def _batch_slowdown(
        self,
        spec: plan.TaskSpec,
        amount: resources.Resources,
        tasks: tracking.HostTasks,
        now: datetime.timedelta,
    ) -> float | None:
        """Return the slowdown that a batch task adds to a host's services.

        :returns: logarithmic slowdown; None if a service would come too
            close to its latency target.
        """
        task_class = classes.class_of(spec)
        before = tasks.neighbours().get(task_class, 0.0)
        after = before + tasks.processor_share(amount)
        seconds = now.total_seconds()
        view = self._view(tasks, now)
        total = 0.0
        for service in view.services:
            mean, variance, unknown = self.model.pair(
                service.task_class, task_class, seconds
            )
            added = mean * (after - before)
            total += added
            if service.allowed_slowdown is None:
                # A service without a target to judge sets no limit.
                continue
            if unknown and (view.trial_running or not service.accepts_trial):
                return None
            variance *= after * after - before * before
            deviation = math.sqrt(service.variance + variance)
            if (
                added + service.confidence * deviation
                > service.allowed_slowdown
            ):
                return None
        return max(0.0, total)

    def _view(
        self, tasks: tracking.HostTasks, now: datetime.timedelta
    ) -> "_HostView":
        """Return the part of the advice that is the same for all tasks."""
        view = tasks.view
        if (
            isinstance(view, _HostView)
            and view.version == tasks.version
            and now - view.created < HOST_VIEW_MAX_AGE
        ):
            return view
        view = _HostView(
            version=tasks.version,
            created=now,
            trial_running=any(
                tracked.trial and now - tracked.since < TRIAL_DURATION
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
        service: tracking.TrackedAttempt,
        tasks: tracking.HostTasks,
        now: datetime.timedelta,
    ) -> "_ServiceView":
        target = self.targets.get(service.task_class)
        max_age = (
            REPORT_MAX_AGE
            if service.latency is not None
            else FIRST_REPORT_TIMEOUT
        )
        if now - max(service.since, service.latency_measured) > max_age:
            # Without recent reports the target cannot be checked, and batch
            # tasks must not wait for reports that may never arrive.
            target = None
        present = self._predict(service, tasks.neighbours(), now)
        allowed_slowdown = None
        if target is not None:
            allowed_slowdown = (
                self._slowdown_limit(service, target, tasks, now)
                - present.mean
            )
        return _ServiceView(
            task_class=service.task_class,
            allowed_slowdown=allowed_slowdown,
            variance=present.deviation**2,
            confidence=CONFIDENCE_DEVIATIONS[service.spec.urgency],
            accepts_trial=target is None or _accepts_trial(service, target),
        )

    def _slowdown_limit(
        self,
        service: tracking.TrackedAttempt,
        target: datetime.timedelta,
        tasks: tracking.HostTasks,
        now: datetime.timedelta,
    ) -> float:
        """Return the total logarithmic slowdown that a service tolerates."""
        latency = service.latency
        measured = service.latency_measured
        if latency is None:
            return MAX_LOG_SLOWDOWN_UNREPORTED
        # The reported latency includes the slowdown by the batch tasks that
        # ran when it was measured.
        neighbours_then = tasks.neighbours_at(measured) or {}
        log_latency_alone = math.log(latency.total_seconds())
        log_latency_alone -= self._predict(service, neighbours_then, now).mean
        return (
            math.log(TARGET_FRACTION * target.total_seconds())
            - log_latency_alone
        )

    def _predict(
        self,
        service: tracking.TrackedAttempt,
        neighbours: interference.Neighbours,
        now: datetime.timedelta,
    ) -> interference.Prediction:
        return self.model.slowdown(
            service.task_class, neighbours, now.total_seconds()
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _ServiceView:
    """A service that a batch task would share the host with.

    :param allowed_slowdown: additional logarithmic slowdown that the service
        tolerates; None for no limit.
    :param variance: variance of the present logarithmic slowdown.
    :param confidence: number of standard deviations to add to a predicted
        slowdown.
    :param accepts_trial: whether a batch class of unknown effect may be tried
        next to the service.
    """

    task_class: classes.TaskClass
    allowed_slowdown: float | None
    variance: float
    confidence: float
    accepts_trial: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _HostView:
    """The services of a host, valid for one version of its tasks.

    :param created: monotonic time at which the view was derived.
    :param trial_running: whether a batch class is on trial on the host.
    """

    version: int
    created: datetime.timedelta
    trial_running: bool
    services: tuple[_ServiceView, ...]


def _accepts_trial(
    service: tracking.TrackedAttempt, target: datetime.timedelta
) -> bool:
    """Tell whether a batch class of unknown effect may be tried next to it.

    An urgent service accepts a trial only well below its latency target.
    """
    if service.spec.urgency is not site.Urgency.URGENT:
        return True
    return (
        service.latency is None
        or service.latency < TRIAL_MAX_LATENCY_RATIO * target
    )
