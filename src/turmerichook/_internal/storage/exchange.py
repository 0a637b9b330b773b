"""HTTP client for a store: reads, writes and watches.

A read that fails raises ``StoreUnavailableError``. A write that fails raises
``StoreUnavailableError`` where it certainly had no effect, and
``StoreOutcomeUnknownError`` where it may have had one.
"""

import json
import typing
import urllib.parse

from turmerichook._internal.http import calls
from turmerichook._internal.http import heads
from turmerichook import exceptions


class StoreExchange:
    """Makes HTTP calls to one store.

    Reads, writes and watches use separate connection pools.

    :param connections: largest number of connections for reads, and likewise
        for writes.
    :param watch_connections: largest number of connections for watches.
    :param timeout: seconds within which a read or write must be answered.
    :param headers: headers that are sent with each write.
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
        # Writes have their own pool so that lease renewals and commits do not
        # wait for reads made for callers: a read whose answer is lost
        # occupies its connection for the whole time-out.
        self.write_pool = calls.CallPool(
            host=host, port=port, connections=connections
        )
        self.watch_pool = calls.CallPool(
            host=host, port=port, connections=watch_connections
        )

    async def read(self, target: str) -> calls.Answer:
        """Make a call that changes nothing in the store.

        :raises StoreUnavailableError: if no answer arrived in time.
        """
        return await self._get(self.pool, target, self.timeout)

    async def watch(self, target: str, *, timeout: float) -> calls.Answer:
        """Make a long-poll read, which the store may answer late.

        :param timeout: seconds within which the call must be answered.
        :raises StoreUnavailableError: if no answer arrived in time.
        """
        return await self._get(self.watch_pool, target, timeout)

    async def write(
        self, method: str, target: str, document: typing.Any
    ) -> calls.Answer:
        """Make a call that changes the store.

        :raises StoreUnavailableError: if the call certainly had no effect.
        :raises StoreOutcomeUnknownError: if the call may have had an effect.
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
            message = f"the store did not confirm the write: {error.message}"
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
    """Return a key percent-encoded for use in a request target."""
    return urllib.parse.quote(key, safe="/")
