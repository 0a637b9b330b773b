"""Server side of one accepted HTTP/1.1 connection."""

import asyncio
import typing

import h11

from turmerichook._internal.http import heads
from turmerichook._internal.http import wire as wires
from turmerichook import exceptions

# Bytes and time spent on reading and discarding the rest of a request whose
# response was sent before the request had ended. Closing a connection with
# unread bytes resets it, and a reset can destroy the response before the
# caller has read it.
LINGER_BYTES = 1024 * 1024
LINGER_SECONDS = 2.0

HTTP_1_0 = b"1.0"


class ServerConnection:
    """Reads requests from one connection and sends the responses."""

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
        # Set while the loss of the connection must cancel the handler.
        self.abortable = False
        self.task: asyncio.Task | None = None
        # Set when a response was started but not completed.
        self.cut_short = False
        # Status of the response to a malformed request.
        self.error_status = 400
        # Set when the connection must be closed after the next response.
        self.last = False

    async def next_event(
        self, timeout: float | None, deadline: float = 0.0
    ) -> typing.Any:
        """Return the next h11 event, reading from the socket as needed.

        :param timeout: seconds to wait for each read; None to use the
            deadline.
        :param deadline: time of the event loop by which the event must be
            complete if ``timeout`` is None.
        """
        while True:
            try:
                event = self.protocol.next_event()
            except h11.RemoteProtocolError as error:
                self.error_status = error.error_status_hint
                raise exceptions.MessageError(
                    message=f"malformed HTTP request: {error}",
                ) from error
            if event is not h11.NEED_DATA:
                return event
            wait = timeout
            if wait is None:
                wait = max(0.0, deadline - self.wire.loop.time())
            self.protocol.receive_data(await self._read(wait))

    async def _read(self, timeout: float) -> bytes:
        try:
            return await self.wire.read(timeout)
        except TimeoutError as error:
            raise exceptions.DeadlineExceededError(
                message=f"the caller sent no data within {timeout:.1f} s",
                progress=exceptions.Progress.REQUEST_STARTED,
            ) from error
        except OSError as error:
            raise exceptions.ExchangeError(
                message=f"receiving from the caller failed: {error}",
                progress=exceptions.Progress.REQUEST_STARTED,
            ) from error

    async def send_continue(self) -> None:
        """Send 100 Continue if the caller waits for it to send the body."""
        if self.protocol.they_are_waiting_for_100_continue:
            event = h11.InformationalResponse(status_code=100, headers=[])
            await self.send_events(event)

    def response(self, status: int, headers: heads.Headers) -> h11.Response:
        """Return the h11 event for the head of a response."""
        if self.last:
            headers = [*headers, (b"connection", b"close")]
        return h11.Response(status_code=status, headers=headers)

    async def send_events(self, *events: typing.Any) -> None:
        """Send h11 events with a single write and wait for buffer space."""
        try:
            data = b"".join(self.protocol.send(event) for event in events)
        except h11.LocalProtocolError as error:
            raise exceptions.ExchangeError(
                message=f"invalid response: {error}",
                progress=exceptions.Progress.RESPONSE_STARTED,
            ) from error
        if not data:
            return
        timeout = self.limits.body_timeout.total_seconds()
        try:
            await self.wire.write(data, timeout)
        except TimeoutError as error:
            raise exceptions.DeadlineExceededError(
                message=f"the caller accepted no data within {timeout:g} s",
                progress=exceptions.Progress.RESPONSE_STARTED,
            ) from error
        except OSError as error:
            raise exceptions.ExchangeError(
                message=f"sending to the caller failed: {error}",
                progress=exceptions.Progress.RESPONSE_STARTED,
            ) from error

    async def read_head(
        self,
        *,
        first: bool,
    ) -> heads.RequestHead | None:
        """Return the next request's head, or None at the end of the input.

        A connection may be idle for ``idle_timeout`` between two requests, but
        a head must be complete ``head_timeout`` after its first byte, and that
        of the first request ``head_timeout`` after the connection was made.
        """
        if not first and not self.protocol.trailing_data[0]:
            idle = self.limits.idle_timeout.total_seconds()
            data = await self._read(idle)
            self.protocol.receive_data(data)
        deadline = (
            self.wire.loop.time() + self.limits.head_timeout.total_seconds()
        )
        event = await self.next_event(None, deadline)
        match event:
            case h11.Request():
                return self._head(event)
            case _:
                return None

    def _head(self, event: h11.Request) -> heads.RequestHead:
        headers = event.headers
        names = [name for name, _ in headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            # If two servers on the path use different headers to find the end
            # of the body, a request can be smuggled past the first of them
            # (RFC 9112, section 6.1).
            raise exceptions.MessageError(
                message=(
                    "the request has both Transfer-Encoding and Content-Length"
                ),
            )
        return heads.RequestHead(
            method=event.method.decode("ascii"),
            target=event.target.decode("latin-1"),
            headers=headers,
        )

    def is_reusable(self) -> bool:
        """Return whether the exchange ended cleanly on both sides."""
        return (
            self.protocol.our_state is h11.DONE
            and self.protocol.their_state is h11.DONE
        )

    async def linger(self) -> None:
        """Discard the rest of a request whose response has been sent."""
        state = self.protocol.their_state
        if state is not h11.SEND_BODY and state is not h11.ERROR:
            return
        if self.wire.lost:
            return
        self.wire.end_writing()
        remaining_bytes = LINGER_BYTES
        try:
            async with asyncio.timeout(LINGER_SECONDS):
                while remaining_bytes > 0:
                    data = await self.wire.read(LINGER_SECONDS)
                    if not data:
                        return
                    remaining_bytes -= len(data)
        except (TimeoutError, OSError):
            # The caller sent on for too long or the connection failed; in both
            # cases the connection is closed next.
            pass

    def close(self) -> None:
        """Close the connection.

        The end of the connection marks the end of an HTTP/1.0 response. A
        truncated one would look complete, so the connection is reset instead.
        """
        if self.cut_short and self.protocol.their_http_version == HTTP_1_0:
            self.wire.reset()
        elif self.cut_short:
            self.wire.abort()
        else:
            self.wire.close()
