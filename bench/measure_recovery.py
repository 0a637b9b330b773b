"""Takeover, starts through a slow store, store calls, memory and time.

Takeover and the figures of processes come from real processes. The starts at
the peak run the owner of one zone in this process over in-memory workers and
an in-memory store, since one machine cannot also carry the HTTP of 1,300
workers and of the callers. The zone gets its share of 1,100 starts a second,
and the watch brings it the job records of all seven zones.
"""

import asyncio
import collections
import contextlib
import datetime
import pathlib
import tempfile
import time

import loguru

from bench import results
from standins import launcher
from turmerichook._internal import clock as clocks
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal.providers import hosts
from turmerichook._internal.providers import hosts_memory
from turmerichook._internal.providers import store_faults
from turmerichook._internal.providers import store_memory
from turmerichook._internal.providers import workers_memory
from turmerichook._internal.scheduling import environment
from turmerichook._internal.scheduling import jobs
from turmerichook._internal.scheduling import ownership
from turmerichook._internal.scheduling import tenures

ZONES = tuple(f"z{number}" for number in range(7))
WORKERS = 186
SHAPE = resources.Resources(millicores=16000, memory_mib=61440)
SMALL = resources.Resources(millicores=500, memory_mib=512)
STARTS_PER_SECOND = 1100
TASKS_OF_A_JOB = 11
URGENT_SHARE = 10
RUN_TIME = datetime.timedelta(seconds=3)
WARM_UP_S = 5.0
PEAK_S = 30.0
OUTAGE_AT_S = 12.0
OUTAGE_S = 5.0
URGENT_LIMIT_S = 4.3
TAKEOVERS = 5
PROCESS_S = 20.0
LIMIT_MEMORY_MB = 32.0
LIMIT_PROCESSOR = 2.9


def run() -> list[results.Result]:
    """Run all measurements of the page ``docs/recovery.md``."""
    loguru.logger.remove()
    found = measure_takeover()
    found += measure_processes()
    found += asyncio.run(Peak().measure())
    return found


# Takeover


