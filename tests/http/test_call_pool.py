"""Tests of whole calls over kept connections."""

import asyncio
import time

import pytest

from turmerichook._internal.http import calls
from turmerichook._internal.http import client
from turmerichook._internal.http import server as servers
from turmerichook._internal.http import wire as wires
from turmerichook import exceptions


async def echo(exchange):
    """Answer with the body of the request."""
    body = await exchange.read_all()
    await exchange.respond(status=200, body=body)


async def never(exchange):
    """Give no answer."""
    await exchange.read_all()
    await asyncio.sleep(60)


def with_pool(test, *, handler=echo, connections=1):
    """Run a test with a pool of calls to a server."""

    async def scenario():
        server = servers.Server(handler=handler)
        port = await server.start(host="127.0.0.1", port=0)
        pool = calls.CallPool(
            host="127.0.0.1", port=port, connections=connections
        )
        try:
            return await test(pool)
        finally:
            pool.close()
            await server.stop(grace=0.0)

    return asyncio.run(scenario())


def call(pool, body=b"{}", timeout=5.0, headers=()):
    """Return one call's coroutine."""
    return pool.call(
        method="POST",
        target="/",
        body=body,
        headers=headers,
        timeout=timeout,
    )


class TestCost:
    """A call does no more than it has to."""

    def test_one_write(self, monkeypatch):
        """Guards against a send to the socket for each part of a request."""
        writes = []
        write = wires.Wire.write

        async def counted(wire, data, limit):
            if data.startswith(b"POST"):
                writes.append(data)
            elif data == b"{}":
                writes.append(data)
            await write(wire, data, limit)

        monkeypatch.setattr(wires.Wire, "write", counted)

        async def test(pool):
            return await call(pool)

        assert with_pool(test).body == b"{}"
        assert len(writes) == 1
        assert writes[0].endswith(b"{}")

    def test_one_connection(self):
        """Guards against a new connection for each call."""

        async def test(pool):
            for _ in range(3):
                await call(pool)
            return [connection.wire for connection in pool.idle]

        assert len(with_pool(test, connections=2)) == 1


class TestHeaders:
    """Headers that repeat are those of the call all the same."""

    def test_other_length(self):
        """Guards against headers of an earlier call with another body."""

        async def test(pool):
            bodies = (b"one", b"two", b"three", b"", b"one")
            return [(await call(pool, body)).body for body in bodies]

        expected = [b"one", b"two", b"three", b"", b"one"]
        assert with_pool(test) == expected

    def test_other_headers(self):
        """Guards against the name of another worker in a header."""
        seen = []

        async def note(exchange):
            seen.append(exchange.head.header(b"x-name"))
            await echo(exchange)

        async def test(pool):
            for name in (b"a", b"a", b"b"):
                await call(pool, headers=[(b"x-name", name)])

        with_pool(test, handler=note)
        assert seen == ["a", "a", "b"]

    def test_other_target(self):
        """Guards against a call to the path of an earlier one."""
        seen = []

        async def note(exchange):
            seen.append((exchange.head.method, exchange.head.target))
            await echo(exchange)

        async def test(pool):
            for method, target in (("POST", "/a"), ("POST", "/b")):
                await pool.call(method=method, target=target, timeout=5.0)
            await pool.call(method="PUT", target="/b", timeout=5.0)

        with_pool(test, handler=note)
        assert seen == [("POST", "/a"), ("POST", "/b"), ("PUT", "/b")]

    def test_checked_once(self, monkeypatch):
        """Guards against headers that are checked anew for each call."""
        events = []
        send = client.ClientConnection.send_request

        async def noted(connection, head, body=b"", prepared=None):
            events.append(await send(connection, head, body, prepared))
            return events[-1]

        monkeypatch.setattr(client.ClientConnection, "send_request", noted)

        async def test(pool):
            for _ in range(3):
                await call(pool)

        with_pool(test)
        assert events[0] is events[1] is events[2]


class TestTimeLimit:
    """A call ends in time, and tells how far it came."""

    def test_no_answer(self):
        """Guards against a lost answer that counts as a failure."""

        async def test(pool):
            with pytest.raises(exceptions.DeadlineExceededError) as caught:
                await call(pool, timeout=0.05)
            return caught.value.progress, len(pool.idle)

        progress, idle = with_pool(test, handler=never)
        assert progress is exceptions.Progress.REQUEST_STARTED
        assert idle == 0

    def test_no_free_connection(self):
        """Guards against a call that waits for others without a limit."""

        async def test(pool):
            first = asyncio.create_task(call(pool))
            await asyncio.sleep(0.01)
            began = time.monotonic()
            with pytest.raises(exceptions.DeadlineExceededError) as caught:
                await call(pool, timeout=0.05)
            first.cancel()
            await asyncio.wait((first,))
            return caught.value.progress, time.monotonic() - began

        progress, seconds = with_pool(test, handler=never)
        assert progress is exceptions.Progress.NOTHING_SENT
        assert seconds < 1.0

    def test_cancelled_call(self):
        """Guards against a connection that stays taken, or is used again."""

        async def test(pool):
            for _ in range(3):
                cancelled = asyncio.create_task(call(pool))
                await asyncio.sleep(0.02)
                cancelled.cancel()
                await asyncio.wait((cancelled,))
            return pool.idle, pool.permits.locked()

        assert with_pool(test, handler=never) == ([], False)
