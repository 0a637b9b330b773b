"""HTTP/1.1 listener over h11.

One task serves one connection. A handler gets an ``Exchange`` and must send
one whole response on it. A connection whose exchange did not end cleanly is
closed.
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

BACKLOG = 256

Exchange = exchanges.Exchange
Handler = collections.abc.Callable[[Exchange], collections.abc.Awaitable[None]]


class Server:
    """A listener that hands each request to one handler."""

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
        # Connections between two requests, the longest idle one first.
        self.idle: dict[connections.ServerConnection, None] = {}
        self.listener: asyncio.Server | None = None
        self.stopping = False
        self.closing = False

    async def start(self, *, host: str, port: int) -> int:
        """Listen and return the port, useful when ``port`` is 0."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: wires.Wire(on_made=self._accept),
            host,
            port,
            backlog=BACKLOG,
        )
        return self.listener.sockets[0].getsockname()[1]

    def announce_stop(self) -> None:
        """Ask callers to close: each connection gets one more answer."""
        self.closing = True
        for connection in self.connections:
            connection.last = True

    async def stop(self, *, grace: float, idle_grace: float = 0.0) -> None:
        """Stop listening, let exchanges end for ``grace`` seconds, close.

        :param idle_grace: seconds in which a request that is under way on an
            idle connection is still answered.
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
        if self.stopping or not self._make_room():
            wire.abort()
            return
        connection = connections.ServerConnection(
            wire=wire, limits=self.limits
        )
        task = wire.loop.create_task(self._run(connection))
        connection.task = task
        connection.last = self.closing
        wire.on_lost = lambda _: _abort(connection)
        self.connections[connection] = task

    def _make_room(self) -> bool:
        """Close the longest idle connection where the limit is reached."""
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
            # The peer broke off or broke the protocol; nobody is left to
            # answer, and what was in progress has been accounted for by the
            # handler.
            pass
        except asyncio.CancelledError:
            # The listener is closing, or the caller is gone.
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
            if not connection.can_continue():
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


def _abort(connection: connections.ServerConnection) -> None:
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
