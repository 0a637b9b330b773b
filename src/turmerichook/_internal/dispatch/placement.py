"""Choice of a worker for one task.

The least loaded worker that may run the task wins. Serving tasks are packed
onto few workers, filler tasks avoid these, and everything avoids workers that
are slow, suspected or have just refused.
"""

import collections.abc
import datetime

from turmerichook._internal.dispatch import fleet
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
from turmerichook._internal.workflow import model

# Weights in the score, in units of a whole worker's load.
COLD_PENALTY = 0.5
WRONG_RACK_PENALTY = 1.0
FILLER_BESIDE_SERVICE_PENALTY = 1.0
SERVICE_PACKING_BONUS = 0.5
REPEAT_PENALTY = 2.0
# Filler tasks that ask for more than this share of a worker's processors
# would only slow each other down.
FILLER_SHARE_MAX = 1.0


def choose(
    *,
    step: model.Step,
    service: ids.ServiceId,
    workers: collections.abc.Iterable[fleet.Worker],
    closed: collections.abc.Container[ids.ZoneId],
    on_worker: collections.abc.Mapping[ids.WorkerId, int],
    last: ids.WorkerId,
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
        score = _score(worker, step, last)
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
    worker: fleet.Worker, step: model.Step, last: ids.WorkerId
) -> float | None:
    capacity = worker.entry.capacity.millicores or 1
    load = (worker.used.millicores + worker.filling) / capacity
    score = load
    if worker.entry.cold:
        score += COLD_PENALTY
    if step.rack and step.rack != worker.entry.rack:
        score += WRONG_RACK_PENALTY
    if worker.worker == last:
        score += REPEAT_PENALTY
    if step.filler:
        wanted = worker.filling + step.demand.millicores
        if wanted / capacity > FILLER_SHARE_MAX:
            return None
        if worker.serving():
            score += FILLER_BESIDE_SERVICE_PENALTY
            score += (100 - worker.filler_pace) / 100
    elif step.latency_target and worker.serving():
        score -= SERVICE_PACKING_BONUS
    return score
