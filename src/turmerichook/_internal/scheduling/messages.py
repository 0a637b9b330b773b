"""Messages from zone owners to other processes."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndpointTable:
    """All endpoints of the services in one zone.

    ``endpoints`` is a list of ``[service, task, address, slots, connections,
    leaving]``. A table replaces the zone's earlier one if its
    ``(epoch, sequence)`` is higher.
    """

    zone: str
    epoch: int
    sequence: int
    endpoints: list


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndpointsConfirmed:
    """The zone's table has not changed since the one with ``table``.

    Sent in place of a table without changes, which may hold a thousand
    endpoints.
    """

    zone: str
    epoch: int
    sequence: int
    table: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ZoneStatus:
    """Load of a zone, from its owner.

    :param waiting: tasks that wait for a start.
    :param oldest_s: age of the oldest of them in seconds.
    :param sequence: number of the status in the epoch.
    :param capacity: processors of the zone's live hosts in millicores.
    :param urgencies: for each urgency ``[waiting, running, oldest_s]``.
    """

    zone: str
    epoch: int
    owner: str
    waiting: int
    running: int
    oldest_s: float
    capacity: int = 0
    sequence: int = 0
    urgencies: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ZoneReleased:
    """A former owner no longer renews the zone's tasks.

    :param epoch: epoch of the former owner.
    :param ages: seconds since its last renewal of each worker that it had
        reached, when the message was sent.
    :param checkpoints: ``[attempt, checkpoint]`` of each task whose end the
        former owner knew but could not write to the journal.
    """

    zone: str
    epoch: int
    ages: dict
    checkpoints: dict = dataclasses.field(default_factory=dict)
