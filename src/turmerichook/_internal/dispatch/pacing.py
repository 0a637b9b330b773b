"""Pace of filler tasks beside tasks that have a latency target.

Each reading of a tail teaches the interference model. While a tail is near or
over its target, the fillers that are blamed most are slowed down first; once
all tails are predicted to stay well below, they go faster again.
"""

import collections
import collections.abc
import datetime

from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import interference
from turmerichook._internal.models import ids

# Pressure below that of the latency target at which fillers are slowed down,
# the one aimed at then, and the one up to which they may go faster.
SLOW_DOWN_MARGIN = -0.03
AIM_MARGIN = 0.0
SPEED_UP_MARGIN = 0.0
# A change of pace shows this much later.
REACTION_TIME = datetime.timedelta(0)
# Readings cover half a second, and a new pace takes a tenth to act.
SETTLE_TIME = datetime.timedelta(milliseconds=550)
# Time over the target after which the model is not trusted any more: first
# all fillers are halved, then stopped. A queue needs another second to drain,
# and the promise is 4 s.
HALVE_AFTER = datetime.timedelta(milliseconds=1100)
STOP_AFTER = datetime.timedelta(milliseconds=1800)
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
        if run.load is None:
            run.load = model.new_load(now)
        model.observe(
            image=run.step.image,
            load=run.load,
            tail=_tail(run),
            target=run.step.latency_target,
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
    if worst_ratio(worker) <= 1.0:
        worker.hot_since = None
    elif worker.hot_since is None:
        worker.hot_since = now
    if not fillers or now - worker.paced_at < SETTLE_TIME:
        return {}
    hot = fleet.ZERO if worker.hot_since is None else now - worker.hot_since
    excess = {
        run: _excess(run, model)
        for run in serving_runs(worker)
        if run.reading is not None and run.percent >= 100
    }
    over = any(e > -SLOW_DOWN_MARGIN for e in excess.values())
    # A tail that stays just over its target is not let stay there either.
    if over or hot >= HALVE_AFTER:
        paces = _slower(fillers, excess, hot, model)
    else:
        paces = _faster(fillers, excess, model)
    if paces:
        worker.paced_at = now
    return paces


def _slower(
    fillers: list[fleet.Run],
    excess: dict[fleet.Run, float],
    hot: datetime.timedelta,
    model: interference.Interference,
) -> Paces:
    """Slow the fillers down that press most on the tasks that are slow."""
    if hot >= STOP_AFTER:
        return {run: 0 for run in fillers if run.pace}
    if hot >= HALVE_AFTER:
        return {run: _floor(run.pace * HALF) for run in fillers if run.pace}
    paces: Paces = {}
    for serving, over in excess.items():
        if over <= -SLOW_DOWN_MARGIN:
            continue
        surplus = over + AIM_MARGIN
        blame = {
            run: model.coefficient(serving.step.image, run.step.image)
            * _cores(run)
            for run in fillers
            if run.pace
        }
        for run in sorted(blame, key=blame.__getitem__, reverse=True):
            if surplus <= 0.0 or blame[run] <= 0.0:
                break
            cut = min(blame[run], surplus)
            surplus -= cut
            pace = _floor(run.pace * (1.0 - cut / blame[run]))
            paces[run] = min(pace, paces.get(run, 100))
    return paces


def _faster(
    fillers: list[fleet.Run],
    excess: dict[fleet.Run, float],
    model: interference.Interference,
) -> Paces:
    """Let fillers go faster as far as no task is predicted to be slow."""
    paces: Paces = {}
    room = {
        serving: -SPEED_UP_MARGIN - over for serving, over in excess.items()
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


def _excess(run: fleet.Run, model: interference.Interference) -> float:
    """Return how far a task is over the pressure of its target, soon."""
    target = run.step.latency_target
    image = run.step.image
    limit = model.pressure(image, target, target)
    rise = 0.0
    if run.load is not None:
        rise = run.load.expected(REACTION_TIME) - run.load.estimate.mean
    return model.pressure(image, _tail(run), target) + rise - limit


def _tail(run: fleet.Run) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=run.reading)


def _floor(pace: float) -> int:
    return int(pace) if pace >= PACE_MIN_PERCENT else 0


def _ratio(run: fleet.Run) -> float:
    return _tail(run) / run.step.latency_target


def _cores(run: fleet.Run) -> float:
    return (run.reading or 0) / 1000
