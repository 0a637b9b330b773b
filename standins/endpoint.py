"""Simulated service endpoint.

``python -m standins.endpoint --task t1 --listen 127.0.0.1:0 --record FILE``

Each request occupies one slot for ``work_s`` seconds. A request is recorded
when it starts to run, so that a checker can count the runs of each request id.
The response contains the request's id and the length and SHA-256 digest of
its body, so that the caller can verify the response.

A request can control its response through headers: ``Test-Status`` (status of
the response), ``Test-Bytes`` (length of padding in the response),
``Test-Early`` (respond before the body is read), ``Test-Work`` (run time in
seconds), ``Test-Chunked`` (response without a length).
"""

import argparse
import asyncio
import collections.abc
import hashlib
import json
import pathlib
import time

from standins import holds
from standins import process
from turmerichook._internal.http import addresses
from turmerichook._internal.http import heads
from turmerichook._internal.http import server

WORK_S = 0.002

Recorder = collections.abc.Callable[[dict], None]

# Requests that may wait for a slot, as a multiple of the number of slots.
WAITING_FACTOR = 1
CHUNK_BYTES = 8000


class Endpoint:
    """One replica of a service, which runs one request in each slot.

    :param fail_every: respond to each n-th request with status 500; 0 for
        none.
    """

    def __init__(
        self,
        *,
        task: str,
        slots: int,
        connections: int,
        record: Recorder,
        breakpoints: holds.Breakpoints | None = None,
        work_s: float = WORK_S,
        fail_every: int = 0,
    ):
        self.task = task
        self.record = record
        self.breakpoints = breakpoints or holds.Breakpoints()
        self.work_s = work_s
        self.fail_every = fail_every
        self.slot_count = slots
        self.slots = asyncio.Semaphore(slots)
        self.active_requests = 0
        self.request_count = 0
        self.server = server.Server(
            handler=self._handle,
            limits=heads.Limits(connections=connections),
        )
        self.port = 0

    async def start(self, port: int = 0) -> int:
        """Start listening on loopback and return the port."""
        self.port = await self.server.start(host="127.0.0.1", port=port)
        return self.port

    async def stop(self) -> None:
        """Stop immediately, without waiting for running requests."""
        await self.server.stop(grace=0)

    async def _handle(self, exchange: server.Exchange) -> None:
        head = exchange.head
        wanted = head.header(b"endpoint-task")
        request_limit = self.slot_count * (1 + WAITING_FACTOR)
        if wanted and wanted != self.task:
            await self._refuse(exchange, "another task")
            return
        if self.active_requests >= request_limit:
            await self._refuse(exchange, "no slot")
            return
        self.active_requests += 1
        try:
            await self._work(exchange)
        except holds.DroppedError:
            exchange.connection.close()
        finally:
            self.active_requests -= 1

    async def _work(self, exchange: server.Exchange) -> None:
        head = exchange.head
        body = b""
        if not head.header(b"test-early"):
            body = await exchange.read_all()
        request = head.header(b"request-id")
        step = f"endpoint run {head.method} {request}"
        self.request_count += 1
        async with self.slots:
            await self.breakpoints.wait_at(f"{step} before")
            self.record({"kind": "run", "request": request, "by": self.task})
            await self.breakpoints.wait_at(f"{step} after")
            work = float(head.header(b"test-work") or self.work_s)
            await asyncio.sleep(work)
        status = int(head.header(b"test-status") or 200)
        if self.fail_every and self.request_count % self.fail_every == 0:
            status = 500
        document = {
            "request": request,
            "by": self.task,
            "bytes": len(body),
            "sha256": hashlib.sha256(body).hexdigest(),
            "attempt": head.header(b"request-attempt"),
            "timeout": head.header(b"request-timeout"),
            "filling": "x" * int(head.header(b"test-bytes") or 0),
        }
        payload = json.dumps(document).encode()
        if status in (204, 304):
            payload = b""
        if head.header(b"test-chunked") and head.method != "HEAD":
            await self._chunked(exchange, status, payload)
            return
        await exchange.respond(
            status=status, body=payload, headers=self._headers(exchange)
        )

    async def _chunked(
        self, exchange: server.Exchange, status: int, payload: bytes
    ) -> None:
        headers = self._headers(exchange)
        await exchange.start(status=status, headers=headers)
        for start in range(0, len(payload), CHUNK_BYTES):
            await exchange.send(payload[start : start + CHUNK_BYTES])
        await exchange.end()

    async def _refuse(self, exchange: server.Exchange, why: str) -> None:
        headers = self._headers(exchange)
        headers.append((b"request-outcome", b"not-run"))
        await exchange.respond(
            status=503, body=json.dumps({"why": why}).encode(), headers=headers
        )

    def _headers(self, exchange: server.Exchange) -> heads.Headers:
        load = self.active_requests / self.slot_count
        headers = [(b"endpoint-load", f"{load:.3f}".encode())]
        exchange_id = exchange.head.header(b"exchange-id")
        if exchange_id:
            headers.append((b"exchange-id", exchange_id.encode("latin-1")))
        return headers


def file_recorder(path: pathlib.Path) -> Recorder:
    """Return a function that appends entries to a file as JSON lines."""
    file = path.open("a", buffering=1)

    def record(entry: dict) -> None:
        file.write(json.dumps({"time": time.time(), **entry}) + "\n")

    return record


async def serve(options: argparse.Namespace) -> None:
    """Serve until cancelled."""
    replica = Endpoint(
        task=options.task,
        slots=options.slots,
        connections=options.connections,
        record=file_recorder(options.record),
        work_s=options.work,
        fail_every=options.fail_every,
    )
    _, port = addresses.split(options.listen)
    await replica.start(port)
    await asyncio.Event().wait()


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description="Stand-in endpoint.")
    parser.add_argument("--task", required=True)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--record", type=pathlib.Path, required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--work", type=float, default=0.002)
    parser.add_argument("--fail-every", type=int, default=0)
    process.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
