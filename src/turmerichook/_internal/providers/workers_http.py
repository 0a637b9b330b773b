"""HTTP adapter of the worker interface."""

import json

from turmerichook._internal.http import addresses
from turmerichook._internal.http import calls
from turmerichook._internal.providers import worker_format
from turmerichook._internal.providers import workers
from turmerichook import exceptions

# Connections to each worker: one for the long poll for events, one for calls
# that send operations meanwhile.
CONNECTIONS = 2


class HttpWorkerPool:
    """A ``workers.WorkerPool`` over HTTP with JSON bodies."""

    def __init__(self):
        self.pools: dict[str, calls.CallPool] = {}

    async def sync(
        self, address: str, request: workers.SyncRequest, *, timeout: float
    ) -> workers.SyncAnswer:
        body = json.dumps(worker_format.encode_request(request)).encode()
        try:
            answer = await self._pool(address).call(
                method="POST",
                target="/v1/sync",
                body=body,
                timeout=timeout + request.wait.total_seconds(),
            )
        except exceptions.ExchangeError as error:
            raise exceptions.WorkerUnreachableError(
                message=error.message,
                context=address,
            ) from error
        return self._decode_answer(address, answer)

    def forget(self, address: str) -> None:
        pool = self.pools.pop(address, None)
        if pool is not None:
            pool.close()

    def _pool(self, address: str) -> calls.CallPool:
        pool = self.pools.get(address)
        if pool is None:
            host, port = addresses.split(address)
            pool = calls.CallPool(
                host=host, port=port, connections=CONNECTIONS
            )
            self.pools[address] = pool
        return pool

    def _decode_answer(
        self, address: str, answer: calls.Answer
    ) -> workers.SyncAnswer:
        if answer.status == 409:
            raise exceptions.StaleEpochError(
                message="the worker has seen a later owner of the zone",
                context=address,
            )
        if answer.status != 200:
            raise exceptions.WorkerUnreachableError(
                message=f"expected status 200, got {answer.status}",
                context=address,
            )
        try:
            return worker_format.decode_answer(answer.json())
        except exceptions.MessageError as error:
            raise exceptions.WorkerUnreachableError(
                message=error.message,
                context=address,
            ) from error
