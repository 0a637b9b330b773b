"""A small fake of hosts whose tasks interfere, in steps of one second.

The policies see only usage reports, which carry an age. The true slowdowns
are known to the fake and to the oracle.
"""

import collections
import dataclasses
import datetime
import math
import random

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import ledger as ledgers
from turmerichook._internal.scheduling import plan

CORES = 16
CAPACITY = resources.Resources(millicores=CORES * 1000, memory_mib=60 * 1024)
SERVICE_SIZE = resources.Resources(millicores=2000, memory_mib=4096)
BASE_S = 0.010
TARGET = datetime.timedelta(seconds=0.0165)
REPORT_INTERVAL_S = 5
REPORT_LAG_S = 8
NOISE = 0.04
NOISY_LEAST = 0.5
LOAD_PERIOD_S = 700.0
DRIFT_PERIOD_S = 1500.0
BATCH_FAMILIES = 6


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """One site's shape.

    :param arrivals: batch jobs a second; more than the hosts can hold.
    :param noisy: times strength of one family of jobs in the middle third
        of the run, for a wave of noisy tasks.
    """

    name: str
    hosts: int
    service_hosts: int
    services: int
    weights: site.Weights
    arrivals: float = 0.9
    noisy: float = 1.0
    steps: int = 1800


@dataclasses.dataclass(kw_only=True)
class BatchTask:
    """A batch task that waits or runs.

    :param left: core-seconds of work left.
    :param saved: core-seconds left at the last checkpoint.
    :param true_size: what it uses relative to its declared size.
    """

    spec: plan.TaskSpec
    family: int
    left: float
    saved: float
    true_size: float
    attempt: int = 0
    host: ids.HostId | None = None
    share: float = 1.0


