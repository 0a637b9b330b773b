"""Tests of HTTP calls over a pool of kept-alive connections."""

import asyncio
import time

import pytest

from turmerichook._internal.http import calls
from turmerichook._internal.http import client
from turmerichook._internal.http import server as servers
from turmerichook._internal.http import wire as wires
from turmerichook import exceptions


async def echo(exchange):
    """Respond with the body of the request."""
    body = await exchange.read_all()
    await exchange.respond(status=200, body=body)


async def never_respond(exchange):
    """Read the request and send no response before the test ends."""
    await exchange.read_all()
    await asyncio.sleep(60)


def with_pool(test, *, handler=echo, connections=1):
    """Run a test with a call pool that is connected to a server."""

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
    """Return the coroutine of one POST call."""
    return pool.call(
        method="POST",
        target="/",
        body=body,
        headers=headers,
        timeout=timeout,
    )


class TestCallCost:
    """A call causes no needless writes, connections or header checks."""

    def test_request_is_sent_with_one_write(self, monkeypatch):
        """Guards against separate writes of the head and body of a request.

        Each write costs a system call and perhaps a packet.
        """
        writes = []
        write = wires.Wire.write

        async def counted_write(wire, data, limit):
            if data.startswith(b"POST"):
                writes.append(data)
            elif data == b"{}":
                writes.append(data)
            await write(wire, data, limit)

        monkeypatch.setattr(wires.Wire, "write", counted_write)

        async def test(pool):
            return await call(pool)

        assert with_pool(test).body == b"{}"
        assert len(writes) == 1
        assert writes[0].endswith(b"{}")

    def test_calls_in_sequence_share_a_connection(self):
        """Guards against a new connection for each call.

        Calls in sequence must share one, even if the pool allows two.
        """

        async def test(pool):
            for _ in range(3):
                await call(pool)
            return [connection.wire for connection in pool.idle]

        assert len(with_pool(test, connections=2)) == 1


class TestCachedHead:
    """The cached request head is reused only for an equal head."""

    def test_other_body_length(self):
        """Guards against the Content-Length of an earlier call.

        The pool reuses the last head; with a body of another length the old
        header would corrupt the request.
        """

        async def test(pool):
            bodies = (b"one", b"two", b"three", b"", b"one")
            return [(await call(pool, body)).body for body in bodies]

        expected = [b"one", b"two", b"three", b"", b"one"]
        assert with_pool(test) == expected

    def test_other_headers(self):
        """Guards against header values of an earlier call.

        A reused head could then name another worker than the one called.
        """
        received = []

        async def record(exchange):
            received.append(exchange.head.header(b"x-name"))
            await echo(exchange)

        async def test(pool):
            for name in (b"a", b"a", b"b"):
                await call(pool, headers=[(b"x-name", name)])

        with_pool(test, handler=record)
        assert received == ["a", "a", "b"]

    def test_other_method_and_target(self):
        """Guards against the method or path of an earlier call.

        The pool reuses the last head, which must match in these, too.
        """
        received = []

        async def record(exchange):
            received.append((exchange.head.method, exchange.head.target))
            await echo(exchange)

        async def test(pool):
            for method, target in (("POST", "/a"), ("POST", "/b")):
                await pool.call(method=method, target=target, timeout=5.0)
            await pool.call(method="PUT", target="/b", timeout=5.0)

        with_pool(test, handler=record)
        assert received == [("POST", "/a"), ("POST", "/b"), ("PUT", "/b")]

    def test_equal_heads_are_checked_once(self, monkeypatch):
        """Guards against headers that h11 checks again for each call.

        Calls with equal heads must share one h11 event.
        """
        events = []
        send = client.ClientConnection.send_request

        async def recorded_send(connection, head, body=b"", prepared=None):
            events.append(await send(connection, head, body, prepared))
            return events[-1]

        monkeypatch.setattr(
            client.ClientConnection, "send_request", recorded_send
        )

        async def test(pool):
            for _ in range(3):
                await call(pool)

        with_pool(test)
        assert events[0] is events[1] is events[2]


class TestTimeLimit:
    """A call ends within its time limit and reports its progress."""

    def test_no_response(self):
        """Guards against a request without response reported as not sent.

        The server got the request and may have acted on it, so the error
        must say that the request was started. The connection is not reused.
        """

        async def test(pool):
            with pytest.raises(exceptions.DeadlineExceededError) as caught:
                await call(pool, timeout=0.05)
            return caught.value.progress, len(pool.idle)

        progress, idle = with_pool(test, handler=never_respond)
        assert progress is exceptions.Progress.REQUEST_STARTED
        assert idle == 0

    def test_no_free_connection(self):
        """Guards against a wait for a free connection without time limit.

        Another call occupies the only connection; the error must say that
        nothing was sent.
        """

        async def test(pool):
            blocking_call = asyncio.create_task(call(pool))
            await asyncio.sleep(0.01)
            started_at = time.monotonic()
            with pytest.raises(exceptions.DeadlineExceededError) as caught:
                await call(pool, timeout=0.05)
            blocking_call.cancel()
            await asyncio.wait((blocking_call,))
            return caught.value.progress, time.monotonic() - started_at

        progress, seconds = with_pool(test, handler=never_respond)
        assert progress is exceptions.Progress.NOTHING_SENT
        assert seconds < 1.0

    def test_cancelled_call_frees_its_connection(self):
        """Guards against a connection leaked or reused after a cancellation.

        A response to the cancelled call may still arrive on the connection, so
        it must be closed, and its place in the pool must become free.
        """

        async def test(pool):
            for _ in range(3):
                cancelled = asyncio.create_task(call(pool))
                await asyncio.sleep(0.02)
                cancelled.cancel()
                await asyncio.wait((cancelled,))
            return pool.idle, pool.permits.locked()

        assert with_pool(test, handler=never_respond) == ([], False)


class TestHostThatCannotBeResolved:
    """The address passes as an IP address and cannot be connected to."""

    @pytest.mark.parametrize(
        "scope", ("br-" + "5c0e7a21" * 8, "a..b", "a\0b", "no-such-0")
    )
    def test_is_a_connection_error(self, scope):
        """Guards against an error type that no caller of the pool expects."""
        pool = calls.CallPool(host=f"::1%{scope}", port=9, connections=1)
        with pytest.raises(exceptions.ConnectError):
            asyncio.run(call(pool))
