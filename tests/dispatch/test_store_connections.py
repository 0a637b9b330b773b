"""Tests of the store connections used for callers and by the leader."""

import asyncio

from turmerichook._internal.storage import exchange
from turmerichook import exceptions

CONNECTIONS = 4


class Server:
    """A server that answers writes at once and does not answer reads."""

    async def handle(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if head.startswith(b"GET"):
                    await asyncio.sleep(60)
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}")
                await writer.drain()
        except (
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            ConnectionError,
        ):
            pass
        finally:
            writer.close()


class TestSharedConnections:
    """Reads without an answer occupy all connections for reads."""

    def test_renewal_does_not_wait_for_reads(self):
        """Guards against a lease that lapses because of callers' reads.

        The leader's renewals and commits used the same connections as the
        reads for callers of its host, in the order of their arrival. A lost
        answer occupies a connection for the whole time-out.
        """

        async def scenario():
            server = await asyncio.start_server(
                Server().handle, "127.0.0.1", 0
            )
            port = server.sockets[0].getsockname()[1]
            store = exchange.StoreExchange(
                host="127.0.0.1",
                port=port,
                connections=CONNECTIONS,
                watch_connections=1,
                timeout=0.5,
            )
            reads = [
                asyncio.create_task(store.read("/x"))
                for _ in range(2 * CONNECTIONS)
            ]
            await asyncio.sleep(0.05)
            loop = asyncio.get_running_loop()
            began = loop.time()
            try:
                await store.write("POST", "/keep", None)
            except exceptions.StoreError:
                pass
            elapsed = loop.time() - began
            for read in reads:
                read.cancel()
            await asyncio.gather(*reads, return_exceptions=True)
            store.close()
            server.close()
            return elapsed

        assert asyncio.run(scenario()) < 0.2