class World:
    """Hosts, services and batch tasks of one run."""

    def __init__(self, *, scenario: Scenario, seed: int):
        self.scenario = scenario
        self.random = random.Random(seed)
        self.now = 0
        self.ledger = ledgers.Ledger()
        self.hosts = [
            ids.HostId(f"h{number:02d}") for number in range(scenario.hosts)
        ]
        for host in self.hosts:
            self.ledger.set_capacity(host, CAPACITY)
        self.services: dict[ids.HostId, plan.TaskSpec] = {}
        for number in range(scenario.service_hosts):
            self._add_service(number)
        self.waiting: dict[ids.TaskId, BatchTask] = {}
        self.running: dict[ids.TaskId, BatchTask] = {}
        self.by_host: dict[ids.HostId, dict[ids.TaskId, BatchTask]]
        self.by_host = {host: {} for host in self.hosts}
        self.reports: collections.deque = collections.deque()
        self.work_done = 0.0
        self.evictions = 0
        self.samples: list[float] = []
        self.alone: list[float] = []
        self.late = 0
        self.submitted = 0
        pairs = [
            (service, family)
            for service in range(scenario.services)
            for family in range(BATCH_FAMILIES)
        ]
        # A third of the pairs interfere strongly, the others hardly.
        self.strength = {
            pair: self.random.choice((0.05, 0.15, 1.2)) for pair in pairs
        }
        self.phase = {pair: self.random.uniform(0, math.tau) for pair in pairs}

    def _add_service(self, number: int) -> None:
        service = f"s{number % self.scenario.services}"
        spec = plan.TaskSpec(
            task=ids.TaskId(f"service/{service}/z/{number}"),
            kind=workers.TaskKind.SERVICE,
            team=ids.TeamId("t"),
            resources=SERVICE_SIZE,
            urgency=site.Urgency.URGENT,
        )
        host = self.hosts[number]
        self.services[host] = spec
        self.ledger.commit(host, spec.task, spec.resources)

    def service_number(self, host: ids.HostId) -> int:
        """Return the number of the service on a host."""
        return int(plan.service_of(self.services[host].task)[1:])

    def load(self, host: ids.HostId) -> float:
        """Return the load of the host's service, from 0.2 to 0.8."""
        shift = self.service_number(host) * 1.7
        angle = math.tau * self.now / LOAD_PERIOD_S + shift
        return 0.5 + 0.3 * math.sin(angle)

    def coefficient(self, service: int, family: int) -> float:
        """Return the present interference of a pair."""
        angle = math.tau * self.now / DRIFT_PERIOD_S
        wave = math.sin(angle + self.phase[service, family])
        strength = self.strength[service, family] * (1.0 + 0.6 * wave)
        third = self.scenario.steps // 3
        noisy = family == 0 and self.scenario.noisy > 1.0
        if noisy and third <= self.now < 2 * third:
            strength = max(strength, NOISY_LEAST)
            strength *= self.scenario.noisy
        return strength

    def excess(self, host: ids.HostId) -> float:
        """Return the true slowdown of the host's service, minus one."""
        return sum(
            self.excess_by(host, t) for t in self.by_host[host].values()
        )

    def excess_by(self, host: ids.HostId, task: BatchTask) -> float:
        """Return what one task adds to the slowdown of a host's service."""
        service = self.service_number(host)
        cores = task.spec.resources.millicores / 1000 * task.true_size
        strength = self.coefficient(service, task.family)
        load = 0.5 + self.load(host)
        return strength * load * cores * task.share / CORES

    def latency_alone(self, host: ids.HostId) -> float:
        """Return the 99th percentile without batch, without noise."""
        return BASE_S * (1.0 + 0.6 * self.load(host))

    def arrive(self) -> None:
        """Add the jobs that are submitted in this step."""
        count = int(self.scenario.arrivals)
        rest = self.scenario.arrivals - count
        count += self.random.random() < rest
        for _ in range(count):
            family = self.random.randrange(BATCH_FAMILIES)
            cores = self.random.choice((1, 2, 2, 4))
            seconds = self.random.uniform(40, 160)
            self.submitted += 1
            name = ids.TaskId(f"job/f{'abcdef'[family]}-{self.submitted}/0")
            spec = plan.TaskSpec(
                task=name,
                kind=workers.TaskKind.BATCH,
                team=ids.TeamId("t"),
                resources=resources.Resources(
                    millicores=cores * 1000, memory_mib=cores * 2048
                ),
                urgency=site.Urgency.NORMAL,
                run_time=datetime.timedelta(seconds=seconds),
            )
            self.waiting[name] = BatchTask(
                spec=spec,
                family=family,
                left=seconds * cores,
                saved=seconds * cores,
                true_size=(0.7, 0.85, 1.0)[family % 3],
            )

    def start(
        self, task: BatchTask, host: ids.HostId, amount: resources.Resources
    ) -> None:
        """Run a waiting task on a host."""
        self.ledger.commit(host, task.spec.task, amount)
        del self.waiting[task.spec.task]
        task.attempt += 1
        task.host = host
        task.share = 1.0
        self.running[task.spec.task] = task
        self.by_host[host][task.spec.task] = task

    def evict(self, name: ids.TaskId, *, checkpoint: bool = True) -> None:
        """Take a task off its host; without a checkpoint its work is lost."""
        task = self._leave(name)
        self.evictions += 1
        if checkpoint:
            task.saved = task.left
        else:
            self.work_done -= task.saved - task.left
            task.left = task.saved
        self.waiting[name] = task

    def step(self) -> list[ids.TaskId]:
        """Run one second and return the tasks that finished."""
        finished = []
        for name, task in list(self.running.items()):
            cores = task.spec.resources.millicores / 1000
            done = min(task.left, cores * task.share)
            task.left -= done
            self.work_done += done
            if task.left <= 0.0:
                self._leave(name)
                finished.append(name)
        self._measure()
        self.now += 1
        return finished

    def due(self) -> dict[ids.HostId, list[workers.TaskUsage]]:
        """Return the reports that arrive now."""
        found: dict[ids.HostId, list[workers.TaskUsage]] = {}
        while self.reports and self.reports[0][0] <= self.now - REPORT_LAG_S:
            time, host, usage = self.reports.popleft()
            age = datetime.timedelta(seconds=self.now - time)
            found.setdefault(host, []).append(
                dataclasses.replace(usage, age=age)
            )
        return found

    def _leave(self, name: ids.TaskId) -> BatchTask:
        task = self.running.pop(name)
        self.ledger.release(task.host, name)
        del self.by_host[task.host][name]
        task.host = None
        return task

    def _measure(self) -> None:
        for number, host in enumerate(self.hosts):
            report = (self.now + number) % REPORT_INTERVAL_S == 0
            if host in self.services:
                alone = self.latency_alone(host)
                alone *= math.exp(self.random.gauss(0.0, NOISE))
                latency = alone * (1.0 + self.excess(host))
                self.alone.append(alone)
                self.samples.append(latency)
                self.late += latency > TARGET.total_seconds()
                if report:
                    self._report_service(host, latency)
            if report:
                for task in self.by_host[host].values():
                    self._report_batch(host, task)

    def _report_service(self, host: ids.HostId, latency: float) -> None:
        spec = self.services[host]
        used = resources.Resources(
            millicores=round(spec.resources.millicores * self.load(host)),
            memory_mib=spec.resources.memory_mib // 2,
        )
        usage = workers.TaskUsage(
            task=spec.task,
            attempt=ids.Attempt(1),
            used=used,
            age=datetime.timedelta(),
            latency=datetime.timedelta(seconds=latency),
        )
        self.reports.append((self.now, host, usage))

    def _report_batch(self, host: ids.HostId, task: BatchTask) -> None:
        size = task.spec.resources
        used = resources.Resources(
            millicores=round(size.millicores * task.true_size * task.share),
            memory_mib=round(size.memory_mib * task.true_size),
        )
        usage = workers.TaskUsage(
            task=task.spec.task,
            attempt=ids.Attempt(task.attempt),
            used=used,
            age=datetime.timedelta(),
        )
        self.reports.append((self.now, host, usage))
