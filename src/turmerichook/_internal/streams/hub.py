"""Message streams between turmerichook's processes.

A hub accepts connections from peers and dials the peers that it is given. The
messages received on all connections go to one queue. ``publish`` sends on the
dialled connections only: peers dial each other, so each message arrives once.
A message to a peer that cannot be reached is dropped: senders repeat important
messages, and a new connection starts with the greeting messages, which contain
the current state.

All near peers are dialled: those in the zone of this process, or all peers at
a small site. Of the far peers, those in other zones, only a few are dialled,
so that traffic and connections stay bounded at a large site.
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

RECEIVED_QUEUE_MESSAGES = 256
# Largest number of accepted connections: four times the links that a process
# has at the size of site that turmerichook is designed for.
ACCEPTED_CONNECTIONS_MAX = 256


class Hub:
    """Stream listener of a process, and its links to peers.

    :param peers: addresses that are always dialled.
    :param greeting: callable that returns the messages to send first on a
        dialled connection.
    :param far_peers: addresses of peers in other zones; ``far_links`` of them
        are dialled at a time.
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
        self.received: asyncio.Queue[Received] = asyncio.Queue(
            RECEIVED_QUEUE_MESSAGES
        )
        self.links = [
            peer_links.PeerLink(hub=self, candidates=[peer]) for peer in peers
        ]
        self.far_links = peer_links.make_far_links(
            hub=self, addresses=list(far_peers), count=far_links
        )
        self.accepted: set[connections.Connection] = set()
        self.listener: asyncio.Server | None = None
        self.tasks: list[asyncio.Task] = []
        # Sum of the traffic of the connections that have ended.
        self.ended_traffic = connections.Traffic()

    async def start(self, address: str) -> int:
        """Start to listen and to dial the peers.

        :return: port of the listener.
        """
        host, port = addresses.split(address)
        self.listener = await asyncio.start_server(self._accept, host, port)
        self.tasks = [
            asyncio.create_task(link.run())
            for link in self.links + self.far_links
        ]
        return self.listener.sockets[0].getsockname()[1]

    def publish(
        self,
        message: typing.Any,
        *,
        near: bool = True,
        far: bool = True,
        wanted: collections.abc.Callable[[typing.Any], bool] | None = None,
    ) -> None:
        """Send a message on the dialled connections that are open.

        :param near: whether to send to the near peers.
        :param far: whether to send to the dialled far peers.
        :param wanted: predicate on the message by which a peer identified
            itself; tells whether to send to this peer. Peers that have not
            identified themselves yet always get the message.
        """
        frame = self.codec.encode(message)
        chosen = self.links if near else []
        for link in chosen + (self.far_links if far else []):
            if wanted is None or link.peer is None or wanted(link.peer):
                link.send(frame)

    def all_near_peers_attempted(self) -> bool:
        """Tell whether each near peer has been dialled at least once."""
        return all(link.attempted for link in self.links)

    def traffic(self) -> connections.Traffic:
        """Return the traffic of all connections since the start."""
        total = connections.Traffic()
        total.add(self.ended_traffic)
        for connection in self.accepted:
            total.add(connection.traffic)
        for link in self.links + self.far_links:
            if link.connection is not None:
                total.add(link.connection.traffic)
        return total

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
        if len(self.accepted) >= ACCEPTED_CONNECTIONS_MAX:
            logs.emit(
                events.StreamEvent.REFUSED,
                source=connection.source,
                connections=len(self.accepted),
            )
            writer.close()
            return
        self.accepted.add(connection)
        try:
            connections.limit_unacknowledged(writer)
            await connection.run()
        except exceptions.MessageError as error:
            # A peer that breaks the protocol is disconnected; it may redial.
            logs.emit(
                events.StreamEvent.PROTOCOL_BROKEN,
                source=connection.source,
                error=error,
            )
        except (OSError, TimeoutError):
            # The connection broke or timed out; a peer that is running
            # redials.
            pass
        except asyncio.CancelledError:
            # The event loop is closing. asyncio 3.11 reports a cancelled
            # stream callback as an unhandled error, so this one returns
            # normally.
            pass
        finally:
            self.accepted.discard(connection)
            self.ended_traffic.add(connection.traffic)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()
