"""Control of the pace of filler tasks that share a worker with serving tasks.

Serving tasks are those with a latency target. Each reading of their tail
latency updates the interference model. Fillers are slowed down, those with the
highest cost to the serving tasks first, until the cost of each is no higher
than the value of its own work. They are sped up again once their cost is lower
than that by a margin.
"""

import collections
import collections.abc
import datetime

from turmerichook._internal.dispatch import decisions
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import held_back
from turmerichook._internal.dispatch import interference
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids

# Scale of the error of a pressure predicted for the next 0.5 s.
PACING_PRESSURE_ERROR = 0.03
# Cost to serving tasks, in units of the value of a filler's own work, above
# which the filler is slowed down, and up to which it may be sped up.
SLOW_DOWN_COST = 1.0
SPEED_UP_COST = 0.7
# Minimum time between two pace changes on a worker: a reading covers 0.5 s,
# and a new pace takes 0.1 s to have an effect.
PACE_CHANGE_INTERVAL = datetime.timedelta(milliseconds=550)
# Times for which a tail latency must have been over its target before the
# model's predictions are ignored: the pace of all fillers is first halved,
# then set to 0. The queue of a serving task needs another second to drain, and
# the site guarantees that a tail latency is over its target for at most 4 s.
HALVE_AFTER = datetime.timedelta(milliseconds=1100)
STOP_AFTER = datetime.timedelta(milliseconds=1800)
PACE_STEP_PERCENT = 25
PACE_MIN_PERCENT = 5
HALF = 0.5

Paces = dict[fleet.Run, int]


def adjust_paces(
    worker: fleet.Worker,
    model: interference.Interference,
    now: datetime.timedelta,
) -> list[decisions.PaceOrder]:
    """Set the pace of a worker's fillers by the tail latencies measured."""
    update_model(worker, model, now)
    worker.serving_excesses = None
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
        run.pace_known = True
        held_back.note_pace(run, now)
    return [
        decisions.PaceOrder(worker=worker.worker, run=run, percent=pace)
        for run, pace in paces.items()
    ]


def update_model(
    worker: fleet.Worker,
    model: interference.Interference,
    now: datetime.timedelta,
) -> None:
    """Update the interference model with a worker's latency readings."""
    measured_runs = [
        run
        for run in worker.serving()
        if run.measurement is not None and run.percent >= 100
    ]
    neighbours = used_cores(worker) if measured_runs else {}
    for run in measured_runs:
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
    """Return the measured processor use of fillers in cores, by image."""
    cores: dict[ids.ImageId, float] = collections.defaultdict(float)
    for run in worker.fillers():
        if run.measurement:
            cores[run.step.image] += run.measurement / 1000
    return cores


def worst_ratio(worker: fleet.Worker) -> float:
    """Return the highest tail latency on a worker, relative to its target."""
    return max(
        (_ratio(r) for r in worker.serving() if r.measurement is not None),
        default=0.0,
    )


def next_paces(
    worker: fleet.Worker,
    model: interference.Interference,
    now: datetime.timedelta,
) -> Paces:
    """Return the fillers to be told a pace, with the pace in percent.

    These are the ones whose pace changes, or is not known for certain.
    """
    fillers = [
        run for run in worker.fillers() if run.phase is fleet.RunPhase.RUNNING
    ]
    if worst_ratio(worker) <= 1.0:
        worker.over_target_since = None
    elif worker.over_target_since is None:
        worker.over_target_since = now
    if not fillers or now - worker.paced_at < PACE_CHANGE_INTERVAL:
        return {}
    over_target_for = (
        fleet.ZERO
        if worker.over_target_since is None
        else now - worker.over_target_since
    )
    excess = {
        run: _excess(run, model)
        for run in worker.serving()
        if run.measurement is not None and run.percent >= 100
    }
    if over_target_for >= STOP_AFTER:
        paces = {run: 0 for run in fillers if run.pace}
    elif over_target_for >= HALVE_AFTER:
        # The model failed to predict this slowdown, so that any filler may be
        # its cause.
        paces = {
            run: _limit_low_pace(run.pace * HALF)
            for run in fillers
            if run.pace
        }
    else:
        paces = _balanced(fillers, excess, model)
    for run in fillers:
        if not run.pace_known:
            paces.setdefault(run, run.pace)
    if paces:
        worker.paced_at = now
    return paces


def _balanced(
    fillers: list[fleet.Run],
    excess: dict[fleet.Run, float],
    model: interference.Interference,
) -> Paces:
    """Return paces at which no filler costs more than its work is worth."""
    if not excess and all(run.pace == 100 for run in fillers):
        # No serving task needs relief, and all fillers run at full pace.
        return {}
    paces = {run: run.pace for run in fillers}
    marginal_costs = {
        serving: interference.marginal_cost(
            pressure_excess, PACING_PRESSURE_ERROR
        )
        for serving, pressure_excess in excess.items()
    }

    def cost(filler: fleet.Run) -> float:
        return sum(
            model.coefficient(serving.step.image, filler.step.image)
            * unit_cost
            for serving, unit_cost in marginal_costs.items()
        )

    def change(filler: fleet.Run, pace: int) -> None:
        cores = filler.full_use / 1000 * (pace - paces[filler]) / 100
        paces[filler] = pace
        for serving in excess:
            excess[serving] += cores * model.coefficient(
                serving.step.image, filler.step.image
            )
            marginal_costs[serving] = interference.marginal_cost(
                excess[serving], PACING_PRESSURE_ERROR
            )

    for filler in sorted(fillers, key=cost, reverse=True):
        while paces[filler] and cost(filler) > SLOW_DOWN_COST:
            change(filler, max(0, paces[filler] - PACE_STEP_PERCENT))
    for filler in sorted(fillers, key=cost):
        if paces[filler] < 100 and paces[filler] >= filler.pace:
            before = paces[filler]
            change(filler, min(100, before + PACE_STEP_PERCENT))
            if cost(filler) > SPEED_UP_COST:
                change(filler, before)
    return {run: pace for run, pace in paces.items() if pace != run.pace}


def _excess(run: fleet.Run, model: interference.Interference) -> float:
    """Return a task's pressure minus the pressure at its latency target."""
    target = run.step.latency_target
    image = run.step.image
    limit = model.pressure(image, target, target)
    return model.pressure(image, _tail(run), target) - limit


def _tail(run: fleet.Run) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=run.measurement)


def _limit_low_pace(pace: float) -> int:
    return int(pace) if pace >= PACE_MIN_PERCENT else 0


def _ratio(run: fleet.Run) -> float:
    return _tail(run) / run.step.latency_target
