"""Tests of the read time-outs of a TCP connection."""

import asyncio
import time

import pytest

from turmerichook._internal.http import wire as wires

SHORT_S = 0.05
LONG_S = 30.0


def with_wire(test):
    """Run a test with a connection and the writer at its other end."""

    async def scenario():
        loop = asyncio.get_running_loop()
        other_writer: asyncio.Future = loop.create_future()
        server = await asyncio.start_server(
            lambda _, writer: other_writer.set_result(writer), "127.0.0.1", 0
        )
        host, port = server.sockets[0].getsockname()
        _, wire = await loop.create_connection(wires.Wire, host, port)
        writer = await other_writer
        try:
            async with asyncio.timeout(5):
                return await test(wire, writer)
        finally:
            wire.abort()
            writer.close()
            server.close()

    return asyncio.run(scenario())


async def read_until_timeout(wire, timeout):
    """Read until the time-out, and return the seconds that it took."""
    started_at = time.monotonic()
    with pytest.raises(TimeoutError):
        await wire.read(timeout)
    return time.monotonic() - started_at


class TestReadTimeouts:
    """Each read has its own time-out, though reads share a timer."""

    def test_shorter_timeout_after_a_longer_one(self):
        """Guards against a read that times out late.

        The timer of an earlier read with a longer time-out is still set.
        """

        async def test(wire, writer):
            writer.write(b"x")
            await wire.read(LONG_S)
            return await read_until_timeout(wire, SHORT_S)

        assert SHORT_S * 0.9 <= with_wire(test) < 2.0

    def test_longer_timeout_after_a_shorter_one(self):
        """Guards against a read that times out early.

        The timer of an earlier read with a shorter time-out is still set.
        """

        async def test(wire, writer):
            writer.write(b"x")
            await wire.read(SHORT_S)
            return await read_until_timeout(wire, 4 * SHORT_S)

        assert 3.5 * SHORT_S <= with_wire(test) < 2.0

    def test_no_timeout_after_a_short_one(self):
        """Guards against a time-out of a read without time limit.

        The timer of an earlier read with a time-out is still set.
        """

        async def test(wire, writer):
            writer.write(b"x")
            await wire.read(SHORT_S)
            wire.loop.call_later(3 * SHORT_S, writer.write, b"y")
            return await wire.read(None)

        assert with_wire(test) == b"y"

    def test_read_after_a_timeout(self):
        """Guards against a connection that cannot be read after a time-out.

        The timer has fired and must be set again for the next read.
        """

        async def test(wire, writer):
            await read_until_timeout(wire, SHORT_S)
            wire.loop.call_later(SHORT_S, writer.write, b"y")
            return await wire.read(LONG_S)

        assert with_wire(test) == b"y"


class TestTimerCost:
    """A read needs no new timer, and a closed connection keeps none."""

    def test_reads_share_one_timer(self, monkeypatch):
        """Guards against a timer that is set and cancelled for each read.

        Ten reads with the same time-out must share one timer.
        """

        async def test(wire, writer):
            timers = []
            call_at = wire.loop.call_at

            def counted_call_at(when, callback, *arguments, **others):
                timers.append(when)
                return call_at(when, callback, *arguments, **others)

            monkeypatch.setattr(wire.loop, "call_at", counted_call_at)
            for _ in range(10):
                wire.loop.call_soon(writer.write, b"x")
                await wire.read(LONG_S)
            return len(timers)

        assert with_wire(test) == 1

    def test_closed_connection_keeps_no_timer(self):
        """Guards against a timer that keeps a closed connection in memory.

        The event loop refers to the timer, and the timer to the connection.
        """

        async def test(wire, writer):
            writer.write(b"x")
            await wire.read(LONG_S)
            wire.abort()
            await asyncio.sleep(SHORT_S)
            return wire.timer

        assert with_wire(test) is None
