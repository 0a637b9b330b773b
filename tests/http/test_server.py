"""Tests of the HTTP listener against peers that misbehave."""

import asyncio
import datetime

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from turmerichook._internal.http import heads
from turmerichook._internal.http import server

SHORT = datetime.timedelta(seconds=0.2)
SMALL = heads.Limits(
    head_bytes=2048,
    body_bytes=4096,
    connections=4,
    head_timeout=SHORT,
    idle_timeout=SHORT,
    body_timeout=SHORT,
)


async def echo(exchange):
    """Answer with the length of the body, or in the way the path says."""
    if exchange.head.path == "/early":
        await exchange.respond(status=413, body=b"early")
    elif exchange.head.path == "/cut":
        await exchange.start(status=200, headers=[])
        await exchange.send(b"part")
        raise OSError("cut")
    else:
        body = await exchange.read_all()
        await exchange.respond(status=200, body=b"%d" % len(body))


class Listener:
    """A server for one test, and raw connections to it."""

    def __init__(self):
        self.server = server.Server(handler=echo, limits=SMALL)
        self.port = 0

    async def __aenter__(self):
        self.port = await self.server.start(host="127.0.0.1", port=0)
        return self

    async def __aexit__(self, *_):
        await self.server.stop(grace=1)

    async def send(self, data, *, end=False):
        """Send bytes on a new connection; return all that comes back."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(data)
            if end:
                writer.write_eof()
            async with asyncio.timeout(5):
                return await reader.read(-1)
        finally:
            writer.close()


def ask(data, *, end=False):
    """Return what one connection gets for some bytes."""

    async def run():
        async with Listener() as listener:
            return await listener.send(data, end=end)

    return asyncio.run(run())


GET = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"


class TestPeers:
    """Peers that are unusual but within the protocol."""

    def test_pipelined(self):
        # Guards against losing or swapping requests that come at once.
        post = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc"
        answer = ask(GET + post + GET)
        bodies = [part[:1] for part in answer.split(b"\r\n\r\n")[1:]]
        assert bodies == [b"0", b"3", b"0"]

    def test_half_closed(self):
        # Guards against dropping a caller that closed its sending side.
        assert ask(GET, end=True).startswith(b"HTTP/1.1 200")

    def test_continue(self):
        # Guards against a caller that waits for 100 for ever.
        head = (
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n"
            b"expect: 100-continue\r\n\r\n"
        )
        assert ask(head + b"abc").startswith(b"HTTP/1.1 100")

    def test_answer_before_end_of_upload_arrives(self):
        # Guards against a reset that destroys an early answer.
        head = b"POST /early HTTP/1.1\r\nhost: a\r\ncontent-length: 900000"
        answer = ask(head + b"\r\n\r\n" + bytes(900000), end=True)
        assert answer.startswith(b"HTTP/1.1 413")
        assert b"connection: close" in answer.lower()

    def test_cut_answer_looks_cut(self):
        # Guards against an answer that looks whole although it is not.
        chunked = ask(b"GET /cut HTTP/1.1\r\nhost: a\r\n\r\n")
        assert not chunked.endswith(b"0\r\n\r\n")
        try:
            ask(b"GET /cut HTTP/1.0\r\n\r\n")
        except ConnectionResetError:
            return
        raise AssertionError("an HTTP/1.0 answer was cut without a reset")

    def test_longest_idle_makes_room(self):
        # Guards against idle connections that lock new callers out.
        async def run():
            async with Listener() as listener:
                idle = []
                for _ in range(SMALL.connections):
                    opened = await asyncio.open_connection(
                        "127.0.0.1", listener.port
                    )
                    opened[1].write(GET)
                    await opened[0].readuntil(b"\r\n\r\n0")
                    idle.append(opened)
                answer = await listener.send(GET, end=True)
                gone = await idle[0][0].read(1)
                for _, writer in idle:
                    writer.close()
                return answer, gone

        answer, gone = asyncio.run(run())
        assert answer.startswith(b"HTTP/1.1 200")
        assert gone == b""


class TestMalformed:
    """Peers that break the protocol or the limits."""

    def test_double_framing(self):
        # Guards against request smuggling.
        head = (
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n"
            b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n"
        )
        assert ask(head).startswith(b"HTTP/1.1 400")

    def test_large_head(self):
        # Guards against heads that grow without bound.
        head = b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 4096
        assert ask(head).startswith(b"HTTP/1.1 431")

    def test_slow_head(self):
        # Guards against connections that are held by half a head.
        assert ask(b"GET / HT") == b""

    def test_slow_body(self):
        # Guards against connections that are held by half a body.
        head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nab"
        assert ask(head) == b""

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        strategies.lists(
            strategies.sampled_from(
                [
                    b"GET / HTTP/1.1\r\n",
                    b"POST /early HTTP/1.0\r\n",
                    b"host: a\r\n",
                    b"content-length: 5\r\n",
                    b"content-length: -1\r\n",
                    b"transfer-encoding: chunked\r\n",
                    b"expect: 100-continue\r\n",
                    b"upgrade: x\r\n",
                    b"\r\n",
                    b"5\r\nabcde\r\n",
                    b"0\r\n\r\n",
                    b"ffffffffffffffffffffff\r\n",
                    b"\x00\xff\r",
                    b"CONNECT a:1 HTTP/1.1\r\n",
                ]
            ),
            max_size=12,
        )
    )
    def test_any_bytes(self, pieces):
        # Guards against input that crashes, hangs or leaks a connection.
        async def run():
            async with Listener() as listener:
                await listener.send(b"".join(pieces), end=True)
                answer = await listener.send(GET, end=True)
                for _ in range(100):
                    if not listener.server.connections:
                        break
                    await asyncio.sleep(0.01)
                return answer, len(listener.server.connections)

        answer, left = asyncio.run(run())
        assert answer.startswith(b"HTTP/1.1 200")
        assert left == 0
