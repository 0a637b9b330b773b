"""One TCP connection with bounded buffers, for servers and clients.

asyncio's streams hide what has arrived unasked. A client must know that: bytes
that arrive while no request is in progress belong to a late or duplicated
answer, and the connection must not be used again.
"""

import asyncio
import collections.abc
import math
import socket
import struct

# Bytes that one reading takes, and that may wait for their reader before the
# peer is held back. Small, since each relayed exchange may hold it twice.
RECEIVE_BYTES = 16 * 1024
SEND_BYTES = 16 * 1024
# Linger for 0 s: closing sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

# Receives for all connections: the event loop copies a reading out of it
# before it starts the next one.
SCRATCH = bytearray(RECEIVE_BYTES)

Callback = collections.abc.Callable[["Wire"], None]


class Wire(asyncio.BufferedProtocol):
    """Reads and writes of one connection.

    :param on_made: called when the connection exists.
    :param on_lost: called when it no longer does.
    """

    __slots__ = (
        "loop",
        "transport",
        "received",
        "ended",
        "lost",
        "error",
        "reader",
        "reader_end",
        "timer",
        "drainer",
        "held_back",
        "full",
        "quiet",
        "stray",
        "on_made",
        "on_lost",
    )

    def __init__(
        self,
        *,
        on_made: Callback | None = None,
        on_lost: Callback | None = None,
    ):
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.received = b""
        self.ended = False
        self.lost = False
        self.error: Exception | None = None
        self.reader: asyncio.Future | None = None
        # Time of the event loop at which the reader gives up. The timer may
        # be that of an earlier reading: it is not cancelled when data
        # arrives, and waits for the rest of the time when it has run out.
        self.reader_end = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.drainer: asyncio.Future | None = None
        self.held_back = False
        self.full = False
        # Set while the peer is expected to send nothing.
        self.quiet = False
        # Whether the peer has sent something while it should be quiet.
        self.stray = False
        self.on_made = on_made
        self.on_lost = on_lost

    def connection_made(self, transport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=SEND_BYTES)
        if self.on_made is not None:
            self.on_made(self)

    def get_buffer(self, sizehint: int) -> bytearray:
        return SCRATCH

    def buffer_updated(self, nbytes: int) -> None:
        data = bytes(memoryview(SCRATCH)[:nbytes])
        if self.quiet:
            self.stray = True
            self.abort()
            return
        self.received = self.received + data if self.received else data
        if len(self.received) >= RECEIVE_BYTES and not self.held_back:
            self.held_back = True
            self.transport.pause_reading()
        _wake(self.reader)

    def eof_received(self) -> bool:
        self.ended = True
        _wake(self.reader)
        # A peer that only closed its sending side still gets its answer. On
        # a quiet connection the peer is gone for good.
        return not self.quiet

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = True
        self.lost = True
        self.error = exc
        _wake(self.reader)
        _wake(self.drainer)
        self._set_timer(None)
        if self.on_lost is not None:
            self.on_lost(self)

    def pause_writing(self) -> None:
        self.full = True

    def resume_writing(self) -> None:
        self.full = False
        _wake(self.drainer)

    @property
    def usable(self) -> bool:
        """Whether both directions are open."""
        return not (self.ended or self.lost or self.transport.is_closing())

    async def read(self, limit: float | None) -> bytes:
        """Return what has arrived, or nothing once the peer has ended.

        :param limit: seconds to wait, None for ever.
        :raises TimeoutError: if nothing arrives in time.
        :raises OSError: if the connection failed.
        """
        if not self.received and not self.ended:
            self.reader = self.loop.create_future()
            self._limit_reader(limit)
            try:
                await self.reader
            finally:
                self.reader = None
        data = self.received
        if data:
            self.received = b""
            if self.held_back and not self.lost:
                self.held_back = False
                self.transport.resume_reading()
            return data
        if isinstance(self.error, OSError):
            raise self.error
        return b""

    def _limit_reader(self, limit: float | None) -> None:
        if limit is None:
            self.reader_end = math.inf
            return
        self.reader_end = self.loop.time() + limit
        if self.timer is None or self.timer.when() > self.reader_end:
            self._set_timer(self.reader_end)

    def _set_timer(self, end: float | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if end is not None:
            self.timer = self.loop.call_at(end, self._check_reader)

    def _check_reader(self) -> None:
        expired = self.timer.when()
        self.timer = None
        if self.reader is None:
            return
        if expired >= self.reader_end:
            _expire(self.reader)
        elif self.reader_end < math.inf:
            self._set_timer(self.reader_end)

    async def write(self, data: bytes, limit: float | None) -> None:
        """Send, and wait while the peer takes nothing.

        :raises TimeoutError: if the peer takes nothing in time.
        :raises OSError: if the connection failed.
        """
        if self.lost:
            raise ConnectionResetError("the connection is closed")
        self.transport.write(data)
        if not self.full:
            return
        self.drainer = self.loop.create_future()
        try:
            await _within(self.drainer, limit)
        finally:
            self.drainer = None
        if self.lost:
            raise ConnectionResetError("the connection is closed")

    def end_writing(self) -> None:
        """Close the sending side."""
        if not self.lost and self.transport.can_write_eof():
            self.transport.write_eof()

    def close(self) -> None:
        """Close after what was written has been sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()

    def reset(self) -> None:
        """Close so that the peer sees a reset and not an orderly end."""
        sock = self.transport.get_extra_info("socket")
        if sock is not None and not self.lost:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        self.abort()


async def _within(future: asyncio.Future, limit: float | None) -> None:
    if limit is None:
        await future
        return
    handle = future.get_loop().call_later(limit, _expire, future)
    try:
        await future
    finally:
        handle.cancel()


def _wake(future: asyncio.Future | None) -> None:
    if future is not None and not future.done():
        future.set_result(None)


def _expire(future: asyncio.Future) -> None:
    if not future.done():
        future.set_exception(TimeoutError())
