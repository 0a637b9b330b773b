"""Transfer of one request and its response between caller and endpoint."""

import asyncio
import collections.abc
import math

from turmerichook._internal.http import client
from turmerichook._internal.http import heads
from turmerichook._internal.http import server
from turmerichook._internal.routing import bodies
from turmerichook._internal.routing import requests
from turmerichook import exceptions

# Headers that apply to one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
    }
)
# If an endpoint copies this header into its response, the gateway can detect
# responses that a faulty link has swapped or duplicated.
EXCHANGE_HEADER = b"exchange-id"
TASK_HEADER = b"endpoint-task"
LOAD_HEADER = b"endpoint-load"
# Request headers of the caller that are not forwarded: the gateway sets its
# own values for each attempt, and it answers the header Expect itself.
OWN_REQUEST_HEADERS = frozenset(
    {
        b"expect",
        requests.TIMEOUT_HEADER,
        requests.ATTEMPT_HEADER,
        EXCHANGE_HEADER,
        TASK_HEADER,
    }
)
# Response headers of the endpoint that are meant for the gateway only.
OWN_RESPONSE_HEADERS = frozenset({EXCHANGE_HEADER, LOAD_HEADER})
VIA = (b"via", b"1.1 turmerichook")
# Limits for reading a response that is not forwarded, so that its connection
# can be reused.
MAX_DISCARD_BYTES = 64 * 1024
DISCARD_TIMEOUT_S = 1.0


class CallerError(exceptions.TurmerichookError):
    """The caller disconnected, violated the protocol or is too slow."""

    reference = "caller-failed"

    def __init__(self, *, cause: exceptions.TurmerichookError):
        super().__init__(message=cause.message, context=cause.reference)
        self.cause = cause


def end_to_end_headers(
    headers: heads.Headers, dropped: frozenset[bytes]
) -> heads.Headers:
    """Return the headers that a proxy forwards.

    :param dropped: names of further headers to leave out.
    """
    connection_options: set[bytes] = set()
    for key, value in headers:
        if key == b"connection":
            connection_options.update(
                name.strip().lower() for name in value.split(b",")
            )
    # Both headers are needed to find the end of the body.
    connection_options -= {b"transfer-encoding", b"content-length"}
    remaining_headers = [
        (key, value)
        for key, value in headers
        if key not in HOP_BY_HOP
        and key not in dropped
        and key not in connection_options
    ]
    return (
        headers
        if len(remaining_headers) == len(headers)
        else remaining_headers
    )


def _format_timeout(remaining_s: float) -> bytes:
    """Format seconds, rounded down to milliseconds but at least 1 ms."""
    return f"{max(1, math.floor(remaining_s * 1000)) / 1000:.3f}".encode()


def request_head(
    *,
    head: heads.RequestHead,
    address: str,
    task: str,
    exchange_id: bytes,
    remaining_s: float,
    attempt: int,
) -> heads.RequestHead:
    """Return the request head that is sent to an endpoint.

    :param head: request head of the caller.
    :param address: value of the header ``Host`` if the caller sent none.
    :param task: task id of the endpoint.
    :param remaining_s: seconds until the deadline.
    :param attempt: number of the attempt, counting those that the caller
        reported.
    """
    headers = list(end_to_end_headers(head.headers, OWN_REQUEST_HEADERS))
    if not any(key == b"host" for key, _ in headers):
        headers.append((b"host", address.encode()))
    headers += [
        (requests.TIMEOUT_HEADER, _format_timeout(remaining_s)),
        (requests.ATTEMPT_HEADER, str(attempt).encode()),
        (EXCHANGE_HEADER, exchange_id),
        (TASK_HEADER, task.encode()),
        VIA,
    ]
    return heads.RequestHead(
        method=head.method, target=head.target, headers=headers
    )


