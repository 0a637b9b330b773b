"""Tests of the proxy that cuts connections for a time."""

import asyncio

import pytest

from standins import proxy


async def echo(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Send all data back until the peer closes."""
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


async def read_during_cut(*, opened_before: bool) -> tuple[bool, bytes]:
    """Return whether data came through a cut, and what came after it."""
    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    link = proxy.Proxy(
        target=server.sockets[0].getsockname(), plan=lambda: proxy.NO_FAULT
    )
    port = await link.start()
    if not opened_before:
        link.passing.clear()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    if opened_before:
        writer.write(b"a")
        assert await reader.read(100) == b"a"
        link.passing.clear()
    writer.write(b"b")
    read_task = asyncio.create_task(reader.read(100))
    done, _ = await asyncio.wait([read_task], timeout=0.2)
    link.passing.set()
    data = await asyncio.wait_for(read_task, 5)
    writer.close()
    await link.stop()
    server.close()
    return bool(done), data


class TestCut:
    """A cut holds data back and loses none."""

    @pytest.mark.parametrize("opened_before", (True, False))
    def test_data_arrives_after_the_cut(self, opened_before):
        """Guards against a cut that lets calls through, or loses them."""
        assert asyncio.run(read_during_cut(opened_before=opened_before)) == (
            False,
            b"b",
        )
