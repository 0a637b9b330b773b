"""Stand-in for a service endpoint.

Each request takes ``work_s`` of one slot. A request is recorded when it
starts to run, so that a checker can count runs for each request id. The
answer holds the request's id and body, so that the caller can check it.
"""

import asyncio
import collections.abc
import hashlib
import json

from turmerichook._internal.http import heads
from turmerichook._internal.http import server

WORK_S = 0.002

Recorder = collections.abc.Callable[[dict], None]


class Endpoint:
    """One replica with slots."""

    def __init__(
        self,
        *,
        task: str,
        slots: int,
        connections: int,
        record: Recorder,
        work_s: float = WORK_S,
    ):
        self.task = task
        self.record = record
        self.work_s = work_s
        self.slots = asyncio.Semaphore(slots)
        self.server = server.Server(
            handler=self._handle,
            limits=heads.Limits(connections=connections),
        )
        self.port = 0

    async def start(self) -> int:
        """Listen on loopback and return the port."""
        self.port = await self.server.start(host="127.0.0.1", port=0)
        return self.port

    async def stop(self) -> None:
        """Stop at once."""
        await self.server.stop(grace=0)

    async def _handle(self, exchange: server.Exchange) -> None:
        body = await exchange.read_all()
        request = exchange.head.header(b"request-id")
        async with self.slots:
            self.record({"kind": "run", "request": request, "by": self.task})
            await asyncio.sleep(self.work_s)
            document = {
                "request": request,
                "by": self.task,
                "bytes": len(body),
                "sha256": hashlib.sha256(body).hexdigest(),
            }
        await exchange.respond(status=200, body=json.dumps(document).encode())
