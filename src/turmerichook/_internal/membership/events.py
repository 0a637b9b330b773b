"""Log events of the membership package."""

from turmerichook._internal.logs import events


class MembershipEvent(events.EventEnum):
    """Membership events, numbers 4100 to 4199."""

    JOINED = events.Event(
        number=4101,
        level=events.Level.INFO,
        summary="a peer was detected, for the first time or again",
    )
    REPLACED = events.Event(
        number=4102,
        level=events.Level.INFO,
        summary="a peer was replaced by a process that started later",
    )
    GONE = events.Event(
        number=4103,
        level=events.Level.WARNING,
        summary="a peer was not heard for 13 s",
    )
    STALE = events.Event(
        number=4104,
        level=events.Level.WARNING,
        summary="a process that has been replaced still sends messages",
    )
    WATCHING = events.Event(
        number=4105,
        level=events.Level.INFO,
        summary="this process now watches the store on behalf of its zone",
    )
    LEASE_FAILED = events.Event(
        number=4106,
        level=events.Level.WARNING,
        summary="the membership record or its lease cannot be updated",
    )
    SUPERSEDED = events.Event(
        number=4107,
        level=events.Level.ERROR,
        summary="another process that started later uses this node name",
    )
