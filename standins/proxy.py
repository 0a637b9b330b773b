"""TCP proxy that injects network faults, for tests.

``python -m standins.proxy --listen 127.0.0.1:0 --target 127.0.0.1:8000
--fault reset --after 300``

The proxy's plan selects one fault for each accepted connection. With a byte
count, a fault can be injected at any point of an exchange.
"""

import argparse
import asyncio
import collections.abc
import contextlib
import socket
import struct

from standins import faults
from standins import process
from turmerichook._internal.http import addresses

READ_BYTES = 16 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Time that a response waits for another one to be swapped with.
SWAP_TIMEOUT_S = 0.3
# A pause of this length marks the end of a response, for the faults that need
# complete responses.
RESPONSE_GAP_S = 0.02


Kind = faults.Kind
Fault = faults.Fault
NO_FAULT = Fault()

Plan = collections.abc.Callable[[], Fault]


class Proxy:
    """Accepts connections and relays them to one target.

    :param plan: returns the fault for each new connection.
    :ivar passing: set unless the proxy is cut. A cut proxy accepts
        connections and passes nothing on; what was sent meanwhile arrives
        after the cut, as with TCP after a network partition.
    """

    def __init__(self, *, target: tuple[str, int], plan: Plan):
        self.target = target
        self.plan = plan
        self.connections = 0
        self.faults = 0
        self.tasks: set[asyncio.Task] = set()
        self.listener: asyncio.Server | None = None
        self.waiting_responses: list[asyncio.Future] = []
        self.port = 0
        self.passing = asyncio.Event()
        self.passing.set()

    async def start(self, port: int = 0) -> int:
        """Start listening on loopback and return the port."""
        self.listener = await asyncio.start_server(
            self._accept, "127.0.0.1", port
        )
        self.port = self.listener.sockets[0].getsockname()[1]
        return self.port

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self.listener is not None:
            self.listener.close()
        for task in list(self.tasks):
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=2)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        self.connections += 1
        fault = self.plan()
        try:
            await self._relay(reader, writer, fault)
        except (OSError, asyncio.CancelledError):
            # One side closed its connection, or the proxy is stopping.
            pass
        finally:
            self.tasks.discard(task)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        fault: Fault,
    ) -> None:
        if fault.kind is Kind.BLACK_HOLE:
            self.faults += 1
            await asyncio.sleep(3600)
        await self.passing.wait()
        target_reader, target_writer = await asyncio.open_connection(
            *self.target
        )
        connection = Connection(
            proxy=self, fault=fault, writers=(writer, target_writer)
        )
        relay_tasks = [
            asyncio.create_task(
                connection.relay(reader, target_writer, up=True)
            ),
            asyncio.create_task(
                connection.relay(target_reader, writer, up=False)
            ),
        ]
        try:
            await asyncio.wait(relay_tasks)
        finally:
            for relay_task in relay_tasks:
                relay_task.cancel()
            target_writer.close()

    async def swap_response(self, data: bytes) -> bytes:
        """Return the response of another connection in exchange for this one.

        Returns the response unchanged if no other connection has one in time.
        """
        while self.waiting_responses:
            other = self.waiting_responses.pop()
            if not other.done():
                own, others = data, other.payload
                other.set_result(own)
                self.faults += 1
                return others
        future = _WaitingResponse(payload=data)
        self.waiting_responses.append(future)
        try:
            async with asyncio.timeout(SWAP_TIMEOUT_S):
                return await future
        except TimeoutError:
            # No other connection had a response to swap.
            return data


class _WaitingResponse(asyncio.Future):
    """A response that waits to be swapped with another response."""

    def __init__(self, *, payload: bytes):
        super().__init__()
        self.payload = payload