def measure_takeover() -> list[results.Result]:
    """Kill the owner and time the next start, several times."""
    times = []
    with _system(schedulers=2, workers=4) as system:
        for number in range(TAKEOVERS):
            owner = _wait(lambda: system.owner("z0"))
            time.sleep(2)
            before = time.time()
            system.kill(owner)
            job = f"after-{number}"
            _submit(system, job, tasks=1, run_time=0.1)
            start = _wait(lambda: _first_start(system, job))
            times.append(start - before)
            system.start_daemon(owner)
    times.sort()
    return [
        results.Result(
            name="recovery.takeover.median",
            value=times[len(times) // 2],
            unit="s",
            baseline=URGENT_LIMIT_S,
        ),
        results.Result(
            name="recovery.takeover.max",
            value=times[-1],
            unit="s",
            baseline=URGENT_LIMIT_S,
        ),
    ]


def _first_start(system: launcher.Launcher, job: str) -> float | None:
    for entry in system.history():
        if entry["kind"] == "start" and entry["task"] == f"job/{job}/0":
            return entry["time"]
    return None


# Processes


def measure_processes() -> list[results.Result]:
    """Measure a standby, an idle owner and a loaded owner of one zone."""
    found = []
    with _system(schedulers=2, workers=WORKERS) as system:
        owner = _wait(lambda: system.owner("z0"))
        standby = next(
            name
            for name in system.peer_addresses
            if name.startswith("scheduler") and name != owner
        )
        time.sleep(8)
        names = {"standby": standby, "idle-owner": owner}
        found += _use(system, names, lambda: time.sleep(PROCESS_S))
        found += _use(
            system, {"loaded-owner": owner}, lambda: _load(system, PROCESS_S)
        )
    return found


def _use(system: launcher.Launcher, names: dict, work) -> list:
    before = {name: _processor_s(system, names[name]) for name in names}
    began = time.monotonic()
    work()
    passed = time.monotonic() - began
    found = []
    for name, daemon in names.items():
        used = _processor_s(system, daemon) - before[name]
        found.append(
            results.Result(
                name=f"recovery.{name}.memory",
                value=_resident_mb(system, daemon),
                unit="MB",
                baseline=LIMIT_MEMORY_MB,
            )
        )
        found.append(
            results.Result(
                name=f"recovery.{name}.processor",
                value=100 * used / passed,
                unit="%",
                baseline=LIMIT_PROCESSOR,
            )
        )
    return found


def _load(system: launcher.Launcher, duration: float) -> None:
    """Submit ten jobs of ten tasks a second."""
    end = time.monotonic() + duration
    number = 0
    while time.monotonic() < end:
        _submit(system, f"load-{number}", tasks=10, run_time=3.0)
        number += 1
        time.sleep(0.1)


def _processor_s(system: launcher.Launcher, name: str) -> float:
    """Return the time on a processor; the daemons have one thread.

    The counters in ``stat`` grow by ticks and miss short bursts.
    """
    pid = system.daemons[name].process.pid
    path = pathlib.Path(f"/proc/{pid}/schedstat")
    return int(path.read_text().split()[0]) / 1e9


def _resident_mb(system: launcher.Launcher, name: str) -> float:
    pid = system.daemons[name].process.pid
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise LookupError(name)


@contextlib.contextmanager
def _system(*, schedulers: int, workers: int):
    layout = launcher.Layout(
        zones=("z0",), workers=workers, schedulers=schedulers
    )
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        system = launcher.Launcher(layout=layout, folder=folder)
        try:
            system.start()
            files = folder / "configuration"
            files.mkdir()
            (files / "10.toml").write_text("[zones.z0]\n[teams.t]\n")
            applied = system.operator(
                "config", "apply", str(files), "--store", system.store
            )
            if applied.returncode:
                raise RuntimeError(applied.stderr)
            yield system
        finally:
            system.stop()


def _submit(
    system: launcher.Launcher, job: str, *, tasks: int, run_time: float
) -> None:
    gateway = next(n for n in system.peer_addresses if "gateway" in n)
    document = {
        "id": job,
        "team": "t",
        "tasks": tasks,
        "cores": 0.5,
        "memory_gib": 0.5,
        "run_time_s": run_time,
    }
    _wait(
        lambda: (
            system.call(
                system.listen_addresses[gateway],
                "/v1/jobs",
                method="POST",
                document=document,
            )[0]
            == 202
        )
    )


def _wait(condition, limit: float = 60.0):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        found = condition()
        if found:
            return found
        time.sleep(0.02)
    raise TimeoutError


# Starts at the peak


class Peak:
    """One owner, fed with a seventh of 1,100 tasks a second."""

    def __init__(self):
        self.clock = clocks.SystemClock()
        self.memory = store_memory.MemoryStore(clock=self.clock)
        self.store = store_faults.FaultyStore(
            store=self.memory, clock=self.clock
        )
        self.hosts = hosts_memory.MemoryHostList()
        self.network: dict[str, workers_memory.MemoryWorker] = {}
        self.submitted: dict[str, float] = {}
        self.waits: dict[str, float] = {}
        self.configuration = site.Configuration(
            zones={
                ids.ZoneId(zone): site.Zone(
                    zone=ids.ZoneId(zone), region=ids.RegionId("r")
                )
                for zone in ZONES
            },
            teams={ids.TeamId("t"): site.Team(team=ids.TeamId("t"))},
        )

    async def measure(self) -> list[results.Result]:
        """Run the load once with an outage in the middle."""
        self.store.delays = (
            datetime.timedelta(milliseconds=2),
            datetime.timedelta(milliseconds=10),
        )
        for number in range(WORKERS):
            self._add_worker(ZONES[0], f"{ZONES[0]}-w{number}")
        owner = self._claim(ZONES[0])
        helper = asyncio.create_task(self._run_workers())
        await asyncio.sleep(WARM_UP_S)
        self.store.counts.clear()
        began = time.monotonic()
        processor = time.process_time()
        await self._submit_all(began)
        processor = time.process_time() - processor
        passed = time.monotonic() - began
        counts = collections.Counter(self.store.counts)
        await asyncio.sleep(WARM_UP_S)
        helper.cancel()
        await owner.stop()
        return self._results(began, passed, processor, counts)

    async def _submit_all(self, began: float) -> None:
        number = 0
        interval = TASKS_OF_A_JOB / STARTS_PER_SECOND
        while (now := time.monotonic()) < began + PEAK_S:
            since = now - began - OUTAGE_AT_S
            self.store.down = 0 <= since < OUTAGE_S
            due = int((now - began) / interval)
            while number <= due:
                await self._submit(number)
                number += 1
            await asyncio.sleep(interval)
        self.store.down = False

    async def _submit(self, number: int) -> None:
        urgent = number // len(ZONES) % URGENT_SHARE == 0
        name = f"{'urgent' if urgent else 'normal'}-{number}"
        spec = site.Job(
            job=ids.JobId(name),
            team=ids.TeamId("t"),
            tasks=TASKS_OF_A_JOB,
            resources=SMALL,
            run_time=RUN_TIME,
            urgency=site.Urgency.URGENT if urgent else site.Urgency.NORMAL,
        )
        record = jobs.JobRecord(
            spec=spec,
            home=ids.ZoneId(ZONES[number % len(ZONES)]),
            state=jobs.JobState.ACCEPTED,
            operation=ids.OperationId(name),
            accepted=self.clock.now().isoformat(),
        )
        if record.home == ZONES[0]:
            self.submitted[name] = time.monotonic()
        await self.memory.put(
            jobs.key_of(spec.job), jobs.pack(record), expect=ids.Version(0)
        )

    def _record(self, entry: dict) -> None:
        if entry["kind"] == "start":
            self.waits.setdefault(entry["task"], time.monotonic())

    def _add_worker(self, zone: str, name: str) -> None:
        self.network[name] = workers_memory.MemoryWorker(
            host=ids.HostId(name),
            zone=ids.ZoneId(zone),
            capacity=SHAPE,
            clock=self.clock,
            record=self._record,
        )
        self.hosts.entries[ids.HostId(name)] = hosts.Host(
            host=ids.HostId(name),
            address=name,
            zone=ids.ZoneId(zone),
            rack=ids.RackId("r"),
            capacity=SHAPE,
            state=hosts.HostState.LIVE,
        )

    def _claim(self, zone: str) -> tenures.Tenures:
        async def confirm() -> None:
            await self.store.get("config/head")

        owner = tenures.Tenures(
            candidate=ownership.Candidate(
                zone=ids.ZoneId(zone),
                node=ids.NodeId("bench"),
                address="bench",
                in_other_zone=False,
                store=self.store,
                clock=self.clock,
                confirm=confirm,
            ),
            environment=environment.Environment(
                node=ids.NodeId("bench"),
                store=self.store,
                pool=workers_memory.MemoryWorkerPool(
                    network=self.network, clock=self.clock
                ),
                host_list=self.hosts,
                clock=self.clock,
                configuration=lambda: self.configuration,
                publish=lambda message: None,
                peers=environment.Peers(),
            ),
        )
        owner.start()
        return owner

    async def _run_workers(self) -> None:
        while True:
            for worker in self.network.values():
                worker.advance()
            await asyncio.sleep(0.1)

    def _results(
        self,
        began: float,
        passed: float,
        processor: float,
        counts: collections.Counter,
    ) -> list[results.Result]:
        outage = (began + OUTAGE_AT_S, began + OUTAGE_AT_S + OUTAGE_S)
        urgent: list[float] = []
        normal: list[float] = []
        delayed: list[float] = []
        lost = 0
        for job, submitted in self.submitted.items():
            for number in range(TASKS_OF_A_JOB):
                started = self.waits.get(f"job/{job}/{number}")
                if started is None:
                    lost += 1
                elif started >= outage[0] and submitted < outage[1]:
                    delayed.append(started - submitted)
                else:
                    kind = urgent if job.startswith("urgent") else normal
                    kind.append(started - submitted)
        found = [
            results.Result(
                name="recovery.peak.starts",
                value=len(self.waits) / passed,
                unit="1/s",
                baseline=STARTS_PER_SECOND / len(ZONES),
            ),
            results.Result(
                name="recovery.peak.not-started", value=lost, unit="tasks"
            ),
            results.Result(
                name="recovery.peak.processor",
                value=100 * processor / passed,
                unit="%",
            ),
            *_spread("recovery.peak.urgent", urgent),
            *_spread("recovery.peak.normal", normal),
            results.Result(
                name="recovery.outage.delayed-starts",
                value=len(delayed),
                unit="tasks",
            ),
            *_spread("recovery.outage.delayed", delayed),
        ]
        for kind, count in sorted(counts.items()):
            name = kind.replace(" ", "-").replace("/", "-")
            found.append(
                results.Result(
                    name=f"recovery.store.{name}",
                    value=count / passed,
                    unit="1/s",
                )
            )
        return found


def _spread(name: str, values: list[float]) -> list[results.Result]:
    values = sorted(values)
    if not values:
        return []
    return [
        results.Result(
            name=f"{name}.p{label}",
            value=values[min(len(values) - 1, int(len(values) * share))],
            unit="s",
            baseline=URGENT_LIMIT_S,
        )
        for label, share in (("50", 0.5), ("99", 0.99), ("100", 1.0))
    ]
