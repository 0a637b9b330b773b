"""Choice of the endpoint for one attempt of a request.

Endpoints in the gateway's own zone are preferred. Within a zone, two
endpoints are drawn at random and the one with the lower expected response
time is chosen ("power of two choices"). An endpoint in another zone is chosen
if no endpoint in the own zone can accept a request, or if the expected
response time in the own zone is more than ``SPILLOVER_FACTOR`` times that in
the other zone, link included. Times are monotonic seconds.
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

# Latency assumed for an endpoint that has not answered a request yet.
INITIAL_LATENCY_S = 0.005
# Round-trip time assumed for a zone until one has been measured.
INITIAL_LINK_RTT_S = 0.010
# Ratio of the expected response times in the own zone and in another zone
# above which a request goes to the other zone although the own zone can accept
# it. With smaller values, noise in the latency measurements would send
# requests across zones. Zones whose round-trip time is within this factor of
# the shortest one count as equally near.
SPILLOVER_FACTOR = 2.0
# Age at which a load that an endpoint reported is ignored.
MAX_LOAD_AGE_S = 2.0
# Probability that a request which may be a probe is sent to an endpoint that
# is being probed after its ejection.
PROBE_PROBABILITY = 0.1
# Random draws for one choice. An endpoint in its slow start can be rejected in
# each draw but the last, which is accepted in any case.
MAX_DRAWS = 8


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Target:
    """State of one endpoint as seen by this gateway.

    :param in_flight: requests that this gateway has in progress there.
    :param load: load that the endpoint reported last: the requests that it
        processes or queues, divided by its slots.
    :param load_at: time of that report.
    :param paused_until: end of the pause that follows a rejected request;
        the endpoint gets no request before it.
    """

    endpoint: endpoint_module.Endpoint
    limit: concurrency.Limit
    health: healths.Health
    in_flight: int = 0
    load: float = 0.0
    load_at: float = -MAX_LOAD_AGE_S
    paused_until: float = 0.0

    def has_capacity(self, now: float) -> bool:
        """Return whether one more request may be sent to the endpoint now."""
        if now < self.paused_until:
            return False
        allowed = self.limit.max_in_flight
        if self.health.state is healths.State.PROBING:
            allowed = 1
        return self.in_flight < allowed

    def cost(self, now: float) -> float:
        """Return the expected response time in seconds."""
        latency = self.limit.latency or INITIAL_LATENCY_S
        load = self.load if now - self.load_at < MAX_LOAD_AGE_S else 0.0
        utilization = max(load, self.in_flight / self.endpoint.slots)
        return latency * (1.0 + utilization)


class SelectionReason(enum.Enum):
    """Why an endpoint was chosen; the values are written to the log."""

    OWN_ZONE = "own-zone"
    OWN_ZONE_FULL = "own-zone-has-no-room"
    OWN_ZONE_EMPTY = "own-zone-has-no-endpoint"
    OWN_ZONE_SLOW = "own-zone-costs-more-than-the-link"
    PROBE = "probe-after-ejection"
    ALL_EJECTED = "no-endpoint-but-ejected-ones"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Selection:
    """The chosen endpoint and the reason for the choice."""

    target: Target
    why: SelectionReason


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SelectionCriteria:
    """Constraints of a request on the choice of its endpoint.

    :param probe: whether the request may be sent to an endpoint that is being
        probed after its ejection. False for a request that must not be
        repeated, since the probe may fail.
    :param failed_tasks: tasks of the endpoints at which earlier attempts of
        the request have failed.
    """

    probe: bool
    failed_tasks: frozenset[ids.TaskId] = frozenset()


def choose(
    *,
    targets: collections.abc.Sequence[Target],
    criteria: SelectionCriteria,
    zone: ids.ZoneId,
    link_rtts: collections.abc.Mapping[ids.ZoneId, float],
    now: float,
    source: random.Random,
) -> Selection | outcomes.Absent:
    """Choose an endpoint that can accept a request now.

    :param zone: the gateway's own zone.
    :param link_rtts: measured round-trip times to zones in seconds.
    :param source: random number generator.
    :returns: the chosen endpoint, or the reason why there is none.
    """
    in_own_zone: list[Target] = []
    in_other_zones: list[Target] = []
    probes: list[Target] = []
    ejected: list[Target] = []
    own_zone_known = False
    any_not_ejected = False
    for target in targets:
        local = target.endpoint.zone == zone
        own_zone_known = own_zone_known or local
        if target.endpoint.task in criteria.failed_tasks:
            continue
        state = target.health.current_state(now)
        if state is healths.State.EJECTED:
            ejected.append(target)
            continue
        any_not_ejected = True
        if not target.has_capacity(now):
            continue
        if state is healths.State.PROBING:
            probes.append(target)
        elif local:
            in_own_zone.append(target)
        else:
            in_other_zones.append(target)
    if probes and criteria.probe:
        if (
            not (in_own_zone or in_other_zones)
            or source.random() < PROBE_PROBABILITY
        ):
            target = probes[int(source.random() * len(probes))]
            return Selection(target=target, why=SelectionReason.PROBE)
    if not any_not_ejected and any(
        target.has_capacity(now) for target in ejected
    ):
        # Only ejected endpoints are left, since the healthy ones have been
        # removed or have failed this request. One of the ejected ones is tried
        # rather than refusing the request.
        ejected_with_capacity = [
            target for target in ejected if target.has_capacity(now)
        ]
        target = _better_of_two(ejected_with_capacity, now, source)
        return Selection(target=target, why=SelectionReason.ALL_EJECTED)
    if not in_own_zone and not in_other_zones:
        reason = outcomes.Reason.NO_ENDPOINT
        if any_not_ejected or ejected:
            reason = outcomes.Reason.NO_ROOM
        return outcomes.Absent(reason=reason)
    return _choose_by_zone(
        in_own_zone, in_other_zones, own_zone_known, link_rtts, now, source
    )


def _choose_by_zone(
    in_own_zone: list[Target],
    in_other_zones: list[Target],
    own_zone_known: bool,
    link_rtts: collections.abc.Mapping[ids.ZoneId, float],
    now: float,
    source: random.Random,
) -> Selection:
    if not in_own_zone:
        why = (
            SelectionReason.OWN_ZONE_FULL
            if own_zone_known
            else SelectionReason.OWN_ZONE_EMPTY
        )
        return Selection(
            target=_choose_remote(in_other_zones, link_rtts, now, source),
            why=why,
        )
    own_choice = _better_of_two(in_own_zone, now, source)
    if not in_other_zones:
        return Selection(target=own_choice, why=SelectionReason.OWN_ZONE)
    own_cost = own_choice.cost(now)
    # The initial latency is taken as a lower bound of the response time in
    # another zone. Up to this cost the own zone is chosen without a draw of
    # an endpoint in another zone, which is the usual case.
    if own_cost <= SPILLOVER_FACTOR * INITIAL_LATENCY_S:
        return Selection(target=own_choice, why=SelectionReason.OWN_ZONE)
    remote = _choose_remote(in_other_zones, link_rtts, now, source)
    if own_cost > SPILLOVER_FACTOR * _remote_cost(
        remote, own_choice, link_rtts, now
    ):
        return Selection(target=remote, why=SelectionReason.OWN_ZONE_SLOW)
    return Selection(target=own_choice, why=SelectionReason.OWN_ZONE)


def _choose_remote(
    in_other_zones: list[Target],
    link_rtts: collections.abc.Mapping[ids.ZoneId, float],
    now: float,
    source: random.Random,
) -> Target:
    """Choose between two random endpoints of the nearest zones.

    Zones without an endpoint that can accept a request are left out.
    """
    nearest = min(_link_rtt(target, link_rtts) for target in in_other_zones)
    in_nearest_zones = [
        t
        for t in in_other_zones
        if _link_rtt(t, link_rtts) <= nearest * SPILLOVER_FACTOR
    ]
    return _better_of_two(in_nearest_zones, now, source)


def _remote_cost(
    remote: Target,
    own_choice: Target,
    link_rtts: collections.abc.Mapping[ids.ZoneId, float],
    now: float,
) -> float:
    if remote.limit.latency:
        # The measured latency already includes the round trip.
        return remote.cost(now)
    return own_choice.limit.min_latency + _link_rtt(remote, link_rtts)


def _link_rtt(
    target: Target, link_rtts: collections.abc.Mapping[ids.ZoneId, float]
) -> float:
    return link_rtts.get(target.endpoint.zone, INITIAL_LINK_RTT_S)


def _better_of_two(
    targets: list[Target], now: float, source: random.Random
) -> Target:
    first = _draw(targets, None, now, source)
    if len(targets) == 1:
        return first
    second = _draw(targets, first, now, source)
    return second if second.cost(now) < first.cost(now) else first


def _draw(
    targets: list[Target],
    excluded: Target | None,
    now: float,
    source: random.Random,
) -> Target:
    """Draw a random endpoint.

    An endpoint in its slow start is accepted only with the probability of its
    present share of the traffic; otherwise the draw is repeated.

    :param excluded: endpoint that must not be drawn, or None. ``targets`` must
        have another one.
    """
    count = len(targets) - (excluded is not None)
    target = targets[0]
    for _ in range(MAX_DRAWS):
        target = targets[int(source.random() * count)]
        if target is excluded:
            # The draw leaves out the last endpoint. Returning the last one in
            # place of the excluded one keeps the draw uniform.
            target = targets[-1]
        share = target.health.traffic_share(now)
        if share >= 1.0 or source.random() < share:
            return target
    return target
