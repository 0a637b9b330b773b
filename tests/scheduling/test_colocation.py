"""Property tests of the co-location facade against a separate ledger."""

import collections
import datetime

import hypothesis
from hypothesis import strategies

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.providers import hosts
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import budgets
from turmerichook._internal.scheduling import colocation
from turmerichook._internal.scheduling import ladder
from turmerichook._internal.scheduling import ledger as ledgers
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import sharing_decisions as decisions

CAPACITY = resources.Resources(millicores=8000, memory_mib=8000)
SIZE = resources.Resources(millicores=1000, memory_mib=1000)
NAMES = ("h0", "h1", "h2")


def seconds(value: float) -> datetime.timedelta:
    """Return a time in seconds."""
    return datetime.timedelta(seconds=value)


def spec_of(task: str) -> plan.TaskSpec:
    """Return the specification of a task of the fixed size ``SIZE``."""
    batch = task.startswith("job/")
    kind = workers.TaskKind.BATCH if batch else workers.TaskKind.SERVICE
    return plan.TaskSpec(
        task=ids.TaskId(task),
        kind=kind,
        team=ids.TeamId("t"),
        resources=SIZE,
        urgency=site.Urgency.URGENT,
        run_time=seconds(60),
    )


class Zone:
    """A zone with a service on each host, batch jobs and its own ledger."""

    def __init__(self):
        self.subject = colocation.Colocation()
        self.ledger = ledgers.Ledger()
        self.steps = dict.fromkeys(NAMES, ladder.Step.NONE)
        self.evictions: list[tuple[int, str]] = []
        self.attempts: collections.Counter[str] = collections.Counter()
        service = site.Service(
            service=ids.ServiceId("s"),
            team=ids.TeamId("t"),
            replicas=3,
            resources=SIZE,
            zones=(),
            latency_target=seconds(0.01),
        )
        self.subject.configure(site.Configuration(services={"s": service}))
        self.subject.set_hosts(
            tuple(
                hosts.Host(
                    host=ids.HostId(name),
                    address="",
                    zone=ids.ZoneId("z"),
                    rack=ids.RackId("r"),
                    capacity=CAPACITY,
                    state=hosts.HostState.LIVE,
                )
                for name in NAMES
            )
        )
        for number, name in enumerate(NAMES):
            self.ledger.set_capacity(name, CAPACITY)
            self.start(f"service/s/z/{number}", name, 0)

    def start(self, task: str, host: str, now: int) -> None:
        """Start a task if the host has the resources and advice allows it."""
        spec = spec_of(task)
        amount = self.subject.size(spec)
        if not amount.fits(self.ledger.hosts[host].free):
            return
        advice = self.subject.advise(spec, amount, host, seconds(now))
        if isinstance(advice, outcomes.Absent):
            return
        assert advice >= 0.0
        self.ledger.commit(host, task, amount)
        self.attempts[task] += 1
        self.subject.record_placement(
            spec,
            self.attempts[task],
            host,
            amount,
            resumed=False,
            now=seconds(now),
        )

    def end(self, task: str, outcome: colocation.Outcome, now: int) -> None:
        """End the current attempt of a task."""
        tracked = self.subject.tracker.tasks[task]
        self.ledger.release(tracked.host, task)
        self.subject.record_end(task, tracked.attempt, outcome, seconds(now))

    def report(self, host: str, latency: float, used: int, now: int) -> None:
        """Report the same use and latency for all tasks of a host."""
        usage = tuple(
            workers.TaskUsage(
                task=task,
                attempt=self.attempts[task],
                used=resources.Resources(millicores=used, memory_mib=used),
                age=seconds(1),
                latency=seconds(latency),
            )
            for task in self.ledger.hosts[host].tasks
        )
        self.subject.process_usage(host, usage, seconds(now))

    def decide(self, now: int) -> None:
        """Apply the decisions; the ledger refuses an excess commitment."""
        found = self.subject.decide(
            seconds(now), lambda host: self.ledger.hosts[host].free
        )
        for decision in found:
            match decision:
                case decisions.Resize():
                    self.ledger.release(decision.host, decision.task)
                    self.ledger.commit(
                        decision.host, decision.task, decision.after
                    )
                case decisions.Evict():
                    assert decision.task.startswith("job/")
                    assert not decision.again
                    job = plan.job_of(decision.task)
                    self.evictions.append((now, job))
                    self.end(decision.task, colocation.Outcome.STOPPED, now)
                case decisions.StepChanged():
                    assert decision.before is self.steps[decision.host]
                    assert abs(decision.step - decision.before) == 1
                    self.steps[decision.host] = decision.step


ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("start", "fail", "finish", "report")),
        strategies.integers(0, 2),
        strategies.integers(0, 5),
        strategies.integers(0, 5000),
        strategies.floats(0.001, 0.05),
    ),
    max_size=150,
)


class TestColocation:
    """The facade keeps its limits under any order of events."""

    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=80
    )
    @hypothesis.given(ACTIONS)
    def test_promises(self, actions):
        # Guards against commitments above a host's capacity, more evictions
        # than the budgets allow, evicted services and skipped escalation
        # steps, under random starts, ends and usage reports.
        zone = Zone()
        now = 0
        for action, number, job, used, latency in actions:
            now += 3
            host = NAMES[number]
            task = f"job/{'abcdef'[job]}/{number}"
            running = task in zone.subject.tracker.tasks
            if action == "start" and not running:
                zone.start(task, host, now)
            elif action == "fail" and running:
                zone.end(task, colocation.Outcome.FAILED, now)
            elif action == "finish" and running:
                zone.end(task, colocation.Outcome.FINISHED, now)
            elif action == "report":
                zone.report(host, latency, used, now)
            zone.decide(now)
            for account in zone.ledger.hosts.values():
                assert account.committed.fits(account.capacity)
        for time, _ in zone.evictions:
            near = [t for t, _ in zone.evictions if time <= t < time + 60]
            assert len(near) <= budgets.ZONE_MIN_EVICTIONS
        count = collections.Counter(job for _, job in zone.evictions)
        if now < budgets.JOB_WINDOW.total_seconds():
            assert max(count.values(), default=0) <= budgets.JOB_MAX_EVICTIONS

    def test_host_steps_down_after_eviction(self):
        # Guards against a host whose escalation step stays up after the batch
        # task that slowed the service has been evicted.
        zone = Zone()
        now = 0
        noisy = 0
        for _ in range(60):
            now += 5
            tasks = zone.subject.tracker.hosts["h0"].batch
            noisy = max(noisy, len(tasks))
            zone.report("h0", 0.004 * (1 + 3 * len(tasks)), 900, now)
            zone.decide(now)
            if now == 10:
                zone.start("job/a/0", "h0", now)
        assert noisy == 1
        assert zone.evictions
        assert zone.steps["h0"] is ladder.Step.NONE
        # A class with a large learned slowdown is not placed there again.
        spec = spec_of("job/a/7")
        advice = zone.subject.advise(spec, SIZE, "h0", seconds(now))
        assert advice == outcomes.Absent(
            reason=outcomes.Reason.SERVICE_AT_RISK
        )

    def test_service_without_latency_does_not_block_batch(self):
        # Guards against batch tasks that are refused on a host for ever
        # because its service, without calls, never reports a latency.
        zone = Zone()
        refused = zone.subject.advise(
            spec_of("job/a/0"), SIZE, "h0", seconds(1)
        )
        assert isinstance(refused, outcomes.Absent)
        zone.start("job/a/0", "h0", 90)
        assert "job/a/0" in zone.subject.tracker.tasks
