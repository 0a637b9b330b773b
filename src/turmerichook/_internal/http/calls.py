"""HTTP calls with whole bodies over a pool of connections.

Used for calls to the platform and for the operators' commands, whose bodies
are small enough to be held in memory.
"""

import asyncio
import dataclasses
import json
import typing

import h11

from turmerichook._internal.http import client
from turmerichook._internal.http import heads
from turmerichook import exceptions


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """A response with its whole body."""

    status: int
    headers: heads.Headers
    body: bytes

    def json(self) -> typing.Any:
        """Return the body as parsed JSON.

        :raises MessageError: if the body is not JSON.
        """
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise exceptions.MessageError(
                message=f"the response body is not JSON: {error}",
            ) from error


class CallPool:
    """Calls to one server over at most ``connections`` connections.

    :param authority: value of the ``Host`` header; ``host:port`` by default.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        connections: int,
        connect_timeout: float = 1.0,
        limits: heads.Limits | None = None,
        authority: str = "",
    ):
        self.host = host
        self.port = port
        self.host_header = (authority or f"{host}:{port}").encode()
        self.connect_timeout = connect_timeout
        self.limits = limits or heads.Limits()
        self.idle: list[client.ClientConnection] = []
        self.permits = asyncio.Semaphore(connections)
        # Head of the last request and its h11 event. Successive requests often
        # have equal heads, and h11 does not check a reused event again.
        self.cached_head: heads.RequestHead | None = None
        self.cached_request: h11.Request | None = None

    async def call(
        self,
        *,
        method: str,
        target: str,
        body: bytes = b"",
        headers: heads.Headers | None = None,
        timeout: float,
    ) -> Answer:
        """Send a request and return its response.

        :param timeout: seconds for the whole call, including the wait for a
            free connection.
        :raises ExchangeError: if the call fails or times out; ``progress``
            tells how far it came.
        """
        deadline = asyncio.get_running_loop().time() + timeout
        if self.permits.locked():
            await self._wait_for_permit(timeout)
        else:
            # A semaphore that is not locked is acquired without waiting, so
            # no time limit is needed.
            await self.permits.acquire()
        try:
            connection = self._take_idle() or await self._open(deadline)
            connection.deadline = deadline
            try:
                return await self._exchange(
                    connection, method, target, headers or (), body
                )
            finally:
                self._release(connection)
        except exceptions.DeadlineExceededError as error:
            raise self._timeout_error(timeout, error.progress) from error
        finally:
            self.permits.release()

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()

    async def _wait_for_permit(self, timeout: float) -> None:
        try:
            async with asyncio.timeout(timeout):
                await self.permits.acquire()
        except TimeoutError as error:
            raise self._timeout_error(
                timeout, exceptions.Progress.NOTHING_SENT
            ) from error

    def _timeout_error(
        self, timeout: float, progress: exceptions.Progress
    ) -> exceptions.DeadlineExceededError:
        return exceptions.DeadlineExceededError(
            message=f"no response within {timeout:g} s",
            progress=progress,
            context=f"{self.host}:{self.port}",
        )

    def _take_idle(self) -> client.ClientConnection | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.reusable:
                return connection
            connection.close()
        return None

    async def _open(self, deadline: float) -> client.ClientConnection:
        remaining = deadline - asyncio.get_running_loop().time()
        return await client.ClientConnection.open(
            host=self.host,
            port=self.port,
            timeout=max(0.0, min(self.connect_timeout, remaining)),
            limits=self.limits,
        )

    def _release(self, connection: client.ClientConnection) -> None:
        connection.finish()
        if connection.reusable:
            self.idle.append(connection)
        else:
            connection.close()

    async def _exchange(
        self,
        connection: client.ClientConnection,
        method: str,
        target: str,
        headers: heads.Headers,
        body: bytes,
    ) -> Answer:
        head = heads.RequestHead(
            method=method,
            target=target,
            headers=[
                (b"host", self.host_header),
                (b"content-length", str(len(body)).encode()),
                *headers,
            ],
        )
        prepared = self.cached_request if head == self.cached_head else None
        self.cached_request = await connection.send_request(
            head, body, prepared
        )
        self.cached_head = head
        response = await connection.receive_head()
        return Answer(
            status=response.status,
            headers=response.headers,
            body=await connection.read_body(self.limits.body_bytes),
        )
