"""Tests of the streams between processes, over the loopback interface."""

import asyncio
import dataclasses
import random

import pytest

from turmerichook._internal import clock as clocks
from turmerichook._internal.membership import messages
from turmerichook._internal.streams import codec as codecs
from turmerichook._internal.streams import connection as connections
from turmerichook._internal.streams import hub as hubs
from turmerichook._internal.streams import links as peer_links
from turmerichook import exceptions

LIMIT_S = 10


@dataclasses.dataclass(frozen=True, kw_only=True)
class Note:
    """A message for these tests."""

    text: str


def make_hub(peers=(), **options):
    """Return a hub whose greeting is one ``Note``."""
    return hubs.Hub(
        codec=codecs.Codec(types=[Note]),
        clock=clocks.SystemClock(),
        peers=peers,
        greeting=lambda: [Note(text="greeting")],
        rng=random.Random(1),
        **options,
    )


async def received_text(hub):
    """Return the text of the next message that the hub receives."""
    async with asyncio.timeout(LIMIT_S):
        return (await hub.received.get()).message.text


def run(scenario):
    """Run a coroutine function to its end."""
    asyncio.run(scenario())


class TestDirections:
    """A connection carries messages both ways."""

    def test_reply_to_a_dialler(self):
        # Guards against a new process that gets no answers because no other
        # process dials it yet.
        async def scenario():
            server = make_hub()
            port = await server.start("127.0.0.1:0")
            dialler = make_hub([f"127.0.0.1:{port}"])
            await dialler.start("127.0.0.1:0")
            async with asyncio.timeout(LIMIT_S):
                first = await server.received.get()
            first.reply(Note(text="answer"))
            assert await received_text(dialler) == "answer"
            assert server.traffic().received_frames == 1
            dialler.stop()
            server.stop()

        run(scenario)

    def test_peer_restarts(self):
        # Guards against a link that is not dialled again after its peer has
        # restarted.
        async def scenario():
            server = make_hub()
            port = await server.start("127.0.0.1:0")
            dialler = make_hub([f"127.0.0.1:{port}"])
            await dialler.start("127.0.0.1:0")
            assert await received_text(server) == "greeting"
            server.stop()
            await asyncio.sleep(0.1)
            restarted = make_hub()
            await restarted.start(f"127.0.0.1:{port}")
            assert await received_text(restarted) == "greeting"
            dialler.stop()
            restarted.stop()

        run(scenario)


class TestFrames:
    """Frames hold only the fields that differ from their defaults."""

    def test_defaults_are_left_out(self):
        # Guards against heartbeats so large that a process exceeds its
        # traffic limit, and against a field with another value than its
        # default that is omitted from the frame.
        codec = codecs.Codec(types=[messages.Heartbeat])
        frames = codecs.FrameReader(codec=codec)
        idle = messages.Heartbeat(node="gateway-a-0", generation=1, owned={})
        full = messages.Heartbeat(
            node="gateway-a-0",
            generation=0,
            owned={"a": 3},
            digest=b"abcd",
            reads=True,
            gateways={"b": [4, 2]},
        )
        data = codec.encode(idle) + codec.encode(full)
        assert frames.feed(data) == [idle, full]
        assert len(codec.encode(idle)) < 60


class TestMisbehavingPeers:
    """A misbehaving peer loses its own connection and affects no other."""

    @pytest.mark.parametrize(
        "data", [b"\xc1", b"\x92\xa4Note\x80", b"\xdb\x00\x20\x00\x00" * 9]
    )
    def test_invalid_frames_end_the_connection(self, data):
        # Guards against a hub that stops accepting connections after a peer
        # has sent an unknown or malformed frame.
        async def scenario():
            server = make_hub()
            port = await server.start("127.0.0.1:0")
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data)
            await writer.drain()
            writer.write_eof()
            async with asyncio.timeout(LIMIT_S):
                assert await reader.read() == b""
            dialler = make_hub([f"127.0.0.1:{port}"])
            await dialler.start("127.0.0.1:0")
            assert await received_text(server) == "greeting"
            dialler.stop()
            server.stop()

        run(scenario)

    def test_oversized_frame(self):
        # Guards against a peer that announces a huge frame, whose data then
        # accumulates in memory.
        reader = codecs.FrameReader(codec=codecs.Codec(types=[Note]))
        with pytest.raises(exceptions.FrameTooLargeError):
            for _ in range(20):
                reader.feed(b"\xc6\x7f\xff\xff\xff" + b"x" * 100_000)

    def test_slow_peer(self):
        # Guards against an unbounded queue of messages for a peer that is
        # connected but reads nothing.
        async def scenario():
            async def ignore(reader, writer):
                await asyncio.sleep(LIMIT_S)

            unresponsive_server = await asyncio.start_server(
                ignore, "127.0.0.1", 0
            )
            port = unresponsive_server.sockets[0].getsockname()[1]
            hub = make_hub([f"127.0.0.1:{port}"])
            await hub.start("127.0.0.1:0")
            async with asyncio.timeout(LIMIT_S):
                while not hub.links[0].connected:
                    await asyncio.sleep(0.01)
                connection = hub.links[0].connection
                while not connection.closed:
                    hub.publish(Note(text="x" * 100_000))
                    await asyncio.sleep(0)
            assert connection.queued_bytes <= connections.SEND_QUEUE_BYTES
            hub.stop()
            unresponsive_server.close()

        run(scenario)


class TestFarLinks:
    """Only a few of the far peers are dialled."""

    def test_bounded_and_varied(self):
        # Guards against a number of connections that grows with the square
        # of the number of processes, and against all processes choosing the
        # same far peers.
        peers = [f"127.0.0.1:{number}" for number in range(1, 101)]
        chosen = set()
        for seed in range(17):
            hub = make_hub(far_peers=peers, far_links=2)
            hub.rng = random.Random(seed)
            links = peer_links.make_far_links(
                hub=hub, addresses=peers, count=2
            )
            assert len(links) == 2
            chosen |= {link.address for link in links}
            shared = [a for link in links for a in link.candidates]
            assert sorted(shared) == sorted(peers)
        assert len(chosen) > 20

    def test_redial_delays_have_jitter_and_a_maximum(self):
        # Guards against all peers dialling a restarted process at once, and
        # against a delay that grows beyond the 10 s within which a
        # configuration must be in force.
        link = peer_links.PeerLink(hub=make_hub(), candidates=["127.0.0.1:1"])
        delays = [link._next_redial_delay().total_seconds() for _ in range(20)]
        assert len(set(delays)) == 20
        assert max(delays) <= peer_links.REDIAL_DELAY_MAX_S
