"""Processing of usage reports: sizes, interference and slow services."""

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
    """Passes each part of a usage report to the module that uses it."""

    def __init__(
        self,
        *,
        tracker: tracking.Tracker,
        sizes: sizing.Sizes,
        model: interference.Interference,
        adviser: advice.Adviser,
        mitigation: reliefs.Mitigation,
    ):
        self.tracker = tracker
        self.sizes = sizes
        self.model = model
        self.adviser = adviser
        self.mitigation = mitigation

    def process(
        self,
        host: ids.HostId,
        usage: tuple[workers.TaskUsage, ...],
        now: datetime.timedelta,
    ) -> list[decisions.Decision]:
        """Process the usage reports of one host.

        :returns: decisions that the reported latencies lead to.
        """
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
            return self._escalate(host, newest, now)
        return []

    def _learn_size(
        self,
        tracked: tracking.TrackedAttempt,
        report: workers.TaskUsage,
        measured: datetime.timedelta,
    ) -> None:
        declared = tracked.spec.resources
        tracked.usage.add(declared, report.used)
        tracked.usage_reported = True
        if declared.millicores > 0:
            tracked.load = report.used.millicores / declared.millicores
        # A throttle lowers a task's use, so what was measured under one must
        # not shrink the learned size of the task's class.
        last_throttled = tracked.last_throttled
        if tracked.share == 1.0 and (
            last_throttled is None or measured > last_throttled
        ):
            self.sizes.measured(tracked.task_class, declared, report.used)

    def _learn_latency(
        self,
        tracked: tracking.TrackedAttempt,
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

    def _escalate(
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
            if now - service.latency_measured < advice.REPORT_MAX_AGE:
                ratios.append(service.latency / target)
        if not ratios:
            return []
        return self.mitigation.observe(
            host, ratio=max(ratios), measured=measured, now=now
        )
