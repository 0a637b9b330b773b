"""Updates of an endpoint's state after an attempt.

The result of each attempt updates the health, concurrency limit, load and
latency that the gateway keeps for the endpoint.
"""

from turmerichook._internal.logs import setup as logs
from turmerichook._internal.routing import concurrency
from turmerichook._internal.routing import events
from turmerichook._internal.routing import health as healths
from turmerichook._internal.routing import selection
from turmerichook._internal.routing import service_pools

# Weight of a new measurement in the smoothed latency of a service and in the
# smoothed round-trip time to a zone.
LATENCY_SMOOTHING = 0.1
LINK_RTT_SMOOTHING = 0.2
# Reported loads above this value are ignored as invalid.
MAX_REPORTED_LOAD = 1000.0
# Maximum time without requests for an endpoint that has rejected one.
MAX_PAUSE_S = 0.5
# A request whose deadline passes counts as a failure of the endpoint only if
# the endpoint had at least this time, and at least this multiple of the
# service's latency, to respond. Otherwise callers with short deadlines would
# get working endpoints ejected.
MIN_FAILURE_WAIT_S = 0.25
FAILURE_WAIT_FACTOR = 5.0


def record_response(
    lease: service_pools.Lease, *, latency: float, load: str
) -> None:
    """Record a successful response.

    :param latency: seconds from the end of the request to the head of the
        response.
    :param load: value of the header ``Endpoint-Load``, or an empty string.
    """
    service_pool = lease.service_pool
    target = lease.target
    now = service_pool.now()
    report = _record_load(lease, load)
    concurrency.record_response(
        target.limit,
        latency=latency,
        in_flight=target.in_flight,
        now=now,
        load=report,
    )
    service_pool.latency += LATENCY_SMOOTHING * (
        latency - service_pool.latency
    )
    service_pool.queue.record_completion(
        now, requests_waiting=len(service_pool.queue) > 0
    )
    if healths.record_success(target.health, now) is healths.Change.RETURNED:
        _log_endpoint(events.RoutingEvent.ENDPOINT_RETURNED, target)


def record_rejection(lease: service_pools.Lease, *, load: str) -> float:
    """Record that an endpoint rejected a request as overloaded.

    The endpoint gets no request from this gateway for the duration of one
    exchange. If there are many gateways, even one request from each can
    overload an endpoint, and each rejected request would lose one of its few
    attempts.

    :param load: value of the header ``Endpoint-Load``, or an empty string.
    :returns: the duration of this pause in seconds.
    """
    target = lease.target
    now = lease.service_pool.now()
    concurrency.record_rejection(target.limit, now)
    _record_load(lease, load)
    pause = min(
        target.limit.latency or lease.service_pool.latency, MAX_PAUSE_S
    )
    target.paused_until = now + pause
    return pause


def record_failure(lease: service_pools.Lease) -> None:
    """Record a failed attempt and eject the endpoint if necessary."""
    service_pool = lease.service_pool
    ejected = sum(
        target.health.state is healths.State.EJECTED
        for target in service_pool.targets.values()
    )
    may_be_ejected = healths.may_eject(
        ejected=ejected, endpoints=len(service_pool.targets)
    )
    health = lease.target.health
    change = healths.record_failure(
        health, service_pool.now(), may_be_ejected=may_be_ejected
    )
    if change is healths.Change.EJECTED:
        _log_endpoint(events.RoutingEvent.ENDPOINT_EJECTED, lease.target)


def record_late_response(lease: service_pools.Lease, *, waited: float) -> None:
    """Record that an endpoint did not respond before the deadline.

    :param waited: seconds that the endpoint had to respond.
    """
    service_pool = lease.service_pool
    limit = lease.target.limit
    if waited > limit.latency:
        concurrency.record_response(
            limit, latency=waited, in_flight=0, now=service_pool.now()
        )
    if waited >= max(
        MIN_FAILURE_WAIT_S, FAILURE_WAIT_FACTOR * service_pool.latency
    ):
        record_failure(lease)


def record_connect_time(lease: service_pools.Lease) -> None:
    """Update the round-trip time to the endpoint's zone.

    The time in which the connection was established is taken as one round
    trip. If the connection was reused, there is no new measurement.
    """
    connect_time = lease.pool.connect_time
    if connect_time is None:
        return
    lease.pool.connect_time = None
    link_rtts = lease.service_pool.link_rtts
    zone = lease.target.endpoint.zone
    previous = link_rtts.get(zone, connect_time)
    link_rtts[zone] = previous + LINK_RTT_SMOOTHING * (connect_time - previous)


def _record_load(lease: service_pools.Lease, load: str) -> float | None:
    """Record the load that an endpoint reported; return it if it is valid."""
    if not load:
        return None
    try:
        value = float(load)
    except ValueError:
        # A malformed report is ignored.
        return None
    if not 0.0 <= value <= MAX_REPORTED_LOAD:
        return None
    lease.target.load = value
    lease.target.load_at = lease.service_pool.now()
    return value


def _log_endpoint(
    event: events.RoutingEvent, target: selection.Target
) -> None:
    logs.emit(
        event,
        service=target.endpoint.service,
        endpoint=target.endpoint.address,
        task=target.endpoint.task,
        zone=target.endpoint.zone,
        ejections=target.health.ejections,
    )
