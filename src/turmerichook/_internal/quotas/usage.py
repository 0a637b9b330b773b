"""What each owner of work uses, and what its quota and weight leave to it.

An owner is a team or a customer. Both schedulers use this module.
"""

import collections.abc
import typing

from turmerichook._internal.models import resources

Owner = typing.TypeVar("Owner", bound=str)


class Usage(typing.Generic[Owner]):
    """Amounts that owners use, their quotas and their weights.

    :ivar used: what each owner uses, without owners that use nothing.
    :ivar limits: quotas; an owner without one has no limit.
    :ivar weights: weights; an owner without one has the weight 1.
    :ivar total: capacity of all hosts, which the user of this class sets.
    """

    def __init__(self):
        self.used: dict[Owner, resources.Resources] = {}
        self.limits: dict[Owner, resources.Resources] = {}
        self.weights: dict[Owner, float] = {}
        self.total = resources.NOTHING

    def charge(self, owner: Owner, amount: resources.Resources) -> None:
        """Add an amount to an owner's usage."""
        self.used[owner] = self.usage(owner).plus(amount)

    def refund(self, owner: Owner, amount: resources.Resources) -> None:
        """Subtract an amount from an owner's usage."""
        left = self.usage(owner).minus(amount)
        if left == resources.NOTHING:
            self.used.pop(owner, None)
        else:
            self.used[owner] = left

    def usage(self, owner: Owner) -> resources.Resources:
        """Return the sum of the amounts that an owner uses."""
        return self.used.get(owner, resources.NOTHING)

    def allows(self, owner: Owner, amount: resources.Resources) -> bool:
        """Return whether a further amount stays within an owner's quota."""
        limit = self.limits.get(owner)
        return limit is None or self.usage(owner).plus(amount).fits(limit)

    def ever_allows(self, owner: Owner, amount: resources.Resources) -> bool:
        """Return whether a quota allows an amount if nothing else is used."""
        limit = self.limits.get(owner)
        return limit is None or amount.fits(limit)

    def startable(
        self, owner: Owner, amount: resources.Resources, count: int
    ) -> int:
        """Return how many tasks may start within an owner's quota.

        A task that exceeds the quota by itself may start while the usage is
        within the quota, one at a time.

        :param amount: what one task uses.
        :param count: number of tasks that wait.
        """
        limit = self.limits.get(owner)
        if limit is None or amount == resources.NOTHING:
            return count
        used = self.usage(owner)
        if not amount.fits(limit):
            return min(count, int(used.fits(limit)))
        return max(0, min(count, limit.minus(used).multiples_of(amount)))

    def gang_startable(
        self, owner: Owner, amount: resources.Resources, count: int
    ) -> bool:
        """Return whether all tasks of a gang may start together.

        :param amount: what one task uses.
        :param count: number of tasks of the gang.
        """
        limit = self.limits.get(owner)
        if limit is None:
            return True
        whole = amount.times(count)
        if not whole.fits(limit):
            # The last task is the one that exceeds the quota.
            whole = whole.minus(amount)
        return self.usage(owner).plus(whole).fits(limit)

    def share(self, owner: Owner) -> float:
        """Return an owner's dominant share of all divided by its weight.

        This is weighted dominant resource fairness: the owner with the lowest
        value gets the next start.
        """
        if owner not in self.used:
            return 0.0
        return self._dominant(owner) / self.weights.get(owner, 1.0)

    def over_part(
        self, waiting: collections.abc.Collection[Owner]
    ) -> frozenset[Owner]:
        """Return the owners that use more than their part.

        Owners with waiting tasks divide what the others leave in the ratio of
        their weights.

        :param waiting: owners with waiting tasks.
        """
        if len(waiting) < 2:
            return frozenset()
        shares = {owner: self._dominant(owner) for owner in waiting}
        others = sum(self._dominant(o) for o in self.used if o not in shares)
        # What owners use can exceed the capacity, as fillers share processors.
        divided = max(1.0 - others, sum(shares.values()))
        weights = {owner: self.weights.get(owner, 1.0) for owner in waiting}
        each = divided / sum(weights.values())
        return frozenset(
            owner
            for owner, share in shares.items()
            if share > weights[owner] * each
        )

    def _dominant(self, owner: Owner) -> float:
        """Return the largest of an owner's shares of each resource."""
        used, total = self.usage(owner), self.total
        return max(
            used.millicores / (total.millicores or 1),
            used.memory_mib / (total.memory_mib or 1),
            used.accelerators / (total.accelerators or 1),
        )


def gang_exceeds(
    limit: resources.Resources, amount: resources.Resources, count: int
) -> bool:
    """Return whether a quota can never hold a gang.

    :param amount: what one task uses.
    :param count: number of tasks of the gang.
    """
    return not amount.times(count - 1).fits(limit)
