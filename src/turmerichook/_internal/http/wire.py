"""One TCP connection with bounded buffers, for servers and clients.

asyncio's streams don't tell whether data arrived while none was expected. A
client must know this: bytes that arrive while no request is in progress belong
to a late or duplicated response, and the connection must not be reused.
"""

import asyncio
import collections.abc
import math
import socket
import struct

# Maximum bytes of one receive operation, and size of unread data at which
# receiving is paused. Small, since each relayed exchange may hold two buffers
# of this size.
RECEIVE_BYTES = 16 * 1024
# Size of unsent data at which writers must wait.
SEND_BYTES = 16 * 1024
# Value of SO_LINGER for a linger time of 0 s: closing then sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

# Receive buffer that all connections share. This is safe because
# ``buffer_updated`` copies the data before the event loop receives again.
RECEIVE_BUFFER = bytearray(RECEIVE_BYTES)

Callback = collections.abc.Callable[["Wire"], None]


class Wire(asyncio.BufferedProtocol):
    """One TCP connection with time limits for reads and writes.

    :param on_made: called when the connection is established.
    :param on_lost: called when the connection is closed or has failed.
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
        # Set when no more data will arrive: the peer has closed its sending
        # side, or the connection is lost.
        self.ended = False
        # Set when the connection is closed or has failed.
        self.lost = False
        self.error: Exception | None = None
        # Future on which the current read waits.
        self.reader: asyncio.Future | None = None
        # Time of the event loop at which the current read times out. To save
        # a timer for each read, the timer is not cancelled when data arrives.
        # It may thus belong to an earlier read; when it fires before the
        # deadline, it is set again for the rest of the time.
        self.reader_end = 0.0
        self.timer: asyncio.TimerHandle | None = None
        # Future on which the current write waits for buffer space.
        self.drainer: asyncio.Future | None = None
        # Whether receiving is paused because too much data is unread.
        self.held_back = False
        # Whether the send buffer is full, so that writers must wait.
        self.full = False
        # Set while no request is in progress, so that any data from the peer
        # is an error.
        self.quiet = False
        # Whether data arrived while ``quiet`` was set.
        self.stray = False
        self.on_made = on_made
        self.on_lost = on_lost

    def connection_made(self, transport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=SEND_BYTES)
        if self.on_made is not None:
            self.on_made(self)

    def get_buffer(self, sizehint: int) -> bytearray:
        return RECEIVE_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        data = bytes(memoryview(RECEIVE_BUFFER)[:nbytes])
        if self.quiet:
            self.stray = True
            self.abort()
            return
        self.received = self.received + data if self.received else data
        if len(self.received) >= RECEIVE_BYTES and not self.held_back:
            self.held_back = True
            self.transport.pause_reading()
        _complete(self.reader)

    def eof_received(self) -> bool:
        self.ended = True
        _complete(self.reader)
        # Returning True keeps the sending side open: a peer that closed only
        # its own sending side still gets its response. If no request is in
        # progress, the peer has closed the connection, and so does this side.
        return not self.quiet

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = True
        self.lost = True
        self.error = exc
        _complete(self.reader)
        _complete(self.drainer)
        self._schedule_read_timer(None)
        if self.on_lost is not None:
            self.on_lost(self)

    def pause_writing(self) -> None:
        self.full = True

    def resume_writing(self) -> None:
        self.full = False
        _complete(self.drainer)

    @property
    def usable(self) -> bool:
        """Whether both directions are open."""
        return not (self.ended or self.lost or self.transport.is_closing())

    async def read(self, timeout: float | None) -> bytes:
        """Return the received data, or empty bytes at the end of input.

        :param timeout: seconds to wait for data; None for no limit.
        :raises TimeoutError: if no data arrives in time.
        :raises OSError: if the connection failed.
        """
        if not self.received and not self.ended:
            self.reader = self.loop.create_future()
            self._set_read_deadline(timeout)
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

    def _set_read_deadline(self, timeout: float | None) -> None:
        if timeout is None:
            self.reader_end = math.inf
            return
        self.reader_end = self.loop.time() + timeout
        if self.timer is None or self.timer.when() > self.reader_end:
            self._schedule_read_timer(self.reader_end)

    def _schedule_read_timer(self, deadline: float | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if deadline is not None:
            self.timer = self.loop.call_at(deadline, self._on_read_timer)

    def _on_read_timer(self) -> None:
        timer_deadline = self.timer.when()
        self.timer = None
        if self.reader is None:
            return
        if timer_deadline >= self.reader_end:
            _time_out(self.reader)
        elif self.reader_end < math.inf:
            self._schedule_read_timer(self.reader_end)

    async def write(self, data: bytes, timeout: float | None) -> None:
        """Send data, and wait while the send buffer is full.

        :param timeout: seconds to wait for space; None for no limit.
        :raises TimeoutError: if the buffer stays full because the peer does
            not read.
        :raises OSError: if the connection failed.
        """
        if self.lost:
            raise ConnectionResetError("the connection is closed")
        self.transport.write(data)
        if not self.full:
            return
        self.drainer = self.loop.create_future()
        try:
            await _wait_with_timeout(self.drainer, timeout)
        finally:
            self.drainer = None
        if self.lost:
            raise ConnectionResetError("the connection is closed")

    def end_writing(self) -> None:
        """Close the sending side of the connection."""
        if not self.lost and self.transport.can_write_eof():
            self.transport.write_eof()

    def close(self) -> None:
        """Close the connection once the buffered data has been sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once and discard buffered data."""
        if self.transport is not None:
            self.transport.abort()

    def reset(self) -> None:
        """Close with a TCP reset, so that the peer sees no normal end."""
        sock = self.transport.get_extra_info("socket")
        if sock is not None and not self.lost:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        self.abort()


async def _wait_with_timeout(
    future: asyncio.Future, timeout: float | None
) -> None:
    if timeout is None:
        await future
        return
    handle = future.get_loop().call_later(timeout, _time_out, future)
    try:
        await future
    finally:
        handle.cancel()


def _complete(future: asyncio.Future | None) -> None:
    if future is not None and not future.done():
        future.set_result(None)


def _time_out(future: asyncio.Future) -> None:
    if not future.done():
        future.set_exception(TimeoutError())
