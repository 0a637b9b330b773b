"""TCP relays that simulate delays and partitions of the network.

``python -m standins.links --listen 127.0.0.1:7900 --links links.json``

The file lists one relay per entry, as
``{"listen": ..., "target": ..., "label": "a->store"}``. ``PUT /links`` with
``{"pattern": "a->*", "cut": true}`` stops all traffic through the relays whose
label matches; ``"delay_s"`` sets their one-way delay in seconds. A restored
relay delivers the data that was sent during the interruption, as TCP does
after a network partition.
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
# Maximum number of buffered chunks for each direction of a connection.
PIPE_CHUNKS = 64


class Relay:
    """Relays connections from one listening address to one target."""

    def __init__(self, *, listen: str, target: str, label: str):
        self.listen = listen
        self.target = target
        self.label = label
        self.delay = 0.0
        self.open = asyncio.Event()
        self.open.set()

    async def start(self) -> None:
        """Start listening."""
        host, port = addresses.split(self.listen)
        await asyncio.start_server(self._relay, host, port)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self.open.wait()
        host, port = addresses.split(self.target)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, port
            )
        except OSError:
            writer.close()
            return
        upstream = asyncio.create_task(self._pipe(reader, target_writer))
        downstream = asyncio.create_task(self._pipe(target_reader, writer))
        await asyncio.wait((upstream, downstream))

    async def _pipe(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        queue: asyncio.Queue = asyncio.Queue(PIPE_CHUNKS)
        read_task = asyncio.create_task(self._read_chunks(reader, queue))
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
            # The connection written to has failed. The reading task is
            # cancelled below.
            pass
        finally:
            read_task.cancel()
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    async def _read_chunks(
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


class RelaySet:
    """All relays of one process."""

    def __init__(self, *, relays: list[Relay]):
        self.relays = relays

    async def handle(self, exchange: server.Exchange) -> None:
        """Handle a control request."""
        document = json.loads(await exchange.read_all())
        for relay in self.relays:
            if not fnmatch.fnmatchcase(relay.label, document["pattern"]):
                continue
            relay.delay = document.get("delay_s", relay.delay)
            match document.get("cut"):
                case True:
                    relay.open.clear()
                case False:
                    relay.open.set()
        await exchange.respond_json(document={})


async def serve(listen: str, documents: list[dict]) -> None:
    """Serve until cancelled."""
    relay_set = RelaySet(relays=[Relay(**document) for document in documents])
    for relay in relay_set.relays:
        await relay.start()
    host, port = addresses.split(listen)
    await server.Server(handler=relay_set.handle).start(host=host, port=port)
    await asyncio.Event().wait()


def main() -> None:
    """Run the relays."""
    parser = argparse.ArgumentParser(description="TCP relays between zones.")
    parser.add_argument("--listen", required=True)
    parser.add_argument("--links", type=pathlib.Path, required=True)
    options = parser.parse_args()
    documents = json.loads(options.links.read_text())
    process.run(serve(options.listen, documents))


if __name__ == "__main__":
    main()
