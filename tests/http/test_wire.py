"""Tests of the time limits of a connection's reads."""

import asyncio
import time

import pytest

from turmerichook._internal.http import wire as wires

SHORT = 0.05
LONG = 30.0


def with_wire(test):
    """Run a test with a connection and the writer of its other end."""

    async def scenario():
        loop = asyncio.get_running_loop()
        other: asyncio.Future = loop.create_future()
        server = await asyncio.start_server(
            lambda _, writer: other.set_result(writer), "127.0.0.1", 0
        )
        host, port = server.sockets[0].getsockname()
        _, wire = await loop.create_connection(wires.Wire, host, port)
        writer = await other
        try:
            async with asyncio.timeout(5):
                return await test(wire, writer)
        finally:
            wire.abort()
            writer.close()
            server.close()

    return asyncio.run(scenario())


async def expire(wire, limit):
    """Return the seconds after which a read gave up."""
    began = time.monotonic()
    with pytest.raises(TimeoutError):
        await wire.read(limit)
    return time.monotonic() - began


class TestLimits:
    """Each read has a limit of its own."""

    def test_shorter_limit_after_a_longer_one(self):
        """Guards against a read that waits for the limit of another."""

        async def test(wire, writer):
            writer.write(b"x")
            await wire.read(LONG)
            return await expire(wire, SHORT)

        assert SHORT * 0.9 <= with_wire(test) < 2.0

    def test_longer_limit_after_a_shorter_one(self):
        """Guards against a read that ends at the limit of another."""

        async def test(wire, writer):
            writer.write(b"x")
            await wire.read(SHORT)
            return await expire(wire, 4 * SHORT)

        assert 3.5 * SHORT <= with_wire(test) < 2.0

    def test_no_limit_after_a_short_one(self):
        """Guards against a limit for a read that has none."""

        async def test(wire, writer):
            writer.write(b"x")
            await wire.read(SHORT)
            wire.loop.call_later(3 * SHORT, writer.write, b"y")
            return await wire.read(None)

        assert with_wire(test) == b"y"

    def test_read_after_an_expired_one(self):
        """Guards against a connection that cannot be read after a time-out."""

        async def test(wire, writer):
            await expire(wire, SHORT)
            wire.loop.call_later(SHORT, writer.write, b"y")
            return await wire.read(LONG)

        assert with_wire(test) == b"y"


class TestCost:
    """A read costs no timer of its own."""

    def test_one_timer(self, monkeypatch):
        """Guards against a timer made and cancelled for each answer."""

        async def test(wire, writer):
            timers = []
            call_at = wire.loop.call_at

            def counted(when, callback, *arguments, **others):
                timers.append(when)
                return call_at(when, callback, *arguments, **others)

            monkeypatch.setattr(wire.loop, "call_at", counted)
            for _ in range(10):
                wire.loop.call_soon(writer.write, b"x")
                await wire.read(LONG)
            return len(timers)

        assert with_wire(test) == 1

    def test_no_timer_is_left(self):
        """Guards against closed connections that timers keep in memory."""

        async def test(wire, writer):
            writer.write(b"x")
            await wire.read(LONG)
            wire.abort()
            await asyncio.sleep(SHORT)
            return wire.read_timer

        assert with_wire(test) is None
