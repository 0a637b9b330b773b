"""Property tests of the modules behind the co-location facade.

They cover sizes, escalation, budgets, quarantine and interference.
"""

import datetime

import hypothesis
from hypothesis import strategies

from turmerichook._internal.models import resources
from turmerichook._internal.scheduling import budgets
from turmerichook._internal.scheduling import health
from turmerichook._internal.scheduling import interference
from turmerichook._internal.scheduling import ladder
from turmerichook._internal.scheduling import sizing

FIXED = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=150
)
AMOUNTS = strategies.builds(
    resources.Resources,
    millicores=strategies.integers(0, 64_000),
    memory_mib=strategies.integers(0, 64_000),
)


def seconds(value: float) -> datetime.timedelta:
    """Return a time in seconds."""
    return datetime.timedelta(seconds=value)


class TestSizes:
    """Corrected sizes stay within their bounds."""

    @FIXED
    @hypothesis.given(
        declared=AMOUNTS,
        reports=strategies.lists(AMOUNTS, max_size=80),
        largest=AMOUNTS,
    )
    def test_new_attempt(self, declared, reports, largest):
        # Guards against a corrected size below half of the declared one, and
        # against a correction after which no host is large enough.
        sizes = sizing.Sizes()
        for used in reports:
            sizes.measured("c", declared, used)
        size = sizes.size("c", declared, largest)
        assert size.accelerators == declared.accelerators
        for name in ("millicores", "memory_mib"):
            before = getattr(declared, name)
            after = getattr(size, name)
            assert 0.5 * before <= after <= sizing.MAX_SIZE_RATIO * before
            assert after <= max(before, getattr(largest, name))
            if len(reports) < sizing.SAMPLES_TO_SHRINK:
                assert after >= before

    @FIXED
    @hypothesis.given(
        declared=AMOUNTS,
        committed=AMOUNTS,
        free=strategies.builds(
            resources.Resources,
            millicores=strategies.integers(-9_000, 64_000),
            memory_mib=strategies.integers(-9_000, 64_000),
        ),
        reports=strategies.lists(AMOUNTS, max_size=10),
    )
    def test_running_attempt(self, declared, committed, free, reports):
        # Guards against raising a commitment by more than the host has
        # free, and against reducing the commitment of a running task.
        usage = sizing.attempt_usage()
        for used in reports:
            usage.add(declared, used)
        found = sizing.correct(
            declared=declared, committed=committed, free=free, usage=usage
        )
        if isinstance(found, sizing.Grow):
            growth = found.amount.minus(committed)
            room = resources.Resources(
                millicores=max(0, free.millicores),
                memory_mib=max(0, free.memory_mib),
            )
            assert growth.fits(room)
            assert committed.fits(found.amount)
        if len(reports) < sizing.SAMPLES_TO_GROW:
            assert found == sizing.Keep()

    def test_size_shrinks_to_measured_use(self):
        # Guards against sizes that are never reduced although the reported
        # use is below the declared amount.
        declared = resources.Resources(millicores=1000, memory_mib=1000)
        used = resources.Resources(millicores=600, memory_mib=100)
        sizes = sizing.Sizes()
        for _ in range(sizing.SAMPLES_TO_SHRINK):
            sizes.measured("c", declared, used)
        size = sizes.size("c", declared, declared)
        assert (size.millicores, size.memory_mib) == (720, 500)

    def test_number_of_class_records_is_bounded(self):
        # Guards against unbounded memory: a day brings 14,000 jobs, and each
        # might be a class with its own record.
        sizes = sizing.Sizes()
        amount = resources.Resources(millicores=1)
        for number in range(3 * sizing.MAX_CLASSES):
            sizes.measured(str(number), amount, amount)
        assert len(sizes.records) == sizing.MAX_CLASSES


