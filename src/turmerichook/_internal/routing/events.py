"""Log events of the routing slice."""

from turmerichook._internal.logs import events


class RoutingEvent(events.EventEnum):
    """Numbers 6000 to 6999."""

    REQUEST_ROUTED = events.Event(
        number=6001,
        level=events.Level.INFO,
        summary="a request was sent to an endpoint",
    )
    REQUEST_REFUSED = events.Event(
        number=6002,
        level=events.Level.INFO,
        summary="a request was refused",
    )
    EXCHANGE_FAILED = events.Event(
        number=6003,
        level=events.Level.WARNING,
        summary="an exchange with an endpoint did not end cleanly",
    )
    ENDPOINTS_CHANGED = events.Event(
        number=6004,
        level=events.Level.INFO,
        summary="the endpoints of a zone have changed",
    )
    JOB_ACCEPTED = events.Event(
        number=6010,
        level=events.Level.INFO,
        summary="a job was accepted and is durable",
    )
