"""Streams between the product's own processes.

A hub listens for peers and dials those that its settings name. Each dialled
connection carries messages one way, from the dialler; what arrives on
accepted connections goes to one queue. A message to a peer that cannot be
reached is dropped: senders repeat what matters, and a new connection starts
with the greeting messages, which hold the current state.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import datetime
import typing

from turmerichook._internal import clock as clocks
from turmerichook._internal.http import addresses
from turmerichook._internal.streams import codec as codecs
from turmerichook import exceptions

READ_BYTES = 64 * 1024
# Messages that may wait for one slow peer before the connection is dropped.
SEND_QUEUE = 256
CONNECT_TIMEOUT = 1.0
REDIAL_DELAY = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Received:
    """A message with the address of the connection that it came on."""

    message: typing.Any
    source: str


class Hub:
    """Listener and diallers of one process."""

    def __init__(
        self,
        *,
        codec: codecs.Codec,
        clock: clocks.Clock,
        peers: collections.abc.Iterable[str],
        greeting: collections.abc.Callable[[], list[typing.Any]],
    ):
        self.codec = codec
        self.clock = clock
        self.greeting = greeting
        self.received: asyncio.Queue[Received] = asyncio.Queue(SEND_QUEUE)
        self.links = [PeerLink(hub=self, address=peer) for peer in peers]
        self.listener: asyncio.Server | None = None
        self.tasks: list[asyncio.Task] = []

    async def start(self, address: str) -> int:
        """Listen, dial the peers, and return the port."""
        host, port = addresses.split(address)
        self.listener = await asyncio.start_server(self._accept, host, port)
        self.tasks = [asyncio.create_task(link.run()) for link in self.links]
        return self.listener.sockets[0].getsockname()[1]

    def publish(self, message: typing.Any) -> None:
        """Send a message to all peers that are connected."""
        frame = self.codec.encode(message)
        for link in self.links:
            link.send(frame)

    def stop(self) -> None:
        """Close the listener and all links."""
        if self.listener is not None:
            self.listener.close()
        for task in self.tasks:
            task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source = "%s:%s" % writer.get_extra_info("peername")[:2]
        frames = codecs.FrameReader(codec=self.codec)
        try:
            while data := await reader.read(READ_BYTES):
                for message in frames.feed(data):
                    received = Received(message=message, source=source)
                    await self.received.put(received)
        except (exceptions.MessageError, OSError):
            # A peer that breaks the protocol is cut off; it redials.
            pass
        except asyncio.CancelledError:
            # The loop is closing. asyncio 3.11 reports a cancelled stream
            # callback as an unhandled error, so it ends normally.
            pass
        finally:
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()


class PeerLink:
    """Dials one peer and keeps the connection."""

    def __init__(self, *, hub: Hub, address: str):
        self.hub = hub
        self.address = address
        self.frames: asyncio.Queue[bytes] = asyncio.Queue(SEND_QUEUE)
        self.connected = False

    def send(self, frame: bytes) -> None:
        """Queue a frame if the peer is connected and keeps up."""
        if not self.connected:
            return
        try:
            self.frames.put_nowait(frame)
        except asyncio.QueueFull:
            self.connected = False

    async def run(self) -> None:
        """Dial again whenever the connection ends."""
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                await self._session()
            await self.hub.clock.sleep(REDIAL_DELAY)

    async def _session(self) -> None:
        host, port = addresses.split(self.address)
        async with asyncio.timeout(CONNECT_TIMEOUT):
            reader, writer = await asyncio.open_connection(host, port)
        try:
            await self._pump(reader, writer)
        finally:
            self.connected = False
            writer.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.frames = asyncio.Queue(SEND_QUEUE)
        self.connected = True
        for message in self.hub.greeting():
            writer.write(self.hub.codec.encode(message))
        await writer.drain()
        closed = asyncio.ensure_future(reader.read(1))
        try:
            while self.connected:
                frame = asyncio.ensure_future(self.frames.get())
                done, _ = await asyncio.wait(
                    (frame, closed), return_when=asyncio.FIRST_COMPLETED
                )
                if closed in done:
                    frame.cancel()
                    return
                writer.write(frame.result())
                await writer.drain()
        finally:
            closed.cancel()
