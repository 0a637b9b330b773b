"""Time from an accepted configuration to its being in force, and its cost.

Real processes on loopback behind links: 7 zones with 1 and with 9 gateways
each, and as many schedulers. The store answers after 10 ms. Loss is shown as
stalls of random links, as TCP makes of it. "In force" is the
time in each process's own log line; all processes share the host's clock.
"""

import asyncio
import contextlib
import dataclasses
import datetime
import os
import pathlib
import random
import re
import statistics
import tempfile
import threading
import time

from bench import results
from standins import launcher
from turmerichook._internal import clock as clocks
from turmerichook._internal.configuration import apply
from turmerichook._internal.configuration import bundle
from turmerichook._internal.http import addresses
from turmerichook._internal.models import ids
from turmerichook._internal.providers import store_http

ZONES = ("a", "b", "c", "d", "e", "f", "g")
STORE_DELAY_S = 0.01
BURST = 20
START_LIMIT_S = 90.0
SETTLE_S = 15.0
IDLE_S = 30.0
STALL_S = 0.4
STALL_EVERY_S = 0.5
# Headers of a frame's segment and of its acknowledgement: IPv4 and TCP with
# time stamps, once in each direction.
SEGMENT_BYTES = 104
IN_FORCE = re.compile(r"^(\S+) \S+ \S+ TH-3001 .*generation=(\d+)", re.M)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Case:
    """One size of the site.

    :param changes: number of single changes.
    """

    gateways: int
    changes: int
    linked: bool

    @property
    def name(self) -> str:
        """Prefix of the case's figures."""
        return f"configuration.gateways_{self.gateways * len(ZONES)}"


CASES = (
    Case(gateways=1, changes=40, linked=True),
    Case(gateways=9, changes=20, linked=False),
)


def run() -> list[results.Result]:
    """Return the figures of all cases."""
    found = []
    for case in CASES:
        with tempfile.TemporaryDirectory() as folder:
            found += _Site(case, pathlib.Path(folder)).measure()
    return found


