"""Whole request and response calls over a pool of connections.

Meant for the platform and for operators: bodies are small and read whole.
"""

import asyncio
import dataclasses
import json
import typing

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
        self.authority = authority or f"{host}:{port}"
        self.connect_timeout = connect_timeout
        self.limits = limits or heads.Limits()
        self.idle: list[client.ClientConnection] = []
        self.slots = asyncio.Semaphore(connections)

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
        head = heads.RequestHead(
            method=method,
            target=target,
            headers=[
                (b"host", self.authority.encode()),
                (b"content-length", str(len(body)).encode()),
                *(headers or []),
            ],
        )
        progress = exceptions.Progress.NOTHING_SENT
        connection: client.ClientConnection | None = None
        try:
            async with asyncio.timeout(timeout), self.slots:
                connection = await self._take()
                answer = await self._exchange(connection, head, body)
        except TimeoutError as error:
            if connection is not None:
                progress = connection.progress
            raise exceptions.DeadlineExceededError(
                message=f"no answer within {timeout:g} s",
                progress=progress,
                context=f"{self.host}:{self.port}",
            ) from error
        finally:
            if connection is not None:
                self._give_back(connection)
        return answer

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()

    async def _take(self) -> client.ClientConnection:
        while self.idle:
            connection = self.idle.pop()
            if connection.reusable:
                return connection
            connection.close()
        return await client.ClientConnection.open(
            host=self.host,
            port=self.port,
            timeout=self.connect_timeout,
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
        head: heads.RequestHead,
        body: bytes,
    ) -> Answer:
        await connection.send_head(head)
        if body:
            await connection.send_body(body)
        await connection.end_request()
        response = await connection.receive_head()
        pieces = bytearray()
        async for piece in connection.body():
            pieces += piece
            if len(pieces) > self.limits.body_bytes:
                raise exceptions.BodyTooLargeError(
                    message="the response body exceeds the limit",
                    context=f"{self.host}:{self.port}",
                )
        return Answer(
            status=response.status,
            headers=response.headers,
            body=bytes(pieces),
        )
