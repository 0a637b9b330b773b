"""One request on a server connection, and the response to it."""

import collections.abc
import json
import typing

import h11

from turmerichook._internal.http import connection as connections
from turmerichook._internal.http import heads
from turmerichook import exceptions


class Exchange:
    """One request and the response to it.

    Public methods raise ``MessageError`` when the caller violates HTTP and
    ``ExchangeError`` when the connection ends or a time limit is exceeded.
    """

    __slots__ = (
        "head",
        "connection",
        "response_started",
        "response_ended",
        "body_ended",
    )

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
        self.body_ended = not self.has_body
        if self.body_ended:
            # h11 reports the end of the request as an event also if there is
            # no body. The event must be taken here, or the connection could
            # not be used for another request.
            connection.protocol.next_event()

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
        """Yield the chunks of the request body as they arrive."""
        while (piece := await self.next_piece()) is not None:
            yield piece

    async def next_piece(self) -> bytes | None:
        """Return the next chunk of the request body, or None at its end.

        Cancelling a call loses no data; the next call continues the body.
        """
        if self.body_ended:
            return None
        timeout = self.connection.limits.body_timeout.total_seconds()
        await self.connection.send_continue()
        match await self.connection.next_event(timeout):
            case h11.Data() as event:
                return bytes(event.data)
            case h11.EndOfMessage():
                self.body_ended = True
                return None
            case _:
                raise exceptions.ExchangeError(
                    message="the request body is truncated",
                    progress=exceptions.Progress.REQUEST_STARTED,
                )

    async def read_all(self, limit: int | None = None) -> bytes:
        """Return the whole request body.

        :param limit: largest number of bytes, if it is less than the limit
            of the server.
        :raises BodyTooLargeError: if the body exceeds the limit; at once if
            the head says so.
        """
        most = self.connection.limits.body_bytes
        if limit is not None:
            most = min(limit, most)
        announced = self.head.header(b"content-length")
        pieces = bytearray()
        if announced and int(announced) > most:
            raise _too_large(most)
        async for piece in self.body():
            pieces += piece
            if len(pieces) > most:
                raise _too_large(most)
        return bytes(pieces)

    async def start(
        self, *, status: int, headers: heads.Headers, body: bytes = b""
    ) -> None:
        """Send the head of the response and the first chunk of its body."""
        self.response_started = True
        event = self.connection.response(status, headers)
        if body:
            await self.connection.send_events(event, h11.Data(data=body))
        else:
            await self.connection.send_events(event)

    async def send(self, data: bytes) -> None:
        """Send a chunk of the response body."""
        await self.connection.send_events(h11.Data(data=data))

    async def end(self) -> None:
        """Mark the end of the response."""
        await self.connection.send_events(h11.EndOfMessage())
        self.response_ended = True

    async def finish(
        self, *, status: int, headers: heads.Headers, body: bytes
    ) -> None:
        """Send a whole response with a single write."""
        self.response_started = True
        if not self.body_ended:
            # The rest of the request body will not be read, so the connection
            # cannot be used for another request.
            self.connection.last = True
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
        """Send a whole response with its content headers."""
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
        """Send a whole response with ``document`` as JSON."""
        await self.respond(status=status, body=json.dumps(document).encode())


def _too_large(limit: int) -> exceptions.BodyTooLargeError:
    return exceptions.BodyTooLargeError(
        message=f"the request body exceeds the limit of {limit} bytes",
        context=f"{limit} bytes",
    )
