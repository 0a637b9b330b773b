"""Log events of the gateway."""

from turmerichook._internal.logs import events


class RoutingEvent(events.EventEnum):
    """Log events with the numbers 6000 to 6999."""

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
        summary="an exchange with an endpoint failed or was cut off",
    )
    ENDPOINTS_CHANGED = events.Event(
        number=6004,
        level=events.Level.INFO,
        summary="the endpoints of a zone have changed",
    )
    ENDPOINT_EJECTED = events.Event(
        number=6005,
        level=events.Level.WARNING,
        summary="an endpoint was ejected for a time because of failures",
    )
    ENDPOINT_RETURNED = events.Event(
        number=6006,
        level=events.Level.INFO,
        summary="an ejected endpoint passed its probes and is back in use",
    )
    ENDPOINTS_OLD = events.Event(
        number=6007,
        level=events.Level.WARNING,
        summary="the owner has not confirmed a zone's endpoints in time",
    )
    CALLER_GONE = events.Event(
        number=6008,
        level=events.Level.INFO,
        summary="a caller disconnected or failed before its exchange ended",
    )
    REQUEST_FAILED = events.Event(
        number=6009,
        level=events.Level.ERROR,
        summary="a request failed on an unexpected error in the gateway",
    )
    JOBS_CANCELLED = events.Event(
        number=6090,
        level=events.Level.INFO,
        summary="a batch of job cancellations was accepted and is durable",
    )
    JOB_ACCEPTED = events.Event(
        number=6010,
        level=events.Level.INFO,
        summary="a job was accepted and is durable",
    )
    STOPPING = events.Event(
        number=6020,
        level=events.Level.INFO,
        summary="the gateway is stopping and reports itself as not ready",
    )
