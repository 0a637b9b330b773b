"""Log events of the configuration component."""

from turmerichook._internal.logs import events


class ConfigurationEvent(events.EventEnum):
    """Events of the configuration component, numbered 3000 to 3999."""

    IN_FORCE = events.Event(
        number=3001,
        level=events.Level.INFO,
        summary="a configuration generation is in force in this process",
    )
    REJECTED = events.Event(
        number=3002,
        level=events.Level.ERROR,
        summary="rejected a generation that this software version cannot use",
    )
    STORE_UNREADABLE = events.Event(
        number=3003,
        level=events.Level.WARNING,
        summary="the configuration cannot be read from the store",
    )
    DAMAGED = events.Event(
        number=3004,
        level=events.Level.ERROR,
        summary="a configuration bundle does not match its digest",
    )
    STORE_BEHIND = events.Event(
        number=3005,
        level=events.Level.ERROR,
        summary="the store has an older generation than this process",
    )
    DIGESTS_DIFFER = events.Event(
        number=3006,
        level=events.Level.ERROR,
        summary="the store has different files for the same generation",
    )
    OLDER_REFUSED = events.Event(
        number=3007,
        level=events.Level.ERROR,
        summary="refused a generation older than that before the restart",
    )
