"""Kept-alive connections to one server.

A connection is used again only after its exchange ended cleanly on both
sides, only while nothing unasked has arrived on it, and only for a short time
of idleness.
"""

import asyncio

from turmerichook._internal.http import client
from turmerichook._internal.http import heads
from turmerichook._internal.http import wire as wires

# Shorter than the time after which servers usually close idle connections,
# so that a request seldom meets a connection that is about to close.
IDLE_SECONDS = 20.0
# A request that must not be sent twice takes only a connection that was in
# use a moment ago, or a new one.
FRESH_SECONDS = 1.0


class ConnectionPool:
    """At most ``limit`` connections to one address."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        limit: int,
        connect_timeout: float,
        limits: heads.Limits | None = None,
    ):
        self.host = host
        self.port = port
        self.limit = limit
        self.connect_timeout = connect_timeout
        self.limits = limits or heads.Limits()
        self.read_limit = self.limits.body_timeout.total_seconds()
        self.idle: list[client.ClientConnection] = []
        self.in_use = 0
        self.closed = False
        # Time of the last connection set-up in seconds, a measure of the
        # link; None until there was one.
        self.connect_time: float | None = None

    @property
    def room(self) -> bool:
        """Whether one more exchange may begin."""
        return not self.closed and self.in_use < self.limit

    async def take(self, *, fresh: bool) -> client.ClientConnection:
        """Return a connection for one exchange.

        :param fresh: take only one that was in use a moment ago.
        :raises ConnectError: if no connection was made.
        """
        self.in_use += 1
        try:
            connection = self._idle(fresh)
            if connection is None:
                connection = await self._open()
        except BaseException:
            self.in_use -= 1
            raise
        connection.wire.on_lost = None
        return connection

    def give_back(self, connection: client.ClientConnection) -> None:
        """Keep the connection if its exchange ended cleanly, or close it."""
        self.in_use -= 1
        connection.finish()
        if self.closed or not connection.reusable:
            connection.close()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        connection.wire.on_lost = self._forget
        self.idle.append(connection)

    def close(self) -> None:
        """Close idle connections, and those in use when they come back."""
        self.closed = True
        for connection in list(self.idle):
            connection.close()
        self.idle.clear()

    def expire(self) -> None:
        """Close the connections that were idle for too long."""
        oldest = asyncio.get_running_loop().time() - IDLE_SECONDS
        for connection in list(self.idle):
            if connection.idle_since < oldest:
                self.idle.remove(connection)
                connection.close()

    def _idle(self, fresh: bool) -> client.ClientConnection | None:
        now = asyncio.get_running_loop().time()
        limit = FRESH_SECONDS if fresh else IDLE_SECONDS
        while self.idle:
            connection = self.idle[-1]
            if connection.reusable and now - connection.idle_since <= limit:
                return self.idle.pop()
            if fresh and len(self.idle) + self.in_use <= self.limit:
                # Left for requests that may be repeated.
                return None
            self.idle.pop().close()
        return None

    async def _open(self) -> client.ClientConnection:
        loop = asyncio.get_running_loop()
        began = loop.time()
        connection = await client.ClientConnection.open(
            host=self.host,
            port=self.port,
            timeout=self.connect_timeout,
            limits=self.limits,
            read_limit=self.read_limit,
        )
        self.connect_time = loop.time() - began
        return connection

    def _forget(self, wire: wires.Wire) -> None:
        self.idle = [c for c in self.idle if c.wire is not wire]
