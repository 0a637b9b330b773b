"""Tests that an interrupted upload does not affect later requests."""

import asyncio
import json

from turmerichook._internal.http import pool as pools
from turmerichook._internal.http import server
from turmerichook._internal.routing import bodies
from turmerichook._internal.routing import relay


class Gateway:
    """A gateway that retries, with a raw caller and two endpoints.

    The first endpoint aborts the connection after at most ``limit`` bytes. The
    second one responds with the number of body bytes that it received.
    """

    def __init__(self, *, limit):
        self.limit = limit
        self.budget = bodies.ReplayBudget()
        self.replayed = []

    async def abort_upload(self, reader, writer):
        """Read some bytes and abort the connection."""
        await reader.read(self.limit)
        writer.transport.abort()

    async def respond_with_length(self, exchange):
        """Respond with the length of the body."""
        body = await exchange.read_all()
        await exchange.respond_json(document={"bytes": len(body)})

    async def relay(self, exchange):
        """Try the aborting endpoint, then the working one."""
        body = bodies.ReplayBody(
            exchange=exchange, budget=self.budget, limit=10**6
        )
        try:
            for pool in self.pools:
                if not body.replayable:
                    break
                if await self._attempt(exchange, pool, body):
                    return
        finally:
            self.replayed.append(body.replayable)
            body.release()
        await exchange.respond(status=502, body=b"{}")

    async def _attempt(self, exchange, pool, body):
        connection = await pool.take(fresh=True)
        attempt = relay.Attempt(
            exchange=exchange,
            connection=connection,
            head=exchange.head,
            body=body,
            exchange_id=b"1",
        )
        try:
            loop = asyncio.get_running_loop()
            response = await attempt.receive(loop.time() + 5)
            await attempt.forward_response(response, response.headers)
            return True
        except Exception:
            return False
        finally:
            await attempt.end()
            pool.give_back(connection)

    async def run(self, sizes):
        """Send requests on one connection; return the responses."""
        first = await asyncio.start_server(self.abort_upload, "127.0.0.1", 0)
        second = server.Server(handler=self.respond_with_length)
        ports = [
            first.sockets[0].getsockname()[1],
            await second.start(host="127.0.0.1", port=0),
        ]
        self.pools = [
            pools.ConnectionPool(
                host="127.0.0.1", port=port, limit=4, connect_timeout=1.0
            )
            for port in ports
        ]
        gateway_server = server.Server(handler=self.relay)
        port = await gateway_server.start(host="127.0.0.1", port=0)
        answers = []
        async with asyncio.timeout(10):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            for size in sizes:
                head = b"PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n"
                writer.write(head % size + b"\r\n" + bytes(size))
                answer = await reader.readuntil(b"\r\n\r\n")
                length = answer.lower().partition(b"content-length: ")[2]
                body = await reader.readexactly(int(length.split()[0]))
                answers.append((int(answer.split()[1]), json.loads(body)))
            writer.close()
        for listener in (gateway_server, second):
            await listener.stop(grace=1)
        first.close()
        for pool in self.pools:
            pool.close()
        return answers


class TestUploads:
    """Uploads that an endpoint aborts before it has read the whole body."""

    def test_retry_sends_the_whole_body(self):
        # Guards against a retry without the part of the body that the first
        # endpoint had read, and against leaks in the buffer budget.
        gateway = Gateway(limit=100)
        sizes = [20000, 5, 30000, 1]
        answers = asyncio.run(gateway.run(sizes))
        assert answers == [(200, {"bytes": size}) for size in sizes]
        assert gateway.budget.available == bodies.MAX_KEPT_BYTES_TOTAL

    def test_no_retry_of_a_body_too_large_to_buffer(self):
        # Guards against a retry without the beginning of a body that was too
        # large to be buffered.
        gateway = Gateway(limit=60000)
        status, _ = asyncio.run(gateway.run([200000]))[0]
        assert status == 502
        assert gateway.replayed == [False]
        assert gateway.budget.available == bodies.MAX_KEPT_BYTES_TOTAL
