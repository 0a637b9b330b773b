"""Adaptive limit on the requests in flight at one endpoint.

The limit starts at the gateway's share of the endpoint's slots. It grows
while it is used and the endpoint keeps up, and shrinks when the endpoint
refuses or its latency rises, so that gateways with more callers get more of
the slots than idle ones.
"""

import dataclasses

# Rise of latency over its recent minimum that is taken for queueing.
LATENCY_FACTOR = 2.0
LATENCY_MARGIN_S = 0.005
LATENCY_WEIGHT = 0.2
# The recent minimum covers one to two windows.
WINDOW_S = 10.0
REFUSED_FACTOR = 0.7
SLOWER_FACTOR = 0.9
# Limits shrink at most once in this time, since the answers of one burst all
# tell of the same queue.
SHRINK_INTERVAL_S = 0.1
FLOOR = 1.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Limit:
    """The limit and what it is derived from; times in seconds.

    :param value: requests in flight; its whole part counts.
    :param ceiling: the endpoint's slots or the connections that this gateway
        may open, whichever is less.
    """

    value: float
    ceiling: float
    latency: float = 0.0
    lowest: float = 0.0
    window_lowest: float = 0.0
    window_until: float = 0.0
    shrunk: float = -1.0

    @property
    def allowed(self) -> int:
        """Requests that may be in flight now."""
        return int(self.value)


def start(*, share: float, ceiling: int) -> Limit:
    """Return the limit of an endpoint that is not known yet."""
    value = min(max(FLOOR, share), float(max(1, ceiling)))
    return Limit(value=value, ceiling=float(max(1, ceiling)))


def answered(limit: Limit, *, latency: float, in_flight: int, now: float):
    """Account for an answer.

    :param latency: time to the head of the response, without the time in
        this gateway's queue.
    :param in_flight: requests in flight before the answer, this one included.
    """
    if limit.latency:
        limit.latency += LATENCY_WEIGHT * (latency - limit.latency)
    else:
        limit.latency = latency
    _roll(limit, now)
    bound = limit.lowest * LATENCY_FACTOR + LATENCY_MARGIN_S
    if limit.latency > bound:
        _shrink(limit, SLOWER_FACTOR, now)
    elif in_flight >= limit.allowed:
        limit.value = min(limit.ceiling, limit.value + 1.0 / limit.value)


def refused(limit: Limit, now: float) -> None:
    """Account for an endpoint that had no room."""
    _shrink(limit, REFUSED_FACTOR, now)


def _roll(limit: Limit, now: float) -> None:
    if now >= limit.window_until:
        limit.lowest = limit.window_lowest or limit.latency
        limit.window_lowest = limit.latency
        limit.window_until = now + WINDOW_S
    limit.window_lowest = min(limit.window_lowest, limit.latency)
    limit.lowest = min(limit.lowest, limit.window_lowest)


def _shrink(limit: Limit, factor: float, now: float) -> None:
    if now - limit.shrunk < SHRINK_INTERVAL_S:
        return
    limit.shrunk = now
    limit.value = max(FLOOR, limit.value * factor)