class Attempt:
    """Sends a request on one connection and forwards the response.

    ``end`` must be called in every case. Afterwards the attempt no longer uses
    the caller's connection, so it cannot interfere with the next attempt or
    with the next exchange of the caller.
    """

    def __init__(
        self,
        *,
        exchange: server.Exchange,
        connection: client.ClientConnection,
        head: heads.RequestHead,
        body: bodies.ReplayBody | None,
        exchange_id: bytes,
    ):
        self.exchange = exchange
        self.connection = connection
        self.head = head
        self.body = body
        self.exchange_id = exchange_id
        self.loop = asyncio.get_running_loop()
        self.upload: asyncio.Task | None = None
        self.caller_error: exceptions.TurmerichookError | None = None
        # Time at which the whole request had been sent, or 0 before.
        self.sent_at = 0.0

    async def receive(self, deadline: float) -> heads.ResponseHead:
        """Send the request and return the head of the response.

        :param deadline: event loop time in seconds.
        :raises ExchangeError: if the endpoint failed or did not respond by
            the deadline.
        :raises CallerError: if the caller failed to send the whole request.
        """
        connection = self.connection
        connection.deadline = deadline
        try:
            if self.body is None:
                await connection.send_request(self.head)
                self.sent_at = self.loop.time()
            else:
                self.upload = self.loop.create_task(self._upload())
            response = await connection.receive_head()
        except exceptions.ExchangeError:
            if self.caller_error is not None:
                raise CallerError(cause=self.caller_error) from None
            raise
        finally:
            connection.deadline = None
        self._check(response)
        return response

    async def forward_response(
        self, response: heads.ResponseHead, headers: heads.Headers
    ) -> None:
        """Forward the response to the caller, the body in chunks.

        :raises ExchangeError: if the endpoint cut the response off. The
            caller's connection must then be closed without ending the
            response.
        :raises CallerError: if the caller did not receive the response.
        """
        status = response.status
        data, complete = self.connection.buffered()
        if complete:
            await _as_caller_error(
                self.exchange.finish(status=status, headers=headers, body=data)
            )
            return
        await _as_caller_error(
            self.exchange.start(status=status, headers=headers, body=data)
        )
        async for chunk in self.connection.body():
            await _as_caller_error(self.exchange.send(chunk))
        await _as_caller_error(self.exchange.end())

    async def discard(self) -> None:
        """Read a response that is not forwarded, to reuse its connection.

        Reading a response that is long or late is not worth a reusable
        connection. The rest of such a response is left unread, and the owner
        closes the connection.
        """
        size = 0
        self.connection.deadline = self.loop.time() + DISCARD_TIMEOUT_S
        try:
            async for chunk in self.connection.body():
                size += len(chunk)
                if size > MAX_DISCARD_BYTES:
                    return
        except exceptions.ExchangeError:
            # The exchange on the connection is incomplete, so the connection
            # is not reused.
            return

    async def end(self) -> None:
        """Cancel the upload if it is still in progress."""
        if self.upload is None:
            return
        if not self.upload.done():
            self.upload.cancel()
            await asyncio.wait((self.upload,))
        if not self.upload.cancelled():
            self.upload.exception()

    def _check(self, response: heads.ResponseHead) -> None:
        echo = response.header(EXCHANGE_HEADER)
        if echo and echo.encode("latin-1") != self.exchange_id:
            raise exceptions.ExchangeError(
                message="the response has the exchange id of another request",
                progress=exceptions.Progress.RESPONSE_STARTED,
                context=self.connection.address,
            )

    async def _upload(self) -> None:
        index = 0
        try:
            await self.connection.send_head(self.head)
            while (chunk := await self._read_chunk(index)) is not None:
                await self.connection.send_body(chunk)
                index += 1
            await self.connection.end_request()
            self.sent_at = self.loop.time()
        except exceptions.ExchangeError:
            # The endpoint does not accept more of the request. It may have
            # sent a response before it closed the connection, so that
            # response is still read.
            return
        except CallerError as error:
            # The endpoint does not get the whole request, so its response
            # cannot be used.
            self.caller_error = error.cause
            self.connection.close()

    async def _read_chunk(self, index: int) -> bytes | None:
        try:
            return await self.body.chunk(index)
        except exceptions.TurmerichookError as error:
            raise CallerError(cause=error) from error


async def _as_caller_error(write: collections.abc.Awaitable[None]) -> None:
    try:
        await write
    except exceptions.ExchangeError as error:
        raise CallerError(cause=error) from error