class _Site:
    def __init__(self, case: Case, folder: pathlib.Path):
        self.case = case
        self.folder = folder
        layout = launcher.Layout(
            zones=ZONES,
            workers=0,
            gateways=case.gateways,
            schedulers=case.gateways,
            linked=case.linked,
            bounded=True,
        )
        self.system = launcher.Launcher(layout=layout, folder=folder)
        self.accepted: dict[int, float] = {}
        self.number = 0
        self.idle_calls = 0.0
        self.idle_wire = 0.0

    def measure(self) -> list[results.Result]:
        try:
            self.system.start()
            self.system.faults(delay_s=STORE_DELAY_S)
            self._apply()
            self._wait_all(1)
            time.sleep(SETTLE_S)
            found = self._idle()
            found += self._cost()
            found += self._changes("burst", BURST, 0.0)
            if self.case.linked:
                with self._stalls():
                    found += self._changes("stalls", self.case.changes, 0.3)
                    found += self._changes("stalls_burst", BURST, 0.0)
            return found
        finally:
            self.system.stop()

    def _changes(
        self, kind: str, count: int, pause: float
    ) -> list[results.Result]:
        first = self.number + 1
        for _ in range(count):
            self._apply()
            time.sleep(pause)
        self._wait_all(self.number)
        delays = sorted(self._delays(first))
        prefix = f"{self.case.name}.{kind}"
        return [
            self._result(f"{prefix}.p50", statistics.median(delays), "s"),
            self._result(f"{prefix}.p99", _quantile(delays, 0.99), "s"),
            self._result(f"{prefix}.max", delays[-1], "s"),
        ]

    def _delays(self, first: int) -> list[float]:
        """Return the delay of each generation in the slowest process."""
        logs = [self._log(name) for name in self.system.peer_addresses]
        return [
            max(
                min(when for when, seen in log if seen >= generation)
                - self.accepted[generation]
                for log in logs
            )
            for generation in range(first, self.number + 1)
        ]

    def _log(self, name: str) -> list[tuple[float, int]]:
        text = (self.folder / f"{name}.log").read_text()
        return [
            (datetime.datetime.fromisoformat(when).timestamp(), int(number))
            for when, number in IN_FORCE.findall(text)
        ]

    def _apply(self) -> None:
        self.number += 1
        zones = "".join(f"[zones.{zone}]\n" for zone in ZONES)
        files = {
            "10.toml": zones.encode(),
            "20.toml": f"[teams.t{self.number}]\n".encode(),
        }
        change = apply.Change(
            files=files,
            author="bench",
            operation=ids.OperationId(f"{self.number:032x}"),
        )
        head = asyncio.run(self._apply_change(change))
        assert head.generation == self.number

    async def _apply_change(self, change: apply.Change):
        host, port = addresses.split(self.system.store)
        store = _WatchedStore(host=host, port=port)
        applier = apply.Applier(store=store, clock=clocks.SystemClock())
        try:
            head = (await applier.apply(change)).head
            self.accepted[head.generation] = store.head_sent
            return head
        finally:
            store.close()

    def _wait_all(self, generation: int) -> None:
        deadline = time.monotonic() + START_LIMIT_S
        while time.monotonic() < deadline:
            logs = [self._log(name) for name in self.system.peer_addresses]
            if all(log and log[-1][1] >= generation for log in logs):
                return
            time.sleep(0.2)
        raise TimeoutError(f"generation {generation} is not everywhere")

    def _idle(self) -> list[results.Result]:
        names = list(self.system.peer_addresses)
        before = [self._sample(name) for name in names]
        calls = self._store_calls()
        began = time.monotonic()
        time.sleep(IDLE_S)
        after = [self._sample(name) for name in names]
        elapsed = time.monotonic() - began
        calls = self._store_calls() - calls
        shares = [
            (b.processor - a.processor) / elapsed
            for a, b in zip(before, after)
        ]
        rates = [(b.wire - a.wire) / elapsed for a, b in zip(before, after)]
        memory = [sample.memory_mb for sample in after]
        self.idle_calls = calls / elapsed
        self.idle_wire = statistics.mean(rates)
        prefix = f"{self.case.name}.idle"
        return [
            self._result(f"{prefix}.memory_max", max(memory), "MB"),
            self._result(f"{prefix}.processor_max", max(shares) * 100, "%"),
            self._result(
                f"{prefix}.processor_mean",
                statistics.mean(shares) * 100,
                "%",
            ),
            self._result(f"{prefix}.peer_traffic_max", max(rates), "B/s"),
            self._result(
                f"{prefix}.peer_traffic_mean", statistics.mean(rates), "B/s"
            ),
            self._result(f"{prefix}.store_calls", calls / elapsed, "1/s"),
        ]

    def _cost(self) -> list[results.Result]:
        """Measure single changes with the calls and bytes of each.

        The rates of idling before are taken off. Calls include those of the
        operator and the later update of the processes' records.
        """
        names = list(self.system.peer_addresses)
        before = [self._sample(name) for name in names]
        calls = self._store_calls()
        began = time.monotonic()
        found = self._changes("single", self.case.changes, 0.3)
        # Records of the processes are updated within 10 s.
        time.sleep(SETTLE_S)
        elapsed = time.monotonic() - began
        calls = self._store_calls() - calls - self.idle_calls * elapsed
        after = [self._sample(name) for name in names]
        wire = sum(b.wire - a.wire for a, b in zip(before, after))
        wire = wire / len(names) - self.idle_wire * elapsed
        prefix = f"{self.case.name}.change"
        count = self.case.changes
        return found + [
            self._result(f"{prefix}.store_calls", calls / count, "calls"),
            self._result(
                f"{prefix}.peer_bytes_per_process", wire / count, "B"
            ),
        ]

    def _sample(self, name: str) -> "_Sample":
        address = self.system.listen_addresses[name]
        _, document = self.system.call(address, "/v1/members")
        pid = self.system.daemons[name].process.pid
        return _Sample.read(pid, document["traffic"])

    def _store_calls(self) -> int:
        _, counts = self.system.call(self.system.store, "/counts")
        return sum(counts.values())

    @contextlib.contextmanager
    def _stalls(self):
        ended = threading.Event()
        thread = threading.Thread(target=self._stall, args=(ended,))
        thread.start()
        try:
            yield
        finally:
            ended.set()
            thread.join()
            self.system.set_links("*", cut=False)

    # Links to the store, inside zones and between them.
    def _stall(self, ended: threading.Event) -> None:
        source = random.Random(1)
        while not ended.wait(STALL_EVERY_S - STALL_S):
            near = source.choice(ZONES)
            far = source.choice((*ZONES, "store", near))
            self.system.set_links(f"{near}->{far}", cut=True)
            ended.wait(STALL_S)
            self.system.set_links(f"{near}->{far}", cut=False)

    def _result(self, name: str, value: float, unit: str) -> results.Result:
        return results.Result(name=name, value=value, unit=unit)


class _WatchedStore(store_http.HttpStore):
    """Keeps the time at which the last write of the head was sent.

    The store's own delay is thus a part of the measured time.
    """

    head_sent = 0.0

    async def put(self, key, value, *, expect, lease=None):
        if key == bundle.HEAD_KEY:
            self.head_sent = time.time()
        return await super().put(key, value, expect=expect, lease=lease)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Sample:
    """Resources of one process.

    :param processor: processor time in seconds.
    :param wire: bytes to and from peers with the headers of all segments.
    """

    memory_mb: float
    processor: float
    wire: int

    @classmethod
    def read(cls, pid: int, traffic: dict) -> "_Sample":
        process = pathlib.Path(f"/proc/{pid}")
        pages = int((process / "statm").read_text().split()[1])
        fields = (process / "stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        frames = traffic["sent_frames"] + traffic["received_frames"]
        payload = traffic["sent_bytes"] + traffic["received_bytes"]
        return cls(
            memory_mb=pages * os.sysconf("SC_PAGE_SIZE") / 1e6,
            processor=ticks / os.sysconf("SC_CLK_TCK"),
            wire=payload + frames * SEGMENT_BYTES,
        )


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
