"""HTTP exchange with a store: reads, writes and watches.

A failed exchange says of a read that the store is out of reach, and of a
write whether it certainly had no effect.
"""

import json
import typing
import urllib.parse

from turmerichook._internal.http import calls
from turmerichook._internal.http import heads
from turmerichook import exceptions


class StoreExchange:
    """Calls to one store; watches have connections of their own.

    :param timeout: seconds for the answer to a call that does not wait.
    :param headers: sent with each write.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        connections: int,
        watch_connections: int,
        timeout: float,
        headers: heads.Headers | None = None,
    ):
        self.timeout = timeout
        self.headers = headers
        self.pool = calls.CallPool(
            host=host, port=port, connections=connections
        )
        # Renewals and commits do not wait for callers' questions: a read whose
        # answer is lost holds its connection for the whole time-out.
        self.write_pool = calls.CallPool(
            host=host, port=port, connections=connections
        )
        self.watch_pool = calls.CallPool(
            host=host, port=port, connections=watch_connections
        )

    async def read(self, target: str) -> calls.Answer:
        """Make a call that has no effect.

        :raises StoreUnavailableError: if no answer came.
        """
        return await self._get(self.pool, target, self.timeout)

    async def watch(self, target: str, *, timeout: float) -> calls.Answer:
        """Make a call without an effect that waits at the store.

        :raises StoreUnavailableError: if no answer came.
        """
        return await self._get(self.watch_pool, target, timeout)

    async def write(
        self, method: str, target: str, document: typing.Any
    ) -> calls.Answer:
        """Make a call that changes the store.

        :raises StoreUnavailableError: if it certainly had no effect.
        :raises StoreOutcomeUnknownError: if it may have had one.
        """
        body = b"" if document is None else json.dumps(document).encode()
        try:
            return await self.write_pool.call(
                method=method,
                target=target,
                body=body,
                headers=self.headers,
                timeout=self.timeout,
            )
        except exceptions.ExchangeError as error:
            message = f"the store did not confirm: {error.message}"
            if error.progress is exceptions.Progress.NOTHING_SENT:
                raise exceptions.StoreUnavailableError(
                    message=message
                ) from error
            raise exceptions.StoreOutcomeUnknownError(
                message=message
            ) from error

    def close(self) -> None:
        """Close idle connections."""
        self.pool.close()
        self.write_pool.close()
        self.watch_pool.close()

    async def _get(
        self, pool: calls.CallPool, target: str, timeout: float
    ) -> calls.Answer:
        try:
            return await pool.call(
                method="GET", target=target, timeout=timeout
            )
        except exceptions.ExchangeError as error:
            raise exceptions.StoreUnavailableError(
                message=f"the store cannot be read: {error.message}"
            ) from error


def quote(key: str) -> str:
    """Return a key as a part of a target."""
    return urllib.parse.quote(key, safe="/")
