"""A bidirectional stream connection between two processes.

The accepting side may reply on the same connection, so that a process can get
answers to its requests even if no other process dials it yet.
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
# Limits of the frames and bytes queued for a slow peer. A connection that
# exceeds one of them is closed; on the new connection that follows, the
# greeting messages transfer the current state.
SEND_QUEUE_FRAMES = 256
SEND_QUEUE_BYTES = 2 * codecs.FRAME_MAX_BYTES
SEND_TIMEOUT_S = 10.0
# Peers send a heartbeat every 4 s, so an accepted connection that receives
# nothing for this long is considered dead.
IDLE_TIMEOUT_S = 30.0
# A peer sends its first message at once. A connection without one only
# occupies one of the places for accepted connections.
FIRST_MESSAGE_TIMEOUT_S = 5.0
# A connection whose data stays unacknowledged for this long is ended. Without
# this limit the kernel goes on retransmitting for minutes to a peer that has
# vanished without closing the connection.
TCP_USER_TIMEOUT_MS = 10_000


@dataclasses.dataclass(kw_only=True, slots=True)
class Traffic:
    """Payload bytes and frames that a process exchanged with its peers."""

    sent_bytes: int = 0
    sent_frames: int = 0
    received_bytes: int = 0
    received_frames: int = 0

    def add(self, other: "Traffic") -> None:
        """Add the counts of ``other`` to these."""
        self.sent_bytes += other.sent_bytes
        self.sent_frames += other.sent_frames
        self.received_bytes += other.received_bytes
        self.received_frames += other.received_frames


@dataclasses.dataclass(frozen=True, kw_only=True)
class Received:
    """A received message with its connection.

    :param source: address of the peer, ``ip:port``.
    """

    message: typing.Any
    source: str
    connection: "Connection"

    def reply(self, message: typing.Any) -> None:
        """Send a message to the peer on the same connection."""
        self.connection.send(self.connection.codec.encode(message))


class Connection:
    """Puts received messages into a queue, and sends queued frames.

    :param dialled: whether this process opened the connection.
    :param received: queue for the received messages.
    :param peer: the message by which the other side identified itself; set by
        the consumer of ``received``, None until then.
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
        # The dialling side may never receive anything, so it has no idle
        # time-out. It detects a vanished peer by its own unacknowledged data.
        self.idle_timeout = None if dialled else IDLE_TIMEOUT_S
        self.peer: typing.Any = None
        self.frames: collections.deque[bytes] = collections.deque()
        self.queued_bytes = 0
        self.wake = asyncio.Event()
        self.closed = False
        self.traffic = Traffic()
        self.source = "%s:%s" % writer.get_extra_info("peername")[:2]

    def send(self, frame: bytes) -> bool:
        """Queue a frame for sending.

        :return: False if the connection is closed, or is closed now because
            the peer reads too slowly and a limit of the queue is exceeded.
        """
        if self.closed:
            return False
        full = len(self.frames) >= SEND_QUEUE_FRAMES
        if full or self.queued_bytes + len(frame) > SEND_QUEUE_BYTES:
            self.closed = True
            self.wake.set()
            return False
        self.frames.append(frame)
        self.queued_bytes += len(frame)
        self.wake.set()
        return True

    async def run(self) -> None:
        """Receive and send until either direction ends."""
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
            limit = min(limit, FIRST_MESSAGE_TIMEOUT_S)
        while True:
            async with asyncio.timeout(limit):
                data = await self.reader.read(READ_BYTES)
            if not data:
                return
            self.traffic.received_bytes += len(data)
            limit = self.idle_timeout
            messages = frames.feed(data)
            self.traffic.received_frames += len(messages)
            for message in messages:
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
                self.queued_bytes -= len(frame)
                self.traffic.sent_bytes += len(frame)
                self.traffic.sent_frames += 1
                self.writer.write(frame)
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await self.writer.drain()
            if not self.closed:
                await self.wake.wait()


async def connect(
    host: str, port: int, timeout: float
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection with a limit for unacknowledged data.

    :raises ConnectError: if no connection is established within ``timeout``
        seconds.
    """
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError) as error:
        raise exceptions.ConnectError(
            message=f"cannot connect to {host}:{port}",
            context=str(error),
        ) from error
    limit_unacknowledged(writer)
    return reader, writer


def limit_unacknowledged(writer: asyncio.StreamWriter) -> None:
    """Make the kernel end the connection if its data stays unacknowledged."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
