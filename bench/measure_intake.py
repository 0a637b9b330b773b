"""Processor time of a submission, with and without a customer's key.

The store is in memory and no socket is used. The baseline is the same
submission to a deployment that does not tell customers apart.
"""

import asyncio
import json
import statistics
import time

from bench import results
from turmerichook._internal import clock as clocks
from turmerichook._internal.http import heads
from turmerichook._internal.intake import access
from turmerichook._internal.intake import callers
from turmerichook._internal.intake import currency
from turmerichook._internal.intake import job_store
from turmerichook._internal.metrics import registry
from turmerichook._internal.platform import caller_calls
from turmerichook._internal.platform import documents
from turmerichook._internal.storage import memory

CUSTOMERS = 20
KEYS = 3
ROUNDS = 20
REQUESTS = 400
MICROSECONDS = 1_000_000
STEP = {"count": 4, "cpu": 500, "mem-mb": 256, "estimate-ms": 900}
BODY = json.dumps({"spec": "x" * 400, "steps": [STEP, STEP]}).encode()
ROUTE = {
    "name": "q",
    "host": "example",
    "prefix": "/q/",
    "service": "desk",
    "slo-ms": 300,
    "max-attempts": 3,
}


class Submission:
    """An exchange whose body has been received; the answer is dropped."""

    def __init__(self, number: int):
        self.head = heads.RequestHead(
            method="POST",
            target=f"/q/{number:016x}",
            headers=[
                (b"host", b"example"),
                (b"turmerichook-key", b"key-7-1"),
                (b"content-length", str(len(BODY)).encode()),
            ],
        )
        self.status = 0

    async def read_all(self, limit: int | None = None) -> bytes:
        return BODY

    async def respond(self, *, status: int, **_) -> None:
        self.status = status


def _handler(*, keyed: bool) -> callers.CallHandler:
    document = {
        "version": 1,
        "routes": [ROUTE],
        "services": [{"name": "desk"}],
        "limits": {"max-body-bytes": 262144},
    }
    if keyed:
        document["tenants"] = [
            {
                "name": f"customer-{number}",
                "api-keys": [f"key-{number}-{key}" for key in range(KEYS)],
                "weight": 1,
                "max-count": {"cpu": 100_000},
            }
            for number in range(CUSTOMERS)
        ]
    configuration = documents.decode_configuration(
        json.dumps(document).encode()
    )
    clock = clocks.SystemClock()
    storage = memory.MemoryStorage(clock=clock)
    return callers.CallHandler(
        call_format=caller_calls,
        jobs=job_store.JobStore(storage=storage, clock=clock),
        configuration=lambda: configuration,
        access=access.Access(
            currency=currency.Currency(revocation_timeout=None, clock=clock)
        ),
        store_reachable=lambda: True,
        metrics=registry.Registry(),
        clock=clock,
    )


async def _seconds(handler: callers.CallHandler, first: int) -> float:
    """Return the processor time of one submission."""
    submissions = [Submission(first + n) for n in range(REQUESTS)]
    began = time.process_time()
    for submission in submissions:
        await handler.handle(submission)
    elapsed = time.process_time() - began
    assert all(submission.status == 200 for submission in submissions)
    return elapsed / REQUESTS


async def _measure() -> tuple[list[float], list[float]]:
    plain, keyed = _handler(keyed=False), _handler(keyed=True)
    without, with_key = [], []
    pairs = [(plain, without), (keyed, with_key)]
    for number in range(ROUNDS):
        # The order alternates, as the second of two is often slower.
        for handler, seconds in pairs[:: 1 if number % 2 else -1]:
            seconds.append(await _seconds(handler, number * REQUESTS))
    return without, with_key


def run() -> list[results.Result]:
    """Measure, and return the result."""
    without, with_key = asyncio.run(_measure())
    return [
        results.Result(
            name="intake_keyed_submission",
            value=statistics.median(with_key) * MICROSECONDS,
            unit="us",
            baseline=statistics.median(without) * MICROSECONDS,
        )
    ]
