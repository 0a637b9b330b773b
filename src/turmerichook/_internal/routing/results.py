"""What the end of an attempt teaches about its endpoint."""

from turmerichook._internal.logs import setup as logs
from turmerichook._internal.routing import concurrency
from turmerichook._internal.routing import events
from turmerichook._internal.routing import health as healths
from turmerichook._internal.routing import selection
from turmerichook._internal.routing import service_pools

LATENCY_WEIGHT = 0.1
LINK_WEIGHT = 0.2
LOAD_MAX = 1000.0
PAUSE_MAX_S = 0.5
# A request that ran out of time counts against the endpoint only if it got a
# fair amount of it; otherwise callers with short deadlines would eject
# endpoints that work.
FAIR_S = 0.25
FAIR_FACTOR = 5.0


def answered(lease: service_pools.Lease, *, latency: float, load: str) -> None:
    """Account for an answer of an endpoint that works.

    :param latency: seconds from the end of the request to the head of the
        answer.
    :param load: the endpoint's own report, or an empty text.
    """
    service_pool = lease.service_pool
    target = lease.target
    now = service_pool.now()
    report = _reported(lease, load)
    concurrency.answered(
        target.limit,
        latency=latency,
        in_flight=target.in_flight,
        now=now,
        load=report,
    )
    service_pool.latency += LATENCY_WEIGHT * (latency - service_pool.latency)
    service_pool.queue.ended(now, busy=len(service_pool.queue) > 0)
    if healths.succeed(target.health, now) is healths.Change.RETURNED:
        _log(events.RoutingEvent.ENDPOINT_RETURNED, target)


def refused(lease: service_pools.Lease, *, load: str) -> float:
    """Account for an endpoint that had no service_pool.

    The endpoint gets no request for the time that one of its exchanges takes.
    With many gateways even one request of each is too much, and each refused
    request would lose one of its few attempts.

    :returns: the length of this pause in seconds.
    """
    target = lease.target
    now = lease.service_pool.now()
    concurrency.refused(target.limit, now)
    _reported(lease, load)
    pause = min(
        target.limit.latency or lease.service_pool.latency, PAUSE_MAX_S
    )
    target.paused_until = now + pause
    return pause


def failed(lease: service_pools.Lease) -> None:
    """Account for an endpoint that failed."""
    service_pool = lease.service_pool
    ejected = sum(
        target.health.state is healths.State.EJECTED
        for target in service_pool.targets.values()
    )
    allowed = healths.may_eject(
        ejected=ejected, endpoints=len(service_pool.targets)
    )
    health = lease.target.health
    change = healths.fail(health, service_pool.now(), allowed=allowed)
    if change is healths.Change.EJECTED:
        _log(events.RoutingEvent.ENDPOINT_EJECTED, lease.target)


def late(lease: service_pools.Lease, *, waited: float) -> None:
    """Account for an endpoint that did not answer before the deadline."""
    service_pool = lease.service_pool
    limit = lease.target.limit
    if waited > limit.latency:
        concurrency.answered(
            limit, latency=waited, in_flight=0, now=service_pool.now()
        )
    if waited >= max(FAIR_S, FAIR_FACTOR * service_pool.latency):
        failed(lease)


def connected(lease: service_pools.Lease) -> None:
    """Take the time of a connection set-up as the cost of the link."""
    took = lease.pool.connect_time
    if took is None:
        return
    lease.pool.connect_time = None
    links = lease.service_pool.links
    zone = lease.target.endpoint.zone
    known = links.get(zone, took)
    links[zone] = known + LINK_WEIGHT * (took - known)


def _reported(lease: service_pools.Lease, load: str) -> float | None:
    """Note an endpoint's report and return it, None if there is none."""
    if not load:
        return None
    try:
        value = float(load)
    except ValueError:
        # A report that cannot be read is as good as none.
        return None
    if not 0.0 <= value <= LOAD_MAX:
        return None
    lease.target.load = value
    lease.target.load_at = lease.service_pool.now()
    return value


def _log(event: events.RoutingEvent, target: selection.Target) -> None:
    logs.emit(
        event,
        service=target.endpoint.service,
        endpoint=target.endpoint.address,
        task=target.endpoint.task,
        zone=target.endpoint.zone,
        ejections=target.health.ejections,
    )
