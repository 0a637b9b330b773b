"""Network faults that the test proxy can inject."""

import dataclasses
import enum


class Kind(enum.Enum):
    """What the proxy does to a connection.

    DELAY: each chunk is forwarded ``seconds`` late. STALL: after ``after``
    bytes no data is forwarded for ``seconds``, as after packet loss. RESET:
    both connections are reset. TRUNCATE: both connections are closed normally.
    HALF_OPEN: no more data is forwarded, and neither side is notified.
    BLACK_HOLE: the same as HALF_OPEN, but from the start of the connection.
    SLOW: 1 KiB is forwarded every ``seconds``. DUPLICATE: each response is
    sent twice, the second time ``seconds`` later. CROSS: the responses of two
    connections are swapped.
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
    """A fault injected into one connection.

    :param up: whether ``after`` counts bytes sent to the endpoint; otherwise
        it counts bytes received from the endpoint.
    :param after: number of bytes forwarded before the fault begins.
    """

    kind: Kind = Kind.NONE
    up: bool = False
    after: int = 0
    seconds: float = 0.0
