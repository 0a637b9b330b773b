"""Links between zones: a TCP relay that delays and partitions.

``python -m standins.links --listen 127.0.0.1:7900 --links links.json``

The file lists ``{"listen": ..., "target": ..., "label": "a->store"}``.
``PUT /links`` with ``{"pattern": "a->*", "cut": true}`` stops all bytes on
the links whose label matches; ``"delay_s"`` sets their one-way delay. A link
that is restored delivers what was sent during the cut, as TCP does after a
network partition.
"""

import argparse
import asyncio
import contextlib
import fnmatch
import json
import pathlib

from standins import process
from turmerichook._internal.http import addresses
from turmerichook._internal.http import server

READ_BYTES = 64 * 1024
# Chunks in flight on one direction of a connection.
PIPE_CHUNKS = 64


class Link:
    """One listener that relays to one target."""

    def __init__(self, *, listen: str, target: str, label: str):
        self.listen = listen
        self.target = target
        self.label = label
        self.delay = 0.0
        self.open = asyncio.Event()
        self.open.set()

    async def start(self) -> None:
        """Listen."""
        host, port = addresses.split(self.listen)
        await asyncio.start_server(self._relay, host, port)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self.open.wait()
        host, port = addresses.split(self.target)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.close()
            return
        there = asyncio.create_task(self._pipe(reader, far_writer))
        back = asyncio.create_task(self._pipe(far_reader, writer))
        await asyncio.wait((there, back))

    async def _pipe(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        queue: asyncio.Queue = asyncio.Queue(PIPE_CHUNKS)
        fill = asyncio.create_task(self._fill(reader, queue))
        loop = asyncio.get_running_loop()
        try:
            while True:
                due, data = await queue.get()
                if due > loop.time():
                    await asyncio.sleep(due - loop.time())
                await self.open.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            # The far side is gone; closing tells the near side.
            pass
        finally:
            fill.cancel()
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    async def _fill(
        self, reader: asyncio.StreamReader, queue: asyncio.Queue
    ) -> None:
        loop = asyncio.get_running_loop()
        data = b"-"
        while data:
            try:
                data = await reader.read(READ_BYTES)
            except OSError:
                data = b""
            await queue.put((loop.time() + self.delay, data))


class Links:
    """All links of one process."""

    def __init__(self, *, links: list[Link]):
        self.links = links

    async def handle(self, exchange: server.Exchange) -> None:
        """Answer a control call."""
        document = json.loads(await exchange.read_all())
        for link in self.links:
            if not fnmatch.fnmatchcase(link.label, document["pattern"]):
                continue
            link.delay = document.get("delay_s", link.delay)
            match document.get("cut"):
                case True:
                    link.open.clear()
                case False:
                    link.open.set()
        await exchange.respond_json(document={})


async def serve(listen: str, documents: list[dict]) -> None:
    """Serve until cancelled."""
    links = Links(links=[Link(**document) for document in documents])
    for link in links.links:
        await link.start()
    host, port = addresses.split(listen)
    await server.Server(handler=links.handle).start(host=host, port=port)
    await asyncio.Event().wait()


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description="Links between zones.")
    parser.add_argument("--listen", required=True)
    parser.add_argument("--links", type=pathlib.Path, required=True)
    options = parser.parse_args()
    documents = json.loads(options.links.read_text())
    process.run(serve(options.listen, documents))


if __name__ == "__main__":
    main()
