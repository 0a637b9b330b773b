"""Faults that the proxy can inject."""

import dataclasses
import enum


class Kind(enum.Enum):
    """What happens to a connection.

    DELAY: each piece is late by ``seconds``. STALL: after ``after`` bytes
    nothing moves for ``seconds``, as after loss. RESET: both sides are reset.
    TRUNCATE: both sides are closed in order. HALF_OPEN: nothing moves any
    more and nobody is told. BLACK_HOLE: the same from the start. SLOW: 1 KB
    each ``seconds``. DUPLICATE: answers are sent twice, the second time
    ``seconds`` later. CROSS: answers of two connections are swapped.
    """

    NONE = "none"
    DELAY = "delay"
    STALL = "stall"
    RESET = "reset"
    TRUNCATE = "truncate"
    HALF_OPEN = "half-open"
    BLACK_HOLE = "black-hole"
    SLOW = "slow"
    DUPLICATE = "duplicate"
    CROSS = "cross"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault of one connection.

    :param up: whether ``after`` counts bytes towards the endpoint, otherwise
        bytes from it.
    :param after: bytes that pass unharmed.
    """

    kind: Kind = Kind.NONE
    up: bool = False
    after: int = 0
    seconds: float = 0.0
