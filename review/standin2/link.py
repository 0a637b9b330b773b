"""A link between a machine and a peer, whose open channels may go silent."""

import asyncio
import contextlib

READ_BYTES = 64 * 1024


class Channel:
    """One channel through a link."""

    def __init__(self):
        self.silent = False


class Link:
    """Passes channels on to one address.

    A silent channel stays open on both sides and passes nothing any more.
    Channels that are opened later work.

    :ivar channels: the channels that are open.
    """

    def __init__(self, target: tuple[str, int]):
        self.target = target
        self.channels: set[Channel] = set()
        self.tasks: set[asyncio.Task] = set()
        self.listener: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> int:
        """Listen on a free loopback port, and return it."""
        self.listener = await asyncio.start_server(
            self._accept, "127.0.0.1", 0
        )
        self.port = self.listener.sockets[0].getsockname()[1]
        return self.port

    async def stop(self) -> None:
        """Close all channels."""
        self.listener.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def silence(self) -> int:
        """Let all open channels go silent; return their number."""
        for channel in self.channels:
            channel.silent = True
        return len(self.channels)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._pass(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            peer_reader, peer_writer = await asyncio.open_connection(
                *self.target
            )
        except OSError:
            writer.transport.abort()
            return
        channel = Channel()
        self.channels.add(channel)
        directions = [
            asyncio.create_task(_copy(channel, reader, peer_writer)),
            asyncio.create_task(_copy(channel, peer_reader, writer)),
        ]
        try:
            await asyncio.wait(directions)
        finally:
            self.channels.discard(channel)
            for direction in directions:
                direction.cancel()
            writer.close()
            peer_writer.close()


async def _copy(
    channel: Channel,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(READ_BYTES):
            if not channel.silent:
                writer.write(data)
                await writer.drain()
    if not channel.silent:
        # The end of a channel passes on as well.
        with contextlib.suppress(OSError):
            writer.close()
