"""Random interleavings of events, checked by an independent checker.

Guards against capacity, quotas, attempts or checkpoints that become wrong
after an unusual order of submissions, reports, host changes and takeovers.
"""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests.scheduling import driver
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal.providers import hosts
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import plan

HOSTS = ("h0", "h1", "h2", "h3")
PICK = strategies.integers(0, 1 << 16)


def amounts(cores: int) -> strategies.SearchStrategy:
    """Return a strategy for amounts of up to a number of cores."""
    return strategies.builds(
        resources.Resources,
        millicores=strategies.integers(1, cores).map(lambda n: n * 1000),
        memory_mib=strategies.integers(0, 8).map(lambda n: n * 500),
        accelerators=strategies.sampled_from((0,) * 9 + (1,)),
    )


class Interleavings(driver.Driver):
    """Events from an owner, workers and operators in any order."""

    @stateful.initialize()
    def start(self) -> None:
        self.fill()

    @stateful.rule()
    def fill(self) -> None:
        # Urgent tasks need preemption when batch tasks use all hosts.
        amount = resources.Resources(millicores=1_000, memory_mib=500)
        self.submit(
            amount,
            10,
            site.Urgency.NORMAL,
            workers.TaskKind.BATCH,
            "free",
        )
        self.decide(limit=20, seconds=1)
        self.run_all()

    @stateful.rule(cores=strategies.integers(1, 4), count=PICK)
    def submit_urgent(self, cores, count) -> None:
        amount = resources.Resources(millicores=cores * 1_000)
        self.submit(
            amount,
            1 + count % 2,
            site.Urgency.URGENT,
            workers.TaskKind.BATCH,
            "free",
        )
        self.decide(limit=20, seconds=0)

    @stateful.rule(
        amount=amounts(5),
        count=strategies.integers(1, 4),
        urgency=strategies.sampled_from(site.Urgency),
        kind=strategies.sampled_from(workers.TaskKind),
        team=strategies.sampled_from(("limited", "free", "free")),
    )
    def submit(self, amount, count, urgency, kind, team) -> None:
        self.number += 1
        prefix = "job" if kind is workers.TaskKind.BATCH else "service"
        work = plan.Workload(
            key=f"{prefix}/{self.number}",
            kind=kind,
            team=ids.TeamId(team),
            resources=amount,
            urgency=urgency,
            count=count,
        )
        self.checker.work[work.key] = work
        self.zone.submit(work, self.facts, self.now)

    @stateful.rule(pick=PICK)
    def withdraw(self, pick) -> None:
        keys = list(self.zone.groups)
        if keys:
            self.zone.withdraw(keys[pick % len(keys)], self.now)

    @stateful.rule(pick=PICK)
    def submit_again(self, pick) -> None:
        keys = list(self.checker.work)
        if keys:
            self.want(self.checker.work[keys[pick % len(keys)]])

    @stateful.rule(pick=PICK)
    def withdraw_and_submit_again(self, pick) -> None:
        # The tasks are still stopping when their workload returns.
        keys = [plan.split(sent.task)[0] for sent in self.sent]
        if keys:
            key = keys[pick % len(keys)]
            self.zone.withdraw(key, self.now)
            self.want(self.checker.work[key])
            self.decide(limit=20, seconds=0)

    def want(self, work) -> None:
        """Submit a workload that was submitted before."""
        if work.key not in self.zone.groups:
            self.forget_failures(work.key)
        self.zone.submit(work, self.facts, self.now)

    @stateful.rule(
        pick=PICK, counts=strategies.lists(strategies.integers(1, 6))
    )
    def resize_service(self, pick, counts) -> None:
        # Replicas are removed, and wanted again while they are stopping.
        keys = [k for k in self.zone.groups if k.startswith("service/")]
        for count in counts if keys else ():
            key = keys[pick % len(keys)]
            work = dataclasses.replace(self.checker.work[key], count=count)
            self.checker.work[key] = work
            self.zone.submit(work, self.facts, self.now)
            self.decide(limit=20, seconds=0)

    @stateful.rule(
        name=strategies.sampled_from(HOSTS),
        capacity=amounts(8),
        state=strategies.sampled_from(hosts.HostState),
    )
    def change_host(self, name, capacity, state) -> None:
        self.set_host(name, capacity, state)

    @stateful.rule(
        limit=strategies.integers(1, 10), seconds=strategies.integers(0, 4)
    )
    def decide(self, limit, seconds) -> None:
        self.next_round(limit, seconds)

    @stateful.rule(pick=PICK)
    def run(self, pick) -> None:
        sent = self.pick(pick)
        if sent is not None:
            self.zone.running(sent.task, sent.attempt, "", self.now)

    @stateful.rule()
    def run_all(self) -> None:
        for sent in self.sent:
            self.zone.running(sent.task, sent.attempt, "", self.now)

    @stateful.rule(pick=PICK)
    def finish(self, pick) -> None:
        sent = self.pick(pick)
        if sent is not None:
            entries = self.zone.ended(
                sent.task, sent.attempt, succeeded=True, now=self.now
            )
            self.record(entries)
            if entries and sent.task.startswith("service/"):
                self.checker.on_failure(sent.task, self.now)

    @stateful.rule(pick=PICK, checkpoint=strategies.booleans())
    def stopped(self, pick, checkpoint) -> None:
        asked = list(self.zone.stopping)
        sent = self.pick(pick)
        if asked and pick % 2:
            # Most ends are replies to a requested stop; others come without
            # a request.
            name = asked[pick % len(asked)]
            attempt = self.zone.tasks[name].attempt
            [sent] = [
                s for s in self.sent if (s.task, s.attempt) == (name, attempt)
            ]
        if sent is not None:
            saved = f"{sent.task}@{sent.attempt}" if checkpoint else None
            entries = self.zone.returned(
                sent.task, sent.attempt, checkpoint=saved, now=self.now
            )
            self.record(entries, saved)

    @stateful.rule(pick=PICK)
    def fail(self, pick) -> None:
        sent = self.pick(pick)
        if sent is not None:
            entries = self.zone.returned(
                sent.task,
                sent.attempt,
                checkpoint=None,
                now=self.now,
                failed=True,
            )
            self.record(entries)
            if entries:
                self.checker.on_failure(sent.task, self.now)

    @stateful.rule(name=strategies.sampled_from(HOSTS))
    def lose_host(self, name) -> None:
        host = ids.HostId(name)
        self.zone.usable.discard(host)
        for task in self.zone.on_host(host):
            attempt = self.zone.tasks[task].attempt
            self.record(
                self.zone.returned(
                    task, attempt, checkpoint=None, now=self.now
                )
            )

    @stateful.rule()
    def take_over(self) -> None:
        # The journal does not contain the amounts of tasks that are no
        # longer wanted, so a new owner could not count such attempts; no
        # takeover happens while there is one.
        for name, history in self.checker.histories.items():
            key, number = plan.split(name)
            group = self.zone.groups.get(key)
            wanted = group is not None and number < group.work.count
            if history.host is not None and not wanted:
                return
        former = self.zone
        self.zone = self.new_zone()
        self.zone.set_hosts(tuple(self.listing.values()))
        for host in sorted(former.usable):
            self.zone.usable.add(host)
        for group in former.groups.values():
            self.zone.submit(group.work, self.facts, self.now)
        for key in self.checker.work:
            self.forget_failures(key)


Interleavings.TestCase.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=200,
    stateful_step_count=50,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestInterleavings = Interleavings.TestCase
