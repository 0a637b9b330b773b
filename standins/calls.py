"""Simulated caller that sends requests over sockets and parses responses.

The caller uses h11 directly and none of the product's HTTP code. With shared
code, a fault in that code could affect both sides and go undetected.
"""

import asyncio
import dataclasses
import hashlib
import json

import h11

READ_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """A request to send.

    :param size: bytes of the body, 0 for none.
    :param filling: bytes of padding that the response is to contain.
    """

    request: str
    method: str = "GET"
    path: str = "/services/booking/toll"
    size: int = 0
    filling: int = 0
    headers: tuple[tuple[str, str], ...] = ()

    @property
    def body(self) -> bytes:
        """The request body, which is different for each request id."""
        seed = hashlib.sha256(self.request.encode()).hexdigest().encode()
        return (seed * (self.size // len(seed) + 1))[: self.size]


@dataclasses.dataclass(kw_only=True)
class Seen:
    """The response that the caller received to one request.

    :param status: HTTP status, or 0 if no response head was received.
    :param whole: whether the response ended as its framing specifies.
    :param extra: bytes received after the end of the response.
    """

    call: Call
    status: int = 0
    whole: bool = False
    outcome: str = ""
    code: str = ""
    body: bytes = b""
    extra: bytes = b""

    def document(self) -> dict:
        """Return the body's JSON document, or an empty one if invalid."""
        try:
            return json.loads(self.body)
        except ValueError:
            return {}


class Caller:
    """One connection to a gateway."""

    def __init__(self, *, address: str):
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.protocol = h11.Connection(our_role=h11.CLIENT)

    async def call(self, call: Call, timeout: float = 20.0) -> Seen:
        """Send a request and wait for the end of its response."""
        seen = Seen(call=call)
        try:
            async with asyncio.timeout(timeout):
                if self.writer is None:
                    await self._connect()
                await self._exchange(call, seen)
        except (OSError, TimeoutError, h11.ProtocolError):
            # Whatever was received before the failure is still returned.
            seen.whole = False
        if seen.whole and self.protocol.our_state is h11.DONE:
            seen.extra = self.protocol.trailing_data[0]
            if self.protocol.their_state is h11.DONE:
                self.protocol.start_next_cycle()
                return seen
        self.close()
        return seen

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self.writer is not None:
            self.writer.close()
        self.writer = None

    async def _connect(self) -> None:
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port)
        )
        self.protocol = h11.Connection(our_role=h11.CLIENT)

    async def _exchange(self, call: Call, seen: Seen) -> None:
        headers = [
            ("host", self.address),
            ("request-id", call.request),
            *call.headers,
        ]
        if call.filling:
            headers.append(("test-bytes", str(call.filling)))
        if call.size:
            headers.append(("content-length", str(call.size)))
        request = h11.Request(
            method=call.method, target=call.path, headers=headers
        )
        upload = asyncio.create_task(self._send(request, call.body))
        try:
            await self._receive(seen)
        finally:
            if upload.done():
                upload.exception()
            else:
                upload.cancel()

    async def _send(self, request: h11.Request, body: bytes) -> None:
        self.writer.write(self.protocol.send(request))
        for start in range(0, len(body), READ_BYTES):
            piece = body[start : start + READ_BYTES]
            self.writer.write(self.protocol.send(h11.Data(data=piece)))
            await self.writer.drain()
        self.writer.write(self.protocol.send(h11.EndOfMessage()))

    async def _receive(self, seen: Seen) -> None:
        while True:
            event = self.protocol.next_event()
            match event:
                case h11.NEED_DATA:
                    data = await self.reader.read(READ_BYTES)
                    self.protocol.receive_data(data)
                case h11.Response():
                    seen.status = event.status_code
                    headers = dict(event.headers)
                    outcome = headers.get(b"request-outcome", b"")
                    seen.outcome = outcome.decode()
                case h11.Data():
                    seen.body += bytes(event.data)
                case h11.EndOfMessage():
                    seen.whole = True
                    seen.code = seen.document().get("code", "")
                    return
                case h11.ConnectionClosed():
                    return
