"""Tests of kept-alive connections to servers."""

import asyncio

from turmerichook._internal.http import heads
from turmerichook._internal.http import pool as pools
from turmerichook import exceptions

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
HEAD = heads.RequestHead(method="GET", target="/", headers=[(b"host", b"a")])


class Peer:
    """A server that answers each request with the next of some scripts.

    A script is a list of pieces: bytes are sent, numbers are waited for in
    seconds, and None closes the connection.
    """

    def __init__(self, scripts):
        self.scripts = list(scripts)
        self.accepted = 0

    async def serve(self, reader, writer):
        """Serve one connection."""
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

    async def use(self, test):
        """Run a test with a pool of connections to this peer."""
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
    """Make one exchange and return its body."""
    connection = await pool.take(fresh=fresh)
    try:
        await connection.send_request(HEAD)
        await connection.receive_head()
        return b"".join([piece async for piece in connection.body()])
    finally:
        pool.give_back(connection)


def run(scripts, test):
    """Run a test against a scripted peer, and return the peer."""
    peer = Peer(scripts)
    asyncio.run(peer.use(test))
    return peer


class TestReuse:
    """A connection is used again only after a clean exchange."""

    def test_clean(self):
        # Guards against a new connection for each request.
        async def test(pool):
            assert [await exchange(pool), await exchange(pool)] == [b"ok"] * 2

        assert run([[OK], [OK]], test).accepted == 1

    def test_answer_sent_twice(self):
        # Guards against taking the second copy for the next answer.
        async def test(pool):
            assert await exchange(pool) == b"ok"
            assert await exchange(pool) == b"ok"

        assert run([[OK + OK], [OK]], test).accepted == 2

    def test_late_copy(self):
        # Guards against an answer that arrives on an idle connection.
        async def test(pool):
            assert await exchange(pool) == b"ok"
            await asyncio.sleep(0.2)
            assert not pool.idle
            assert await exchange(pool) == b"ok"

        assert run([[OK, 0.05, OK], [OK]], test).accepted == 2

    def test_closed_while_idle(self):
        # Guards against sending a request on a closed connection.
        async def test(pool):
            assert await exchange(pool) == b"ok"
            await asyncio.sleep(0.1)
            assert await exchange(pool) == b"ok"

        assert run([[OK, None], [OK]], test).accepted == 2

    def test_deadline_beyond_the_usual_limit(self):
        # Guards against cutting off an endpoint that has time left.
        async def test(pool):
            pool.io_timeout = 0.05
            connection = await pool.take(fresh=True)
            connection.deadline = asyncio.get_running_loop().time() + 2
            await connection.send_request(HEAD)
            assert (await connection.receive_head()).status == 200
            pool.give_back(connection)

        run([[0.3, OK]], test)

    def test_truncated(self):
        # Guards against an answer that is passed on as whole.
        async def test(pool):
            try:
                await exchange(pool)
            except exceptions.ExchangeError as error:
                started = exceptions.Progress.RESPONSE_STARTED
                assert error.progress is started
                assert not pool.idle
                assert pool.in_use == 0
                return
            raise AssertionError("a cut answer was taken for whole")

        run([[OK[:-1], None]], test)

    def test_cancelled(self):
        # Guards against a connection that carries an abandoned exchange.
        async def test(pool):
            task = asyncio.create_task(exchange(pool))
            await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.wait([task])
            assert (pool.in_use, pool.idle) == (0, [])
            assert await exchange(pool) == b"ok"

        assert run([[0.3, OK], [OK]], test).accepted == 2
