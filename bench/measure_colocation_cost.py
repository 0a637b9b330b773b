"""What co-location costs one zone's owner at the target size.

A seventh of the target: 186 workers, 1,157 services and 1,073 batch tasks of
300 classes, each reported every 5 s.
"""

import collections.abc
import datetime
import functools
import random
import time
import tracemalloc

from bench import results
from bench import shared_hosts
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal.providers import hosts
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import colocation
from turmerichook._internal.scheduling import ledger as ledgers
from turmerichook._internal.scheduling import placement
from turmerichook._internal.scheduling import plan

HOSTS = 186
SERVICES = 40
REPLICAS = 1157
BATCH = 1073
FAMILIES = 300
TEAMS = 310
ROUNDS = 20
REPORT_INTERVAL_S = 5
PLACEMENTS = 200
SIZE = resources.Resources(millicores=800, memory_mib=1000)


class Zone:
    """A zone full of tasks."""

    def __init__(self):
        self.random = random.Random(1)
        self.subject = colocation.Colocation()
        self.ledger = ledgers.Ledger()
        self.names = [ids.HostId(f"h{n:03d}") for n in range(HOSTS)]
        self.now = datetime.timedelta()
        services = {
            f"s{number}": site.Service(
                service=ids.ServiceId(f"s{number}"),
                team=ids.TeamId("t"),
                replicas=1,
                resources=SIZE,
                zones=(),
                latency_target=shared_hosts.TARGET,
            )
            for number in range(SERVICES)
        }
        self.subject.configure(site.Configuration(services=services))
        listing = [
            hosts.Host(
                host=name,
                address="",
                zone=ids.ZoneId("z"),
                rack=ids.RackId("r"),
                capacity=shared_hosts.CAPACITY,
                state=hosts.HostState.LIVE,
            )
            for name in self.names
        ]
        self.subject.set_hosts(tuple(listing))
        for name in self.names:
            self.ledger.set_capacity(name, shared_hosts.CAPACITY)
            self.ledger.usable.add(name)
        for number in range(REPLICAS):
            self._put(f"service/s{number % SERVICES}/z/{number}", number)
        for number in range(BATCH):
            family = self.random.randrange(FAMILIES)
            self._put(f"job/{_letters(family)}-{number}/0", number)

    def _put(self, task: str, number: int) -> None:
        host = self.names[number % HOSTS]
        self.ledger.commit(host, ids.TaskId(task), SIZE)
        self.subject.record_placement(
            _spec(task),
            ids.Attempt(1),
            host,
            SIZE,
            resumed=False,
            now=self.now,
        )

    def report(self) -> None:
        """Report use and latency of all tasks once."""
        for host in self.names:
            usage = tuple(
                workers.TaskUsage(
                    task=task,
                    attempt=ids.Attempt(1),
                    used=resources.Resources(millicores=400, memory_mib=500),
                    age=datetime.timedelta(seconds=2),
                    latency=datetime.timedelta(seconds=0.012),
                )
                for task in self.ledger.hosts[host].tasks
            )
            self.subject.process_usage(host, usage, self.now)

    def decide(self) -> None:
        """Decide once."""
        self.subject.decide(
            self.now, lambda host: self.ledger.hosts[host].free
        )

    def choose(self, number: int, *, advised: bool) -> None:
        """Choose a host for one task without starting it."""
        spec = _spec(f"job/{_letters(number % FAMILIES)}-0/0")
        cost = functools.partial(self.subject.advise, spec, SIZE, now=self.now)
        placement.choose(
            need=SIZE,
            ledger=self.ledger,
            generator=self.random,
            preference=placement.Preference(
                weights=site.Weights(),
                penalty=cost if advised else _no_cost,
            ),
        )


def run() -> list[results.Result]:
    """Measure processor time and memory."""
    reporting, deciding = _rounds(Zone())
    zone = Zone()
    _rounds(zone)
    plain = _timed(
        lambda: [zone.choose(n, advised=False) for n in range(PLACEMENTS)]
    )
    advised = _timed(
        lambda: [zone.choose(n, advised=True) for n in range(PLACEMENTS)]
    )
    tracemalloc.start()
    measured = Zone()
    _rounds(measured)
    kept = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    prefix = "colocation.cost"
    share = reporting / REPORT_INTERVAL_S + deciding
    return [
        results.Result(name=f"{prefix}.core", value=100 * share, unit="%"),
        results.Result(
            name=f"{prefix}.placement",
            value=1e6 * advised / PLACEMENTS,
            unit="us",
            baseline=1e6 * plain / PLACEMENTS,
        ),
        results.Result(name=f"{prefix}.memory", value=kept / 1e6, unit="MB"),
    ]


def _rounds(zone: Zone) -> tuple[float, float]:
    """Return seconds for one report of all tasks and for one decision."""
    reporting = 0.0
    deciding = 0.0
    for _ in range(ROUNDS):
        reporting += _timed(zone.report)
        for _ in range(REPORT_INTERVAL_S):
            zone.now += datetime.timedelta(seconds=1)
            deciding += _timed(zone.decide)
    return reporting / ROUNDS, deciding / ROUNDS / REPORT_INTERVAL_S


def _timed(action: collections.abc.Callable[[], object]) -> float:
    start = time.process_time()
    action()
    return time.process_time() - start


def _spec(task: str) -> plan.TaskSpec:
    batch = task.startswith("job/")
    kind = workers.TaskKind.BATCH if batch else workers.TaskKind.SERVICE
    return plan.TaskSpec(
        task=ids.TaskId(task),
        kind=kind,
        team=ids.TeamId(f"t{len(task) % TEAMS}"),
        resources=SIZE,
        urgency=site.Urgency.URGENT,
    )


def _no_cost(host: ids.HostId) -> float:
    return 0.0


def _letters(number: int) -> str:
    return "".join("abcdefghij"[int(digit)] for digit in str(number))
