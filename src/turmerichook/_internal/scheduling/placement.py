"""Selection of a host for a task.

Decisions are deterministic: the same state and the same random numbers give
the same decision. A few hosts with enough free capacity are sampled: searches
in the index of free capacities begin at random positions. The sampled host
with the fewest replicas of the same service on the host and in its rack, and
then with the highest score, is chosen. The decision contains all inputs of
the choice, so that the choice can be repeated from its log line.
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

# Number of hosts that are sampled for a batch task.
HOSTS_SAMPLED = 8
# Number of hosts that are sampled for a replica of a service. It is larger
# than for batch tasks, since anti-affinity needs hosts and racks without a
# replica among the samples. In a zone of at most this many hosts, all hosts
# with enough free capacity are compared.
SERVICE_SAMPLES = 64
# Number of hosts that are sampled again after the co-location rules refused
# all hosts of the first sample.
RETRY_SAMPLES = 64
# Free shares are integers in ten-thousandths, so that the log line contains
# them exactly.
ROOM_SCALE = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A host with enough free capacity for the task.

    :param room: smallest share of any resource that stays free on the host
        once the task is placed there, in ten-thousandths.
    :param on_host: number of replicas of the same service on the host.
    :param on_rack: number of replicas of the same service in the host's rack.
    :param penalty: penalty subtracted from the score, for expected
        interference or earlier failed attempts on the host.
    """

    host: ids.HostId
    room: int
    on_host: int = 0
    on_rack: int = 0
    penalty: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Placed:
    """The chosen host, its score, and the hosts that were compared."""

    host: ids.HostId
    score: float
    candidates: tuple[Candidate, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Preference:
    """Placement preferences and constraints besides free capacity.

    :param weights: weights of spreading and packing in the score.
    :param service: the service whose replicas are kept on different hosts
        and racks; None for a batch task.
    :param spread: numbers of replicas by host and by rack.
    :param penalty: returns the penalty subtracted from a host's score, or the
        reason why the task must not be placed on the host.
    """

    weights: site.Weights
    penalty: collections.abc.Callable[[ids.HostId], float | outcomes.Absent]
    service: ids.ServiceId | None = None
    spread: "Replicas | None" = None


class Replicas:
    """Numbers of replicas of each service by host and by rack."""

    def __init__(self):
        self.by_host: dict[tuple[ids.ServiceId, ids.HostId], int] = {}
        self.by_rack: dict[tuple[ids.ServiceId, ids.RackId], int] = {}
        self.racks: dict[ids.HostId, ids.RackId] = {}

    def add(
        self, service: ids.ServiceId, host: ids.HostId, count: int
    ) -> None:
        """Add ``count``, which may be negative, to the replicas on a host."""
        _add_count(self.by_host, (service, host), count)
        _add_count(self.by_rack, (service, self.racks.get(host, "")), count)

    def set_rack(self, host: ids.HostId, rack: ids.RackId) -> None:
        """Set the rack of a host and count its replicas in the new rack."""
        former = self.racks.get(host, "")
        if former == rack:
            return
        self.racks[host] = rack
        for (service, other), count in self.by_host.items():
            if other == host:
                _add_count(self.by_rack, (service, former), -count)
                _add_count(self.by_rack, (service, rack), count)


def choose(
    *,
    need: resources.Resources,
    ledger: ledgers.Ledger,
    generator: random.Random,
    preference: Preference,
) -> Placed | outcomes.Absent:
    """Return the chosen host for the needed resources, or a refusal."""
    index = ledger.index
    service = preference.service
    if service is None:
        positions = _sample_fitting(index, need, generator, HOSTS_SAMPLED)
    elif len(index) <= SERVICE_SAMPLES:
        positions = _all_fitting(index, need)
    else:
        positions = _sample_fitting(index, need, generator, SERVICE_SAMPLES)
        positions = _widen_sample(index, need, positions, preference)
    if not positions:
        return outcomes.Absent(reason=outcomes.Reason.NO_FIT)
    allowed, refusal = _allowed_candidates(positions, need, ledger, preference)
    if not allowed:
        if len(index) <= RETRY_SAMPLES:
            positions = _all_fitting(index, need)
        else:
            positions = _sample_fitting(index, need, generator, RETRY_SAMPLES)
        allowed, refusal = _allowed_candidates(
            positions, need, ledger, preference
        )
    if not allowed:
        return refusal
    best = select(allowed, preference.weights)
    return Placed(
        host=best.host,
        score=_score(best, preference.weights),
        candidates=allowed,
    )


def reserved_choice(host: ids.HostId) -> Placed:
    """Return a placement on the host where capacity was reserved."""
    return Placed(
        host=host, score=0.0, candidates=(Candidate(host=host, room=0),)
    )


def select(
    allowed: collections.abc.Sequence[Candidate], weights: site.Weights
) -> Candidate:
    """Return the best candidate; among equal ones, the first."""
    best = allowed[0]
    best_key = _key(best, weights)
    for candidate in allowed[1:]:
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
    free = candidate.room / ROOM_SCALE
    preferred = weights.spread * free + weights.pack * (1.0 - free)
    return preferred - candidate.penalty


def _allowed_candidates(
    positions: list[int],
    need: resources.Resources,
    ledger: ledgers.Ledger,
    preference: Preference,
) -> tuple[tuple[Candidate, ...], outcomes.Absent]:
    """Return the hosts that the co-location rules allow, and a refusal.

    The refusal is that of the last refused host; it matters only if no host
    is allowed.
    """
    allowed = []
    refusal = outcomes.Absent(reason=outcomes.Reason.NO_FIT)
    for position in positions:
        host = ledger.index.hosts[position]
        cost = preference.penalty(host)
        if isinstance(cost, outcomes.Absent):
            refusal = cost
        else:
            allowed.append(
                _make_candidate(host, need, ledger, preference, cost)
            )
    return tuple(allowed), refusal


def _make_candidate(
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
        penalty=cost,
    )


def _room(
    account: ledgers.HostAccount,
    need: resources.Resources,
    index: candidates.FitIndex,
    host: ids.HostId,
) -> int:
    leaf = index.size + index.positions[host]
    capacity = account.capacity
    room = ROOM_SCALE
    if capacity.millicores:
        left = index.millicores[leaf] - need.millicores
        room = min(room, left * ROOM_SCALE // capacity.millicores)
    if capacity.memory_mib:
        left = index.memory[leaf] - need.memory_mib
        room = min(room, left * ROOM_SCALE // capacity.memory_mib)
    if need.accelerators:
        left = index.accelerators[leaf] - need.accelerators
        room = min(room, left * ROOM_SCALE // capacity.accelerators)
    return room


def _sample_fitting(
    index: candidates.FitIndex,
    need: resources.Resources,
    generator: random.Random,
    count: int,
) -> list[int]:
    drawn: dict[int, None] = {}
    for _ in range(count):
        position = index.find(need, generator.random())
        if position == candidates.NOT_FOUND:
            break
        drawn[position] = None
    return list(drawn)


def _all_fitting(
    index: candidates.FitIndex, need: resources.Resources
) -> list[int]:
    free = zip(
        index.millicores[index.size :],
        index.memory[index.size :],
        index.accelerators[index.size :],
    )
    return [
        position
        for position, (millicores, memory, accelerators) in enumerate(free)
        if millicores >= need.millicores
        and memory >= need.memory_mib
        and accelerators >= need.accelerators
    ]


def _widen_sample(
    index: candidates.FitIndex,
    need: resources.Resources,
    positions: list[int],
    preference: Preference,
) -> list[int]:
    """Return all hosts that fit if every sampled one has a replica."""
    spread = preference.spread
    if not positions or spread is None:
        return positions
    service = preference.service
    for position in positions:
        if not spread.by_host.get((service, index.hosts[position])):
            return positions
    return _all_fitting(index, need)


def _add_count(counts: dict, key: tuple, count: int) -> None:
    counts[key] = counts.get(key, 0) + count
    if not counts[key]:
        del counts[key]
