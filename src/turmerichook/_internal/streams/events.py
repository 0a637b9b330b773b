"""Log events of the streams."""

from turmerichook._internal.logs import events


class StreamEvent(events.EventEnum):
    """Numbers 4000 to 4099."""

    PROTOCOL_BROKEN = events.Event(
        number=4001,
        level=events.Level.WARNING,
        summary="a peer was cut off because it broke the stream protocol",
    )
    REFUSED = events.Event(
        number=4002,
        level=events.Level.WARNING,
        summary="a stream connection was refused because there are too many",
    )
