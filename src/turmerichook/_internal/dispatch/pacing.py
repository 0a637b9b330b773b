"""Pace of filler tasks beside tasks that have a latency target.

Each reading of a tail teaches the interference model. Fillers are slowed down,
those that cost the serving tasks most first, until each is worth what it costs
them, and go faster again once that is so with a margin.
"""

import collections
import collections.abc
import datetime

from turmerichook._internal.dispatch import decisions
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import interference
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids

# Error of a pressure that is predicted for the next half second.
PACE_SPREAD = 0.03
# Cost to serving tasks, in units of a filler's own worth, above which it is
# slowed down, and below which it may go faster.
SLOW_DOWN_COST = 1.0
SPEED_UP_COST = 0.7
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


def relieve(
    worker: fleet.Worker,
    model: interference.Interference,
    now: datetime.timedelta,
) -> list[decisions.PaceOrder]:
    """Pace the fillers of a worker by the tail latency of its services."""
    learn(worker, model, now)
    paces = next_paces(worker, model, now)
    if not paces:
        return []
    logs.emit(
        events.DispatchEvent.FILLER_PACED,
        worker=worker.worker,
        ratio=round(worst_ratio(worker), 2),
        fillers=len(paces),
        slowest=min(paces.values()),
        fastest=max(paces.values()),
    )
    for run, pace in paces.items():
        run.pace = pace
    return [
        decisions.PaceOrder(worker=worker.worker, run=run, percent=pace)
        for run, pace in paces.items()
    ]


def learn(
    worker: fleet.Worker,
    model: interference.Interference,
    now: datetime.timedelta,
) -> None:
    """Teach the model what a worker's report has shown."""
    told = [
        run
        for run in worker.serving()
        if run.reading is not None and run.percent >= 100
    ]
    neighbours = used_cores(worker) if told else {}
    for run in told:
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


def used_cores(worker: fleet.Worker) -> dict[ids.ImageId, float]:
    """Return the cores that fillers were measured to use, by image."""
    cores: dict[ids.ImageId, float] = collections.defaultdict(float)
    for run in worker.fillers():
        if run.reading:
            cores[run.step.image] += run.reading / 1000
    return cores


def worst_ratio(worker: fleet.Worker) -> float:
    """Return the highest tail latency in units of its target."""
    return max(
        (_ratio(r) for r in worker.serving() if r.reading is not None),
        default=0.0,
    )


def next_paces(
    worker: fleet.Worker,
    model: interference.Interference,
    now: datetime.timedelta,
) -> Paces:
    """Return the fillers whose pace changes, with their new one."""
    fillers = [
        run for run in worker.fillers() if run.phase is fleet.RunPhase.RUNNING
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
        for run in worker.serving()
        if run.reading is not None and run.percent >= 100
    }
    if hot >= STOP_AFTER:
        paces = {run: 0 for run in fillers if run.pace}
    elif hot >= HALVE_AFTER:
        # The model did not see it coming, so that all fillers are suspected.
        paces = {run: _floor(run.pace * HALF) for run in fillers if run.pace}
    else:
        paces = _balanced(fillers, excess, model)
    if paces:
        worker.paced_at = now
    return paces


def _balanced(
    fillers: list[fleet.Run],
    excess: dict[fleet.Run, float],
    model: interference.Interference,
) -> Paces:
    """Choose paces at which fillers are worth what they cost others."""
    if not excess and all(run.pace == 100 for run in fillers):
        # There is nobody to slow down for, and nobody to speed up.
        return {}
    paces = {run: run.pace for run in fillers}
    prices = {
        serving: interference.marginal_cost(over, PACE_SPREAD)
        for serving, over in excess.items()
    }

    def cost(filler: fleet.Run) -> float:
        return sum(
            model.coefficient(serving.step.image, filler.step.image) * price
            for serving, price in prices.items()
        )

    def change(filler: fleet.Run, pace: int) -> None:
        cores = filler.full_use / 1000 * (pace - paces[filler]) / 100
        paces[filler] = pace
        for serving in excess:
            excess[serving] += cores * model.coefficient(
                serving.step.image, filler.step.image
            )
            prices[serving] = interference.marginal_cost(
                excess[serving], PACE_SPREAD
            )

    for filler in sorted(fillers, key=cost, reverse=True):
        while paces[filler] and cost(filler) > SLOW_DOWN_COST:
            change(filler, max(0, paces[filler] - STEP_PERCENT))
    for filler in sorted(fillers, key=cost):
        if paces[filler] < 100 and paces[filler] >= filler.pace:
            before = paces[filler]
            change(filler, min(100, before + STEP_PERCENT))
            if cost(filler) > SPEED_UP_COST:
                change(filler, before)
    return {run: pace for run, pace in paces.items() if pace != run.pace}


def _excess(run: fleet.Run, model: interference.Interference) -> float:
    """Return how far a task is over the pressure of its target."""
    target = run.step.latency_target
    image = run.step.image
    limit = model.pressure(image, target, target)
    return model.pressure(image, _tail(run), target) - limit


def _tail(run: fleet.Run) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=run.reading)


def _floor(pace: float) -> int:
    return int(pace) if pace >= PACE_MIN_PERCENT else 0


def _ratio(run: fleet.Run) -> float:
    return _tail(run) / run.step.latency_target
