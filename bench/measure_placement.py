"""Placement decisions: rate, time and growth with the number of workers.

A round covers the changes of 200 ms: tasks that ended, jobs that came, and the
decisions about what waits. The baseline is a first-fit scan in arrival order.
"""

import gc
import math
import time
import typing

from bench import placement_load
from bench import results
from turmerichook._internal.models import resources
from turmerichook._internal import outcomes
from turmerichook._internal.scheduling import placement
from turmerichook._internal.scheduling import preemption

SEED = 1
ROUNDS_PER_SECOND = 5
STARTS_PER_SECOND = 1_100
ZONES = 7
ZONE_WORKERS = 186
ALL_WORKERS = 1_300
GROWTH = (130, 1_300, 13_000)
ROUNDS = 1_000
GROWTH_ROUNDS = 60
GROWTH_FINISHES = 220
PREEMPTIONS = 300


class Timing(typing.NamedTuple):
    """Times of rounds in seconds, and the starts that they made."""

    rounds: list[float]
    starts: int

    def per_start(self) -> float:
        """Return microseconds for each start."""
        return sum(self.rounds) / self.starts * 1e6

    def percentile(self, share: float) -> float:
        """Return a percentile of the rounds in milliseconds."""
        ordered = sorted(self.rounds)
        place = min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)
        return ordered[place] * 1e3


def run() -> list[results.Result]:
    """Return all rows."""
    rows = _at_target("zone", ZONE_WORKERS, ZONES)
    rows += _at_target("all_zones", ALL_WORKERS, 1)
    rows += _growth()
    rows += _samples()
    rows += _preemption()
    rows += _log_line()
    return rows


def _at_target(name: str, count: int, zones: int) -> list[results.Result]:
    load = placement_load.Load(workers_count=count, seed=SEED)
    baseline = placement_load.FirstFit(load)
    finishes = STARTS_PER_SECOND // ROUNDS_PER_SECOND // zones
    tasks = load.tasks()
    own = _drive(load, ROUNDS, finishes)
    other = _drive(baseline, ROUNDS // 10, finishes)
    rate = [1e6 / timing.per_start() for timing in (own, other)]
    rows = [
        _row(f"{name}.running_tasks", tasks, "tasks"),
        _row(f"{name}.decisions_per_s", rate[0], "1/s", rate[1]),
        _row(
            f"{name}.core_share_at_target",
            STARTS_PER_SECOND / zones / rate[0],
            "cores",
            STARTS_PER_SECOND / zones / rate[1],
        ),
    ]
    for label, share in (("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)):
        rows.append(
            _row(
                f"{name}.round_{label}",
                own.percentile(share),
                "ms",
                other.percentile(share),
            )
        )
    return rows


def _growth() -> list[results.Result]:
    rows = []
    times = []
    for count in GROWTH:
        load = placement_load.Load(workers_count=count, seed=SEED)
        baseline = placement_load.FirstFit(load)
        # The same ends in each round, so that only the size differs.
        own = _drive(load, GROWTH_ROUNDS, GROWTH_FINISHES)
        other = _drive(baseline, GROWTH_ROUNDS // 10, GROWTH_FINISHES)
        times.append((own.per_start(), other.per_start()))
        rows.append(_row(f"growth.{count}.per_start", *_both(times[-1])))
    first, last = times[0], times[-1]
    size = math.log(GROWTH[-1] / GROWTH[0])
    exponents = [math.log(b / a) / size for a, b in zip(first, last)]
    # 1 is linear, 0 is independent of the number of workers.
    rows.append(_row("growth.exponent", exponents[0], "power", exponents[1]))
    return rows


def _samples() -> list[results.Result]:
    """Return cost and evenness of other numbers of compared hosts.

    The baseline compares all hosts with room.
    """
    rows = []
    chosen = placement.HOSTS_SAMPLED, placement._sample_fitting
    try:
        placement._sample_fitting = lambda index, need, *_: (
            placement._all_fitting(index, need)
        )
        baseline = _fill_partly()
        placement._sample_fitting = chosen[1]
        for samples in (1, 2, 4, 8, 16):
            placement.HOSTS_SAMPLED = samples
            spent, gap = _fill_partly()
            name = f"samples.{samples}"
            rows.append(_row(f"{name}.per_start", spent, "us", baseline[0]))
            rows.append(_row(f"{name}.gap", gap, "cores", baseline[1]))
    finally:
        placement.HOSTS_SAMPLED, placement._sample_fitting = chosen
    return rows


def _fill_partly() -> tuple[float, float]:
    """Place batch tasks up to two thirds of the zone.

    :returns: microseconds for each start, and the cores by which the fullest
        host exceeds the mean.
    """
    load = placement_load.Load(
        workers_count=ZONE_WORKERS, seed=SEED, empty=True
    )
    cores = placement_load.CAPACITY.millicores * ZONE_WORKERS
    asked = 0
    while asked < cores * 2 // 3:
        amount = load.submit().resources
        asked += amount.millicores * placement_load.TASKS_PER_JOB
    begin = time.perf_counter()
    starts = len(load.round().starts)
    spent = time.perf_counter() - begin
    used = [
        account.committed.millicores
        for account in load.zone.ledger.hosts.values()
    ]
    gap = max(used) - sum(used) / len(used)
    return spent / starts * 1e6, gap / 1000


def _preemption() -> list[results.Result]:
    load = placement_load.Load(workers_count=ZONE_WORKERS, seed=SEED)
    need = resources.Resources(millicores=4_000, memory_mib=8_192)
    times = []
    for _ in range(PREEMPTIONS):
        begin = time.perf_counter()
        found = preemption.find_victims(load.zone, need, load.now)
        times.append(time.perf_counter() - begin)
        if isinstance(found, outcomes.Absent):
            raise AssertionError("a full zone has batch tasks to stop")
    timing = Timing(rounds=times, starts=PREEMPTIONS)
    return [
        _row("preemption.p50", timing.percentile(0.5), "ms"),
        _row("preemption.p99", timing.percentile(0.99), "ms"),
    ]


def _log_line() -> list[results.Result]:
    load = placement_load.Load(workers_count=ZONE_WORKERS, seed=SEED)
    load.finish(200)
    placements = load.round().placements
    begin = time.perf_counter()
    size = sum(len(str(p.fields())) for p in placements)
    spent = time.perf_counter() - begin
    count = len(placements)
    return [
        _row("log_fields.time", spent / count * 1e6, "us"),
        _row("log_fields.size", size / count, "bytes"),
    ]


def _drive(
    load: placement_load.Load | placement_load.FirstFit,
    count: int,
    finishes: int,
) -> Timing:
    times = []
    starts = 0
    gc.collect()
    for _ in range(count):
        begin = time.perf_counter()
        load.finish(finishes)
        for _ in range(finishes // placement_load.TASKS_PER_JOB):
            load.submit()
        done = load.round()
        times.append(time.perf_counter() - begin)
        starts += done if isinstance(done, int) else len(done.starts)
    return Timing(rounds=times, starts=starts)


def _both(times: tuple[float, float]) -> tuple[float, str, float]:
    return times[0], "us", times[1]


def _row(
    name: str, value: float, unit: str, baseline: float | None = None
) -> results.Result:
    return results.Result(
        name=f"placement.{name}", value=value, unit=unit, baseline=baseline
    )