class TestLadder:
    """Escalation changes one step at a time and with hysteresis."""

    @FIXED
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 10.0),
                strategies.integers(0, 8),
                strategies.integers(0, 12),
            ),
            max_size=80,
        )
    )
    def test_never_skips(self, reports):
        # Guards against skipped steps, two steps up within the dwell time,
        # a step down right after a step up, and a step that is based on
        # latencies measured before the previous step.
        escalation = ladder.Escalation(since=seconds(0))
        now = 0
        ratios = []
        for ratio, pause, age in reports:
            now += pause
            before = escalation.step
            since = escalation.since
            measured = seconds(now - age)
            fresh = measured >= since or before is ladder.Step.NONE
            if fresh:
                ratios.append(ratio)
            transition = ladder.observe(
                escalation, ratio=ratio, measured=measured, now=seconds(now)
            )
            if transition is None:
                assert escalation.step is before
                continue
            assert fresh
            assert abs(transition.step - before) <= 1
            if transition.step < before:
                assert (
                    seconds(now) - since >= ladder.MIN_DWELL_BEFORE_STEP_DOWN
                )
                newest = ratios[-ladder.RECOVERED_REPORTS_TO_STEP_DOWN :]
                assert max(newest) < ladder.RECOVERED_RATIO
                assert len(newest) == ladder.RECOVERED_REPORTS_TO_STEP_DOWN
            else:
                assert seconds(now) - since >= ladder.MIN_DWELL_BEFORE_STEP_UP
                newest = ratios[-ladder.SLOW_REPORTS_TO_STEP_UP :]
                assert min(newest) > ladder.SLOW_RATIO
                assert len(newest) == ladder.SLOW_REPORTS_TO_STEP_UP
            ratios.clear()


class TestBudgets:
    """Evictions stay within the budgets of the zone and of the job."""

    @FIXED
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 4), strategies.integers(0, 40)
            ),
            max_size=300,
        ),
        strategies.integers(0, 400),
    )
    def test_any_wave(self, requests, running):
        # Guards against a time window that has more evictions than the zone's
        # or the job's limit, for any sequence of requests.
        budget = budgets.EvictionBudget()
        granted = []
        now = 0
        for job, pause in requests:
            now += pause
            if budget.try_consume(str(job), seconds(now), running):
                granted.append((now, job))
        zone = budgets.ZONE_WINDOW.total_seconds()
        window = budgets.JOB_WINDOW.total_seconds()
        for time, job in granted:
            near = [t for t, _ in granted if time <= t < time + zone]
            assert len(near) <= budgets.zone_limit(running)
            own = [
                t for t, j in granted if j == job and time <= t < time + window
            ]
            assert len(own) <= budgets.JOB_MAX_EVICTIONS


class TestHealth:
    """Hosts that fail tasks are quarantined, and others are not."""

    @FIXED
    @hypothesis.given(
        strategies.integers(1, 30),
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 29),
                strategies.integers(0, 60),
                strategies.booleans(),
            ),
            max_size=400,
        ),
    )
    def test_cap_holds(self, hosts, attempts):
        # Guards against a zone without usable hosts after failures on many
        # hosts, and against a second probe of a host.
        records = health.Health()
        records.set_hosts({str(number) for number in range(hosts)})
        for number, (host, job, good) in enumerate(attempts):
            name = str(host % hosts)
            now = seconds(number)
            probing = records.hosts[name].probe
            if not records.may_start(name, now, probe=True):
                continue
            records.started(name, str(number))
            if records.hosts[name].quarantined:
                assert probing is None
            if good:
                records.succeeded(name, str(number), str(job))
            else:
                records.failed(
                    name, str(number), str(job), ran=seconds(1), now=now
                )
            assert records.in_quarantine() <= records.quarantine_limit()
            assert records.in_quarantine() < hosts

    @FIXED
    @hypothesis.given(strategies.integers(5, 40))
    def test_failing_job_blames_no_host(self, failures):
        # Guards against quarantined hosts because of one job that fails on
        # every host.
        records = health.Health()
        records.set_hosts({str(number) for number in range(4)})
        for number in range(failures):
            change = records.failed(
                str(number % 4), "t", "bad", ran=seconds(1), now=seconds(1)
            )
            assert change is None
        assert records.job_at_fault("bad")

    def test_several_jobs_at_fault_on_one_sound_host(self):
        # Guards against the quarantine of a sound host on which several
        # jobs at fault ran: each of them has failed on other hosts too.
        records = health.Health()
        records.set_hosts({str(number) for number in range(40)})
        for job in range(12):
            for host in (job + 1, job + 2, 0):
                change = records.failed(
                    str(host), "t", str(job), ran=seconds(1), now=seconds(job)
                )
                assert change is None

    def test_suspected_host_is_reported_once(self):
        # Guards against an error line for each failure on a host that stays
        # in use because the limit on hosts in quarantine is reached.
        records = health.Health()
        records.set_hosts({"0", "1"})
        reported = []
        for number in range(20):
            change = records.failed(
                str(number % 2),
                "t",
                str(number),
                ran=seconds(1),
                now=seconds(number),
            )
            reported.append(type(change))
        assert reported.count(health.Quarantined) == 1
        assert reported.count(health.Suspected) == 1

    def test_host_returns_after_successful_probes(self):
        # Guards against a host that stays in quarantine although its probes
        # succeed, and against a second probe while one is running.
        records = health.Health()
        records.set_hosts({str(number) for number in range(20)})
        for job in range(health.FAILED_JOBS_FOR_QUARANTINE):
            change = records.failed(
                "0", "t", str(job), ran=seconds(1), now=seconds(0)
            )
        assert isinstance(change, health.Quarantined)
        # Failures of tasks that were started before the quarantine must not
        # delay the first probe.
        for job in range(10):
            records.failed(
                "0", "t", f"late-{job}", ran=seconds(1), now=seconds(0)
            )
        later = health.PROBE_INTERVAL
        for number in range(health.PROBE_SUCCESSES_TO_RETURN):
            assert records.may_start("0", later, probe=True)
            assert not records.may_start("0", later, probe=False)
            records.started("0", str(number))
            assert not records.may_start("0", later, probe=True)
            change = records.succeeded("0", str(number), "j")
        assert change == health.Returned(host="0")
        assert records.may_start("0", later, probe=False)


