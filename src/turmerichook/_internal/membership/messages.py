"""Messages between the entry hosts' processes."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Hello:
    """First message on a connection.

    :param role: ``gateway`` or ``scheduler``.
    :param incarnation: start time of the process in milliseconds.
    """

    node: str
    role: str
    zone: str
    incarnation: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """Sign of life.

    :param generation: newest configuration that the process applies.
    :param owned: epoch of each zone that the process owns.
    """

    node: str
    generation: int
    owned: dict
