"""Adaptive concurrency limit for the requests in flight at one endpoint.

The limit starts at the gateway's share of the endpoint's slots. It grows
while all of it is in use and the latency stays low. It shrinks when the
endpoint rejects a request, reports queued requests or gets slower. Gateways
with more callers thus get more of the slots than idle gateways.
"""

import dataclasses

# A smoothed latency above the recent minimum times this factor plus this
# margin is taken as a sign that requests queue at the endpoint.
LATENCY_FACTOR = 2.0
LATENCY_MARGIN_S = 0.005
# Weight of a new measurement in the smoothed latency.
LATENCY_SMOOTHING = 0.2
# The recent minimum of the latency covers one to two windows of this length.
WINDOW_S = 10.0
REJECTION_SHRINK_FACTOR = 0.7
LATENCY_SHRINK_FACTOR = 0.9
# A limit shrinks at most once in this time, since the responses to one burst
# of requests all report the same queue.
SHRINK_INTERVAL_S = 0.1
MIN_LIMIT = 1.0
# Thresholds of the load that an endpoint reports: the requests that it
# processes or queues, divided by its slots. From the first one on the limit
# does not grow; above the second one it shrinks.
FULL_LOAD = 1.0
QUEUED_LOAD = 1.25


@dataclasses.dataclass(kw_only=True, slots=True)
class Limit:
    """Concurrency limit of an endpoint; times are in seconds.

    :param value: current limit, of which the integer part applies.
    :param ceiling: maximum of the limit: the endpoint's slots or the
        connections that this gateway may open, whichever is less.
    :param latency: smoothed latency, 0 until the first measurement.
    :param min_latency: minimum of the smoothed latency over the present
        window and the one before.
    :param window_min_latency: minimum over the present window.
    :param window_end: end of the present window.
    :param last_shrink: time at which the limit shrank last.
    """

    value: float
    ceiling: float
    latency: float = 0.0
    min_latency: float = 0.0
    window_min_latency: float = 0.0
    window_end: float = 0.0
    last_shrink: float = -1.0

    @property
    def max_in_flight(self) -> int:
        """Maximum number of requests in flight."""
        return int(self.value)


def initial_limit(*, share: float, ceiling: int) -> Limit:
    """Return the limit of a newly discovered endpoint.

    :param share: this gateway's share of the endpoint's slots.
    """
    value = min(max(MIN_LIMIT, share), float(max(1, ceiling)))
    return Limit(value=value, ceiling=float(max(1, ceiling)))


def record_response(
    limit: Limit,
    *,
    latency: float,
    in_flight: int,
    now: float,
    load: float | None = None,
) -> None:
    """Update the limit after a response.

    :param latency: seconds until the head of the response, without the time
        in this gateway's queue.
    :param in_flight: requests in flight before the response, including the
        one that was answered.
    :param load: load that the endpoint reported, or None.
    """
    if limit.latency:
        limit.latency += LATENCY_SMOOTHING * (latency - limit.latency)
    else:
        limit.latency = latency
    _update_min_latency(limit, now)
    latency_threshold = limit.min_latency * LATENCY_FACTOR + LATENCY_MARGIN_S
    if load is not None and load >= FULL_LOAD:
        # All slots of the endpoint are busy. If the limit grew until the
        # endpoint rejected requests, each rejected request would lose one of
        # its few attempts.
        if load > QUEUED_LOAD:
            _shrink(limit, LATENCY_SHRINK_FACTOR, now)
    elif limit.latency > latency_threshold:
        _shrink(limit, LATENCY_SHRINK_FACTOR, now)
    elif in_flight >= limit.max_in_flight:
        limit.value = min(limit.ceiling, limit.value + 1.0 / limit.value)


def record_rejection(limit: Limit, now: float) -> None:
    """Shrink the limit after the endpoint rejected a request as overloaded."""
    _shrink(limit, REJECTION_SHRINK_FACTOR, now)


def _update_min_latency(limit: Limit, now: float) -> None:
    if now >= limit.window_end:
        limit.min_latency = limit.window_min_latency or limit.latency
        limit.window_min_latency = limit.latency
        limit.window_end = now + WINDOW_S
    limit.window_min_latency = min(limit.window_min_latency, limit.latency)
    limit.min_latency = min(limit.min_latency, limit.window_min_latency)


def _shrink(limit: Limit, factor: float, now: float) -> None:
    if now - limit.last_shrink < SHRINK_INTERVAL_S:
        return
    limit.last_shrink = now
    limit.value = max(MIN_LIMIT, limit.value * factor)