class Connection:
    """Relays both directions of one connection and injects its fault."""

    def __init__(
        self,
        *,
        proxy: Proxy,
        fault: Fault,
        writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter],
    ):
        self.proxy = proxy
        self.fault = fault
        self.writers = writers
        self.half_open = False
        self.forwarded_bytes = 0

    async def relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        up: bool,
    ) -> None:
        """Relay one direction until its sender closes."""
        while data := await reader.read(READ_BYTES):
            if self.half_open:
                await asyncio.sleep(3600)
            await self.proxy.passing.wait()
            if self.fault.kind is Kind.NONE or not self._is_affected(up):
                writer.write(data)
            elif self.fault.kind in (Kind.DUPLICATE, Kind.CROSS):
                data += await _rest_of_response(reader)
                await self._forward_with_fault(data, writer)
            else:
                await self._forward_with_fault(data, writer)
            await writer.drain()
        await self.proxy.passing.wait()
        if not self.half_open and writer.can_write_eof():
            writer.write_eof()

    def _is_affected(self, up: bool) -> bool:
        kind = self.fault.kind
        if kind in (Kind.DELAY, Kind.SLOW):
            return True
        if kind in (Kind.DUPLICATE, Kind.CROSS):
            # Only responses are affected: TCP never repeats or swaps data, but
            # a faulty middlebox that stores responses can.
            return not up
        return up == self.fault.up

    async def _forward_with_fault(
        self, data: bytes, writer: asyncio.StreamWriter
    ) -> None:
        fault = self.fault
        match fault.kind:
            case Kind.DELAY:
                await asyncio.sleep(fault.seconds)
                writer.write(data)
                return
            case Kind.SLOW:
                for start in range(0, len(data), 1024):
                    writer.write(data[start : start + 1024])
                    await writer.drain()
                    await asyncio.sleep(fault.seconds)
                return
            case Kind.CROSS:
                writer.write(await self.proxy.swap_response(data))
                return
            case Kind.DUPLICATE:
                self.proxy.faults += 1
                writer.write(data)
                await asyncio.sleep(fault.seconds)
                writer.write(data)
                return
        remaining_bytes = fault.after - self.forwarded_bytes
        self.forwarded_bytes += len(data)
        if remaining_bytes > len(data):
            writer.write(data)
            return
        writer.write(data[: max(0, remaining_bytes)])
        await writer.drain()
        await self._inject_fault(data[max(0, remaining_bytes) :], writer)

    async def _inject_fault(
        self, rest: bytes, writer: asyncio.StreamWriter
    ) -> None:
        self.proxy.faults += 1
        match self.fault.kind:
            case Kind.STALL:
                await asyncio.sleep(self.fault.seconds)
                writer.write(rest)
                # After one stall the connection works normally: the negative
                # count keeps the fault from occurring again.
                self.forwarded_bytes = -(10**12)
            case Kind.RESET:
                for each in self.writers:
                    _reset(each)
            case Kind.TRUNCATE:
                for each in self.writers:
                    each.close()
            case Kind.HALF_OPEN:
                self.half_open = True
                await asyncio.sleep(3600)


async def _rest_of_response(reader: asyncio.StreamReader) -> bytes:
    rest = b""
    while True:
        try:
            async with asyncio.timeout(RESPONSE_GAP_S):
                data = await reader.read(READ_BYTES)
        except TimeoutError:
            return rest
        if not data:
            return rest
        rest += data


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
    writer.transport.abort()


async def serve(options: argparse.Namespace) -> None:
    """Serve until cancelled."""
    fault = Fault(
        kind=Kind(options.fault),
        up=options.up,
        after=options.after,
        seconds=options.seconds,
    )
    proxy = Proxy(target=addresses.split(options.target), plan=lambda: fault)
    _, port = addresses.split(options.listen)
    await proxy.start(port)
    await asyncio.Event().wait()


def main() -> None:
    """Run the proxy."""
    parser = argparse.ArgumentParser(description="Fault-injecting proxy.")
    parser.add_argument("--listen", required=True)
    parser.add_argument("--target", required=True)
    parser.add_argument(
        "--fault", choices=[kind.value for kind in Kind], default="none"
    )
    parser.add_argument("--up", action="store_true")
    parser.add_argument("--after", type=int, default=0)
    parser.add_argument("--seconds", type=float, default=0.0)
    process.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
