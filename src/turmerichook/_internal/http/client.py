"""HTTP/1.1 client connection, built on h11, for one exchange at a time."""

import asyncio
import collections.abc
import typing

import h11

from turmerichook._internal.http import heads
from turmerichook._internal.http import wire as wires
from turmerichook import exceptions

END = h11.EndOfMessage()


class ClientConnection:
    """One connection to a server.

    All methods raise ``ExchangeError``, whose ``progress`` tells how far the
    exchange came. After an error the connection must be closed. ``reusable``
    tells whether the last exchange ended cleanly on both sides.
    """

    def __init__(
        self,
        *,
        wire: wires.Wire,
        address: str,
        limits: heads.Limits,
        io_timeout: float | None = None,
    ):
        self.wire = wire
        self.address = address
        self.protocol = h11.Connection(
            our_role=h11.CLIENT,
            max_incomplete_event_size=limits.head_bytes,
        )
        self.progress = exceptions.Progress.NOTHING_SENT
        # Seconds allowed for each read and each write while no deadline is
        # set; None for no limit, where the calling code limits the time.
        self.io_timeout = io_timeout
        # Time of the event loop at which reads and writes time out; None for
        # no deadline.
        self.deadline: float | None = None
        # Time of the event loop at which the connection was last returned to
        # its pool.
        self.idle_since = 0.0

    @classmethod
    async def open(
        cls,
        *,
        host: str,
        port: int,
        timeout: float,
        limits: heads.Limits | None = None,
        io_timeout: float | None = None,
    ) -> "ClientConnection":
        """Connect within ``timeout`` seconds.

        :param io_timeout: seconds allowed for each read and each write while
            no deadline is set; None for no limit.
        :raises ConnectError: if the connection attempt fails or times out.
        """
        address = f"{host}:{port}"
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout):
                _, wire = await loop.create_connection(wires.Wire, host, port)
        except (OSError, TimeoutError, ValueError) as error:
            # ValueError: the host's name cannot be encoded for a look-up.
            reason = str(error) or f"timed out after {timeout:g} s"
            raise exceptions.ConnectError(
                message=f"cannot connect: {reason}",
                context=address,
            ) from error
        return cls(
            wire=wire,
            address=address,
            limits=limits or heads.Limits(),
            io_timeout=io_timeout,
        )

    @property
    def reusable(self) -> bool:
        """Whether another exchange may start on this connection."""
        return (
            self.protocol.our_state is h11.IDLE
            and self.wire.usable
            and not self.wire.received
            and not self.protocol.trailing_data[0]
        )

    async def send_head(self, head: heads.RequestHead) -> None:
        """Send the head of a request."""
        self.wire.quiet = False
        try:
            event = h11.Request(
                method=head.method, target=head.target, headers=head.headers
            )
        except h11.LocalProtocolError as error:
            raise self._failure(f"invalid request: {error}") from error
        await self._send(event)

    async def send_request(
        self,
        head: heads.RequestHead,
        body: bytes = b"",
        prepared: h11.Request | None = None,
    ) -> h11.Request:
        """Send a whole request with a single write.

        :param prepared: h11 event that an earlier call with an equal head
            returned; it saves h11 from checking the headers again.
        :returns: the h11 event of the head.
        """
        self.wire.quiet = False
        try:
            event = prepared or h11.Request(
                method=head.method, target=head.target, headers=head.headers
            )
            data = self.protocol.send(event)
            if body:
                data += self.protocol.send(h11.Data(data=body))
            data += self.protocol.send(END)
        except h11.LocalProtocolError as error:
            raise self._failure(f"invalid request: {error}") from error
        await self._write(data)
        return event

    async def send_body(self, data: bytes) -> None:
        """Send a chunk of the request body."""
        await self._send(h11.Data(data=data))

    async def end_request(self) -> None:
        """Mark the end of the request body."""
        await self._send(END)

    async def receive_head(self) -> heads.ResponseHead:
        """Return the head of the final response; skip 1xx responses."""
        if not self.protocol.trailing_data[0]:
            # No byte of the response has been received, so parsing before the
            # first read would be wasted.
            self.protocol.receive_data(await self._receive())
        while True:
            event = await self._next_event()
            match event:
                case h11.InformationalResponse():
                    continue
                case h11.Response():
                    self.progress = exceptions.Progress.RESPONSE_STARTED
                    return heads.ResponseHead(
                        status=event.status_code,
                        headers=event.headers,
                    )
                case _:
                    raise self._failure("the server closed the connection")

    async def body(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the chunks of the response body.

        A truncated body raises ``ExchangeError``.
        """
        while True:
            event = await self._next_event()
            match event:
                case h11.Data():
                    yield bytes(event.data)
                case h11.EndOfMessage():
                    return
                case _:
                    raise self._failure("the response body is truncated")

    async def read_body(self, limit: int) -> bytes:
        """Return the whole response body.

        :param limit: maximum size of the body in bytes.
        :raises BodyTooLargeError: if the body is larger.
        """
        pieces = []
        size = 0
        while True:
            event = await self._next_event()
            match event:
                case h11.Data():
                    pieces.append(event.data)
                    size += len(event.data)
                    if size > limit:
                        raise exceptions.BodyTooLargeError(
                            message=(
                                f"the response body exceeds {limit} bytes"
                            ),
                            context=self.address,
                        )
                case h11.EndOfMessage():
                    return b"".join(pieces)
                case _:
                    raise self._failure("the response body is truncated")

    def buffered(self) -> tuple[bytes, bool]:
        """Return the received part of the body, and whether it is complete."""
        pieces = []
        while True:
            match self._parse():
                case h11.Data() as event:
                    pieces.append(bytes(event.data))
                case h11.EndOfMessage():
                    return b"".join(pieces), True
                case h11.NEED_DATA:
                    return b"".join(pieces), False
                case _:
                    raise self._failure("the response body is truncated")

    def finish(self) -> None:
        """Prepare the next exchange if the last one ended cleanly.

        Otherwise leave the connection as it is; it is then not reusable.
        """
        if (
            self.protocol.our_state is h11.DONE
            and self.protocol.their_state is h11.DONE
            and not self.wire.received
            and not self.protocol.trailing_data[0]
        ):
            self.protocol.start_next_cycle()
            self.progress = exceptions.Progress.NOTHING_SENT
            self.wire.quiet = True

    def close(self) -> None:
        """Close the connection at once."""
        self.wire.abort()

    async def _send(self, event: typing.Any) -> None:
        try:
            data = self.protocol.send(event)
        except h11.LocalProtocolError as error:
            raise self._failure(f"invalid request: {error}") from error
        if data:
            await self._write(data)

    async def _write(self, data: bytes) -> None:
        if self.wire.lost:
            raise self._failure("the server closed the connection")
        if self.progress is exceptions.Progress.NOTHING_SENT:
            self.progress = exceptions.Progress.REQUEST_STARTED
        try:
            await self.wire.write(data, self._remaining_time())
        except TimeoutError as error:
            raise self._timeout_error() from error
        except OSError as error:
            raise self._failure(
                f"sending to the server failed: {error}"
            ) from error

    async def _next_event(self) -> typing.Any:
        while True:
            event = self._parse()
            if event is not h11.NEED_DATA:
                return event
            self.protocol.receive_data(await self._receive())

    async def _receive(self) -> bytes:
        try:
            return await self.wire.read(self._remaining_time())
        except TimeoutError as error:
            raise self._timeout_error() from error
        except OSError as error:
            raise self._failure(
                f"receiving from the server failed: {error}"
            ) from error

    def _remaining_time(self) -> float | None:
        if self.deadline is None:
            return self.io_timeout
        # A deadline replaces io_timeout also where it allows more time: an
        # endpoint may use all the time up to the caller's deadline before it
        # starts its response.
        return max(0.0, self.deadline - self.wire.loop.time())

    def _timeout_error(self) -> exceptions.ExchangeError:
        if self.deadline is None or self.wire.loop.time() < self.deadline:
            return self._failure("the server sent or accepted no data in time")
        return exceptions.DeadlineExceededError(
            message="the server did not respond before the deadline",
            progress=self.progress,
            context=self.address,
        )

    def _parse(self) -> typing.Any:
        try:
            return self.protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise self._failure(f"malformed HTTP response: {error}") from error

    def _failure(self, message: str) -> exceptions.ExchangeError:
        return exceptions.ExchangeError(
            message=message,
            progress=self.progress,
            context=self.address,
        )
