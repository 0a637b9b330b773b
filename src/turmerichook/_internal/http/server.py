"""HTTP/1.1 listener over h11 and asyncio streams.

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

from turmerichook._internal.http import heads
from turmerichook import exceptions

READ_BYTES = 64 * 1024

Handler = collections.abc.Callable[
    ["Exchange"], collections.abc.Awaitable[None]
]


class Exchange:
    """One request and the response to it.

    Public methods raise ``MessageError`` when the peer breaks the protocol
    and ``ExchangeError`` when the connection ends or a time limit passes.
    """

    def __init__(
        self,
        *,
        head: heads.RequestHead,
        connection: "ServerConnection",
    ):
        self.head = head
        self.connection = connection
        self.response_started = False
        self.response_ended = False

    async def body(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the pieces of the request body as they arrive."""
        limit = self.connection.limits.body_timeout.total_seconds()
        await self.connection.send_continue()
        while True:
            event = await self.connection.next_event(limit)
            match event:
                case h11.Data():
                    yield bytes(event.data)
                case h11.EndOfMessage():
                    return
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

    async def start(self, *, status: int, headers: heads.Headers) -> None:
        """Send the head of the response."""
        self.response_started = True
        event = h11.Response(status_code=status, headers=headers)
        await self.connection.send_event(event)

    async def send(self, data: bytes) -> None:
        """Send a piece of the response body."""
        await self.connection.send_event(h11.Data(data=data))

    async def end(self) -> None:
        """End the response."""
        await self.connection.send_event(h11.EndOfMessage())
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
        await self.start(status=status, headers=head + (headers or []))
        if body and self.head.method != "HEAD":
            await self.send(body)
        await self.end()

    async def respond_json(
        self,
        *,
        document: typing.Any,
        status: int = 200,
    ) -> None:
        """Send ``document`` as JSON."""
        await self.respond(status=status, body=json.dumps(document).encode())


