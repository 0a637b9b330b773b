"""A zone under load for the measurement of placement, and its baseline."""

import collections
import datetime
import random

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal.providers import hosts
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import decision_round
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import state as states

CAPACITY = resources.Resources(millicores=16_000, memory_mib=60 * 1024)
HOSTS_PER_RACK = 8
TEAMS = 310
# Replicas of services per worker: 8,100 on 1,300 workers.
SERVICES_PER_HOST = 8_100 / 1_300
REPLICAS_PER_SERVICE = 24
SERVICE_AMOUNT = resources.Resources(millicores=1_000, memory_mib=4_096)
BATCH_AMOUNTS = tuple(
    resources.Resources(millicores=millicores, memory_mib=memory)
    for millicores, memory in (
        (500, 1_024),
        (1_000, 3_072),
        (1_500, 5_120),
        (2_000, 6_144),
        (3_000, 8_192),
    )
)
TASKS_PER_JOB = 20
# Waiting jobs per worker; the queue never runs dry.
BACKLOG_PER_HOST = 2
ZONE = ids.ZoneId("a")
NO_LIMIT = 1_000_000


def team(generator: random.Random) -> ids.TeamId:
    """Return one of the teams."""
    return ids.TeamId(f"team-{generator.randrange(TEAMS)}")


class Load:
    """A full zone whose batch tasks end and whose backlog is refilled."""

    def __init__(self, *, workers_count: int, seed: int, empty: bool = False):
        self.generator = random.Random(seed)
        self.now = datetime.timedelta()
        self.zone = states.ZoneTasks(
            zone=ZONE, generator=random.Random(seed + 1)
        )
        self.running: list[states.StartCommand] = []
        self.jobs = 0
        self.zone.open = True
        self._hosts(workers_count)
        if empty:
            return
        self._services(workers_count)
        for _ in range(BACKLOG_PER_HOST * workers_count):
            self.submit()
        self.round()

    def submit(self) -> plan.Workload:
        """Add a job to the queue."""
        self.jobs += 1
        work = plan.Workload(
            key=f"job/{self.jobs}",
            kind=workers.TaskKind.BATCH,
            team=team(self.generator),
            resources=self.generator.choice(BATCH_AMOUNTS),
            urgency=site.Urgency.NORMAL,
            count=TASKS_PER_JOB,
        )
        self.zone.submit(work, {}, self.now)
        return work

    def finish(self, count: int) -> None:
        """End random batch tasks."""
        for _ in range(min(count, len(self.running))):
            place = self.generator.randrange(len(self.running))
            command = self.running[place]
            self.running[place] = self.running[-1]
            self.running.pop()
            self.zone.ended(
                command.task, command.attempt, succeeded=True, now=self.now
            )

    def round(self) -> decision_round.Round:
        """Run one round of decisions; its starts run at once."""
        self.now += datetime.timedelta(milliseconds=200)
        done = decision_round.decide(self.zone, self.now, NO_LIMIT)
        for command in done.starts:
            self.zone.running(command.task, command.attempt, "", self.now)
            if command.task.startswith("job/"):
                self.running.append(command)
        return done

    def tasks(self) -> int:
        """Return the number of running tasks."""
        return sum(len(a.tasks) for a in self.zone.ledger.hosts.values())

    def _hosts(self, count: int) -> None:
        listing = tuple(
            hosts.Host(
                host=ids.HostId(f"w{number:05}"),
                address="",
                zone=ZONE,
                rack=ids.RackId(f"r{number // HOSTS_PER_RACK}"),
                capacity=CAPACITY,
                state=hosts.HostState.LIVE,
            )
            for number in range(count)
        )
        self.zone.set_hosts(listing)
        for host in listing:
            self.zone.usable.add(host.host)

    def _services(self, workers_count: int) -> None:
        replicas = int(workers_count * SERVICES_PER_HOST)
        for number in range(replicas // REPLICAS_PER_SERVICE):
            work = plan.Workload(
                key=f"service/s{number}/{ZONE}",
                kind=workers.TaskKind.SERVICE,
                team=team(self.generator),
                resources=SERVICE_AMOUNT,
                urgency=site.Urgency.URGENT,
                count=REPLICAS_PER_SERVICE,
            )
            self.zone.submit(work, {}, self.now)


class FirstFit:
    """The simplest scheduler: arrival order, first host with room.

    It begins with the commitments of a load and scans the hosts for each
    waiting task. To keep it simple it is spared teams, tiers and logs, and
    it gives up on a round's remaining tasks of an amount that was refused.
    """

    def __init__(self, load: Load):
        ledger = load.zone.ledger
        self.free = {name: a.free for name, a in ledger.hosts.items()}
        self.running = [
            (command.host, command.amount) for command in load.running
        ]
        self.generator = random.Random(1)
        self.waiting: collections.deque[resources.Resources]
        self.waiting = collections.deque()
        for group in load.zone.groups.values():
            self.waiting.extend([group.amount] * group.waiting)

    def finish(self, count: int) -> None:
        """End random batch tasks."""
        for _ in range(min(count, len(self.running))):
            place = self.generator.randrange(len(self.running))
            host, amount = self.running[place]
            self.running[place] = self.running[-1]
            self.running.pop()
            self.free[host] = self.free[host].plus(amount)

    def submit(self) -> None:
        """Add a job to the queue."""
        amount = self.generator.choice(BATCH_AMOUNTS)
        self.waiting.extend([amount] * TASKS_PER_JOB)

    def round(self) -> int:
        """Place waiting tasks; return the number of starts."""
        refused = set()
        kept: collections.deque[resources.Resources] = collections.deque()
        starts = 0
        for amount in self.waiting:
            if amount in refused:
                kept.append(amount)
                continue
            for host, free in self.free.items():
                if amount.fits(free):
                    self.free[host] = free.minus(amount)
                    self.running.append((host, amount))
                    starts += 1
                    break
            else:
                refused.add(amount)
                kept.append(amount)
        self.waiting = kept
        return starts
