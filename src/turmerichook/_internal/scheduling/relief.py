"""Mitigation for services that miss their latency target.

The batch tasks on the service's host are throttled, evicted or stopped.
"""

import collections.abc
import datetime

from turmerichook._internal.models import ids
from turmerichook._internal.scheduling import budgets
from turmerichook._internal.scheduling import interference
from turmerichook._internal.scheduling import ladder as ladders
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import sharing_decisions as decisions
from turmerichook._internal.scheduling import tracking

# Share of its processors that a throttled batch task may still use.
THROTTLED_PROCESSOR_SHARE = 0.5
# Batch tasks are throttled, starting with the one that adds most to the
# predicted slowdown, until they account for this fraction of the slowdown.
THROTTLED_SLOWDOWN_FRACTION = 0.8
# A stop request is repeated after this time while the attempt is on its host.
STOP_RETRY_INTERVAL = datetime.timedelta(seconds=10)


class Mitigation:
    """Escalation states of all hosts, and the budget for evictions."""

    def __init__(
        self,
        *,
        tracker: tracking.Tracker,
        model: interference.Interference,
    ):
        self.tracker = tracker
        self.model = model
        self.budget = budgets.EvictionBudget()
        self.escalations: dict[ids.HostId, ladders.Escalation] = {}
        # Tasks whose denied eviction was reported. Each denial is reported
        # once until the host's step changes, which keeps the log short.
        self.denials_reported: set[ids.TaskId] = set()

    def step(self, host: ids.HostId) -> ladders.Step:
        """Return the escalation step of a host."""
        escalation = self.escalations.get(host)
        return ladders.Step.NONE if escalation is None else escalation.step

    def observe(
        self,
        host: ids.HostId,
        *,
        ratio: float,
        measured: datetime.timedelta,
        now: datetime.timedelta,
    ) -> list[decisions.Decision]:
        """Return the decisions that a latency report leads to.

        :param ratio: latency of the host's slowest service relative to its
            target.
        :param measured: monotonic time of the measurement.
        """
        escalation = self.escalations.get(host)
        if escalation is None:
            escalation = ladders.Escalation(since=now)
            self.escalations[host] = escalation
        transition = ladders.observe(
            escalation, ratio=ratio, measured=measured, now=now
        )
        return self._apply(host, transition, now)

    def review(self, now: datetime.timedelta) -> list[decisions.Decision]:
        """Return decisions that are due without a new latency report.

        Hosts without a service step down, and on hosts at ``Step.STOP`` the
        remaining batch tasks are stopped.
        """
        decisions_due: list[decisions.Decision] = []
        for host, escalation in list(self.escalations.items()):
            tasks = self.tracker.hosts.get(host)
            if tasks is None:
                del self.escalations[host]
                continue
            if not tasks.services:
                decisions_due += self._apply(
                    host, ladders.step_down_idle(escalation, now), now
                )
            if escalation.step is ladders.Step.STOP:
                decisions_due += self._stop_all(host, now)
        return decisions_due

    def evict(
        self,
        tracked: tracking.TrackedAttempt,
        now: datetime.timedelta,
        reason: decisions.StopReason,
        *,
        checkpoint: bool = True,
    ) -> decisions.Evict | decisions.EvictionDenied | None:
        """Evict a task if the eviction budgets of its zone and job allow it.

        :param checkpoint: whether the attempt may write a checkpoint first.
        :returns: None if a stop is already under way, or if the denial was
            reported before.
        """
        name = tracked.spec.task
        if tracked.stop_requested is not None:
            return self.retry_stop(tracked, now)
        job = plan.job_of(name)
        if not self.budget.try_consume(job, now, self.tracker.batch_tasks):
            if name in self.denials_reported:
                return None
            self.denials_reported.add(name)
            return decisions.EvictionDenied(
                host=tracked.host, task=name, reason=reason
            )
        self.denials_reported.discard(name)
        tracked.stop_requested = now
        tracked.stop_checkpoint = checkpoint
        tracked.stop_reason = reason
        return _evict_decision(tracked, again=False)

    def retry_stop(
        self, tracked: tracking.TrackedAttempt, now: datetime.timedelta
    ) -> decisions.Evict | None:
        """Repeat a stop request that is older than ``STOP_RETRY_INTERVAL``."""
        if (
            tracked.stop_requested is None
            or now - tracked.stop_requested < STOP_RETRY_INTERVAL
        ):
            return None
        tracked.stop_requested = now
        return _evict_decision(tracked, again=True)

    def evict_for_service(
        self, host: ids.HostId, now: datetime.timedelta
    ) -> decisions.Evict | decisions.EvictionDenied | None:
        """Evict one batch task for a service that outgrew its commitment.

        No second task is evicted before the first has left the host, since
        the resources that the first one frees may be enough.
        """
        tasks = self._batch_by_slowdown(host, now)
        if not tasks or any(t.stop_requested is not None for t in tasks):
            return None
        return self.evict(tasks[0], now, decisions.StopReason.OUTGROWN)

    def _apply(
        self,
        host: ids.HostId,
        transition: ladders.StepTransition | None,
        now: datetime.timedelta,
    ) -> list[decisions.Decision]:
        if transition is None:
            return []
        decisions_due: list[decisions.Decision] = []
        if transition.before is not transition.step:
            decisions_due.append(
                decisions.StepChanged(
                    host=host, before=transition.before, step=transition.step
                )
            )
            self.denials_reported -= self.tracker.hosts[host].batch.keys()
        match transition.step:
            case ladders.Step.NONE:
                tasks = self.tracker.hosts[host].batch.values()
                decisions_due += self._throttle(host, tasks, 1.0, now)
            case ladders.Step.THROTTLE if transition.before < transition.step:
                decisions_due += self._throttle_slowing(host, now)
            case ladders.Step.EVICT if transition.before <= transition.step:
                decisions_due += self._evict_one(host, now)
            case ladders.Step.STOP:
                decisions_due += self._stop_all(host, now)
        return decisions_due

    def _throttle_slowing(
        self, host: ids.HostId, now: datetime.timedelta
    ) -> list[decisions.Decision]:
        """Throttle the tasks that cause most of the predicted slowdown."""
        by_slowdown = self._batch_slowdowns(host, now)
        total = sum(max(0.0, slowdown) for slowdown, _ in by_slowdown)
        to_throttle = []
        covered = 0.0
        for slowdown, tracked in by_slowdown:
            if to_throttle and covered >= THROTTLED_SLOWDOWN_FRACTION * total:
                break
            to_throttle.append(tracked)
            covered += max(0.0, slowdown)
        return self._throttle(
            host, to_throttle, THROTTLED_PROCESSOR_SHARE, now
        )

    def _throttle(
        self,
        host: ids.HostId,
        tasks: collections.abc.Iterable[tracking.TrackedAttempt],
        share: float,
        now: datetime.timedelta,
    ) -> list[decisions.Decision]:
        decisions_due: list[decisions.Decision] = []
        for tracked in tasks:
            if tracked.share == share:
                continue
            self.tracker.throttle(tracked, share, now)
            decisions_due.append(
                decisions.Throttle(
                    host=host,
                    task=tracked.spec.task,
                    attempt=tracked.attempt,
                    share=share,
                )
            )
        return decisions_due

    def _evict_one(
        self, host: ids.HostId, now: datetime.timedelta
    ) -> list[decisions.Decision]:
        for tracked in self._batch_by_slowdown(host, now):
            if tracked.stop_requested is not None:
                continue
            decision = self.evict(
                tracked, now, decisions.StopReason.SLOW_SERVICE
            )
            if isinstance(decision, decisions.Evict):
                self.escalations[host].evictions += 1
                return [decision]
        return []

    def _stop_all(
        self, host: ids.HostId, now: datetime.timedelta
    ) -> list[decisions.Decision]:
        decisions_due = [
            self.evict(
                tracked,
                now,
                decisions.StopReason.SLOW_SERVICE,
                checkpoint=False,
            )
            for tracked in self._batch_by_slowdown(host, now)
        ]
        return [decision for decision in decisions_due if decision is not None]

    def _batch_by_slowdown(
        self, host: ids.HostId, now: datetime.timedelta
    ) -> list[tracking.TrackedAttempt]:
        """Return batch tasks in descending order of predicted slowdown."""
        return [tracked for _, tracked in self._batch_slowdowns(host, now)]

    def _batch_slowdowns(
        self, host: ids.HostId, now: datetime.timedelta
    ) -> list[tuple[float, tracking.TrackedAttempt]]:
        """Return batch tasks with the slowdown they add, largest first.

        The slowdown is the sum of the predicted logarithmic slowdowns of all
        services on the host.
        """
        tasks = self.tracker.hosts[host]
        slowdowns = []
        for tracked in tasks.batch.values():
            share = tasks.processor_share(tracked.amount) * tracked.share
            slowdown = sum(
                self.model.slowdown(
                    service.task_class,
                    {tracked.task_class: share},
                    now.total_seconds(),
                ).mean
                for service in tasks.services.values()
            )
            slowdowns.append((slowdown, tracked))
        # Of two tasks with the same slowdown the one that started last comes
        # first, since its eviction loses less work.
        return sorted(
            slowdowns, key=lambda item: (item[0], item[1].since), reverse=True
        )


def _evict_decision(
    tracked: tracking.TrackedAttempt, *, again: bool
) -> decisions.Evict:
    return decisions.Evict(
        host=tracked.host,
        task=tracked.spec.task,
        attempt=tracked.attempt,
        checkpoint=tracked.stop_checkpoint,
        reason=tracked.stop_reason,
        again=again,
    )
