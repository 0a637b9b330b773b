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
    ENDPOINT_EJECTED = events.Event(
        number=6005,
        level=events.Level.WARNING,
        summary="an endpoint fails and gets no requests for a while",
    )
    ENDPOINT_RETURNED = events.Event(
        number=6006,
        level=events.Level.INFO,
        summary="an endpoint that was ejected answers again",
    )
    ENDPOINTS_OLD = events.Event(
        number=6007,
        level=events.Level.WARNING,
        summary="the endpoints of a zone were not confirmed for long",
    )
    CALLER_GONE = events.Event(
        number=6008,
        level=events.Level.INFO,
        summary="a caller broke off before its exchange had ended",
    )
    REQUEST_FAILED = events.Event(
        number=6009,
        level=events.Level.ERROR,
        summary="a request ended with an unexpected error in the gateway",
    )
    JOB_ACCEPTED = events.Event(
        number=6010,
        level=events.Level.INFO,
        summary="a job was accepted and is durable",
    )
    STOPPING = events.Event(
        number=6011,
        level=events.Level.INFO,
        summary="the gateway stops and tells the load balancer first",
    )
