"""HTTP/1.1 server, built on h11.

Each connection is served by its own task. The handler receives an ``Exchange``
for each request and must send one whole response on it. A connection is closed
after an exchange that did not end cleanly.
"""

import asyncio
import collections.abc
import contextlib

import h11

from turmerichook._internal.http import connection as connections
from turmerichook._internal.http import exchange as exchanges
from turmerichook._internal.http import heads
from turmerichook._internal.http import wire as wires
from turmerichook import exceptions

# Connections that the kernel queues until they are accepted.
BACKLOG = 256

Exchange = exchanges.Exchange
Handler = collections.abc.Callable[[Exchange], collections.abc.Awaitable[None]]


class Server:
    """A server that passes each request to its handler."""

    def __init__(
        self,
        *,
        handler: Handler,
        limits: heads.Limits | None = None,
    ):
        self.handler = handler
        self.limits = limits or heads.Limits()
        self.connections: dict[connections.ServerConnection, asyncio.Task]
        self.connections = {}
        # Connections that wait for another request, the longest idle one
        # first. The values are not used.
        self.idle: dict[connections.ServerConnection, None] = {}
        self.listener: asyncio.Server | None = None
        self.stopping = False
        self.close_after_response = False

    async def start(self, *, host: str, port: int) -> int:
        """Start to listen.

        :param port: port to listen on; 0 for any free port.
        :returns: the port in use.
        """
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: wires.Wire(on_made=self._accept),
            host,
            port,
            backlog=BACKLOG,
        )
        return self.listener.sockets[0].getsockname()[1]

    def announce_stop(self) -> None:
        """Close each connection after its next response.

        That response has a ``Connection: close`` header.
        """
        self.close_after_response = True
        for connection in self.connections:
            connection.last = True

    async def stop(self, *, grace: float, idle_grace: float = 0.0) -> None:
        """Stop listening, wait for exchanges in progress, close connections.

        :param grace: seconds after which exchanges in progress are cancelled.
        :param idle_grace: seconds for which idle connections stay open, so
            that a request that the caller has already sent is still handled.
        """
        self.announce_stop()
        if self.listener is not None:
            self.listener.close()
        if idle_grace and self.connections:
            await asyncio.wait(self.connections.values(), timeout=idle_grace)
        self.stopping = True
        for connection in list(self.connections):
            if not connection.busy:
                connection.close()
        tasks = list(self.connections.values())
        if tasks:
            await asyncio.wait(tasks, timeout=grace)
        for task in list(self.connections.values()):
            task.cancel()

    def _accept(self, wire: wires.Wire) -> None:
        if self.stopping or not self._ensure_capacity():
            wire.abort()
            return
        connection = connections.ServerConnection(
            wire=wire, limits=self.limits
        )
        task = wire.loop.create_task(self._run(connection))
        connection.task = task
        connection.last = self.close_after_response
        wire.on_lost = lambda _: _cancel_handler(connection)
        self.connections[connection] = task

    def _ensure_capacity(self) -> bool:
        """Close the longest idle connection if the limit is reached.

        :returns: whether a new connection may be accepted.
        """
        if len(self.connections) < self.limits.connections:
            return True
        for connection in self.idle:
            del self.idle[connection]
            connection.close()
            return True
        return False

    async def _run(self, connection: connections.ServerConnection) -> None:
        try:
            await self._serve(connection)
        except (exceptions.TurmerichookError, TimeoutError, OSError):
            # The caller closed the connection, was too slow or violated HTTP.
            # No response can be sent, and the handler has already recorded the
            # outcome of its request.
            pass
        except asyncio.CancelledError:
            # The server is stopping, or the caller closed the connection.
            pass
        finally:
            connection.busy = False
            self.idle.pop(connection, None)
            del self.connections[connection]
            connection.close()

    async def _serve(self, connection: connections.ServerConnection) -> None:
        first = True
        while not self.stopping:
            try:
                if not first:
                    self.idle[connection] = None
                head = await connection.read_head(first=first)
            except exceptions.MessageError:
                await _refuse_malformed(connection)
                return
            finally:
                self.idle.pop(connection, None)
            if head is None:
                return
            first = False
            await self._exchange(connection, head)
            if not connection.is_reusable():
                await connection.linger()
                return
            connection.protocol.start_next_cycle()

    async def _exchange(
        self,
        connection: connections.ServerConnection,
        head: heads.RequestHead,
    ) -> None:
        exchange = Exchange(head=head, connection=connection)
        connection.busy = True
        try:
            await self.handler(exchange)
        except BaseException:
            connection.cut_short = exchange.response_started
            raise
        connection.busy = False
        connection.abortable = False
        connection.cut_short = not exchange.response_ended


def _cancel_handler(connection: connections.ServerConnection) -> None:
    if connection.abortable and connection.task is not None:
        connection.task.cancel()


async def _refuse_malformed(connection: connections.ServerConnection) -> None:
    state = connection.protocol.our_state
    if state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    body = b'{"code":"malformed-message","outcome":"not-run"}'
    headers = [
        (b"content-type", b"application/problem+json"),
        (b"content-length", str(len(body)).encode()),
        (b"request-outcome", b"not-run"),
        (b"connection", b"close"),
    ]
    with contextlib.suppress(exceptions.ExchangeError):
        await connection.send_events(
            h11.Response(status_code=connection.error_status, headers=headers),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )
        await connection.linger()
