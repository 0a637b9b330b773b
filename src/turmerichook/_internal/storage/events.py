"""Log events of the storage package, numbers 2100 to 2199."""

from turmerichook._internal.logs import events


class StorageEvent(events.EventEnum):
    """Events about the store and the feeds of changes read from it."""

    FEED_LOST = events.Event(
        number=2100,
        level=events.Level.WARNING,
        summary="changes to the keys below a prefix can no longer be read",
    )
    FEED_REGAINED = events.Event(
        number=2101,
        level=events.Level.INFO,
        summary="changes to the keys below a prefix can be read again",
    )
    HISTORY_LOST = events.Event(
        number=2102,
        level=events.Level.WARNING,
        summary="changes below a prefix were missed; all items are reread",
    )
    STORE_LOST = events.Event(
        number=2103,
        level=events.Level.WARNING,
        summary="all calls to the store have failed for at least 1.2 s",
    )
    STORE_REGAINED = events.Event(
        number=2104,
        level=events.Level.INFO,
        summary="a call to the store has succeeded again",
    )
    ITEM_FAILED = events.Event(
        number=2106,
        level=events.Level.ERROR,
        summary="an item or a change caused an unexpected error; the others"
        " are applied",
        limit=50,
    )
    ROW_UNREADABLE = events.Event(
        number=2105,
        level=events.Level.WARNING,
        summary="one row of the store's answer is not as expected; the others"
        " are read",
        limit=50,
    )
