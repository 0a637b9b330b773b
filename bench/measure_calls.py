"""Processor time of a whole call on a kept connection.

Real: the pool of calls, sockets on loopback and a listener in a process of
its own. The baseline is what h11 alone takes to make
the request and to read the answer in the same run, so that the ratio tells
what the product adds whatever the machine is doing.
"""

import asyncio
import json
import multiprocessing
from multiprocessing import connection as connections
import time

import h11

from bench import results
from turmerichook._internal.http import calls
from turmerichook._internal.http import server as servers

POOLS = 20
CALLS = 250
ROUNDS = 5
MICROSECONDS = 1_000_000
TARGET = "/v1/tasks"
# A start of a task with a text of usual length.
BODY = json.dumps(
    {"task": "5c0e7a21d94b36f8.0.1.17", "run": 1, "text": "x" * 300}
).encode()
ANSWER = b'{"clock-ms":482113}'
HEADERS = [
    (b"content-type", b"application/json"),
    (b"x-instance", b"i-8682d6803f"),
]


async def _answer(exchange: servers.Exchange) -> None:
    await exchange.read_all()
    await exchange.respond(status=200, body=ANSWER)


async def _listen(port: connections.Connection) -> None:
    server = servers.Server(handler=_answer)
    port.send(await server.start(host="127.0.0.1", port=0))
    await asyncio.Event().wait()


def serve(port: connections.Connection) -> None:
    """Answer calls until killed, and tell the port first."""
    asyncio.run(_listen(port))


async def _load(pools: list[calls.CallPool], count: int) -> float:
    """Return the microseconds of this process for each call."""

    async def row(pool: calls.CallPool) -> None:
        for _ in range(count):
            await pool.call(
                method="POST",
                target=TARGET,
                body=BODY,
                headers=HEADERS,
                timeout=5.0,
            )

    began = time.process_time()
    await asyncio.gather(*(row(pool) for pool in pools))
    elapsed = time.process_time() - began
    return elapsed * MICROSECONDS / (count * len(pools))


def _protocol_alone(count: int) -> float:
    """Return the microseconds that h11 takes for each exchange."""
    connection = h11.Connection(our_role=h11.CLIENT)
    answer = (
        b"HTTP/1.1 200 \r\ncontent-type: application/json\r\n"
        b"content-length: %d\r\n\r\n%s" % (len(ANSWER), ANSWER)
    )
    headers = [
        (b"host", b"127.0.0.1:8780"),
        (b"content-length", str(len(BODY)).encode()),
        *HEADERS,
    ]
    began = time.process_time()
    for _ in range(count):
        request = h11.Request(method="POST", target=TARGET, headers=headers)
        for event in (request, h11.Data(data=BODY), h11.EndOfMessage()):
            connection.send(event)
        connection.receive_data(answer)
        while type(connection.next_event()) is not h11.EndOfMessage:
            pass
        connection.start_next_cycle()
    return (time.process_time() - began) * MICROSECONDS / count


async def _measure(port: int) -> tuple[list[float], list[float]]:
    pools = [
        calls.CallPool(host="127.0.0.1", port=port, connections=1)
        for _ in range(POOLS)
    ]
    await _load(pools, CALLS // 10)
    whole, alone = [], []
    for _ in range(ROUNDS):
        whole.append(await _load(pools, CALLS))
        alone.append(_protocol_alone(POOLS * CALLS))
    for pool in pools:
        pool.close()
    return whole, alone


def run() -> list[results.Result]:
    """Return all rows."""
    context = multiprocessing.get_context("spawn")
    port, sender = context.Pipe(duplex=False)
    listener = context.Process(target=serve, args=(sender,), daemon=True)
    listener.start()
    try:
        whole, alone = asyncio.run(_measure(port.recv()))
    finally:
        listener.kill()
        listener.join()
    # The least of all rounds, which other work on the machine disturbs least.
    return [
        results.Result(
            name="calls.processor_time",
            value=min(whole),
            unit="us/call",
            baseline=min(alone),
        )
    ]
