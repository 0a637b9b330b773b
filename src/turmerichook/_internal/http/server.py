"""HTTP/1.1 listener over h11.

One task serves one connection. A handler gets an ``Exchange`` and must send
one whole response on it. A connection whose exchange did not end cleanly is
closed.
"""

import asyncio
import collections.abc
import contextlib
import json
import typing

import h11

from turmerichook._internal.http import connection as connections
from turmerichook._internal.http import heads
from turmerichook._internal.http import wire as wires
from turmerichook import exceptions

BACKLOG = 256

Handler = collections.abc.Callable[
    ["Exchange"], collections.abc.Awaitable[None]
]


class Exchange:
    """One request and the response to it.

    Public methods raise ``MessageError`` when the peer breaks the protocol
    and ``ExchangeError`` when the connection ends or a time limit passes.
    """

    __slots__ = ("head", "connection", "response_started", "response_ended")

    def __init__(
        self,
        *,
        head: heads.RequestHead,
        connection: connections.ServerConnection,
    ):
        self.head = head
        self.connection = connection
        self.response_started = False
        self.response_ended = False

    @property
    def has_body(self) -> bool:
        """Whether a request body follows the head."""
        for name, value in self.head.headers:
            if name == b"transfer-encoding":
                return True
            if name == b"content-length":
                return int(value) > 0
        return False

    async def body(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the pieces of the request body as they arrive."""
        while (piece := await self.next_piece()) is not None:
            yield piece

    async def next_piece(self) -> bytes | None:
        """Return the next piece of the request body, None at its end.

        A call that is cancelled loses nothing; the next one goes on.
        """
        limit = self.connection.limits.body_timeout.total_seconds()
        await self.connection.send_continue()
        match await self.connection.next_event(limit):
            case h11.Data() as event:
                return bytes(event.data)
            case h11.EndOfMessage():
                return None
            case _:
                raise exceptions.ExchangeError(
                    message="the request body was cut off",
                    progress=exceptions.Progress.REQUEST_STARTED,
                )

    async def read_all(self) -> bytes:
        """Return the whole request body.

        :raises BodyTooLargeError: if it exceeds the listener's limit.
        """
        pieces = bytearray()
        async for piece in self.body():
            pieces += piece
            if len(pieces) > self.connection.limits.body_bytes:
                raise exceptions.BodyTooLargeError(
                    message="the request body exceeds the limit",
                    context=f"{self.connection.limits.body_bytes} bytes",
                )
        return bytes(pieces)

    async def start(
        self, *, status: int, headers: heads.Headers, body: bytes = b""
    ) -> None:
        """Send the head of the response, and a first piece of its body."""
        self.response_started = True
        event = self.connection.response(status, headers)
        if body:
            await self.connection.send_events(event, h11.Data(data=body))
        else:
            await self.connection.send_events(event)

    async def send(self, data: bytes) -> None:
        """Send a piece of the response body."""
        await self.connection.send_events(h11.Data(data=data))

    async def end(self) -> None:
        """End the response."""
        await self.connection.send_events(h11.EndOfMessage())
        self.response_ended = True

    async def finish(
        self, *, status: int, headers: heads.Headers, body: bytes
    ) -> None:
        """Send a whole response in one piece."""
        self.response_started = True
        events = [self.connection.response(status, headers)]
        if body:
            events.append(h11.Data(data=body))
        await self.connection.send_events(*events, h11.EndOfMessage())
        self.response_ended = True

    async def respond(
        self,
        *,
        status: int,
        body: bytes = b"",
        content_type: str = "application/json",
        headers: heads.Headers | None = None,
    ) -> None:
        """Send a whole response."""
        head: heads.Headers = [
            (b"content-type", content_type.encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        if self.head.method == "HEAD":
            body = b""
        await self.finish(
            status=status, headers=head + (headers or []), body=body
        )

    async def respond_json(
        self,
        *,
        document: typing.Any,
        status: int = 200,
    ) -> None:
        """Send ``document`` as JSON."""
        await self.respond(status=status, body=json.dumps(document).encode())


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
