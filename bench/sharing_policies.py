"""Policies that place batch tasks in the fake of shared hosts."""

import collections.abc
import datetime
import functools
import random

from bench import shared_hosts
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal.providers import hosts
from turmerichook._internal.scheduling import colocation
from turmerichook._internal.scheduling import placement
from turmerichook._internal.scheduling import sharing_decisions as decisions
from turmerichook._internal.scheduling import sizing

# Waiting tasks that a policy looks at in one step.
LOOK_AHEAD = 60
# The oracle keeps this distance, since it does not know the noise.
ORACLE_MARGIN = 0.93


class Policy:
    """Places every waiting task that finds a host."""

    def __init__(self, world: shared_hosts.World):
        self.world = world

    def act(self) -> None:
        """Decide in one step."""
        refused = set()
        for task in list(self.world.waiting.values())[:LOOK_AHEAD]:
            # Equal tasks get the same answer within a step.
            shape = (task.family, task.spec.resources)
            if shape in refused:
                continue
            amount = self.size(task)
            host = self.choose(task, amount)
            if host is None:
                refused.add(shape)
                continue
            self.world.start(task, host, amount)
            self.started(task, host, amount)

    def size(self, task: shared_hosts.BatchTask) -> resources.Resources:
        """Return what to commit to a task."""
        return task.spec.resources

    def choose(
        self, task: shared_hosts.BatchTask, amount: resources.Resources
    ) -> ids.HostId | None:
        """Return a host with room, or None."""
        raise NotImplementedError

    def started(
        self,
        task: shared_hosts.BatchTask,
        host: ids.HostId,
        amount: resources.Resources,
    ) -> None:
        """Note a start."""

    def ended(self, finished: list[ids.TaskId]) -> None:
        """Note tasks that finished."""

    def with_room(
        self, amount: resources.Resources
    ) -> collections.abc.Iterator[ids.HostId]:
        """Iterate over the hosts that have room."""
        for host in self.world.hosts:
            if amount.fits(self.world.ledger.hosts[host].free):
                yield host


class FirstFit(Policy):
    """The first host with room."""

    def choose(self, task, amount):
        return next(self.with_room(amount), None)


class LeastCommitted(Policy):
    """The host with the most room."""

    def choose(self, task, amount):
        accounts = self.world.ledger.hosts
        return max(
            self.with_room(amount),
            key=lambda host: accounts[host].free.millicores,
            default=None,
        )


class RandomTwo(Policy):
    """The emptier one of two random hosts with room."""

    def __init__(self, world):
        super().__init__(world)
        self.random = random.Random(7)

    def choose(self, task, amount):
        found = list(self.with_room(amount))
        if not found:
            return None
        accounts = self.world.ledger.hosts
        pair = self.random.sample(found, min(2, len(found)))
        return max(pair, key=lambda host: accounts[host].free.millicores)


class ExactOracle(Policy):
    """Knows sizes and interference, and evicts as soon as it is too much."""

    def act(self):
        for host in self.world.services:
            while self._latency(host) > self._limit(host):
                tasks = self.world.by_host[host].values()
                if not tasks:
                    break
                worst = max(tasks, key=lambda t: self.world.excess_by(host, t))
                self.world.evict(worst.spec.task)
        super().act()

    def size(self, task):
        return _scaled(task.spec.resources, task.true_size)

    def choose(self, task, amount):
        best = None
        for host in self.with_room(amount):
            added = 0.0
            if host in self.world.services:
                added = self.world.excess_by(host, task)
                limit = self._limit(host) * ORACLE_MARGIN
                if self._latency(host, added) > limit:
                    continue
            free = self.world.ledger.hosts[host].free.millicores
            rank = (added, free)
            if best is None or rank < best[0]:
                best = (rank, host)
        return None if best is None else best[1]

    def _latency(self, host, added=0.0):
        alone = self.world.latency_alone(host)
        return alone * (1.0 + self.world.excess(host) + added)

    def _limit(self, host):
        return shared_hosts.TARGET.total_seconds()


class Oracle(ExactOracle):
    """Commits what the size rule gives for the true use, headroom included.

    The rule is the design page's and not a matter of knowledge, so this is
    the oracle that the targets refer to.
    """

    def size(self, task):
        share = max(sizing.MIN_SIZE_RATIO, task.true_size * sizing.HEADROOM)
        return _scaled(task.spec.resources, share)


class Learned(Policy):
    """The product's own decisions."""

    def __init__(self, world):
        super().__init__(world)
        self.weights = world.scenario.weights
        self.random = random.Random(7)
        for host in world.hosts:
            world.ledger.usable.add(host)
        self.colocation = colocation.Colocation()
        services = {
            f"s{number}": site.Service(
                service=ids.ServiceId(f"s{number}"),
                team=ids.TeamId("t"),
                replicas=1,
                resources=shared_hosts.SERVICE_SIZE,
                zones=(),
                latency_target=shared_hosts.TARGET,
            )
            for number in range(world.scenario.services)
        }
        self.colocation.configure(
            site.Configuration(weights=self.weights, services=services)
        )
        self.colocation.set_hosts(
            tuple(
                hosts.Host(
                    host=host,
                    address="",
                    zone=ids.ZoneId("z"),
                    rack=ids.RackId("r"),
                    capacity=shared_hosts.CAPACITY,
                    state=hosts.HostState.LIVE,
                )
                for host in world.hosts
            )
        )
        for host, spec in world.services.items():
            self.colocation.record_placement(
                spec,
                ids.Attempt(1),
                host,
                spec.resources,
                resumed=False,
                now=self.now(),
            )

    def now(self) -> datetime.timedelta:
        """Return the time of the step."""
        return datetime.timedelta(seconds=self.world.now)

    def act(self):
        for host, usage in self.world.due().items():
            self.colocation.process_usage(host, tuple(usage), self.now())
        for decision in self.colocation.decide(self.now(), self._free):
            self._apply(decision)
        super().act()

    def size(self, task):
        return self.colocation.size(task.spec)

    def choose(self, task, amount):
        choice = placement.choose(
            need=amount,
            ledger=self.world.ledger,
            generator=self.random,
            preference=placement.Preference(
                weights=self.weights,
                penalty=functools.partial(
                    self.colocation.advise, task.spec, amount, now=self.now()
                ),
            ),
        )
        return choice.host if choice else None

    def started(self, task, host, amount):
        self.colocation.record_placement(
            task.spec,
            ids.Attempt(task.attempt),
            host,
            amount,
            resumed=task.attempt > 1,
            now=self.now(),
        )

    def ended(self, finished):
        for name in finished:
            tracked = self.colocation.tracker.tasks[name]
            self.colocation.record_end(
                name,
                tracked.attempt,
                colocation.Outcome.FINISHED,
                self.now(),
            )

    def _free(self, host):
        return self.world.ledger.hosts[host].free

    def _apply(self, decision):
        match decision:
            case decisions.Throttle():
                self.world.running[decision.task].share = decision.share
            case decisions.Evict():
                self.world.evict(decision.task, checkpoint=decision.checkpoint)
                self.colocation.record_end(
                    decision.task,
                    decision.attempt,
                    colocation.Outcome.STOPPED,
                    self.now(),
                )
            case decisions.Resize():
                ledger = self.world.ledger
                ledger.release(decision.host, decision.task)
                ledger.commit(decision.host, decision.task, decision.after)


def _scaled(amount: resources.Resources, share: float) -> resources.Resources:
    return resources.Resources(
        millicores=round(amount.millicores * share),
        memory_mib=round(amount.memory_mib * share),
    )
