"""Request bodies that can be sent again to another endpoint."""

from turmerichook._internal.http import server
from turmerichook import exceptions

# Kept of one body, and of all bodies of this process together.
KEEP_BYTES = 32 * 1024
KEEP_ALL_BYTES = 1024 * 1024


class ReplayBudget:
    """Bytes that all kept bodies may still take."""

    def __init__(self, *, size: int = KEEP_ALL_BYTES):
        self.left = size

    def take(self, size: int) -> bool:
        """Reserve bytes if enough are left."""
        if size > self.left:
            return False
        self.left -= size
        return True


class ReplayBody:
    """The body of a caller's request.

    What has been read is kept up to a bound. Beyond it the body cannot be
    sent a second time, and ``replayable`` is false.

    :param limit: largest body in bytes that is relayed.
    """

    def __init__(
        self, *, exchange: server.Exchange, budget: ReplayBudget, limit: int
    ):
        self.exchange = exchange
        self.budget = budget
        self.limit = limit
        self.kept: list[bytes] = []
        self.kept_bytes = 0
        self.total = 0
        self.ended = False
        self.replayable = True

    async def piece(self, number: int) -> bytes | None:
        """Return the piece with a number, counted from 0; None at the end.

        An attempt asks for 0, 1, 2 and so on. A call that is cancelled loses
        nothing.

        :raises TurmerichookError: if the caller broke off.
        :raises BodyTooLargeError: if the body exceeds the limit.
        """
        if number < len(self.kept):
            return self.kept[number]
        if self.ended:
            return None
        piece = await self.exchange.next_piece()
        if piece is None:
            self.ended = True
            return None
        self.total += len(piece)
        if self.total > self.limit:
            raise exceptions.BodyTooLargeError(
                message="the request body exceeds the limit",
                context=f"{self.limit} bytes",
            )
        self._keep(piece)
        return piece

    def forget(self) -> None:
        """Give the bytes of the kept pieces back."""
        self.replayable = False
        self.budget.left += self.kept_bytes
        self.kept_bytes = 0
        self.kept = []

    def _keep(self, piece: bytes) -> None:
        if not self.replayable:
            return
        size = len(piece)
        if self.kept_bytes + size > KEEP_BYTES or not self.budget.take(size):
            self.forget()
            return
        self.kept.append(piece)
        self.kept_bytes += size