class ServerConnection:
    """The state of one accepted connection."""

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limits: heads.Limits,
    ):
        self.reader = reader
        self.writer = writer
        self.limits = limits
        self.protocol = h11.Connection(
            our_role=h11.SERVER,
            max_incomplete_event_size=limits.head_bytes,
        )
        # Set while a request is being handled.
        self.busy = False

    async def next_event(self, limit: float) -> typing.Any:
        """Return the next h11 event, reading from the socket as needed.

        :param limit: seconds to wait for each piece of data.
        """
        while True:
            try:
                event = self.protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise exceptions.MessageError(
                    message=f"malformed HTTP: {error}",
                ) from error
            if event is not h11.NEED_DATA:
                return event
            self.protocol.receive_data(await self._read(limit))

    async def _read(self, limit: float) -> bytes:
        try:
            async with asyncio.timeout(limit):
                return await self.reader.read(READ_BYTES)
        except TimeoutError as error:
            raise exceptions.DeadlineExceededError(
                message="the caller sent nothing in time",
                progress=exceptions.Progress.REQUEST_STARTED,
            ) from error
        except OSError as error:
            raise exceptions.ExchangeError(
                message=f"the connection failed: {error}",
                progress=exceptions.Progress.REQUEST_STARTED,
            ) from error

    async def send_continue(self) -> None:
        """Answer ``Expect: 100-continue`` once the body is wanted."""
        if self.protocol.they_are_waiting_for_100_continue:
            event = h11.InformationalResponse(status_code=100, headers=[])
            await self.send_event(event)

    async def send_event(self, event: typing.Any) -> None:
        """Send one h11 event and wait until the socket takes it."""
        try:
            data = self.protocol.send(event)
        except h11.LocalProtocolError as error:
            raise exceptions.ExchangeError(
                message=f"the response cannot be sent: {error}",
                progress=exceptions.Progress.RESPONSE_STARTED,
            ) from error
        if not data:
            return
        try:
            self.writer.write(data)
            await self._drain()
        except OSError as error:
            raise exceptions.ExchangeError(
                message=f"the connection failed: {error}",
                progress=exceptions.Progress.RESPONSE_STARTED,
            ) from error

    async def _drain(self) -> None:
        limit = self.limits.body_timeout.total_seconds()
        try:
            async with asyncio.timeout(limit):
                await self.writer.drain()
        except TimeoutError as error:
            raise exceptions.DeadlineExceededError(
                message="the caller read nothing in time",
                progress=exceptions.Progress.RESPONSE_STARTED,
            ) from error

    async def read_head(
        self,
        *,
        first: bool,
    ) -> heads.RequestHead | None:
        """Return the next request's head, or None when the peer is done."""
        limit = self.limits.head_timeout
        if not first:
            limit = self.limits.idle_timeout
        async with asyncio.timeout(limit.total_seconds()):
            event = await self.next_event(limit.total_seconds())
        match event:
            case h11.Request():
                return heads.RequestHead(
                    method=event.method.decode("ascii"),
                    target=event.target.decode("latin-1"),
                    headers=[(bytes(k), bytes(v)) for k, v in event.headers],
                )
            case _:
                return None

    def can_continue(self) -> bool:
        """Tell whether both sides ended cleanly and may go on."""
        return (
            self.protocol.our_state is h11.DONE
            and self.protocol.their_state is h11.DONE
        )

    def close(self) -> None:
        """Close the connection at once."""
        with contextlib.suppress(OSError, RuntimeError):
            self.writer.close()


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
        self.connections: dict[ServerConnection, asyncio.Task] = {}
        self.listener: asyncio.Server | None = None
        self.stopping = False

    async def start(self, *, host: str, port: int) -> int:
        """Listen and return the port, useful when ``port`` is 0."""
        self.listener = await asyncio.start_server(
            self._accept, host, port, limit=READ_BYTES
        )
        return self.listener.sockets[0].getsockname()[1]

    async def stop(self, *, grace: float) -> None:
        """Stop listening, let exchanges end for ``grace`` seconds, close."""
        self.stopping = True
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            if not connection.busy:
                connection.close()
        tasks = list(self.connections.values())
        if tasks:
            await asyncio.wait(tasks, timeout=grace)
        for task in list(self.connections.values()):
            task.cancel()

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        connection = ServerConnection(
            reader=reader, writer=writer, limits=self.limits
        )
        if self.stopping or len(self.connections) >= self.limits.connections:
            connection.close()
            return
        task = asyncio.current_task()
        assert task is not None
        self.connections[connection] = task
        try:
            await self._serve(connection)
        except (exceptions.TurmerichookError, TimeoutError, OSError):
            # The peer broke off or broke the protocol; nobody is left to
            # answer, and what was in progress has been accounted for by the
            # handler.
            pass
        except asyncio.CancelledError:
            # The listener is closing. asyncio 3.11 reports a cancelled stream
            # callback as an unhandled error, so it ends normally.
            pass
        finally:
            del self.connections[connection]
            connection.close()

    async def _serve(self, connection: ServerConnection) -> None:
        first = True
        while not self.stopping:
            try:
                head = await connection.read_head(first=first)
            except exceptions.MessageError:
                await _refuse_malformed(connection)
                return
            if head is None:
                return
            first = False
            exchange = Exchange(head=head, connection=connection)
            connection.busy = True
            await self.handler(exchange)
            connection.busy = False
            if not connection.can_continue():
                return
            connection.protocol.start_next_cycle()


async def _refuse_malformed(connection: ServerConnection) -> None:
    state = connection.protocol.our_state
    if state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    body = b'{"code":"malformed-message","outcome":"not-run"}'
    headers = [
        (b"content-type", b"application/problem+json"),
        (b"content-length", str(len(body)).encode()),
        (b"connection", b"close"),
    ]
    hint = connection.protocol.their_state is h11.ERROR
    status = 400 if hint else 500
    await connection.send_event(
        h11.Response(status_code=status, headers=headers)
    )
    await connection.send_event(h11.Data(data=body))
    await connection.send_event(h11.EndOfMessage())
