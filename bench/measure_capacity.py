"""Slopes of memory, processor time and store calls for each role.

Real processes over stand-ins, each slope at three sizes that are a factor of
ten apart. The points and their fits go to ``build/capacity.json``;
``tools/capacity_page.py`` works out the figures at the target from the copy
that is committed as ``docs/capacity.json``.
"""

import contextlib
import dataclasses
import json
import os
import pathlib
import tempfile
import time
import typing

from bench import fit
from bench import processes
from bench import results
from standins import caller
from standins import launcher
from standins import recorder

OUTPUT = pathlib.Path("build") / "capacity.json"
SIZES = (10, 100, 1000)
WINDOW_S = 10.0
# Long enough to see calls that are made every 10 s.
IDLE_WINDOW_S = 40.0
WAIT_S = 90.0
SETTLE_S = 3.0
ZONE = "a"

SITE = f"[zones.{ZONE}]\n[teams.t]\n"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Slope:
    """Points of one figure over one size."""

    name: str
    unit: str
    per: str
    points: tuple[tuple[float, float], ...]

    def document(self) -> dict[str, typing.Any]:
        """Return the points with their fit."""
        found = fit.line(self.points)
        return {**dataclasses.asdict(self), **dataclasses.asdict(found)}


class Site:
    """One zone with one gateway and one scheduler."""

    def __init__(self, *, folder: pathlib.Path, workers: int):
        layout = launcher.Layout(zones=(ZONE,), workers=workers)
        self.system = launcher.Launcher(layout=layout, folder=folder)
        self.files = folder / "configuration"
        self.files.mkdir()

    def start(self, text: str = "") -> None:
        """Start everything with a configuration."""
        self.system.start()
        (self.files / "10-site.toml").write_text(SITE + text)
        result = self.system.operator(
            "config", "apply", str(self.files), "--store", self.system.store
        )
        if result.returncode != 0:
            raise RuntimeError(result.stderr)
        self.wait_for(lambda: self.system.owner(ZONE), "an owner")

    def usage(self, name: str) -> processes.Usage:
        """Return the usage of a process."""
        return processes.usage(self.system.daemons[name].process.pid)

    def rate(self, name: str, seconds: float = WINDOW_S) -> float:
        """Return the share of a core that a process uses, in percent."""
        before = self.usage(name).cpu_s
        time.sleep(seconds)
        return (self.usage(name).cpu_s - before) / seconds * 100

    def calls(self) -> dict[str, int]:
        """Return the store's calls so far by kind."""
        return self.system.call(self.system.store, "/counts")[1]

    def submit(self, job: str, tasks: int, run_time_s: float) -> None:
        """Submit a job of small tasks."""
        document = {
            "id": job,
            "team": "t",
            "tasks": tasks,
            "cores": 0.01,
            "memory_gib": 0.01,
            "run_time_s": run_time_s,
        }

        def accepted() -> bool:
            status, _ = self.system.call(
                self.gateway, "/v1/jobs", method="POST", document=document
            )
            return status == 202

        self.wait_for(accepted, "acceptance")

    @property
    def gateway(self) -> str:
        """Address of the gateway."""
        return self.system.listen_addresses[GATEWAY]

    def count(self, kind: str) -> int:
        """Return how many entries of a kind the stand-ins recorded."""
        mark = f'"kind": "{kind}"'
        return self.system.record.read_text().count(mark)

    def wait_for(
        self, condition: typing.Callable[[], typing.Any], what: str
    ) -> None:
        """Wait until a condition holds."""
        deadline = time.monotonic() + WAIT_S
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(f"no {what} within {WAIT_S:g} s")
            time.sleep(0.1)


GATEWAY = f"gateway-{ZONE}-0"
SCHEDULER = f"scheduler-{ZONE}-0"


@contextlib.contextmanager
def site(workers: int, text: str = "") -> typing.Iterator[Site]:
    """Run a site for a measurement."""
    with tempfile.TemporaryDirectory() as name:
        running = Site(folder=pathlib.Path(name), workers=workers)
        try:
            running.start(text)
            yield running
        finally:
            running.system.stop()


def run() -> list[results.Result]:
    """Measure all slopes, write them and return the fits."""
    slopes = [
        *_owner_by_workers(),
        *_owner_by_tasks(),
        *_owner_by_starts(),
        *_gateway_by_endpoints(),
        *_gateway_by_requests(),
    ]
    documents = [slope.document() for slope in slopes]
    measured = {
        "slopes": documents,
        "idle_calls_per_s": _idle_calls(),
        "command_line": command_line(),
    }
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(measured, indent=1) + "\n")
    return [
        results.Result(
            name=f"capacity.{d['name']}.slope",
            value=d["slope"],
            unit=f"{d['unit']}/{d['per']}",
        )
        for d in documents
    ]


