"""Membership messages between the processes on the entry hosts."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Hello:
    """First message on a connection, which identifies the sender.

    :param role: ``gateway`` or ``scheduler``.
    :param incarnation: start time of the process in milliseconds since the
        Unix epoch. Of two processes with one node name, the one with the
        higher incarnation replaces the other.
    :param address: ``ip:port`` of the process's own stream listener.
    """

    node: str
    role: str
    zone: str
    incarnation: int
    address: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """Periodic report that the sender is alive, with its status.

    :param generation: generation of the configuration in force in the sender.
    :param owned: epoch of each zone that the sender owns.
    :param digest: first bytes of that configuration's digest.
    :param rejected: newest generation that the sender cannot interpret; 0 for
        none.
    :param reads: whether the sender's last read of the configuration head in
        the store succeeded.
    :param floor: set only in the answer to a ``Hello``: the highest
        generation that the process which sent the ``Hello``, or an earlier
        process with its node name, has reported; 0 if unknown.
    :param gateways: for each zone, the number of live gateways and the age
        of that count in seconds.
    """

    node: str
    generation: int
    owned: dict
    digest: bytes = b""
    rejected: int = 0
    reads: bool = False
    floor: int = 0
    gateways: dict = dataclasses.field(default_factory=dict)
