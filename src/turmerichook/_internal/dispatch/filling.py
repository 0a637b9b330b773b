"""Filler tasks beside tasks with a latency target.

Fillers take the processors that others leave idle. Each goes only where what
it costs the serving tasks is less than what it is worth.
"""

import collections

from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import interference as interferences
from turmerichook._internal.dispatch import obstacles
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model

# Share of its declared processors that a serving task uses on average.
SERVING_USE = 0.5
# Fillers seldom use all that they ask for, so that somewhat more may be placed
# than would fit.
FILLER_OVERCOMMIT = 1.15
# Fillers run for seconds, in which the loads beside them change by about this.
FILL_SPREAD = 0.06
# Loads rise within a filler's run time, so that a trough is not relied on.
LOAD_AHEAD = 0.58
# Cost to serving tasks, in units of its own worth, up to which a filler is
# placed.
HARM_MAX = 1.0


def obstacle(
    worker: fleet.Worker, step: model.Step, overdue: bool
) -> obstacles.Obstacle | None:
    """Return why a worker must not get one more filler, harm apart.

    One whose job would stand still otherwise goes anywhere but to services
    that are slow already: its pace follows what it does there.
    """
    if worker.hot_since is not None:
        return obstacles.Obstacle.SLOWS_SERVICES
    if overdue:
        return None
    if step.demand.millicores > unused(worker):
        return obstacles.Obstacle.NO_IDLE_PROCESSORS
    return None


def unused(worker: fleet.Worker) -> float:
    """Return the processors that more fillers would get, in thousandths."""
    serving = sum(run.step.demand.millicores for run in worker.serving())
    used = worker.used.millicores - serving * (1 - SERVING_USE)
    idle = worker.entry.capacity.millicores - used
    slowed = sum(
        run.step.demand.millicores * (100 - run.pace) / 100
        for run in worker.fillers()
    )
    return idle * FILLER_OVERCOMMIT - worker.filling + slowed


def harm(
    worker: fleet.Worker,
    step: model.Step,
    interference: interferences.Interference,
) -> float:
    """Return what a filler costs the serving tasks beside it.

    :returns: the cost of a core of the filler, in units of its own worth.
    """
    serving = list(worker.serving())
    if not serving:
        return 0.0
    cores: dict[ids.ImageId, float] = collections.defaultdict(float)
    cores[step.image] = step.demand.millicores / 1000
    for run in worker.fillers():
        cores[run.step.image] += run.full_use / 1000
    cost = 0.0
    for run in serving:
        target = run.step.latency_target
        image = run.step.image
        coefficient = interference.coefficient(image, step.image)
        load = interferences.LOAD_MEAN
        if run.load is not None:
            load = max(run.load.mean, LOAD_AHEAD)
        limit = interference.pressure(image, target, target)
        excess = load + interference.added(image, cores) - limit
        cost += coefficient * interferences.marginal_cost(excess, FILL_SPREAD)
    return cost
