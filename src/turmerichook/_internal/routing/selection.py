"""Choice of the endpoint for one attempt.

The own zone comes first. Within a zone the better of two random endpoints is
taken. Another zone is taken when the own one has no room, or when it is worse
by more than the measured cost of the link. Times are monotonic seconds.
"""

import collections.abc
import dataclasses
import enum
import random

from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
from turmerichook._internal.routing import concurrency
from turmerichook._internal.routing import endpoints as endpoint_module
from turmerichook._internal.routing import health as healths

# Latency assumed of an endpoint that has not answered yet.
LATENCY_PRIOR_S = 0.005
# Round trip assumed to a zone that has not been measured yet.
LINK_PRIOR_S = 0.010
# How much worse the own zone must be before another one is taken although
# the own one has room. Smaller values send requests over links on noise.
SPILL_FACTOR = 2.0
# Age at which an endpoint's own report of its load no longer counts.
LOAD_AGE_S = 2.0
# Chance that a request is used to probe an endpoint that was ejected.
PROBE_CHANCE = 0.1
# Draws that the slow start may turn down before any endpoint is taken.
DRAWS = 8


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Target:
    """What this gateway knows about one endpoint.

    :param load: the endpoint's own report: requests in work or waiting
        there, divided by its slots.
    :param load_at: when it was reported.
    """

    endpoint: endpoint_module.Endpoint
    limit: concurrency.Limit
    health: healths.Health
    in_flight: int = 0
    load: float = 0.0
    load_at: float = -LOAD_AGE_S

    @property
    def room(self) -> bool:
        """Whether one more request may be sent now."""
        allowed = self.limit.allowed
        if self.health.state is healths.State.PROBING:
            allowed = 1
        return self.in_flight < allowed

    def cost(self, now: float) -> float:
        """Return the time in seconds that an answer is expected to take."""
        latency = self.limit.latency or LATENCY_PRIOR_S
        load = self.load if now - self.load_at < LOAD_AGE_S else 0.0
        busy = max(load, self.in_flight / self.endpoint.slots)
        return latency * (1.0 + busy)


class Why(enum.Enum):
    """Reason of a choice, as it stands in the log."""

    OWN_ZONE = "own-zone"
    OWN_ZONE_FULL = "own-zone-has-no-room"
    OWN_ZONE_EMPTY = "own-zone-has-no-endpoint"
    OWN_ZONE_SLOW = "own-zone-costs-more-than-the-link"
    PROBE = "probe-after-ejection"
    ALL_EJECTED = "no-endpoint-but-ejected-ones"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Chosen:
    """The endpoint to use, and why."""

    target: Target
    why: Why


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Wanted:
    """What the request asks of an endpoint.

    :param probe: whether it may be used to probe an ejected endpoint; a
        request that must not be repeated is not risked.
    :param tried: tasks that have failed this request.
    """

    probe: bool
    tried: frozenset[ids.TaskId] = frozenset()


def choose(
    *,
    targets: collections.abc.Sequence[Target],
    wanted: Wanted,
    zone: ids.ZoneId,
    links: collections.abc.Mapping[ids.ZoneId, float],
    now: float,
    source: random.Random,
) -> Chosen | outcomes.Absent:
    """Return an endpoint with room, or the reason why there is none.

    :param links: measured round trips to other zones in seconds.
    :param source: source of random numbers.
    """
    own: list[Target] = []
    other: list[Target] = []
    probes: list[Target] = []
    ejected: list[Target] = []
    known_own = False
    usable = False
    for target in targets:
        local = target.endpoint.zone == zone
        known_own = known_own or local
        if target.endpoint.task in wanted.tried:
            continue
        state = target.health.present(now)
        if state is healths.State.EJECTED:
            ejected.append(target)
            continue
        usable = True
        if not target.room:
            continue
        if state is healths.State.PROBING:
            probes.append(target)
        elif local:
            own.append(target)
        else:
            other.append(target)
    if probes and wanted.probe:
        if not (own or other) or source.random() < PROBE_CHANCE:
            target = probes[int(source.random() * len(probes))]
            return Chosen(target=target, why=Why.PROBE)
    if not usable and any(target.room for target in ejected):
        # The endpoints that worked have left.
        rest = [target for target in ejected if target.room]
        target = _of_two(rest, now, source)
        return Chosen(target=target, why=Why.ALL_EJECTED)
    if not own and not other:
        reason = outcomes.Reason.NO_ENDPOINT
        if usable or ejected:
            reason = outcomes.Reason.NO_ROOM
        return outcomes.Absent(reason=reason)
    return _better(own, other, known_own, links, now, source)


def _better(
    own: list[Target],
    other: list[Target],
    known_own: bool,
    links: collections.abc.Mapping[ids.ZoneId, float],
    now: float,
    source: random.Random,
) -> Chosen:
    if not own:
        why = Why.OWN_ZONE_FULL if known_own else Why.OWN_ZONE_EMPTY
        return Chosen(target=_remote(other, links, now, source), why=why)
    near = _of_two(own, now, source)
    if not other:
        return Chosen(target=near, why=Why.OWN_ZONE)
    near_cost = near.cost(now)
    # The prior is the least that another zone could cost, so the second
    # draw is spared in the usual case.
    if near_cost <= SPILL_FACTOR * LATENCY_PRIOR_S:
        return Chosen(target=near, why=Why.OWN_ZONE)
    far = _remote(other, links, now, source)
    if near_cost > SPILL_FACTOR * _far_cost(far, near, links, now):
        return Chosen(target=far, why=Why.OWN_ZONE_SLOW)
    return Chosen(target=near, why=Why.OWN_ZONE)


def _remote(
    other: list[Target],
    links: collections.abc.Mapping[ids.ZoneId, float],
    now: float,
    source: random.Random,
) -> Target:
    """Return the better of two endpoints of the nearest zones with room."""
    nearest = min(_link(target, links) for target in other)
    near = [t for t in other if _link(t, links) <= nearest * SPILL_FACTOR]
    return _of_two(near, now, source)


def _far_cost(
    far: Target,
    near: Target,
    links: collections.abc.Mapping[ids.ZoneId, float],
    now: float,
) -> float:
    if far.limit.latency:
        # The measured latency holds the link already.
        return far.cost(now)
    return near.limit.lowest + _link(far, links)


def _link(
    target: Target, links: collections.abc.Mapping[ids.ZoneId, float]
) -> float:
    return links.get(target.endpoint.zone, LINK_PRIOR_S)


def _of_two(
    targets: list[Target], now: float, source: random.Random
) -> Target:
    first = _draw(targets, now, source)
    if len(targets) == 1:
        return first
    second = _draw(targets, now, source)
    if second is first:
        second = _draw(targets, now, source)
    return second if second.cost(now) < first.cost(now) else first


def _draw(targets: list[Target], now: float, source: random.Random) -> Target:
    """Draw an endpoint; one in its slow start is often turned down."""
    target = targets[0]
    for _ in range(DRAWS):
        target = targets[int(source.random() * len(targets))]
        share = target.health.share(now)
        if share >= 1.0 or source.random() < share:
            return target
    return target
