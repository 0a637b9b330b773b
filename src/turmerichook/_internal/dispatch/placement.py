"""Choice of a worker for one task.

The least loaded worker that may run the task wins. Filler tasks go where they
are predicted to slow serving tasks down least, and wait rather than push a
tail latency over its target. Workers that are suspected or have just refused
get nothing.
"""

import collections.abc
import datetime
import math

from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import interference as interferences
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
from turmerichook._internal.workflow import model

# Weights in the score, in units of a whole worker's load.
COLD_PENALTY = 0.5
WRONG_RACK_PENALTY = 1.0
REPEAT_PENALTY = 2.0
# Weight of the predicted logarithmic slowdown of the worst serving task.
SLOWDOWN_WEIGHT = 0.5
# Share of its declared processors that a serving task uses on average.
SERVING_USE = 0.6
# Predicted tail latency in units of its target up to which fillers are added.
FILL_RATIO = 0.75


def choose(
    *,
    step: model.Step,
    service: ids.ServiceId,
    workers: collections.abc.Iterable[fleet.Worker],
    closed: collections.abc.Container[ids.ZoneId],
    on_worker: collections.abc.Mapping[ids.WorkerId, int],
    last: ids.WorkerId,
    interference: interferences.Interference,
    now: datetime.timedelta,
) -> fleet.Worker | outcomes.Absent:
    """Return the worker that a task goes to.

    :param closed: zones that must get no tasks.
    :param on_worker: tasks of the step's occurrence on each worker.
    :param last: worker of the task's last run, which is avoided.
    """
    best: fleet.Worker | None = None
    best_score = 0.0
    for worker in workers:
        if not _usable(worker, service, closed, now):
            continue
        if step.label and step.label not in worker.entry.labels:
            continue
        limit = step.max_per_worker
        if limit and on_worker.get(worker.worker, 0) >= limit:
            continue
        if not worker.fits(step):
            continue
        score = _score(worker, step, last, interference)
        if score is not None and (best is None or score < best_score):
            best, best_score = worker, score
    if best is None:
        return outcomes.Absent(reason=outcomes.Reason.NO_FIT)
    return best


def ever_fits(
    step: model.Step,
    service: ids.ServiceId,
    workers: collections.abc.Iterable[fleet.Worker],
) -> bool:
    """Tell whether an empty worker could take a task of the step."""
    return any(
        step.committed.fits(worker.entry.capacity)
        for worker in workers
        if worker.entry is not None
        and worker.entry.service == service
        and (not step.label or step.label in worker.entry.labels)
    )


def _usable(
    worker: fleet.Worker,
    service: ids.ServiceId,
    closed: collections.abc.Container[ids.ZoneId],
    now: datetime.timedelta,
) -> bool:
    entry = worker.entry
    if (
        entry is None
        or not worker.listed
        or not worker.looked
        or not worker.reachable
        or entry.service != service
        or entry.state is not deployment.WorkerState.READY
        or entry.zone in closed
        or now < worker.full_until
    ):
        return False
    if len(worker.failing) >= fleet.SUSPECT_FAILURES:
        # After the suspension one task at a time shows whether it recovered.
        return now >= worker.suspended_until and not worker.runs
    return True


def _score(
    worker: fleet.Worker,
    step: model.Step,
    last: ids.WorkerId,
    interference: interferences.Interference,
) -> float | None:
    """Return how bad a worker is for a task, None if it must not go there."""
    score = _load(worker)
    if worker.entry.cold:
        score += COLD_PENALTY
    if step.rack and step.rack != worker.entry.rack:
        score += WRONG_RACK_PENALTY
    if worker.worker == last:
        score += REPEAT_PENALTY
    if step.filler:
        wanted = step.demand.millicores
        if worker.filling and wanted > _unused(worker):
            return None
        strain = _strain(worker, step, interference)
        if worker.filling and strain > math.log(FILL_RATIO):
            return None
        score += SLOWDOWN_WEIGHT * strain
    return score


def _load(worker: fleet.Worker) -> float:
    """Return the share of the processors that is asked for."""
    capacity = worker.entry.capacity.millicores or 1
    return (worker.used.millicores + worker.filling) / capacity


def _unused(worker: fleet.Worker) -> float:
    """Return the processors that more fillers would get, in thousandths."""
    serving = sum(
        run.step.demand.millicores
        for run in worker.runs.values()
        if run.step.latency_target
    )
    used = worker.used.millicores - serving * (1 - SERVING_USE)
    return worker.entry.capacity.millicores - used - worker.filling


def _strain(
    worker: fleet.Worker,
    step: model.Step,
    interference: interferences.Interference,
) -> float:
    """Predict the worst tail latency beside one more filler.

    :returns: the logarithm of the tail in units of its target.
    """
    cores = {image: used / 1000 for image, used in worker.fillers.items()}
    more = step.demand.millicores / 1000
    cores[step.image] = cores.get(step.image, 0.0) + more
    worst = math.log(interferences.BASE_LOW)
    for run in worker.runs.values():
        if run.step.latency_target:
            base = math.log(interferences.BASE_FIRST)
            if run.base is not None:
                base = run.base.mean
            slowdown = interference.slowdown(run.step.image, cores)
            worst = max(worst, base + slowdown)
    return worst
