"""Log events of the membership slice."""

from turmerichook._internal.logs import events


class MembershipEvent(events.EventEnum):
    """Numbers 4100 to 4199."""

    JOINED = events.Event(
        number=4101,
        level=events.Level.INFO,
        summary="a peer was heard for the first time or again",
    )
    REPLACED = events.Event(
        number=4102,
        level=events.Level.INFO,
        summary="a peer was replaced by a new process",
    )
    GONE = events.Event(
        number=4103,
        level=events.Level.WARNING,
        summary="a peer was not heard for 10 s",
    )
    STALE = events.Event(
        number=4104,
        level=events.Level.WARNING,
        summary="a process that was replaced still sends messages",
    )
    WATCHING = events.Event(
        number=4105,
        level=events.Level.INFO,
        summary="this process now watches the store for its zone",
    )
    LEASE_FAILED = events.Event(
        number=4106,
        level=events.Level.WARNING,
        summary="the process cannot be recorded in the store",
    )
    SUPERSEDED = events.Event(
        number=4107,
        level=events.Level.ERROR,
        summary="another process uses this node name since later",
    )
