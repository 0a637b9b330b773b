"""One stream connection, in both directions.

The side that accepts may answer on the same connection, so a process that
nobody dials yet can still be told what it asks for.
"""

import asyncio
import collections
import contextlib
import dataclasses
import socket
import typing

from turmerichook._internal.streams import codec as codecs
from turmerichook import exceptions

READ_BYTES = 64 * 1024
# Frames and bytes that may wait for one slow peer before its connection is
# closed. The peer reconnects and is then greeted with the current state.
SEND_FRAMES = 256
SEND_BYTES = 2 * codecs.FRAME_BYTES
SEND_TIMEOUT_S = 10.0
# Heartbeats come every 3 s, so a silent connection is a dead one.
IDLE_TIMEOUT_S = 30.0
# A first message must come at once; other connections only hold a slot.
FIRST_TIMEOUT_S = 5.0
# Data that stays unacknowledged for this long ends the connection. Without
# it the system goes on retransmitting to a peer that vanished for minutes.
UNACKNOWLEDGED_MS = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Received:
    """A message with the connection that it came on.

    :param source: address of the other side.
    """

    message: typing.Any
    source: str
    connection: "Connection"

    def reply(self, message: typing.Any) -> None:
        """Send a message back on the same connection."""
        self.connection.send(self.connection.codec.encode(message))


class Connection:
    """Reads messages into a queue and writes queued frames.

    :param dialled: whether this process opened the connection.
    :param peer: what the other side said about itself; set by the receiver
        of the messages, None before that.
    """

    def __init__(
        self,
        *,
        codec: codecs.Codec,
        received: asyncio.Queue,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dialled: bool,
    ):
        self.codec = codec
        self.received = received
        self.reader = reader
        self.writer = writer
        self.dialled = dialled
        # The side that dialled may hear nothing for ever; it notices a peer
        # that vanished by its own unacknowledged messages.
        self.idle_timeout = None if dialled else IDLE_TIMEOUT_S
        self.peer: typing.Any = None
        self.frames: collections.deque[bytes] = collections.deque()
        self.waiting_bytes = 0
        self.wake = asyncio.Event()
        self.closed = False
        self.bytes_sent = 0
        self.bytes_received = 0
        self.source = "%s:%s" % writer.get_extra_info("peername")[:2]

    def send(self, frame: bytes) -> bool:
        """Queue a frame; False if the peer is gone or does not keep up."""
        if self.closed:
            return False
        full = len(self.frames) >= SEND_FRAMES
        if full or self.waiting_bytes + len(frame) > SEND_BYTES:
            self.closed = True
            self.wake.set()
            return False
        self.frames.append(frame)
        self.waiting_bytes += len(frame)
        self.wake.set()
        return True

    async def run(self) -> None:
        """Serve both directions until either of them ends."""
        tasks = (
            asyncio.ensure_future(self._read()),
            asyncio.ensure_future(self._write()),
        )
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.closed = True
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            with contextlib.suppress(OSError, RuntimeError):
                self.writer.close()
        for task in tasks:
            if not task.cancelled() and task.exception() is not None:
                raise task.exception()

    async def _read(self) -> None:
        frames = codecs.FrameReader(codec=self.codec)
        limit = self.idle_timeout
        if limit is not None:
            limit = min(limit, FIRST_TIMEOUT_S)
        while True:
            async with asyncio.timeout(limit):
                data = await self.reader.read(READ_BYTES)
            if not data:
                return
            self.bytes_received += len(data)
            limit = self.idle_timeout
            for message in frames.feed(data):
                await self.received.put(
                    Received(
                        message=message, source=self.source, connection=self
                    )
                )

    async def _write(self) -> None:
        while not self.closed:
            self.wake.clear()
            while self.frames:
                frame = self.frames.popleft()
                self.waiting_bytes -= len(frame)
                self.bytes_sent += len(frame)
                self.writer.write(frame)
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await self.writer.drain()
            if not self.closed:
                await self.wake.wait()


async def connect(
    host: str, port: int, timeout: float
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection that notices when its peer vanishes.

    :raises ConnectError: if there is no connection within ``timeout``
        seconds.
    """
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError) as error:
        raise exceptions.ConnectError(
            message=f"no connection to {host}:{port}",
            context=str(error),
        ) from error
    watch(writer)
    return reader, writer


def watch(writer: asyncio.StreamWriter) -> None:
    """End a connection whose data stays unacknowledged."""
    found = writer.get_extra_info("socket")
    if found is not None:
        found.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
        )
