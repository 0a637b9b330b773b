"""What usage reports teach about sizes, interference and slow services."""

import datetime

from turmerichook._internal.models import ids
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import advice
from turmerichook._internal.scheduling import interference
from turmerichook._internal.scheduling import relief as reliefs
from turmerichook._internal.scheduling import sharing_decisions as decisions
from turmerichook._internal.scheduling import sizing
from turmerichook._internal.scheduling import tracking


class Reports:
    """Hands each part of a report to the module that learns from it."""

    def __init__(
        self,
        *,
        tracker: tracking.Tracker,
        sizes: sizing.Sizes,
        model: interference.Interference,
        adviser: advice.Adviser,
        relief: reliefs.Relief,
    ):
        self.tracker = tracker
        self.sizes = sizes
        self.model = model
        self.adviser = adviser
        self.relief = relief

    def take(
        self,
        host: ids.HostId,
        usage: tuple[workers.TaskUsage, ...],
        now: datetime.timedelta,
    ) -> list[decisions.Decision]:
        """Learn from the usage reports of one host."""
        newest: datetime.timedelta | None = None
        for report in usage:
            tracked = self.tracker.current(report.task, report.attempt)
            if tracked is None or tracked.host != host:
                continue
            measured = now - max(datetime.timedelta(), report.age)
            self._learn_size(tracked, report, measured)
            if tracked.batch or not report.latency:
                continue
            if self._learn_latency(tracked, report, measured, now):
                newest = max(newest or measured, measured)
        if newest is not None:
            return self._climb(host, newest, now)
        return []

    def _learn_size(
        self,
        tracked: tracking.Tracked,
        report: workers.TaskUsage,
        measured: datetime.timedelta,
    ) -> None:
        declared = tracked.spec.resources
        tracked.usage.add(declared, report.used)
        tracked.reported = True
        if declared.millicores > 0:
            tracked.load = report.used.millicores / declared.millicores
        # A throttled task uses less than it would, so its class learns
        # nothing from it.
        throttled = tracked.throttled
        if tracked.share == 1.0 and (
            throttled is None or measured > throttled
        ):
            self.sizes.measured(tracked.task_class, declared, report.used)

    def _learn_latency(
        self,
        tracked: tracking.Tracked,
        report: workers.TaskUsage,
        measured: datetime.timedelta,
        now: datetime.timedelta,
    ) -> bool:
        if tracked.latency is not None and (
            measured <= tracked.latency_measured
        ):
            return False
        tracked.latency = report.latency
        tracked.latency_measured = measured
        self.tracker.hosts[tracked.host].version += 1
        neighbours = self.tracker.hosts[tracked.host].neighbours_at(measured)
        if neighbours is not None:
            self.model.observe(
                service=tracked.task_class,
                load=tracked.load,
                latency=report.latency.total_seconds(),
                neighbours=neighbours,
                measured=measured.total_seconds(),
                now=now.total_seconds(),
            )
        return True

    def _climb(
        self,
        host: ids.HostId,
        measured: datetime.timedelta,
        now: datetime.timedelta,
    ) -> list[decisions.Decision]:
        ratios = []
        for service in self.tracker.hosts[host].services.values():
            target = self.adviser.targets.get(service.task_class)
            if target is None or service.latency is None:
                continue
            if now - service.latency_measured < advice.STALE:
                ratios.append(service.latency / target)
        if not ratios:
            return []
        return self.relief.observe(
            host, ratio=max(ratios), measured=measured, now=now
        )
