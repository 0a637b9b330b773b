"""Whole request and response calls over a pool of connections.

Meant for the platform and for operators: bodies are small and read whole.
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
    """A whole response."""

    status: int
    headers: heads.Headers
    body: bytes

    def json(self) -> typing.Any:
        """Return the body as parsed JSON.

        :raises MessageError: if it is not JSON.
        """
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise exceptions.MessageError(
                message="the response body is not JSON",
            ) from error


class CallPool:
    """Calls to one server over at most ``connections`` connections.

    :param authority: value of the ``Host`` header, the address by default.
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
        self.slots = asyncio.Semaphore(connections)
        # Head of the last request, which is often that of the next one, and
        # the event that stands for it.
        self.last_head: heads.RequestHead | None = None
        self.last_request: h11.Request | None = None

    async def call(
        self,
        *,
        method: str,
        target: str,
        body: bytes = b"",
        headers: heads.Headers | None = None,
        timeout: float,
    ) -> Answer:
        """Make one call within ``timeout`` seconds.

        :raises ExchangeError: with the progress made, also on a time-out.
        """
        end = asyncio.get_running_loop().time() + timeout
        if self.slots.locked():
            await self._wait_for_slot(timeout)
        else:
            # Does not wait then, and so needs no time limit.
            await self.slots.acquire()
        try:
            connection = self._idle() or await self._open(end)
            connection.deadline = end
            try:
                return await self._exchange(
                    connection, method, target, headers or (), body
                )
            finally:
                self._give_back(connection)
        except exceptions.DeadlineExceededError as error:
            raise self._late(timeout, error.progress) from error
        finally:
            self.slots.release()

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()

    async def _wait_for_slot(self, timeout: float) -> None:
        try:
            async with asyncio.timeout(timeout):
                await self.slots.acquire()
        except TimeoutError as error:
            raise self._late(
                timeout, exceptions.Progress.NOTHING_SENT
            ) from error

    def _late(
        self, timeout: float, progress: exceptions.Progress
    ) -> exceptions.DeadlineExceededError:
        return exceptions.DeadlineExceededError(
            message=f"no answer within {timeout:g} s",
            progress=progress,
            context=f"{self.host}:{self.port}",
        )

    def _idle(self) -> client.ClientConnection | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.reusable:
                return connection
            connection.close()
        return None

    async def _open(self, end: float) -> client.ClientConnection:
        left = end - asyncio.get_running_loop().time()
        return await client.ClientConnection.open(
            host=self.host,
            port=self.port,
            timeout=max(0.0, min(self.connect_timeout, left)),
            limits=self.limits,
        )

    def _give_back(self, connection: client.ClientConnection) -> None:
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
        ready = self.last_request if head == self.last_head else None
        self.last_request = await connection.send_request(head, body, ready)
        self.last_head = head
        response = await connection.receive_head()
        return Answer(
            status=response.status,
            headers=response.headers,
            body=await connection.read_body(self.limits.body_bytes),
        )
