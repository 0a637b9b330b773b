"""Dials peers, and redials them when a connection ends."""

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
# Delays between attempts double from the first value up to the last one, which
# is below the 10 s within which a configuration must be in force.
REDIAL_DELAY_FIRST_S = 0.5
REDIAL_DELAY_MAX_S = 4.0
# A connection that lasted at least this long resets the delay between attempts
# to its first value.
STABLE_CONNECTION_AGE = datetime.timedelta(seconds=10)


class PeerLink:
    """Maintains a connection to one of several candidate addresses.

    :param candidates: addresses in order of preference; after each failure
        the next one is dialled.
    :param attempted: whether the first attempt to connect has ended, with
        success or not.
    """

    def __init__(self, *, hub: "hubs.Hub", candidates: list[str]):
        self.hub = hub
        self.candidates = candidates
        self.address = candidates[0]
        self.connection: connections.Connection | None = None
        self.failures = 0
        self.attempted = False

    @property
    def connected(self) -> bool:
        """Whether there is an open connection."""
        return self.connection is not None and not self.connection.closed

    @property
    def peer(self) -> typing.Any:
        """The message by which the peer identified itself, or None."""
        return None if self.connection is None else self.connection.peer

    def send(self, frame: bytes) -> None:
        """Queue a frame for the peer; drop it if there is no connection."""
        if self.connection is not None:
            self.connection.send(frame)

    async def run(self) -> None:
        """Dial, and dial again whenever the connection ends, for ever."""
        while True:
            started = self.hub.clock.monotonic()
            try:
                await self._connect_and_serve()
            except exceptions.MessageError as error:
                logs.emit(
                    events.StreamEvent.PROTOCOL_BROKEN,
                    source=self.address,
                    error=error,
                )
            except (OSError, TimeoutError, exceptions.ConnectError):
                # The peer is down or cannot be reached; it is dialled again.
                pass
            self.attempted = True
            if self.hub.clock.monotonic() - started >= STABLE_CONNECTION_AGE:
                self.failures = 0
            await self.hub.clock.sleep(self._next_redial_delay())
            self._select_next_address()

    async def _connect_and_serve(self) -> None:
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
        self.attempted = True
        try:
            await connection.run()
        finally:
            self.connection = None
            self.hub.ended_traffic.add(connection.traffic)

    def _next_redial_delay(self) -> datetime.timedelta:
        # The jitter keeps the peers of a restarted process from dialling it
        # all at the same moment.
        longest_s = min(
            REDIAL_DELAY_MAX_S, REDIAL_DELAY_FIRST_S * 2**self.failures
        )
        self.failures = min(self.failures + 1, 10)
        seconds = longest_s * self.hub.rng.uniform(0.5, 1.0)
        return datetime.timedelta(seconds=seconds)

    def _select_next_address(self) -> None:
        position = self.candidates.index(self.address) + 1
        self.address = self.candidates[position % len(self.candidates)]


def make_far_links(
    *, hub: "hubs.Hub", addresses: list[str], count: int
) -> list[PeerLink]:
    """Return ``count`` links with the far peers divided among them.

    Each link gets its share of the addresses in random order. The order
    differs between processes, so the links of all processes of a zone together
    reach many peers in each other zone.
    """
    order = list(addresses)
    hub.rng.shuffle(order)
    count = min(count, len(order))
    return [
        PeerLink(hub=hub, candidates=order[number::count])
        for number in range(count)
    ]
