"""Interface of the co-location advice that scheduling decisions use."""

import datetime
import typing

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal import outcomes
from turmerichook._internal.scheduling import plan

# A refused workload is considered again after this time, even if no task was
# queued and no resources were released: advice also changes with usage
# reports and with time.
REFUSAL_RETRY_INTERVAL = datetime.timedelta(seconds=1)


class Adviser(typing.Protocol):
    """Sizes of tasks and penalties of hosts for tasks that share hosts."""

    def size(self, spec: plan.TaskSpec) -> resources.Resources:
        """Return the resources to commit to a new attempt of a task."""

    def advise(
        self,
        spec: plan.TaskSpec,
        amount: resources.Resources,
        host: ids.HostId,
        now: datetime.timedelta,
    ) -> float | outcomes.Absent:
        """Return a penalty of zero or more, or why the host is refused."""

    def record_placement(
        self,
        spec: plan.TaskSpec,
        attempt: ids.Attempt,
        host: ids.HostId,
        amount: resources.Resources,
        *,
        resumed: bool,
        now: datetime.timedelta,
    ) -> None:
        """Record a placement; later advice takes it into account."""


class NoAdvice:
    """Adviser without co-location: declared sizes and no penalties."""

    def size(self, spec: plan.TaskSpec) -> resources.Resources:
        """Return the declared size."""
        return spec.resources

    def advise(self, spec, amount, host, now) -> float:
        """Return no penalty."""
        return 0.0

    def record_placement(
        self, spec, attempt, host, amount, *, resumed, now
    ) -> None:
        """Ignore the placement."""
