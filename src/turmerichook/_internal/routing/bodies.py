"""Request bodies that are buffered for a retry at another endpoint."""

from turmerichook._internal.http import server
from turmerichook import exceptions

# Limits of the buffered bytes of one body and of all bodies of the process.
MAX_KEPT_BYTES = 32 * 1024
MAX_KEPT_BYTES_TOTAL = 1024 * 1024


class ReplayBudget:
    """Bytes that may still be buffered for all bodies of the process."""

    def __init__(self, *, size: int = MAX_KEPT_BYTES_TOTAL):
        self.available = size

    def reserve(self, size: int) -> bool:
        """Reserve bytes if enough are available; return whether they were."""
        if size > self.available:
            return False
        self.available -= size
        return True


class ReplayBody:
    """The body of a caller's request.

    The chunks that have been read are buffered as long as the body stays
    within ``MAX_KEPT_BYTES`` and the budget allows it. Otherwise the buffer is
    released, the body cannot be sent a second time, and ``replayable`` is
    False.

    :param budget: bytes that may be buffered, shared by all bodies.
    :param limit: size in bytes of the largest body that is relayed.
    """

    def __init__(
        self, *, exchange: server.Exchange, budget: ReplayBudget, limit: int
    ):
        self.exchange = exchange
        self.budget = budget
        self.limit = limit
        self.kept_chunks: list[bytes] = []
        self.kept_bytes = 0
        self.bytes_read = 0
        self.ended = False
        self.replayable = True

    async def chunk(self, index: int) -> bytes | None:
        """Return the chunk at an index, or None at the end of the body.

        Each attempt reads the chunks in order, from index 0. Cancelling a
        call loses no data.

        :raises TurmerichookError: if the caller closed the connection early
            or sent a malformed body.
        :raises BodyTooLargeError: if the body exceeds the limit.
        """
        if index < len(self.kept_chunks):
            return self.kept_chunks[index]
        if self.ended:
            return None
        chunk = await self.exchange.next_piece()
        if chunk is None:
            self.ended = True
            return None
        self.bytes_read += len(chunk)
        if self.bytes_read > self.limit:
            raise exceptions.BodyTooLargeError(
                message="the request body exceeds the limit",
                context=f"{self.limit} bytes",
            )
        self._keep(chunk)
        return chunk

    def release(self) -> None:
        """Release the buffered chunks and return their bytes to the budget."""
        self.replayable = False
        self.budget.available += self.kept_bytes
        self.kept_bytes = 0
        self.kept_chunks = []

    def _keep(self, chunk: bytes) -> None:
        if not self.replayable:
            return
        size = len(chunk)
        if self.kept_bytes + size > MAX_KEPT_BYTES or not self.budget.reserve(
            size
        ):
            self.release()
            return
        self.kept_chunks.append(chunk)
        self.kept_bytes += size
