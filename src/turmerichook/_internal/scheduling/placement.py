"""Choosing a worker for a task.

Decisions are pure: the same state gives the same decision.
"""

import dataclasses

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.scheduling import ledger as ledgers


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
) -> Placed | outcomes.Absent:
    """Return the best host for an amount, or why there is none.

    :param usable: hosts that may get new tasks, in a fixed order.
    """
    best: Placed | None = None
    for host in usable:
        account = ledger.hosts[host]
        if not amount.fits(account.free):
            continue
        score = _score(account, weights)
        if best is None or score > best.score:
            best = Placed(host=host, score=score)
    if best is not None:
        return best
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
