"""What happens to batch tasks on hosts whose service is slow."""

import collections.abc
import datetime

from turmerichook._internal.models import ids
from turmerichook._internal.scheduling import budgets
from turmerichook._internal.scheduling import interference
from turmerichook._internal.scheduling import ladder as ladders
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import sharing_decisions as decisions
from turmerichook._internal.scheduling import tracking

THROTTLED_SHARE = 0.5
# Part of the predicted slowdown whose tasks are throttled together.
THROTTLED_BLAME = 0.8
# Time after which a stop that had no effect is asked for again.
ASK_AGAIN = datetime.timedelta(seconds=10)


class Relief:
    """Ladders of all hosts, and the budgets that bound them."""

    def __init__(
        self,
        *,
        tracker: tracking.Tracker,
        model: interference.Interference,
    ):
        self.tracker = tracker
        self.model = model
        self.budget = budgets.EvictionBudget()
        self.ladders: dict[ids.HostId, ladders.Ladder] = {}
        # Denials are told once until the host's step changes.
        self.denied: set[ids.TaskId] = set()

    def step(self, host: ids.HostId) -> ladders.Step:
        """Return the step that a host is on."""
        ladder = self.ladders.get(host)
        return ladders.Step.NONE if ladder is None else ladder.step

    def observe(
        self,
        host: ids.HostId,
        *,
        ratio: float,
        measured: datetime.timedelta,
        now: datetime.timedelta,
    ) -> list[decisions.Decision]:
        """Take in the latency of a host's slowest service."""
        ladder = self.ladders.get(host)
        if ladder is None:
            ladder = ladders.Ladder(since=now)
            self.ladders[host] = ladder
        moved = ladders.observe(
            ladder, ratio=ratio, measured=measured, now=now
        )
        return self._apply(host, moved, now)

    def review(self, now: datetime.timedelta) -> list[decisions.Decision]:
        """Step down where no service is left, and carry on with stops."""
        found: list[decisions.Decision] = []
        for host, ladder in list(self.ladders.items()):
            tasks = self.tracker.hosts.get(host)
            if tasks is None:
                del self.ladders[host]
                continue
            if not tasks.services:
                found += self._apply(host, ladders.relax(ladder, now), now)
            if ladder.step is ladders.Step.STOP:
                found += self._stop_all(host, now)
        return found

    def evict(
        self,
        tracked: tracking.Tracked,
        now: datetime.timedelta,
        reason: decisions.StopReason,
        *,
        checkpoint: bool = True,
    ) -> decisions.Evict | decisions.EvictionDenied | None:
        """Take a task off its host if the budgets allow it.

        :returns: None if nothing is to be done or said now.
        """
        name = tracked.spec.task
        if tracked.stop_asked is not None:
            return self.ask_again(tracked, now)
        job = plan.job_of(name)
        if not self.budget.take(job, now, self.tracker.batch_tasks):
            if name in self.denied:
                return None
            self.denied.add(name)
            return decisions.EvictionDenied(
                host=tracked.host, task=name, reason=reason
            )
        self.denied.discard(name)
        tracked.stop_asked = now
        tracked.stop_checkpoint = checkpoint
        tracked.stop_reason = reason
        return _evict(tracked, again=False)

    def ask_again(
        self, tracked: tracking.Tracked, now: datetime.timedelta
    ) -> decisions.Evict | None:
        """Repeat a stop that has had no effect for a while."""
        if tracked.stop_asked is None or now - tracked.stop_asked < ASK_AGAIN:
            return None
        tracked.stop_asked = now
        return _evict(tracked, again=True)

    def make_room(
        self, host: ids.HostId, now: datetime.timedelta
    ) -> decisions.Evict | decisions.EvictionDenied | None:
        """Evict one batch task for a service that outgrew its commitment.

        The next task follows only once this one is gone, since its room may
        be enough.
        """
        tasks = self._by_blame(host, now)
        if not tasks or any(t.stop_asked is not None for t in tasks):
            return None
        return self.evict(tasks[0], now, decisions.StopReason.OUTGROWN)

    def _apply(
        self,
        host: ids.HostId,
        moved: ladders.Moved | None,
        now: datetime.timedelta,
    ) -> list[decisions.Decision]:
        if moved is None:
            return []
        found: list[decisions.Decision] = []
        if moved.before is not moved.step:
            found.append(
                decisions.StepChanged(
                    host=host, before=moved.before, step=moved.step
                )
            )
            self.denied -= self.tracker.hosts[host].batch.keys()
        match moved.step:
            case ladders.Step.NONE:
                tasks = self.tracker.hosts[host].batch.values()
                found += self._throttle(host, tasks, 1.0, now)
            case ladders.Step.THROTTLE if moved.before < moved.step:
                found += self._throttle_noisy(host, now)
            case ladders.Step.EVICT if moved.before <= moved.step:
                found += self._evict_one(host, now)
            case ladders.Step.STOP:
                found += self._stop_all(host, now)
        return found

    def _throttle_noisy(
        self, host: ids.HostId, now: datetime.timedelta
    ) -> list[decisions.Decision]:
        """Throttle the tasks that make up most of the slowdown."""
        blamed = self._blame(host, now)
        total = sum(max(0.0, slowdown) for slowdown, _ in blamed)
        noisy = []
        covered = 0.0
        for slowdown, tracked in blamed:
            if noisy and covered >= THROTTLED_BLAME * total:
                break
            noisy.append(tracked)
            covered += max(0.0, slowdown)
        return self._throttle(host, noisy, THROTTLED_SHARE, now)

    def _throttle(
        self,
        host: ids.HostId,
        tasks: collections.abc.Iterable[tracking.Tracked],
        share: float,
        now: datetime.timedelta,
    ) -> list[decisions.Decision]:
        found: list[decisions.Decision] = []
        for tracked in tasks:
            if tracked.share == share:
                continue
            self.tracker.throttle(tracked, share, now)
            found.append(
                decisions.Throttle(
                    host=host,
                    task=tracked.spec.task,
                    attempt=tracked.attempt,
                    share=share,
                )
            )
        return found

    def _evict_one(
        self, host: ids.HostId, now: datetime.timedelta
    ) -> list[decisions.Decision]:
        for tracked in self._by_blame(host, now):
            if tracked.stop_asked is not None:
                continue
            found = self.evict(tracked, now, decisions.StopReason.SLOW_SERVICE)
            if isinstance(found, decisions.Evict):
                self.ladders[host].evictions += 1
                return [found]
        return []

    def _stop_all(
        self, host: ids.HostId, now: datetime.timedelta
    ) -> list[decisions.Decision]:
        found = [
            self.evict(
                tracked,
                now,
                decisions.StopReason.SLOW_SERVICE,
                checkpoint=False,
            )
            for tracked in self._by_blame(host, now)
        ]
        return [decision for decision in found if decision is not None]

    def _by_blame(
        self, host: ids.HostId, now: datetime.timedelta
    ) -> list[tracking.Tracked]:
        """Return batch tasks, the one that slows services most first."""
        return [tracked for _, tracked in self._blame(host, now)]

    def _blame(
        self, host: ids.HostId, now: datetime.timedelta
    ) -> list[tuple[float, tracking.Tracked]]:
        """Return batch tasks with their slowdown, the largest first."""
        tasks = self.tracker.hosts[host]
        found = []
        for tracked in tasks.batch.values():
            share = tasks.weight_of(tracked.amount) * tracked.share
            slowdown = sum(
                self.model.slowdown(
                    service.task_class,
                    {tracked.task_class: share},
                    now.total_seconds(),
                ).mean
                for service in tasks.services.values()
            )
            found.append((slowdown, tracked))
        # Between equals the younger one loses less work.
        return sorted(
            found, key=lambda item: (item[0], item[1].since), reverse=True
        )


def _evict(tracked: tracking.Tracked, *, again: bool) -> decisions.Evict:
    return decisions.Evict(
        host=tracked.host,
        task=tracked.spec.task,
        attempt=tracked.attempt,
        checkpoint=tracked.stop_checkpoint,
        reason=tracked.stop_reason,
        again=again,
    )
