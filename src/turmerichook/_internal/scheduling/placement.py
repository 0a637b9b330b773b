"""Choosing a host for a task.

Decisions are pure: the same state and the same random numbers give the same
decision. A few hosts with enough room are drawn by random start positions in
the index of free room; the best of them by rank and score is taken. The
decision holds what the choice was made from, so that it can be made again
from its log line.
"""

import collections.abc
import dataclasses
import random

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.scheduling import candidates
from turmerichook._internal.scheduling import ledger as ledgers

# Hosts that are compared for a task.
SAMPLES = 8
# Hosts that are compared for a service's replica, whose anti-affinity needs
# a wider view. Zones with fewer hosts are compared in full.
SERVICE_SAMPLES = 64
# Hosts that are compared once co-location has refused all that were drawn.
REFUSED_SAMPLES = 64
# Room is compared in ten-thousandths, so that its logged form is exact.
ROOM_UNIT = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A host with enough room.

    :param room: smallest share that stays free of any resource of the host
        with the task on it, in ten-thousandths.
    :param on_host: replicas of the same service on the host.
    :param on_rack: replicas of the same service in the host's rack.
    :param cost: deduction from the score for other reasons.
    """

    host: ids.HostId
    room: int
    on_host: int = 0
    on_rack: int = 0
    cost: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Placed:
    """A host was chosen."""

    host: ids.HostId
    score: float
    candidates: tuple[Candidate, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Preference:
    """What is asked of a host besides room.

    :param service: the service whose replicas are kept apart, if any.
    :param spread: counts of its replicas.
    :param cost: deduction from a host's score, or why the task may not be
        there.
    """

    weights: site.Weights
    cost: collections.abc.Callable[[ids.HostId], float | outcomes.Absent]
    service: ids.ServiceId | None = None
    spread: "Replicas | None" = None


class Replicas:
    """Replicas of each service by host and by rack."""

    def __init__(self):
        self.by_host: dict[tuple[ids.ServiceId, ids.HostId], int] = {}
        self.by_rack: dict[tuple[ids.ServiceId, ids.RackId], int] = {}
        self.racks: dict[ids.HostId, ids.RackId] = {}

    def add(
        self, service: ids.ServiceId, host: ids.HostId, count: int
    ) -> None:
        """Change the number of replicas on a host."""
        _add(self.by_host, (service, host), count)
        _add(self.by_rack, (service, self.racks.get(host, "")), count)

    def move(self, host: ids.HostId, rack: ids.RackId) -> None:
        """Set the rack of a host."""
        former = self.racks.get(host, "")
        if former == rack:
            return
        self.racks[host] = rack
        for (service, other), count in self.by_host.items():
            if other == host:
                _add(self.by_rack, (service, former), -count)
                _add(self.by_rack, (service, rack), count)


def choose(
    *,
    need: resources.Resources,
    ledger: ledgers.Ledger,
    generator: random.Random,
    preference: Preference,
) -> Placed | outcomes.Absent:
    """Return a good host for an amount, or why there is none."""
    index = ledger.index
    service = preference.service
    if service is None:
        slots = _draw(index, need, generator, SAMPLES)
    elif len(index) <= SERVICE_SAMPLES:
        slots = _all(index, need)
    else:
        slots = _draw(index, need, generator, SERVICE_SAMPLES)
        slots = _apart(index, need, slots, preference)
    if not slots:
        return outcomes.Absent(reason=outcomes.Reason.NO_FIT)
    found, refusal = _candidates(slots, need, ledger, preference)
    if not found:
        if len(index) <= REFUSED_SAMPLES:
            slots = _all(index, need)
        else:
            slots = _draw(index, need, generator, REFUSED_SAMPLES)
        found, refusal = _candidates(slots, need, ledger, preference)
    if not found:
        return refusal
    best = select(found, preference.weights)
    return Placed(
        host=best.host,
        score=_score(best, preference.weights),
        candidates=found,
    )


def kept(host: ids.HostId) -> Placed:
    """Return the choice of a host whose room was reserved for the task."""
    return Placed(
        host=host, score=0.0, candidates=(Candidate(host=host, room=0),)
    )


def select(
    found: collections.abc.Sequence[Candidate], weights: site.Weights
) -> Candidate:
    """Return the best candidate; the first one of equals."""
    best = found[0]
    best_key = _key(best, weights)
    for candidate in found[1:]:
        key = _key(candidate, weights)
        if key > best_key:
            best, best_key = candidate, key
    return best


def _key(candidate: Candidate, weights: site.Weights) -> tuple:
    return (
        -candidate.on_host,
        -candidate.on_rack,
        _score(candidate, weights),
    )


def _score(candidate: Candidate, weights: site.Weights) -> float:
    free = candidate.room / ROOM_UNIT
    preferred = weights.spread * free + weights.pack * (1.0 - free)
    return preferred - candidate.cost


def _candidates(
    slots: list[int],
    need: resources.Resources,
    ledger: ledgers.Ledger,
    preference: Preference,
) -> tuple[tuple[Candidate, ...], outcomes.Absent]:
    """Return the hosts that co-location allows, and why not the others."""
    found = []
    refusal = outcomes.Absent(reason=outcomes.Reason.NO_FIT)
    for slot in slots:
        host = ledger.index.names[slot]
        cost = preference.cost(host)
        if isinstance(cost, outcomes.Absent):
            refusal = cost
        else:
            found.append(_candidate(host, need, ledger, preference, cost))
    return tuple(found), refusal


def _candidate(
    host: ids.HostId,
    need: resources.Resources,
    ledger: ledgers.Ledger,
    preference: Preference,
    cost: float,
) -> Candidate:
    account = ledger.hosts[host]
    on_host = on_rack = 0
    service = preference.service
    spread = preference.spread
    if service is not None and spread is not None:
        on_host = spread.by_host.get((service, host), 0)
        rack = spread.racks.get(host, "")
        on_rack = spread.by_rack.get((service, rack), 0)
    return Candidate(
        host=host,
        room=_room(account, need, ledger.index, host),
        on_host=on_host,
        on_rack=on_rack,
        cost=cost,
    )


def _room(
    account: ledgers.HostAccount,
    need: resources.Resources,
    index: candidates.FitIndex,
    host: ids.HostId,
) -> int:
    leaf = index.size + index.slots[host]
    capacity = account.capacity
    room = ROOM_UNIT
    if capacity.millicores:
        left = index.millicores[leaf] - need.millicores
        room = min(room, left * ROOM_UNIT // capacity.millicores)
    if capacity.memory_mib:
        left = index.memory[leaf] - need.memory_mib
        room = min(room, left * ROOM_UNIT // capacity.memory_mib)
    if need.accelerators:
        left = index.accelerators[leaf] - need.accelerators
        room = min(room, left * ROOM_UNIT // capacity.accelerators)
    return room


def _draw(
    index: candidates.FitIndex,
    need: resources.Resources,
    generator: random.Random,
    count: int,
) -> list[int]:
    drawn: dict[int, None] = {}
    for _ in range(count):
        slot = index.find(need, generator.random())
        if slot == candidates.NOT_FOUND:
            break
        drawn[slot] = None
    return list(drawn)


def _all(index: candidates.FitIndex, need: resources.Resources) -> list[int]:
    free = zip(
        index.millicores[index.size :],
        index.memory[index.size :],
        index.accelerators[index.size :],
    )
    return [
        slot
        for slot, (millicores, memory, accelerators) in enumerate(free)
        if millicores >= need.millicores
        and memory >= need.memory_mib
        and accelerators >= need.accelerators
    ]


def _apart(
    index: candidates.FitIndex,
    need: resources.Resources,
    slots: list[int],
    preference: Preference,
) -> list[int]:
    """Return all fitting slots if each drawn host has a replica."""
    spread = preference.spread
    if not slots or spread is None:
        return slots
    service = preference.service
    for slot in slots:
        if not spread.by_host.get((service, index.names[slot])):
            return slots
    return _all(index, need)


def _add(counts: dict, key: tuple, count: int) -> None:
    counts[key] = counts.get(key, 0) + count
    if not counts[key]:
        del counts[key]