def command_line() -> dict[str, float]:
    """Return what one ``turmerichook config show`` costs."""
    with site(10) as running:
        process = running.system.operator_process(
            "config", "show", "--store", running.system.store
        )
        _, status, used = os.wait4(process.pid, 0)
        process.returncode = os.waitstatus_to_exitcode(status)
        process.communicate()
    return {
        "resident_mib": used.ru_maxrss / processes.KIB_PER_MIB,
        "cpu_s": used.ru_utime + used.ru_stime,
    }


def _idle_calls() -> dict[str, float]:
    """Return the store's calls a second by kind for one idle zone."""
    with site(10) as running:
        time.sleep(SETTLE_S)
        before = running.calls()
        time.sleep(IDLE_WINDOW_S)
        after = running.calls()
    return {
        kind: (after[kind] - before.get(kind, 0)) / IDLE_WINDOW_S
        for kind in sorted(after)
    }


def _owner_by_workers() -> list[Slope]:
    memory, cpu = [], []
    for size in SIZES:
        with site(size) as running:
            time.sleep(SETTLE_S)
            cpu.append((size, running.rate(SCHEDULER)))
            memory.append((size, running.usage(SCHEDULER).resident_mib))
    return [
        Slope(
            name="owner_memory_by_workers",
            unit="MiB",
            per="worker",
            points=tuple(memory),
        ),
        Slope(
            name="owner_cpu_by_workers",
            unit="%",
            per="worker",
            points=tuple(cpu),
        ),
    ]


def _owner_by_tasks() -> list[Slope]:
    memory, cpu = [], []
    for size in SIZES:
        with site(100) as running:
            running.submit("long", size, 3600)
            running.wait_for(
                lambda n=size, r=running: r.count("start") >= n, "starts"
            )
            time.sleep(SETTLE_S)
            cpu.append((size, running.rate(SCHEDULER)))
            memory.append((size, running.usage(SCHEDULER).resident_mib))
    return [
        Slope(
            name="owner_memory_by_tasks",
            unit="MiB",
            per="running task",
            points=tuple(memory),
        ),
        Slope(
            name="owner_cpu_by_tasks",
            unit="%",
            per="running task",
            points=tuple(cpu),
        ),
    ]


def _owner_by_starts() -> list[Slope]:
    cpu, writes = [], []
    for size in SIZES:
        with site(100) as running:
            time.sleep(SETTLE_S)
            before = running.usage(SCHEDULER).cpu_s
            calls = running.calls().get("PUT kv", 0)
            running.submit("short", size, 1)
            running.wait_for(
                lambda n=size, r=running: r.count("finish") >= n, "finishes"
            )
            time.sleep(SETTLE_S)
            cpu.append((size, running.usage(SCHEDULER).cpu_s - before))
            writes.append((size, running.calls().get("PUT kv", 0) - calls))
    return [
        Slope(
            name="owner_cpu_by_starts",
            unit="s",
            per="task started and finished",
            points=tuple(cpu),
        ),
        Slope(
            name="store_writes_by_starts",
            unit="writes",
            per="task started and finished",
            points=tuple(writes),
        ),
    ]


def _gateway_by_endpoints() -> list[Slope]:
    memory, cpu = [], []
    for size in SIZES:
        text = (
            f'[services.s]\nteam = "t"\nreplicas = {size}\ncores = 0.01\n'
            "memory_gib = 0.01\n"
        )
        with site(100, text) as running:
            running.wait_for(
                lambda n=size, r=running: r.count("start") >= n, "starts"
            )
            time.sleep(SETTLE_S)
            cpu.append((size, running.rate(GATEWAY)))
            memory.append((size, running.usage(GATEWAY).resident_mib))
    return [
        Slope(
            name="gateway_memory_by_endpoints",
            unit="MiB",
            per="endpoint",
            points=tuple(memory),
        ),
        Slope(
            name="gateway_cpu_by_endpoints",
            unit="%",
            per="endpoint",
            points=tuple(cpu),
        ),
    ]


def _gateway_by_requests() -> list[Slope]:
    cpu = []
    text = '[services.s]\nteam = "t"\nreplicas = 10\ncores = 0.01\n'
    with site(10, text) as running:
        record = recorder.Recorder(path=running.system.record)
        sender = caller.Caller(name="bench", record=record, seed=1)
        target = caller.Target(
            node=GATEWAY, address=running.gateway, service="s"
        )
        running.wait_for(
            lambda: sender.send(target, method="GET") == 200, "an answer"
        )
        for size in SIZES:
            before = running.usage(GATEWAY).cpu_s
            for _ in range(size):
                sender.send(target)
            cpu.append((size, running.usage(GATEWAY).cpu_s - before))
    return [
        Slope(
            name="gateway_cpu_by_requests",
            unit="s",
            per="request",
            points=tuple(cpu),
        )
    ]
