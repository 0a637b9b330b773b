"""Stream messages that zone owners publish to other processes."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndpointTable:
    """All endpoints of the services in one zone.

    ``endpoints`` is a list of ``[service, task, address, slots, connections,
    leaving]``, where ``leaving`` is true for an endpoint that is about to
    stop. A table replaces the zone's earlier one if its ``(epoch, sequence)``
    is higher.
    """

    zone: str
    epoch: int
    sequence: int
    endpoints: list


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndpointsConfirmed:
    """The zone's endpoint table has not changed since it was last sent.

    Sent in place of the unchanged table, which may hold a thousand endpoints.

    :param sequence: sequence number that the unchanged table would have had.
    :param table: sequence number of the table that was last sent.
    """

    zone: str
    epoch: int
    sequence: int
    table: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ZoneStatus:
    """Load of a zone, published by its owner.

    :param owner: node id of the scheduler process that runs the owner.
    :param waiting: number of tasks that wait for a start.
    :param running: number of tasks that run or may run.
    :param oldest_s: age of the oldest waiting task in seconds.
    :param sequence: orders the messages of one epoch.
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
    """A former owner has stopped renewing the leases of the zone's tasks.

    :param epoch: epoch of the former owner.
    :param ages: for each worker that had answered the former owner, seconds
        from the last lease renewal to the sending of this message.
    :param checkpoints: ``[attempt, checkpoint]`` for each task whose end was
        reported to the former owner, which could not write it to the journal.
    """

    zone: str
    epoch: int
    ages: dict
    checkpoints: dict = dataclasses.field(default_factory=dict)