class TestInterference:
    """The model learns coefficients, which stay bounded."""

    def test_slowdown_is_attributed_to_its_cause(self):
        # Guards against attributing a slowdown to a harmless class that runs
        # beside the class that causes the slowdown.
        model = interference.Interference()
        for number in range(200):
            noisy = number % 3 * 0.1
            calm = number % 2 * 0.2
            model.observe(
                service="s",
                load=0.5,
                latency=0.01 * 2.718 ** (2.0 * noisy),
                neighbours={"noisy": noisy, "calm": calm},
                measured=float(number),
                now=number + 5.0,
            )
        now = 200.0
        found = model.slowdown("s", {"noisy": 0.2}, now)
        assert abs(found.mean - 0.4) < 0.1
        assert abs(model.slowdown("s", {"calm": 0.2}, now).mean) < 0.05
        assert model.is_unknown("s", "other", now)
        # The variance grows with the age of the last observation.
        later = model.slowdown("s", {"noisy": 0.2}, now + 7200)
        assert later.deviation > found.deviation

    def test_extreme_pair_is_learned_soon(self):
        # Guards against a class that is placed and evicted again and again
        # because a slowdown far above the prior takes too many reports to
        # learn.
        model = interference.Interference()
        for number in range(8):
            share = 0.1 * (number % 2)
            model.observe(
                service="s",
                load=0.5,
                latency=0.01 * 2.718 ** (10.0 * share),
                neighbours={"noisy": share},
                measured=float(number),
                now=number + 1.0,
            )
        found = model.slowdown("s", {"noisy": 0.1}, 8.0)
        assert 0.6 < found.mean < 1.2

    @FIXED
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0, 1e3),
                strategies.floats(0, 1.0),
                strategies.floats(0, 1e4),
                strategies.floats(0, 2.0),
            ),
            max_size=60,
        )
    )
    def test_stays_finite(self, reports):
        # Guards against a negative variance or an infinite coefficient
        # after extreme or late reports.
        model = interference.Interference()
        for latency, share, measured, load in reports:
            model.observe(
                service="s",
                load=load,
                latency=latency,
                neighbours={"b": share},
                measured=measured,
                now=measured + 10.0,
            )
        found = model.slowdown("s", {"b": 1.0}, 1e4)
        assert abs(found.mean) < 1e3
        # The prediction is that of one coefficient at a share of one.
        assert 0.0 <= found.deviation**2 <= interference.MAX_VARIANCE
