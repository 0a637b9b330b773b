"""One attempt to have a request answered by one endpoint."""

import asyncio
import collections.abc
import math

from turmerichook._internal.http import client
from turmerichook._internal.http import heads
from turmerichook._internal.http import server
from turmerichook._internal.routing import bodies
from turmerichook._internal.routing import requests
from turmerichook import exceptions

# Headers that concern one connection only (RFC 9110, section 7.6.1).
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
# An endpoint that repeats this header in its answer lets the gateway notice
# answers that a faulty link has swapped or repeated.
EXCHANGE_HEADER = b"exchange-id"
TASK_HEADER = b"endpoint-task"
LOAD_HEADER = b"endpoint-load"
# Written anew for each attempt. The gateway itself answers an expectation.
OWN_REQUEST_HEADERS = frozenset(
    {
        b"expect",
        requests.TIMEOUT_HEADER,
        requests.ATTEMPT_HEADER,
        EXCHANGE_HEADER,
        TASK_HEADER,
    }
)
OWN_RESPONSE_HEADERS = frozenset({EXCHANGE_HEADER, LOAD_HEADER})
VIA = (b"via", b"1.1 turmerichook")
# Read of an answer that is not passed on, to keep the connection.
DISCARD_BYTES = 64 * 1024
DISCARD_SECONDS = 1.0


class CallerError(exceptions.TurmerichookError):
    """The caller broke off, broke the protocol or is too slow."""

    reference = "caller-failed"

    def __init__(self, *, cause: exceptions.TurmerichookError):
        super().__init__(message=cause.message, context=cause.reference)
        self.cause = cause


def end_to_end(
    headers: heads.Headers, dropped: frozenset[bytes]
) -> heads.Headers:
    """Return the headers that a relay passes on."""
    named: set[bytes] = set()
    for key, value in headers:
        if key == b"connection":
            named.update(name.strip().lower() for name in value.split(b","))
    # Both are needed to find the end of the body.
    named -= {b"transfer-encoding", b"content-length"}
    kept = [
        (key, value)
        for key, value in headers
        if key not in HOP_BY_HOP and key not in dropped and key not in named
    ]
    return headers if len(kept) == len(headers) else kept


def _whole_milliseconds(left: float) -> bytes:
    """Return seconds as text, rounded down but for the last millisecond."""
    return f"{max(1, math.floor(left * 1000)) / 1000:.3f}".encode()


def request_head(
    *,
    head: heads.RequestHead,
    address: str,
    task: str,
    exchange_id: bytes,
    left: float,
    attempt: int,
) -> heads.RequestHead:
    """Return the head that goes to an endpoint.

    :param left: seconds until the deadline.
    :param attempt: number of the attempt along the whole chain of calls.
    """
    headers = list(end_to_end(head.headers, OWN_REQUEST_HEADERS))
    if not any(key == b"host" for key, _ in headers):
        headers.append((b"host", address.encode()))
    headers += [
        (requests.TIMEOUT_HEADER, _whole_milliseconds(left)),
        (requests.ATTEMPT_HEADER, str(attempt).encode()),
        (EXCHANGE_HEADER, exchange_id),
        (TASK_HEADER, task.encode()),
        VIA,
    ]
    return heads.RequestHead(
        method=head.method, target=head.target, headers=headers
    )


class Attempt:
    """Sends a request on one connection and passes its answer on.

    ``end`` must be called whatever happens. After it nothing of this attempt
    touches the caller's connection any more, so that the next attempt or the
    next exchange cannot be disturbed by it.
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
        # Time at which the endpoint had the whole request, in seconds.
        self.sent_at = 0.0

    async def receive(self, deadline: float) -> heads.ResponseHead:
        """Send the request and return the head of the answer.

        :param deadline: time of the event loop in seconds.
        :raises ExchangeError: if the endpoint failed or is late.
        :raises CallerError: if the caller failed.
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

    async def pass_on(
        self, response: heads.ResponseHead, headers: heads.Headers
    ) -> None:
        """Send the answer to the caller, bodies piece by piece.

        :raises ExchangeError: if the endpoint cut it off. The caller's
            connection must then be closed without ending the response.
        :raises CallerError: if the caller did not take it.
        """
        status = response.status
        data, whole = self.connection.buffered()
        if whole:
            await _to_caller(
                self.exchange.finish(status=status, headers=headers, body=data)
            )
            return
        await _to_caller(
            self.exchange.start(status=status, headers=headers, body=data)
        )
        async for piece in self.connection.body():
            await _to_caller(self.exchange.send(piece))
        await _to_caller(self.exchange.end())

    async def discard(self) -> None:
        """Read an answer that is not passed on, so that the connection lasts.

        An answer that is long or late is not worth it: the connection is
        closed by ``end`` and its owner.
        """
        size = 0
        self.connection.deadline = self.loop.time() + DISCARD_SECONDS
        try:
            async for piece in self.connection.body():
                size += len(piece)
                if size > DISCARD_BYTES:
                    return
        except exceptions.ExchangeError:
            # The connection did not end its exchange and is not used again.
            return

    async def end(self) -> None:
        """Stop the upload if it still goes on."""
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
                message="the answer belongs to another request",
                progress=exceptions.Progress.RESPONSE_STARTED,
                context=self.connection.address,
            )

    async def _upload(self) -> None:
        number = 0
        try:
            await self.connection.send_head(self.head)
            while (piece := await self._piece(number)) is not None:
                await self.connection.send_body(piece)
                number += 1
            await self.connection.end_request()
            self.sent_at = self.loop.time()
        except exceptions.ExchangeError:
            # The endpoint takes no more. It may have answered before it
            # closed, so its answer is still read.
            return
        except CallerError as error:
            # Without the whole request the endpoint's answer is of no use.
            self.caller_error = error.cause
            self.connection.close()

    async def _piece(self, number: int) -> bytes | None:
        try:
            return await self.body.piece(number)
        except exceptions.TurmerichookError as error:
            raise CallerError(cause=error) from error


async def _to_caller(sending: collections.abc.Awaitable[None]) -> None:
    try:
        await sending
    except exceptions.ExchangeError as error:
        raise CallerError(cause=error) from error
