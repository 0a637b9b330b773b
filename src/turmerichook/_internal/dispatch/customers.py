"""What the leader's customers use, and what their quotas and shares allow.

All amounts follow from the runs that the leader knows, so that a new leader
has them once it has read the jobs.
"""

import collections
import collections.abc
import enum
import typing

from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.quotas import usage as usages
from turmerichook._internal.workflow import model


class DelayReason(enum.Enum):
    """Why tasks of a customer wait although workers may have room."""

    QUOTA = "customer-quota"
    SHARE = "customer-share"


class Delay(typing.NamedTuple):
    """Tasks of one customer that wait for the same reason."""

    customer: ids.CustomerId
    reason: DelayReason
    tasks: int


class Customers:
    """Usage, quotas and shares of all customers.

    :ivar usage: what the runs of each customer use, whatever their phase.
    :ivar configured: whether the deployment tells customers apart.
    :ivar over_share: customers whose tasks go after those of others.
    """

    def __init__(self):
        self.usage: usages.Usage[ids.CustomerId] = usages.Usage()
        self.configured = False
        self.over_share: frozenset[ids.CustomerId] = frozenset()
        # Delayed tasks in the present pass over all steps, and in the last
        # complete one.
        self.delayed: collections.Counter = collections.Counter()
        self.last_delayed: collections.Counter = collections.Counter()

    def configure(self, configuration: deployment.Configuration) -> None:
        """Apply the weights and quotas of a configuration."""
        customers = configuration.customers or ()
        self.configured = configuration.customers is not None
        if not self.configured:
            # Shares are no longer determined.
            self.over_share = frozenset()
        self.usage.weights = {c.customer: c.weight for c in customers}
        self.usage.limits = {c.customer: c.quota for c in customers}

    def startable(
        self, customer: ids.CustomerId, step: model.Step, count: int
    ) -> int:
        """Return how many tasks of a step the customer's quota allows.

        The tasks of a gang may start together or not at all.

        :param count: number of tasks that may start otherwise.
        """
        if not step.gang:
            return self.usage.startable(customer, step.demand, count)
        allowed = self.usage.gang_startable(customer, step.demand, step.count)
        return count if allowed else 0

    def update_shares(
        self,
        waiting: collections.abc.Collection[ids.CustomerId],
        capacities: collections.abc.Iterable[resources.Resources],
    ) -> None:
        """Determine which customers use more than their share.

        :param waiting: customers with waiting tasks.
        :param capacities: capacities of the workers.
        """
        if len(waiting) > 1:
            self.usage.total = resources.total(capacities)
        self.over_share = self.usage.over_part(waiting)

    def note_delay(
        self, customer: ids.CustomerId, reason: DelayReason, tasks: int
    ) -> None:
        """Note tasks that this pass over all steps has left waiting."""
        self.delayed[customer, reason] += tasks

    def end_pass(self) -> None:
        """Note that all waiting steps have been checked."""
        self.last_delayed = self.delayed
        self.delayed = collections.Counter()

    def delays(self) -> list[Delay]:
        """Return what the last complete pass has left waiting."""
        return [
            Delay(customer, reason, tasks)
            for (customer, reason), tasks in self.last_delayed.items()
        ]
