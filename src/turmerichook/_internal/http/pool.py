"""Pool of kept-alive connections to one server.

A connection is reused only if its last exchange ended cleanly on both sides,
no data arrived while it was idle, and it was idle only for a short time.
"""

import asyncio

from turmerichook._internal.http import client
from turmerichook._internal.http import heads
from turmerichook._internal.http import wire as wires

# Shorter than the usual keep-alive time-out of servers, so that a request is
# seldom sent on a connection that the server is about to close.
MAX_IDLE_SECONDS = 20.0
# A request that must not be sent twice uses a new connection, or one that was
# idle for at most this time.
MAX_FRESH_IDLE_SECONDS = 1.0


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
        self.io_timeout = self.limits.body_timeout.total_seconds()
        self.idle: list[client.ClientConnection] = []
        self.in_use = 0
        self.closed = False
        # Seconds that the last connection set-up took, an estimate of the
        # round-trip time; None before the first connection.
        self.connect_time: float | None = None

    @property
    def room(self) -> bool:
        """Whether the pool can provide a connection for one more exchange."""
        return not self.closed and self.in_use < self.limit

    async def take(
        self, *, fresh: bool, left: float = float("inf")
    ) -> client.ClientConnection:
        """Return a connection for one exchange.

        :param fresh: set if the request must not be sent twice, so that only
            a new or recently used connection is safe.
        :param left: maximum seconds for connecting.
        :raises ConnectError: if the connection attempt fails or times out.
        """
        self.in_use += 1
        try:
            connection = self._take_idle(fresh)
            if connection is None:
                connection = await self._open(left)
        except BaseException:
            self.in_use -= 1
            raise
        connection.wire.on_lost = None
        return connection

    def give_back(self, connection: client.ClientConnection) -> None:
        """Return a connection to the pool.

        It is closed if its exchange did not end cleanly.
        """
        self.in_use -= 1
        connection.finish()
        if self.closed or not connection.reusable:
            connection.close()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        connection.wire.on_lost = self._drop_disconnected
        self.idle.append(connection)

    def close(self) -> None:
        """Close idle connections, and those in use once they are returned."""
        self.closed = True
        for connection in list(self.idle):
            connection.close()
        self.idle.clear()

    def expire(self) -> None:
        """Close the connections whose idle time exceeds the maximum."""
        earliest_idle_since = (
            asyncio.get_running_loop().time() - MAX_IDLE_SECONDS
        )
        for connection in list(self.idle):
            if connection.idle_since < earliest_idle_since:
                self.idle.remove(connection)
                connection.close()

    def _take_idle(self, fresh: bool) -> client.ClientConnection | None:
        now = asyncio.get_running_loop().time()
        limit = MAX_FRESH_IDLE_SECONDS if fresh else MAX_IDLE_SECONDS
        while self.idle:
            connection = self.idle[-1]
            if connection.reusable and now - connection.idle_since <= limit:
                return self.idle.pop()
            if fresh and len(self.idle) + self.in_use <= self.limit:
                # A connection idle for longer is kept for requests that may
                # be repeated, as a new one still fits under the limit.
                return None
            self.idle.pop().close()
        return None

    async def _open(self, left: float) -> client.ClientConnection:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        connection = await client.ClientConnection.open(
            host=self.host,
            port=self.port,
            timeout=min(self.connect_timeout, max(0.0, left)),
            limits=self.limits,
            io_timeout=self.io_timeout,
        )
        self.connect_time = loop.time() - started_at
        return connection

    def _drop_disconnected(self, wire: wires.Wire) -> None:
        self.idle = [c for c in self.idle if c.wire is not wire]
