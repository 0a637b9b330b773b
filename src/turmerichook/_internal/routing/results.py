"""What the end of an attempt teaches about its endpoint."""

from turmerichook._internal.logs import setup as logs
from turmerichook._internal.routing import concurrency
from turmerichook._internal.routing import events
from turmerichook._internal.routing import health as healths
from turmerichook._internal.routing import rooms
from turmerichook._internal.routing import selection

LATENCY_WEIGHT = 0.1
LINK_WEIGHT = 0.2
LOAD_MAX = 1000.0
# A request that ran out of time counts against the endpoint only if it got a
# fair amount of it; otherwise callers with short deadlines would eject
# endpoints that work.
FAIR_S = 0.25
FAIR_FACTOR = 5.0


def answered(lease: rooms.Lease, *, latency: float, load: str) -> None:
    """Account for an answer of an endpoint that works.

    :param latency: seconds from the end of the request to the head of the
        answer.
    :param load: the endpoint's own report, or an empty text.
    """
    room = lease.room
    target = lease.target
    now = room.now()
    concurrency.answered(
        target.limit, latency=latency, in_flight=target.in_flight, now=now
    )
    room.latency += LATENCY_WEIGHT * (latency - room.latency)
    room.queue.ended(now, busy=len(room.queue) > 0)
    _reported(lease, load)
    if healths.succeed(target.health, now) is healths.Change.RETURNED:
        _log(events.RoutingEvent.ENDPOINT_RETURNED, target)


def refused(lease: rooms.Lease, *, load: str) -> None:
    """Account for an endpoint that had no room."""
    concurrency.refused(lease.target.limit, lease.room.now())
    _reported(lease, load)


def failed(lease: rooms.Lease) -> None:
    """Account for an endpoint that failed."""
    room = lease.room
    ejected = sum(
        target.health.state is healths.State.EJECTED
        for target in room.targets.values()
    )
    allowed = healths.may_eject(ejected=ejected, endpoints=len(room.targets))
    health = lease.target.health
    change = healths.fail(health, room.now(), allowed=allowed)
    if change is healths.Change.EJECTED:
        _log(events.RoutingEvent.ENDPOINT_EJECTED, lease.target)


def late(lease: rooms.Lease, *, waited: float) -> None:
    """Account for an endpoint that did not answer before the deadline."""
    room = lease.room
    limit = lease.target.limit
    if waited > limit.latency:
        concurrency.answered(
            limit, latency=waited, in_flight=0, now=room.now()
        )
    if waited >= max(FAIR_S, FAIR_FACTOR * room.latency):
        failed(lease)


def connected(lease: rooms.Lease) -> None:
    """Take the time of a connection set-up as the cost of the link."""
    took = lease.pool.connect_time
    if took is None:
        return
    lease.pool.connect_time = None
    links = lease.room.links
    zone = lease.target.endpoint.zone
    known = links.get(zone, took)
    links[zone] = known + LINK_WEIGHT * (took - known)


def _reported(lease: rooms.Lease, load: str) -> None:
    if not load:
        return
    try:
        value = float(load)
    except ValueError:
        # A report that cannot be read is as good as none.
        return
    if 0.0 <= value <= LOAD_MAX:
        lease.target.load = value
        lease.target.load_at = lease.room.now()


def _log(event: events.RoutingEvent, target: selection.Target) -> None:
    logs.emit(
        event,
        service=target.endpoint.service,
        endpoint=target.endpoint.address,
        task=target.endpoint.task,
        zone=target.endpoint.zone,
        ejections=target.health.ejections,
    )
