"""Dialling peers and keeping the connections."""

import datetime
import typing

from turmerichook._internal.http import addresses as address_parsing
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.streams import connection as connections
from turmerichook._internal.streams import events
from turmerichook import exceptions

if typing.TYPE_CHECKING:
    from turmerichook._internal.streams import hub as hubs

CONNECT_TIMEOUT_S = 1.0
# Delays between attempts double up to the last one. It stays below the 10 s
# within which a configuration must be in force.
REDIAL_FIRST_S = 0.5
REDIAL_LAST_S = 4.0
# A connection that lasted this long was a good one.
STABLE = datetime.timedelta(seconds=10)


class PeerLink:
    """Keeps a connection to one of its candidates.

    :param candidates: addresses in order of preference; after each failure
        the next one is dialled.
    :param tried: True after the first attempt has ended or connected.
    """

    def __init__(self, *, hub: "hubs.Hub", candidates: list[str]):
        self.hub = hub
        self.candidates = candidates
        self.address = candidates[0]
        self.connection: connections.Connection | None = None
        self.failures = 0
        self.tried = False

    @property
    def connected(self) -> bool:
        """Whether frames can be sent now."""
        return self.connection is not None and not self.connection.closed

    def send(self, frame: bytes) -> None:
        """Queue a frame if the peer is connected and keeps up."""
        if self.connection is not None:
            self.connection.send(frame)

    async def run(self) -> None:
        """Dial again whenever the connection ends."""
        while True:
            began = self.hub.clock.monotonic()
            try:
                await self._session()
            except exceptions.MessageError as error:
                logs.emit(
                    events.StreamEvent.PROTOCOL_BROKEN,
                    source=self.address,
                    error=error,
                )
            except (OSError, TimeoutError, exceptions.ConnectError):
                # The peer is down or cannot be reached; it is dialled again.
                pass
            self.tried = True
            if self.hub.clock.monotonic() - began >= STABLE:
                self.failures = 0
            await self.hub.clock.sleep(self._delay())
            self._next()

    async def _session(self) -> None:
        host, port = address_parsing.split(self.address)
        reader, writer = await connections.connect(
            host, port, CONNECT_TIMEOUT_S
        )
        connection = connections.Connection(
            codec=self.hub.codec,
            received=self.hub.received,
            reader=reader,
            writer=writer,
            dialled=True,
        )
        for message in self.hub.greeting():
            connection.send(self.hub.codec.encode(message))
        self.connection = connection
        self.tried = True
        try:
            await connection.run()
        finally:
            self.connection = None
            self.hub.account(connection)

    def _delay(self) -> datetime.timedelta:
        # Without jitter all peers of a process that returns would dial it
        # at the same moment.
        longest = min(REDIAL_LAST_S, REDIAL_FIRST_S * 2**self.failures)
        self.failures = min(self.failures + 1, 10)
        seconds = longest * self.hub.rng.uniform(0.5, 1.0)
        return datetime.timedelta(seconds=seconds)

    def _next(self) -> None:
        position = self.candidates.index(self.address) + 1
        self.address = self.candidates[position % len(self.candidates)]


def far_links(
    *, hub: "hubs.Hub", addresses: list[str], count: int
) -> list[PeerLink]:
    """Return links that share out the far peers in random order.

    The random order differs between processes, so the links of a zone's
    processes together reach many peers of each other zone.
    """
    order = list(addresses)
    hub.rng.shuffle(order)
    count = min(count, len(order))
    return [
        PeerLink(hub=hub, candidates=order[number::count])
        for number in range(count)
    ]
