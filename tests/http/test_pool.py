"""Tests of the pool of kept-alive connections to a server."""

import asyncio

from turmerichook._internal.http import heads
from turmerichook._internal.http import pool as pools
from turmerichook import exceptions

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
HEAD = heads.RequestHead(method="GET", target="/", headers=[(b"host", b"a")])


class ScriptedServer:
    """A server that responds to each request as the next script says.

    A script is a list of steps: bytes are sent, a float is a pause in seconds,
    and None closes the connection.
    """

    def __init__(self, scripts):
        self.scripts = list(scripts)
        self.accepted = 0

    async def serve(self, reader, writer):
        """Serve one connection until the scripts are used up."""
        self.accepted += 1
        while self.scripts and await reader.read(1000):
            for step in self.scripts.pop(0):
                if step is None:
                    writer.close()
                    return
                if isinstance(step, float):
                    await asyncio.sleep(step)
                else:
                    writer.write(step)
                    await writer.drain()

    async def run_with_pool(self, test):
        """Run a test with a pool of connections to this server."""
        listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        pool = pools.ConnectionPool(
            host="127.0.0.1", port=port, limit=4, connect_timeout=1.0
        )
        async with asyncio.timeout(5):
            await test(pool)
        pool.close()
        listener.close()


async def exchange(pool, *, fresh=False):
    """Make one exchange and return the response body."""
    connection = await pool.take(fresh=fresh)
    try:
        await connection.send_request(HEAD)
        await connection.receive_head()
        return b"".join([piece async for piece in connection.body()])
    finally:
        pool.give_back(connection)


def run(scripts, test):
    """Run a test against a scripted server, and return the server."""
    server = ScriptedServer(scripts)
    asyncio.run(server.run_with_pool(test))
    return server


class TestReuse:
    """A connection is reused only after an exchange that ended cleanly."""

    def test_reused_after_clean_exchange(self):
        # Guards against a new connection for each request, which would cost
        # a round trip.
        async def test(pool):
            assert [await exchange(pool), await exchange(pool)] == [b"ok"] * 2

        assert run([[OK], [OK]], test).accepted == 1

    def test_response_sent_twice(self):
        # Guards against taking the second copy of a response, which arrives
        # together with the first, for the response to the next request.
        async def test(pool):
            assert await exchange(pool) == b"ok"
            assert await exchange(pool) == b"ok"

        assert run([[OK + OK], [OK]], test).accepted == 2

    def test_second_response_while_idle(self):
        # Guards against taking a second copy of a response, which arrives
        # while the connection is idle, for the response to the next request.
        async def test(pool):
            assert await exchange(pool) == b"ok"
            await asyncio.sleep(0.2)
            assert not pool.idle
            assert await exchange(pool) == b"ok"

        assert run([[OK, 0.05, OK], [OK]], test).accepted == 2

    def test_closed_while_idle(self):
        # Guards against sending a request on a connection that the server
        # closed while it was idle.
        async def test(pool):
            assert await exchange(pool) == b"ok"
            await asyncio.sleep(0.1)
            assert await exchange(pool) == b"ok"

        assert run([[OK, None], [OK]], test).accepted == 2

    def test_deadline_beyond_the_io_timeout(self):
        # Guards against a time-out of an endpoint that responds after the
        # pool's I/O time-out but before the caller's deadline.
        async def test(pool):
            pool.io_timeout = 0.05
            connection = await pool.take(fresh=True)
            connection.deadline = asyncio.get_running_loop().time() + 2
            await connection.send_request(HEAD)
            assert (await connection.receive_head()).status == 200
            pool.give_back(connection)

        run([[0.3, OK]], test)

    def test_truncated_response(self):
        # Guards against passing on a truncated response as complete. The
        # server closes the connection one byte before the end of the body.
        async def test(pool):
            try:
                await exchange(pool)
            except exceptions.ExchangeError as error:
                started = exceptions.Progress.RESPONSE_STARTED
                assert error.progress is started
                assert not pool.idle
                assert pool.in_use == 0
                return
            raise AssertionError("a truncated response was taken as complete")

        run([[OK[:-1], None]], test)

    def test_cancelled_exchange(self):
        # Guards against reusing the connection of a cancelled exchange, on
        # which the response to that exchange still arrives.
        async def test(pool):
            task = asyncio.create_task(exchange(pool))
            await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.wait([task])
            assert (pool.in_use, pool.idle) == (0, [])
            assert await exchange(pool) == b"ok"

        assert run([[0.3, OK], [OK]], test).accepted == 2
