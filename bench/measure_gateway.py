"""Throughput, added latency and memory of a gateway process.

Real: the gateway process, the relay process that it is compared with, the
endpoint process and the sockets. Each process is pinned to a core of its own
where the machine has enough.
"""

import asyncio
import contextlib
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import time

from bench import results
from standins import launcher
from standins import rig

CALLERS = 16
REQUESTS = 4000
ROUNDS = 5
CONNECTIONS = 1000
RELAY_TARGET = 0.7
HEAD = (
    b"GET /services/booking/toll HTTP/1.1\r\nhost: bench\r\n"
    b"user-agent: bench\r\naccept: */*\r\n\r\n"
)
ANSWER_END = b"x" * 256


class Client(asyncio.Protocol):
    """One caller that sends the next request when the answer is whole."""

    def __init__(self, *, left: list[int], times: list[float]):
        self.left = left
        self.times = times
        self.done = asyncio.get_running_loop().create_future()
        self.received = b""
        self.began = 0.0

    def connection_made(self, transport):
        """Send the first request."""
        self.transport = transport
        self._next()

    def data_received(self, data):
        """Take a part of the answer."""
        self.received += data
        if self.received.endswith(ANSWER_END):
            self.received = b""
            self.times.append(time.perf_counter() - self.began)
            self._next()

    def connection_lost(self, exc):
        """Fail if it was not the end."""
        if not self.done.done():
            self.done.set_exception(ConnectionError("closed"))

    def _next(self):
        if self.left[0] <= 0:
            self.done.set_result(None)
            self.transport.close()
            return
        self.left[0] -= 1
        self.began = time.perf_counter()
        self.transport.write(HEAD)


async def load(address: str, callers: int, requests: int):
    """Return requests a second and the sorted times."""
    host, _, port = address.rpartition(":")
    left = [requests]
    times: list[float] = []
    loop = asyncio.get_running_loop()
    began = time.perf_counter()
    clients = [
        (
            await loop.create_connection(
                lambda: Client(left=left, times=times), host, int(port)
            )
        )[1]
        for _ in range(callers)
    ]
    await asyncio.gather(*(client.done for client in clients))
    return requests / (time.perf_counter() - began), sorted(times)


def spawn(folder: pathlib.Path, *arguments: str) -> subprocess.Popen:
    """Start a module as a process."""
    root = pathlib.Path(__file__).resolve().parent.parent
    with (folder / "bench.log").open("ab") as log:
        return subprocess.Popen(
            [sys.executable, "-m", *arguments],
            env={**os.environ, "PYTHONPATH": f"{root}/src:{root}"},
            stdout=log,
            stderr=log,
        )


def pin(pid: int, core: int) -> None:
    """Let a process run on one core, if there are enough."""
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) > core:
        os.sched_setaffinity(pid, {cores[core]})


def resident(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+) kB", text).group(1)) / 1024


def used(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


class Stage:
    """The processes of one measurement."""

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.rig = rig.Rig(folder=folder)
        self.processes: list[subprocess.Popen] = []
        free = launcher.Addresses()
        self.endpoint = free.free()
        self.relay = free.free()
        self.gateway = ""
        self.pid = 0

    async def start(self) -> None:
        """Start endpoint, relay and gateway."""
        for core, command in (
            (1, ("bench.quick_endpoint", self.endpoint)),
            (2, ("bench.minimal_relay", self.relay, self.endpoint)),
        ):
            process = spawn(self.folder, *command)
            self.processes.append(process)
            pin(process.pid, core)
        for address in (self.endpoint, self.relay):
            await asyncio.to_thread(
                launcher.Launcher.wait_listening, None, address
            )
        replica = rig.Replica(
            task="t0",
            zone="a",
            server=_Shape(),
            link=_Nothing(),
            address=self.endpoint,
        )
        self.rig.replicas["t0"] = replica
        self.gateway = await self.rig.start_gateway("g1")
        self.pid = self.rig.gateways["g1"].pid
        pin(self.pid, 3)

    async def stop(self) -> None:
        """End all processes."""
        await self.rig.stop()
        for process in self.processes:
            process.kill()
            process.wait()


class _Shape:
    """Stands for an endpoint that runs elsewhere, with many slots."""

    slot_count = 64

    async def stop(self) -> None:
        """Do nothing."""


class _Nothing:
    """Stands for the absent proxy."""

    async def stop(self) -> None:
        """Do nothing."""


async def throughput(stage: Stage) -> list[results.Result]:
    """Compare gateway and relay in turns, and take the medians."""
    found: dict[str, list] = {"gateway": [], "relay": []}
    single: dict[str, list] = {"gateway": [], "relay": []}
    addresses = {"gateway": stage.gateway, "relay": stage.relay}
    for address in addresses.values():
        await load(address, CALLERS, REQUESTS // 4)
    pids = {"gateway": stage.pid, "relay": stage.processes[1].pid}
    costs: dict[str, list] = {"gateway": [], "relay": []}
    for _ in range(ROUNDS):
        for name, address in addresses.items():
            before = used(pids[name])
            rate, _ = await load(address, CALLERS, REQUESTS)
            found[name].append(rate)
            cost = (used(pids[name]) - before) / REQUESTS
            costs[name].append(cost * 1e6)
            _, times = await load(address, 1, REQUESTS // 8)
            single[name] += times
    median = {n: sorted(v)[len(v) // 2] for n, v in found.items()}
    lines = [
        results.Result(
            name="gateway.throughput",
            value=median["gateway"],
            unit="1/s",
            baseline=median["relay"],
        ),
        # The least of all rounds, which other work on the machine disturbs
        # less than the throughput.
        results.Result(
            name="gateway.processor_time",
            value=min(costs["gateway"]),
            unit="us/request",
            baseline=min(costs["relay"]),
        ),
    ]
    for share, label in ((0.5, "p50"), (0.99, "p99")):
        at = {
            name: sorted(times)[int(len(times) * share)] * 1e3
            for name, times in single.items()
        }
        lines.append(
            results.Result(
                name=f"gateway.latency.{label}",
                value=at["gateway"],
                unit="ms",
                baseline=at["relay"],
            )
        )
    return lines


async def memory(stage: Stage) -> list[results.Result]:
    """Measure memory with and without connections, and the idle cost."""
    empty = resident(stage.pid)
    host, _, port = stage.gateway.rpartition(":")
    writers = []
    for _ in range(CONNECTIONS):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(HEAD)
        await reader.readuntil(ANSWER_END)
        writers.append(writer)
    full = resident(stage.pid)
    before = used(stage.pid)
    await asyncio.sleep(5)
    idle = (used(stage.pid) - before) / 5
    for writer in writers:
        with contextlib.suppress(OSError):
            writer.close()
    return [
        results.Result(name="gateway.rss.idle", value=empty, unit="MB"),
        results.Result(
            name="gateway.rss.1000_connections", value=full, unit="MB"
        ),
        results.Result(
            name="gateway.processor.1000_idle_connections",
            value=idle * 100,
            unit="%",
        ),
    ]


async def measure() -> list[results.Result]:
    """Run all measurements of one gateway."""
    with tempfile.TemporaryDirectory() as name:
        stage = Stage(pathlib.Path(name))
        try:
            await stage.start()
            return await memory(stage) + await throughput(stage)
        finally:
            await stage.stop()


def run() -> list[results.Result]:
    """Return the figures."""
    return asyncio.run(measure())
