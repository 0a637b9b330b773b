"""Log events of the streams."""

from turmerichook._internal.logs import events


class StreamEvent(events.EventEnum):
    """Stream events, numbers 4000 to 4099."""

    PROTOCOL_BROKEN = events.Event(
        number=4001,
        level=events.Level.WARNING,
        summary="a peer was disconnected because it broke the stream protocol",
    )
    REFUSED = events.Event(
        number=4002,
        level=events.Level.WARNING,
        summary="a stream connection was refused: the limit of 256 is reached",
    )
