"""Log events of the storage slice, numbers 2100 to 2199."""

from turmerichook._internal.logs import events


class StorageEvent(events.EventEnum):
    """The store and what is read from it."""

    FEED_LOST = events.Event(
        number=2100,
        level=events.Level.WARNING,
        summary="changes below a prefix can no longer be read",
    )
    FEED_REGAINED = events.Event(
        number=2101,
        level=events.Level.INFO,
        summary="changes below a prefix can be read again",
    )
    HISTORY_LOST = events.Event(
        number=2102,
        level=events.Level.WARNING,
        summary="changes were missed; all items are read again",
    )
    STORE_LOST = events.Event(
        number=2103,
        level=events.Level.WARNING,
        summary="the store does not answer this process",
    )
    STORE_REGAINED = events.Event(
        number=2104,
        level=events.Level.INFO,
        summary="the store answers this process again",
    )
