"""TCP proxy that injects faults, for tests.

``python -m standins.proxy --listen 127.0.0.1:0 --target 127.0.0.1:8000
--fault reset --after 300``

Each accepted connection gets one fault from the proxy's plan. Byte counts
make it possible to hit every step of an exchange.
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
CROSS_WAIT_S = 0.3
# Silence that ends an answer, for the faults that concern whole answers.
ANSWER_GAP_S = 0.02


Kind = faults.Kind
Fault = faults.Fault
NO_FAULT = Fault()

Plan = collections.abc.Callable[[], Fault]


class Proxy:
    """Listens and relays to one target."""

    def __init__(self, *, target: tuple[str, int], plan: Plan):
        self.target = target
        self.plan = plan
        self.connections = 0
        self.faults = 0
        self.tasks: set[asyncio.Task] = set()
        self.listener: asyncio.Server | None = None
        self.held: list[asyncio.Future] = []

    async def start(self, port: int = 0) -> int:
        """Listen on loopback and return the port."""
        self.listener = await asyncio.start_server(
            self._accept, "127.0.0.1", port
        )
        return self.listener.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close everything."""
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
            # One side broke off, or the proxy is closing.
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
        target_reader, target_writer = await asyncio.open_connection(
            *self.target
        )
        link = Link(proxy=self, fault=fault, writers=(writer, target_writer))
        pumps = [
            asyncio.create_task(link.pump(reader, target_writer, up=True)),
            asyncio.create_task(link.pump(target_reader, writer, up=False)),
        ]
        try:
            await asyncio.wait(pumps)
        finally:
            for pump in pumps:
                pump.cancel()
            target_writer.close()

    async def cross(self, data: bytes) -> bytes:
        """Swap an answer with one of another connection if there is one."""
        while self.held:
            other = self.held.pop()
            if not other.done():
                mine, others = data, other.payload
                other.set_result(mine)
                self.faults += 1
                return others
        future = _Held(payload=data)
        self.held.append(future)
        try:
            async with asyncio.timeout(CROSS_WAIT_S):
                return await future
        except TimeoutError:
            # Nobody to swap with.
            return data


class _Held(asyncio.Future):
    """An answer that waits for another one to be swapped with."""

    def __init__(self, *, payload: bytes):
        super().__init__()
        self.payload = payload


class Link:
    """Both directions of one connection."""

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
        self.dead = False
        self.passed = 0

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        up: bool,
    ) -> None:
        """Move one direction until it ends."""
        while data := await reader.read(READ_BYTES):
            if self.dead:
                await asyncio.sleep(3600)
            if self.fault.kind is Kind.NONE or not self._counts(up):
                writer.write(data)
            elif self.fault.kind in (Kind.DUPLICATE, Kind.CROSS):
                data += await _rest_of_answer(reader)
                await self._harm(data, writer)
            else:
                await self._harm(data, writer)
            await writer.drain()
        if not self.dead and writer.can_write_eof():
            writer.write_eof()

    def _counts(self, up: bool) -> bool:
        kind = self.fault.kind
        if kind in (Kind.DELAY, Kind.SLOW):
            return True
        if kind in (Kind.DUPLICATE, Kind.CROSS):
            # Only answers: TCP itself never repeats or swaps what is sent,
            # but a faulty middle box that keeps answers can.
            return not up
        return up == self.fault.up

    async def _harm(self, data: bytes, writer: asyncio.StreamWriter) -> None:
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
                writer.write(await self.proxy.cross(data))
                return
            case Kind.DUPLICATE:
                self.proxy.faults += 1
                writer.write(data)
                await asyncio.sleep(fault.seconds)
                writer.write(data)
                return
        left = fault.after - self.passed
        self.passed += len(data)
        if left > len(data):
            writer.write(data)
            return
        writer.write(data[: max(0, left)])
        await writer.drain()
        await self._break(data[max(0, left) :], writer)

    async def _break(self, rest: bytes, writer: asyncio.StreamWriter) -> None:
        self.proxy.faults += 1
        match self.fault.kind:
            case Kind.STALL:
                await asyncio.sleep(self.fault.seconds)
                writer.write(rest)
                # The connection is as good as new afterwards.
                self.passed = -(10**12)
            case Kind.RESET:
                for each in self.writers:
                    _reset(each)
            case Kind.TRUNCATE:
                for each in self.writers:
                    each.close()
            case Kind.HALF_OPEN:
                self.dead = True
                await asyncio.sleep(3600)


async def _rest_of_answer(reader: asyncio.StreamReader) -> bytes:
    rest = b""
    while True:
        try:
            async with asyncio.timeout(ANSWER_GAP_S):
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
