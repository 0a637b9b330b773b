"""What decisions ask about tasks that share hosts."""

import datetime
import typing

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal import outcomes
from turmerichook._internal.scheduling import plan

# Time after which a workload that was refused is looked at again, though
# nothing was queued or released: advice also changes with reports and time.
INTERVAL = datetime.timedelta(seconds=1)


class Adviser(typing.Protocol):
    """What decisions ask about sharing hosts."""

    def size(self, spec: plan.TaskSpec) -> resources.Resources:
        """Return what a new attempt of a task needs."""

    def advise(
        self,
        spec: plan.TaskSpec,
        amount: resources.Resources,
        host: ids.HostId,
        now: datetime.timedelta,
    ) -> float | outcomes.Absent:
        """Return a penalty of zero or more, or why the host may not be."""

    def placed(
        self,
        spec: plan.TaskSpec,
        attempt: ids.Attempt,
        host: ids.HostId,
        amount: resources.Resources,
        *,
        resumed: bool,
        now: datetime.timedelta,
    ) -> None:
        """Note a placement, which changes the advice for the next one."""


class NoAdvice:
    """Declared sizes and no penalties."""

    def size(self, spec: plan.TaskSpec) -> resources.Resources:
        """Return the declared size."""
        return spec.resources

    def advise(self, spec, amount, host, now) -> float:
        """Return no penalty."""
        return 0.0

    def placed(self, spec, attempt, host, amount, *, resumed, now) -> None:
        """Note nothing."""
