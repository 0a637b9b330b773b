"""Log events of the configuration slice."""

from turmerichook._internal.logs import events


class ConfigurationEvent(events.EventEnum):
    """Numbers 3000 to 3999."""

    IN_FORCE = events.Event(
        number=3001,
        level=events.Level.INFO,
        summary="a configuration generation is in force in this process",
    )
    REJECTED = events.Event(
        number=3002,
        level=events.Level.ERROR,
        summary="a configuration generation is not understood here",
    )
    STORE_UNREADABLE = events.Event(
        number=3003,
        level=events.Level.WARNING,
        summary="the configuration cannot be read from the store",
    )
    DAMAGED = events.Event(
        number=3004,
        level=events.Level.ERROR,
        summary="a configuration bundle differs from its digest",
    )
    STORE_BEHIND = events.Event(
        number=3005,
        level=events.Level.ERROR,
        summary="the store holds an older generation than this process",
    )
    DIGESTS_DIFFER = events.Event(
        number=3006,
        level=events.Level.ERROR,
        summary="the store holds other files under the same generation",
    )
    OLDER_REFUSED = events.Event(
        number=3007,
        level=events.Level.ERROR,
        summary="only generations older than before the restart were found",
    )
