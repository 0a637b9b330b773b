"""Tests of the HTTP server against unusual and faulty clients."""

import asyncio
import datetime

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from turmerichook._internal.http import heads
from turmerichook._internal.http import server

SHORT_TIMEOUT = datetime.timedelta(seconds=0.2)
SMALL_LIMITS = heads.Limits(
    head_bytes=2048,
    body_bytes=4096,
    connections=4,
    head_timeout=SHORT_TIMEOUT,
    idle_timeout=SHORT_TIMEOUT,
    body_timeout=SHORT_TIMEOUT,
)


async def echo(exchange):
    """Respond with the length of the body.

    Two paths misbehave: ``/early`` responds before it reads the body, and
    ``/cut`` fails in the middle of the response.
    """
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
    """A server for one test, to which raw bytes can be sent."""

    def __init__(self):
        self.server = server.Server(handler=echo, limits=SMALL_LIMITS)
        self.port = 0

    async def __aenter__(self):
        self.port = await self.server.start(host="127.0.0.1", port=0)
        return self

    async def __aexit__(self, *_):
        await self.server.stop(grace=1)

    async def send(self, data, *, end=False):
        """Send bytes on a new connection, and return all that it receives.

        :param end: whether to close the sending side after the bytes.
        """
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(data)
            if end:
                writer.write_eof()
            async with asyncio.timeout(5):
                return await reader.read(-1)
        finally:
            writer.close()


def send_to_server(data, *, end=False):
    """Send bytes to a new server, and return all that it sends back."""

    async def run():
        async with Listener() as listener:
            return await listener.send(data, end=end)

    return asyncio.run(run())


GET = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"


class TestUnusualClients:
    """Clients that are unusual but comply with HTTP."""

    def test_pipelined_requests(self):
        # Guards against lost or reordered responses when a client sends
        # several requests without waiting for the responses.
        post = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc"
        answer = send_to_server(GET + post + GET)
        bodies = [part[:1] for part in answer.split(b"\r\n\r\n")[1:]]
        assert bodies == [b"0", b"3", b"0"]

    def test_client_closes_its_sending_side(self):
        # Guards against sending no response to a client that closes its
        # sending side after the request.
        assert send_to_server(GET, end=True).startswith(b"HTTP/1.1 200")

    def test_expect_100_continue(self):
        # Guards against a client that waits forever for 100 Continue before
        # it sends the body.
        head = (
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n"
            b"expect: 100-continue\r\n\r\n"
        )
        assert send_to_server(head + b"abc").startswith(b"HTTP/1.1 100")

    def test_response_before_end_of_upload(self):
        # Guards against the loss of a response that is sent before the
        # request has ended: closing the connection while request bytes are
        # unread resets it, and the client discards the response.
        head = b"POST /early HTTP/1.1\r\nhost: a\r\ncontent-length: 900000"
        answer = send_to_server(head + b"\r\n\r\n" + bytes(900000), end=True)
        assert answer.startswith(b"HTTP/1.1 413")
        assert b"connection: close" in answer.lower()

    def test_truncated_response_is_recognizable(self):
        # Guards against a truncated response that looks complete. In HTTP/1.0
        # the end of the connection ends the response, so that only a reset
        # shows the truncation.
        chunked = send_to_server(b"GET /cut HTTP/1.1\r\nhost: a\r\n\r\n")
        assert not chunked.endswith(b"0\r\n\r\n")
        try:
            send_to_server(b"GET /cut HTTP/1.0\r\n\r\n")
        except ConnectionResetError:
            return
        raise AssertionError(
            "a truncated HTTP/1.0 response ended without a reset"
        )

    def test_longest_idle_connection_is_closed_at_the_limit(self):
        # Guards against refusing new clients because idle connections use up
        # the limit: the longest idle one must be closed instead.
        async def run():
            async with Listener() as listener:
                idle = []
                for _ in range(SMALL_LIMITS.connections):
                    opened = await asyncio.open_connection(
                        "127.0.0.1", listener.port
                    )
                    opened[1].write(GET)
                    await opened[0].readuntil(b"\r\n\r\n0")
                    idle.append(opened)
                answer = await listener.send(GET, end=True)
                after_close = await idle[0][0].read(1)
                for _, writer in idle:
                    writer.close()
                return answer, after_close

        answer, after_close = asyncio.run(run())
        assert answer.startswith(b"HTTP/1.1 200")
        assert after_close == b""


class TestFaultyClients:
    """Clients that violate HTTP or exceed the limits."""

    def test_content_length_and_transfer_encoding(self):
        # Guards against request smuggling: with both Content-Length and
        # Transfer-Encoding, two servers can disagree on where a body ends.
        head = (
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n"
            b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n"
        )
        assert send_to_server(head).startswith(b"HTTP/1.1 400")

    def test_head_over_the_limit(self):
        # Guards against buffering a request head of unlimited size.
        head = b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 4096
        assert send_to_server(head).startswith(b"HTTP/1.1 431")

    def test_incomplete_head_times_out(self):
        # Guards against a connection that stays open because a client never
        # completes the head of its request.
        assert send_to_server(b"GET / HT") == b""

    def test_incomplete_body_times_out(self):
        # Guards against a connection that stays open because a client never
        # completes the body of its request.
        head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nab"
        assert send_to_server(head) == b""

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
        # Guards against input that crashes or blocks the server, or after
        # which a connection is never closed.
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
