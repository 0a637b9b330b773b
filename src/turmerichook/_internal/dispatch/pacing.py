"""Pace of filler tasks beside tasks that have a latency target.

Each reading of a tail teaches the interference model. While a tail is near or
over its target, the fillers that are blamed most are slowed down first; once
all tails are predicted to stay well below, they go faster again.
"""

import collections
import collections.abc
import datetime
import math

from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import interference
from turmerichook._internal.models import ids

# Tail latency in units of its target above which fillers are slowed down,
# the one aimed at then, and the one up to which they may go faster.
SLOW_DOWN_RATIO = 0.95
AIM_RATIO = 0.75
SPEED_UP_RATIO = 0.8
# Readings cover half a second, and a new pace takes a tenth to act.
SETTLE_TIME = datetime.timedelta(milliseconds=550)
# Readings over the target in a row after which the model is not trusted any more: first
# all fillers are halved, then stopped.
HALVE_AFTER = 2
STOP_AFTER = 3
STEP_PERCENT = 25
PACE_MIN_PERCENT = 5
HALF = 0.5

Paces = dict[fleet.Run, int]


def learn(
    worker: fleet.Worker,
    model: interference.Interference,
    now: datetime.timedelta,
) -> None:
    """Teach the model what a worker's report has shown."""
    neighbours = used_cores(worker)
    for run in serving_runs(worker):
        if run.reading is None or run.percent < 100:
            continue
        if run.base is None:
            run.base = model.new_base(now)
        model.observe(
            image=run.step.image,
            base=run.base,
            ratio=_ratio(run),
            neighbours=neighbours,
            now=now,
        )


def serving_runs(
    worker: fleet.Worker,
) -> collections.abc.Iterator[fleet.Run]:
    """Return the runs that have a latency target."""
    return (run for run in worker.runs.values() if run.step.latency_target)


def used_cores(worker: fleet.Worker) -> dict[ids.ImageId, float]:
    """Return the cores that fillers were measured to use, by image."""
    cores: dict[ids.ImageId, float] = collections.defaultdict(float)
    for run in worker.runs.values():
        if run.step.filler and run.reading:
            cores[run.step.image] += _cores(run)
    return cores


def worst_ratio(worker: fleet.Worker) -> float:
    """Return the highest tail latency in units of its target."""
    return max(
        (_ratio(r) for r in serving_runs(worker) if r.reading is not None),
        default=0.0,
    )


def next_paces(
    worker: fleet.Worker,
    model: interference.Interference,
    now: datetime.timedelta,
) -> Paces:
    """Return the fillers whose pace changes, with their new one."""
    fillers = [
        run
        for run in worker.runs.values()
        if run.step.filler and run.phase is fleet.RunPhase.RUNNING
    ]
    if not fillers:
        worker.hot_readings = 0
        return {}
    if now - worker.paced_at < SETTLE_TIME:
        return {}
    ratio = worst_ratio(worker)
    worker.hot_readings = worker.hot_readings + 1 if ratio > 1.0 else 0
    if ratio > SLOW_DOWN_RATIO:
        paces = _slower(worker, fillers, model)
    else:
        paces = _faster(worker, fillers, model)
    if paces:
        worker.paced_at = now
    return paces


def _slower(
    worker: fleet.Worker,
    fillers: list[fleet.Run],
    model: interference.Interference,
) -> Paces:
    if worker.hot_readings >= STOP_AFTER:
        return {run: 0 for run in fillers if run.pace}
    if worker.hot_readings >= HALVE_AFTER:
        return {run: _floor(run.pace * HALF) for run in fillers if run.pace}
    paces: Paces = {}
    for serving in serving_runs(worker):
        if serving.reading is None or _ratio(serving) <= SLOW_DOWN_RATIO:
            continue
        excess = math.log(_ratio(serving) / AIM_RATIO)
        blame = {
            run: model.coefficient(serving.step.image, run.step.image)
            * _cores(run)
            for run in fillers
            if run.pace
        }
        for run in sorted(blame, key=blame.__getitem__, reverse=True):
            if excess <= 0.0 or blame[run] <= 0.0:
                break
            cut = min(blame[run], excess)
            excess -= cut
            pace = _floor(run.pace * (1.0 - cut / blame[run]))
            paces[run] = min(pace, paces.get(run, 100))
    return paces


def _faster(
    worker: fleet.Worker,
    fillers: list[fleet.Run],
    model: interference.Interference,
) -> Paces:
    paces: Paces = {}
    room = {
        serving: math.log(SPEED_UP_RATIO / max(_ratio(serving), 0.01))
        for serving in serving_runs(worker)
        if serving.reading is not None
    }
    slowed = [run for run in fillers if run.pace < 100]
    for run in sorted(slowed, key=lambda r: r.pace, reverse=True):
        pace = min(100, run.pace + STEP_PERCENT)
        more = run.step.demand.millicores / 1000 * (pace - run.pace) / 100
        effects = {
            serving: more
            * model.coefficient(serving.step.image, run.step.image)
            for serving in room
        }
        if all(effects[serving] <= room[serving] for serving in room):
            paces[run] = pace
            for serving, effect in effects.items():
                room[serving] -= effect
    return paces


def _floor(pace: float) -> int:
    return int(pace) if pace >= PACE_MIN_PERCENT else 0


def _ratio(run: fleet.Run) -> float:
    tail = datetime.timedelta(milliseconds=run.reading)
    return tail / run.step.latency_target


def _cores(run: fleet.Run) -> float:
    return (run.reading or 0) / 1000
