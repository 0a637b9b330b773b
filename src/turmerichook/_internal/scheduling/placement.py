"""Choosing a worker for a task.

Decisions are pure: the same state gives the same decision.
"""

import collections.abc
import dataclasses
import datetime
import typing

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.scheduling import ledger as ledgers
from turmerichook._internal.scheduling import plan

# Hosts whose advice is compared for one task. Advice costs much more than a
# score, and the best hosts by score differ little from each other.
ADVISED_HOSTS = 16

Advise = collections.abc.Callable[[ids.HostId], float | outcomes.Absent]


class Adviser(typing.Protocol):
    """What placement asks about sharing hosts."""

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
        return spec.resources

    def advise(self, spec, amount, host, now) -> float:
        return 0.0

    def placed(self, spec, attempt, host, amount, *, resumed, now) -> None:
        pass


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Placed:
    """A host was chosen."""

    host: ids.HostId
    score: float


def choose(
    *,
    amount: resources.Resources,
    ledger: ledgers.Ledger,
    usable: list[ids.HostId],
    weights: site.Weights,
    advise: Advise | None = None,
) -> Placed | outcomes.Absent:
    """Return the best host for an amount, or why there is none.

    :param usable: hosts that may get new tasks, in a fixed order.
    :param advise: penalty of a host, which is subtracted from its score, or
        why the task may not be there. Since penalties are never negative,
        it is asked only about hosts that can still become the best.
    """
    best: Placed | None = None
    refusal: outcomes.Absent | None = None
    advised = 0
    scores = [
        (-_score(ledger.hosts[host], weights), host)
        for host in usable
        if amount.fits(ledger.hosts[host].free)
    ]
    for negative, host in sorted(scores, key=lambda item: item[0]):
        if best is not None and -negative <= best.score:
            break
        penalty = 0.0 if advise is None else advise(host)
        if isinstance(penalty, outcomes.Absent):
            refusal = refusal or penalty
            continue
        if best is None or -negative - penalty > best.score:
            best = Placed(host=host, score=-negative - penalty)
        advised += 1
        if advised == ADVISED_HOSTS:
            break
    if best is not None:
        return best
    if refusal is not None:
        return refusal
    return outcomes.Absent(reason=_reason(amount, ledger, usable))


def _score(account: ledgers.HostAccount, weights: site.Weights) -> float:
    capacity = max(1, account.capacity.millicores)
    free = account.free.millicores / capacity
    return weights.spread * free + weights.pack * (1.0 - free)


def _reason(
    amount: resources.Resources,
    ledger: ledgers.Ledger,
    usable: list[ids.HostId],
) -> outcomes.Reason:
    for host in usable:
        if amount.fits(ledger.hosts[host].capacity):
            return outcomes.Reason.NO_FIT
    return outcomes.Reason.NEVER_FITS
