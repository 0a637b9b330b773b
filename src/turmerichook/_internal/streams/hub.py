"""Streams between the product's own processes.

A hub listens for peers and dials those that its settings name. What arrives
goes to one queue. ``publish`` sends on the dialled connections only: peers
dial each other, so each message arrives once. A message to a peer that
cannot be reached is dropped: senders repeat what matters, and a new
connection starts with the greeting messages, which hold the current state.

All near peers (those of the own zone) are dialled. Of the far peers only a
few are, so that traffic and connections stay bounded in a large site.
"""

import asyncio
import collections.abc
import contextlib
import random
import typing

from turmerichook._internal import clock as clocks
from turmerichook._internal.http import addresses
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.streams import codec as codecs
from turmerichook._internal.streams import connection as connections
from turmerichook._internal.streams import events
from turmerichook._internal.streams import links as peer_links
from turmerichook import exceptions

Received = connections.Received

RECEIVED_QUEUE = 256
# Four times the links that a process has at the target size.
ACCEPTED_MAX = 256


class Hub:
    """Listener and diallers of one process.

    :param peers: addresses that are always dialled.
    :param far_peers: addresses of which ``far_links`` are dialled.
    """

    def __init__(
        self,
        *,
        codec: codecs.Codec,
        clock: clocks.Clock,
        peers: collections.abc.Iterable[str],
        greeting: collections.abc.Callable[[], list[typing.Any]],
        far_peers: collections.abc.Iterable[str] = (),
        far_links: int = 0,
        rng: random.Random | None = None,
    ):
        self.codec = codec
        self.clock = clock
        self.greeting = greeting
        self.rng = rng or random.Random()
        self.received: asyncio.Queue[Received] = asyncio.Queue(RECEIVED_QUEUE)
        self.links = [
            peer_links.PeerLink(hub=self, candidates=[peer]) for peer in peers
        ]
        self.far_links = peer_links.far_links(
            hub=self, addresses=list(far_peers), count=far_links
        )
        self.accepted: set[connections.Connection] = set()
        self.listener: asyncio.Server | None = None
        self.tasks: list[asyncio.Task] = []
        self.ended_bytes = [0, 0]

    async def start(self, address: str) -> int:
        """Listen, dial the peers, and return the port."""
        host, port = addresses.split(address)
        self.listener = await asyncio.start_server(self._accept, host, port)
        self.tasks = [
            asyncio.create_task(link.run())
            for link in self.links + self.far_links
        ]
        return self.listener.sockets[0].getsockname()[1]

    def publish(
        self, message: typing.Any, *, near: bool = True, far: bool = True
    ) -> None:
        """Send a message to the peers that are connected."""
        frame = self.codec.encode(message)
        chosen = self.links if near else []
        for link in chosen + (self.far_links if far else []):
            link.send(frame)

    def settled(self) -> bool:
        """Tell whether each near peer was dialled, with success or not."""
        return all(link.tried for link in self.links)

    def traffic(self) -> tuple[int, int]:
        """Return the payload bytes sent and received so far."""
        live = list(self.accepted)
        live += [
            link.connection
            for link in self.links + self.far_links
            if link.connection is not None
        ]
        return (
            self.ended_bytes[0] + sum(c.bytes_sent for c in live),
            self.ended_bytes[1] + sum(c.bytes_received for c in live),
        )

    def account(self, ended: connections.Connection) -> None:
        """Keep the byte counts of a connection that has ended."""
        self.ended_bytes[0] += ended.bytes_sent
        self.ended_bytes[1] += ended.bytes_received

    def stop(self) -> None:
        """Close the listener and all links."""
        if self.listener is not None:
            self.listener.close()
        for task in self.tasks:
            task.cancel()
        for connection in list(self.accepted):
            connection.writer.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = connections.Connection(
            codec=self.codec,
            received=self.received,
            reader=reader,
            writer=writer,
            dialled=False,
        )
        if len(self.accepted) >= ACCEPTED_MAX:
            logs.emit(
                events.StreamEvent.REFUSED,
                source=connection.source,
                connections=len(self.accepted),
            )
            writer.close()
            return
        self.accepted.add(connection)
        try:
            connections.watch(writer)
            await connection.run()
        except exceptions.MessageError as error:
            # A peer that breaks the protocol is cut off; it redials.
            logs.emit(
                events.StreamEvent.PROTOCOL_BROKEN,
                source=connection.source,
                error=error,
            )
        except (OSError, TimeoutError):
            # The peer has gone, or was silent; if it lives it redials.
            pass
        except asyncio.CancelledError:
            # The loop is closing. asyncio 3.11 reports a cancelled stream
            # callback as an unhandled error, so it ends normally.
            pass
        finally:
            self.accepted.discard(connection)
            self.account(connection)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()
