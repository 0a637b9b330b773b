"""The server's side of one accepted connection."""

import asyncio
import typing

import h11

from turmerichook._internal.http import heads
from turmerichook._internal.http import wire as wires
from turmerichook import exceptions

# What is read and thrown away after an answer that came before the end of the
# request. Closing with unread bytes would reset the connection, and a reset
# can destroy the answer before the caller has read it.
LINGER_BYTES = 1024 * 1024
LINGER_SECONDS = 2.0

HTTP_1_0 = b"1.0"


class ServerConnection:
    """Reads requests and sends responses."""

    __slots__ = (
        "wire",
        "limits",
        "protocol",
        "busy",
        "abortable",
        "task",
        "cut_short",
        "error_status",
        "last",
    )

    def __init__(self, *, wire: wires.Wire, limits: heads.Limits):
        self.wire = wire
        self.limits = limits
        self.protocol = h11.Connection(
            our_role=h11.SERVER,
            max_incomplete_event_size=limits.head_bytes,
        )
        # Set while a request is being handled.
        self.busy = False
        # Set while the handler is to be cancelled when the caller is gone.
        self.abortable = False
        self.task: asyncio.Task | None = None
        # Set when a response was started and will not be whole.
        self.cut_short = False
        self.error_status = 400
        # Set when the next answer is to be the last one here.
        self.last = False

    async def next_event(self, limit: float) -> typing.Any:
        """Return the next h11 event, reading from the socket as needed.

        :param limit: seconds to wait for each piece of data.
        """
        while True:
            try:
                event = self.protocol.next_event()
            except h11.RemoteProtocolError as error:
                self.error_status = error.error_status_hint
                raise exceptions.MessageError(
                    message=f"malformed HTTP: {error}",
                ) from error
            if event is not h11.NEED_DATA:
                return event
            self.protocol.receive_data(await self._read(limit))

    async def _read(self, limit: float) -> bytes:
        try:
            return await self.wire.read(limit)
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
            await self.send_events(event)

    def response(self, status: int, headers: heads.Headers) -> h11.Response:
        """Return the head of a response."""
        if self.last:
            headers = [*headers, (b"connection", b"close")]
        return h11.Response(status_code=status, headers=headers)

    async def send_events(self, *events: typing.Any) -> None:
        """Send h11 events in one piece and wait until the socket takes it."""
        try:
            data = b"".join(self.protocol.send(event) for event in events)
        except h11.LocalProtocolError as error:
            raise exceptions.ExchangeError(
                message=f"the response cannot be sent: {error}",
                progress=exceptions.Progress.RESPONSE_STARTED,
            ) from error
        if not data:
            return
        limit = self.limits.body_timeout.total_seconds()
        try:
            await self.wire.write(data, limit)
        except TimeoutError as error:
            raise exceptions.DeadlineExceededError(
                message="the caller read nothing in time",
                progress=exceptions.Progress.RESPONSE_STARTED,
            ) from error
        except OSError as error:
            raise exceptions.ExchangeError(
                message=f"the connection failed: {error}",
                progress=exceptions.Progress.RESPONSE_STARTED,
            ) from error

    async def read_head(
        self,
        *,
        first: bool,
    ) -> heads.RequestHead | None:
        """Return the next request's head, or None when the peer is done.

        A connection may be idle for long, but a head that has begun must be
        whole within ``head_timeout``.
        """
        if not first and not self.protocol.trailing_data[0]:
            idle = self.limits.idle_timeout.total_seconds()
            data = await self._read(idle)
            self.protocol.receive_data(data)
        limit = self.limits.head_timeout.total_seconds()
        async with asyncio.timeout(limit):
            event = await self.next_event(limit)
        match event:
            case h11.Request():
                return self._head(event)
            case _:
                return None

    def _head(self, event: h11.Request) -> heads.RequestHead:
        headers = list(event.headers)
        names = [name for name, _ in headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            # Two ways to find the end of one body are how requests are
            # smuggled past a relay (RFC 9112, section 6.1).
            raise exceptions.MessageError(
                message="both Transfer-Encoding and Content-Length",
            )
        return heads.RequestHead(
            method=event.method.decode("ascii"),
            target=event.target.decode("latin-1"),
            headers=headers,
        )

    def can_continue(self) -> bool:
        """Tell whether both sides ended cleanly and may go on."""
        return (
            self.protocol.our_state is h11.DONE
            and self.protocol.their_state is h11.DONE
        )

    async def linger(self) -> None:
        """Take the rest of a request whose answer has been sent."""
        state = self.protocol.their_state
        if state is not h11.SEND_BODY and state is not h11.ERROR:
            return
        if self.wire.lost:
            return
        self.wire.end_writing()
        left = LINGER_BYTES
        try:
            async with asyncio.timeout(LINGER_SECONDS):
                while left > 0:
                    data = await self.wire.read(LINGER_SECONDS)
                    if not data:
                        return
                    left -= len(data)
        except (TimeoutError, OSError):
            # The caller did not close in time; the connection is closed.
            pass

    def close(self) -> None:
        """Close the connection.

        A response that ends with the connection looks whole when it was cut
        short, so the caller gets a reset then.
        """
        if self.cut_short and self.protocol.their_http_version == HTTP_1_0:
            self.wire.reset()
        elif self.cut_short:
            self.wire.abort()
        else:
            self.wire.close()
