"""Rules for placing filler tasks on workers that run serving tasks.

Fillers use processors that other tasks leave idle. A filler is placed only
where its cost to the serving tasks is no higher than the value of its work.
"""

import collections

from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import interference as interferences
from turmerichook._internal.dispatch import obstacles
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model

# Average processor use of a serving task, as a share of its declared demand.
SERVING_UTILIZATION = 0.5
# Factor by which the demand of fillers may exceed the idle processors, as
# fillers seldom use all processors that they request.
FILLER_OVERCOMMIT = 1.15
# Scale of the error of a pressure predicted for a filler's run time. Fillers
# run for seconds, in which the load of serving tasks changes by about this
# much.
PLACEMENT_PRESSURE_ERROR = 0.06
# Minimum load assumed for a serving task: a load that is low at present may
# rise again within the filler's run time.
EXPECTED_LOAD_MIN = 0.58
# Cost to serving tasks up to which a filler is placed, in units of the value
# of the filler's own work.
INTERFERENCE_COST_MAX = 1.0


def obstacle(
    worker: fleet.Worker, step: model.Step, overdue: bool
) -> obstacles.Obstacle | None:
    """Return why a worker must not get a filler, whatever its interference.

    An overdue filler, whose job would make no progress otherwise, may be
    placed on any worker except one with a serving task over its latency
    target. Pacing then limits the interference on the worker.
    """
    if worker.over_target_since is not None:
        return obstacles.Obstacle.SLOWS_SERVICES
    if overdue:
        return None
    if step.demand.millicores > available_to_fillers(worker):
        return obstacles.Obstacle.NO_IDLE_PROCESSORS
    return None


def available_to_fillers(worker: fleet.Worker) -> float:
    """Return the processors that further fillers would get, in millicores."""
    serving = sum(run.step.demand.millicores for run in worker.serving())
    used = worker.used.millicores - serving * (1 - SERVING_UTILIZATION)
    idle = worker.entry.capacity.millicores - used
    freed_by_pacing = sum(
        run.step.demand.millicores * (100 - run.pace) / 100
        for run in worker.fillers()
    )
    return (
        idle * FILLER_OVERCOMMIT - worker.filler_millicores + freed_by_pacing
    )


def interference_cost(
    worker: fleet.Worker,
    step: model.Step,
    interference: interferences.Interference,
) -> float:
    """Return the cost of a new filler to the serving tasks on a worker.

    :returns: cost of one core of the filler, in units of the value of the
        filler's own work.
    """
    cost = 0.0
    cores = step.demand.millicores / 1000
    for image, excesses in _serving_excesses(worker, interference).items():
        coefficient = interference.coefficient(image, step.image)
        added = coefficient * cores
        for excess in excesses:
            cost += coefficient * interferences.marginal_cost(
                excess + added, PLACEMENT_PRESSURE_ERROR
            )
    return cost


def _serving_excesses(
    worker: fleet.Worker, interference: interferences.Interference
) -> fleet.Excesses:
    """Return each serving task's pressure above its limit, by image.

    The values are computed again when the worker's runs change and when it
    reports. In between, the coefficients change too little to matter.
    """
    cached = worker.serving_excesses
    if cached is not None and cached[0] == worker.version:
        return cached[1]
    excesses: fleet.Excesses = {}
    cores: dict[ids.ImageId, float] = collections.defaultdict(float)
    for run in worker.fillers():
        cores[run.step.image] += run.full_use / 1000
    for run in worker.serving():
        target = run.step.latency_target
        image = run.step.image
        load = interferences.LOAD_MEAN
        if run.load is not None:
            load = max(run.load.mean, EXPECTED_LOAD_MIN)
        limit = interference.pressure(image, target, target)
        excess = load + interference.neighbour_pressure(image, cores) - limit
        excesses.setdefault(image, []).append(excess)
    worker.serving_excesses = (worker.version, excesses)
    return excesses
