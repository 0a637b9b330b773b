"""HTTP/1.1 client connection over h11, one exchange at a time."""

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

    All methods raise ``ExchangeError`` with the progress of the exchange.
    After an error the connection must be closed; ``reusable`` tells whether
    the last exchange ended cleanly on both sides.
    """

    def __init__(
        self,
        *,
        wire: wires.Wire,
        address: str,
        limits: heads.Limits,
        read_limit: float | None = None,
    ):
        self.wire = wire
        self.address = address
        self.protocol = h11.Connection(
            our_role=h11.CLIENT,
            max_incomplete_event_size=limits.head_bytes,
        )
        self.progress = exceptions.Progress.NOTHING_SENT
        # Seconds that the server may take for each piece that it sends or
        # accepts; None where the caller of the methods sets a limit.
        self.read_limit = read_limit
        # Time of the event loop until which the next pieces must come; None
        # for no deadline.
        self.deadline: float | None = None
        # Monotonic time in seconds at which it was last given back.
        self.idle_since = 0.0

    @classmethod
    async def open(
        cls,
        *,
        host: str,
        port: int,
        timeout: float,
        limits: heads.Limits | None = None,
        read_limit: float | None = None,
    ) -> "ClientConnection":
        """Connect within ``timeout`` seconds.

        :raises ConnectError: if no connection was made.
        """
        address = f"{host}:{port}"
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout):
                _, wire = await loop.create_connection(wires.Wire, host, port)
        except (OSError, TimeoutError) as error:
            reason = str(error) or "timed out"
            raise exceptions.ConnectError(
                message=f"cannot connect: {reason}",
                context=address,
            ) from error
        return cls(
            wire=wire,
            address=address,
            limits=limits or heads.Limits(),
            read_limit=read_limit,
        )

    @property
    def reusable(self) -> bool:
        """Whether another exchange may follow on this connection."""
        return (
            self.protocol.our_state is h11.IDLE
            and self.wire.usable
            and not self.wire.received
            and not self.protocol.trailing_data[0]
        )

    async def send_head(self, head: heads.RequestHead) -> None:
        """Send the request's head."""
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
        ready: h11.Request | None = None,
    ) -> h11.Request:
        """Send a whole request in one piece.

        :param ready: the event that an earlier request with the same head
            returned, which h11 need not check again.
        :returns: the event that stands for the head.
        """
        self.wire.quiet = False
        try:
            event = ready or h11.Request(
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
        """Send a piece of the request's body."""
        await self._send(h11.Data(data=data))

    async def end_request(self) -> None:
        """End the request."""
        await self._send(END)

    async def receive_head(self) -> heads.ResponseHead:
        """Return the head of the final response, passing over 1xx ones."""
        if not self.protocol.trailing_data[0]:
            # h11 has nothing of it to look at yet.
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
        """Yield the pieces of the response body until its proper end."""
        while True:
            event = await self._next_event()
            match event:
                case h11.Data():
                    yield bytes(event.data)
                case h11.EndOfMessage():
                    return
                case _:
                    raise self._failure("the response was cut off")

    async def read_body(self, limit: int) -> bytes:
        """Return the whole response body.

        :param limit: largest number of bytes.
        :raises BodyTooLargeError: if it is larger.
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
                            message="the response body exceeds the limit",
                            context=self.address,
                        )
                case h11.EndOfMessage():
                    return b"".join(pieces)
                case _:
                    raise self._failure("the response was cut off")

    def buffered(self) -> tuple[bytes, bool]:
        """Return the body that has arrived, and whether it is whole."""
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
                    raise self._failure("the response was cut off")

    def finish(self) -> None:
        """Get ready for the next exchange if this one ended cleanly."""
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
            await self.wire.write(data, self._patience())
        except TimeoutError as error:
            raise self._late() from error
        except OSError as error:
            raise self._failure(f"sending failed: {error}") from error

    async def _next_event(self) -> typing.Any:
        while True:
            event = self._parse()
            if event is not h11.NEED_DATA:
                return event
            self.protocol.receive_data(await self._receive())

    async def _receive(self) -> bytes:
        try:
            return await self.wire.read(self._patience())
        except TimeoutError as error:
            raise self._late() from error
        except OSError as error:
            raise self._failure(f"receiving failed: {error}") from error

    def _patience(self) -> float | None:
        if self.deadline is None:
            return self.read_limit
        # A deadline may be later than the usual limit: an endpoint may take
        # all the time that the caller gives it to begin its answer.
        return max(0.0, self.deadline - self.wire.loop.time())

    def _late(self) -> exceptions.ExchangeError:
        if self.deadline is None or self.wire.loop.time() < self.deadline:
            return self._failure("the server sends nothing")
        return exceptions.DeadlineExceededError(
            message="the server did not answer before the deadline",
            progress=self.progress,
            context=self.address,
        )

    def _parse(self) -> typing.Any:
        try:
            return self.protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise self._failure(f"malformed HTTP: {error}") from error

    def _failure(self, message: str) -> exceptions.ExchangeError:
        return exceptions.ExchangeError(
            message=message,
            progress=self.progress,
            context=self.address,
        )
