"""Messages between the entry hosts' processes."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Hello:
    """First message on a connection.

    :param role: ``gateway`` or ``scheduler``.
    :param incarnation: start time of the process in milliseconds.
    :param address: ``ip:port`` of the process's own stream listener.
    """

    node: str
    role: str
    zone: str
    incarnation: int
    address: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """Sign of life.

    :param generation: newest configuration that the process applies.
    :param owned: epoch of each zone that the process owns.
    :param digest: first bytes of the configuration's digest.
    :param rejected: newest configuration that the process does not
        understand, 0 for none.
    :param reads: whether the process reads the store's head without error.
    :param floor: in an answer to ``Hello``: the highest generation that the
        process with that node name is known to have applied before.
    :param gateways: for each zone, the number of live gateways and the age
        of that number in seconds.
    """

    node: str
    generation: int
    owned: dict
    digest: bytes = b""
    rejected: int = 0
    reads: bool = False
    floor: int = 0
    gateways: dict = dataclasses.field(default_factory=dict)
