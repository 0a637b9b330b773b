"""Choice of a worker for one task.

The least loaded worker that may run the task wins. Filler tasks go where they
are predicted to slow serving tasks down least, and wait rather than push a
tail latency over its target. Workers that are suspected or have just refused
get nothing.
"""

import collections
import collections.abc
import datetime
import heapq

from turmerichook._internal.dispatch import filling
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import interference as interferences
from turmerichook._internal.dispatch import obstacles
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
from turmerichook._internal.workflow import model

# Weights in the score, in units of a whole worker's load.
COLD_PENALTY = 0.5
WRONG_RACK_PENALTY = 1.0
REPEAT_PENALTY = 2.0
# Weight of packing serving tasks of one image onto few workers, and of
# leaving a worker with several images as it is.
PACKING_WEIGHT = 3.0
MIXED_WEIGHT = 1.0


class Ranking:
    """Workers for the tasks of one step, the best first.

    The tasks of a step are alike, so that after a choice only the chosen
    worker is looked at again: with hundreds of workers a look at all of them
    for each task would take longer than the tasks run.
    """

    def __init__(
        self,
        *,
        step: model.Step,
        service: ids.ServiceId,
        workers: collections.abc.Iterable[fleet.Worker],
        closed: collections.abc.Container[ids.ZoneId],
        approved: collections.abc.Container[ids.WorkerId] | None,
        on_worker: collections.abc.Mapping[ids.WorkerId, int],
        reserved: collections.abc.Container[ids.WorkerId],
        interference: interferences.Interference,
        overdue: bool,
        now: datetime.timedelta,
    ):
        """Rank the workers.

        :param closed: zones that must get no tasks.
        :param approved: workers that the step's policy allows; None for all.
        :param on_worker: tasks of the step's occurrence on each worker.
        :param reserved: workers whose room is kept for other tasks.
        :param overdue: whether the job has waited for too long.
        """
        self.step = step
        self.service = service
        self.closed = closed
        self.approved = approved
        self.on_worker = on_worker
        self.reserved = reserved
        self.interference = interference
        self.overdue = overdue
        self.now = now
        self.obstacles: collections.Counter[obstacles.Obstacle] = (
            collections.Counter()
        )
        # Score, order among equals, and worker.
        self.heap: list[tuple[float, int, fleet.Worker]] = []
        for number, worker in enumerate(workers):
            self._rank(number, worker)
        self.taken = 0

    def take(self, last: ids.WorkerId) -> fleet.Worker | outcomes.Absent:
        """Return the worker that a task goes to, and unrank it.

        :param last: worker of the task's last run, which is avoided.
        """
        if not self.heap:
            return outcomes.Absent(
                reason=outcomes.Reason.NO_FIT, detail=self._detail()
            )
        best = heapq.heappop(self.heap)
        if best[2].worker == last and self.heap:
            if best[0] + REPEAT_PENALTY > self.heap[0][0]:
                best = heapq.heapreplace(self.heap, best)
        self.taken = best[1]
        return best[2]

    def put_back(self, worker: fleet.Worker) -> None:
        """Rank the worker again that was taken last."""
        self._rank(self.taken, worker)

    def _rank(self, number: int, worker: fleet.Worker) -> None:
        found = self._obstacle(worker)
        if found is not None:
            self.obstacles[found] += 1
            return
        score = _score(worker, self.step, self.interference)
        heapq.heappush(self.heap, (score, number, worker))

    def _obstacle(self, worker: fleet.Worker) -> obstacles.Obstacle | None:
        step = self.step
        if self.approved is not None and worker.worker not in self.approved:
            return obstacles.Obstacle.NOT_APPROVED
        found = _obstacle(
            worker, step, self.service, self.closed, self.on_worker, self.now
        )
        if found is None and not step.filler:
            if worker.worker in self.reserved:
                return obstacles.Obstacle.RESERVED
        if found is None and step.filler:
            return filling.obstacle(
                worker, step, self.interference, self.overdue
            )
        return found

    def _detail(self) -> str:
        return ",".join(
            f"{obstacle.value}:{count}"
            for obstacle, count in sorted(
                self.obstacles.items(), key=lambda item: item[0].value
            )
        )


def roomiest(
    *,
    step: model.Step,
    service: ids.ServiceId,
    workers: collections.abc.Iterable[fleet.Worker],
    closed: collections.abc.Container[ids.ZoneId],
    approved: collections.abc.Container[ids.WorkerId] | None,
    on_worker: collections.abc.Mapping[ids.WorkerId, int],
    reserved: collections.abc.Container[ids.WorkerId],
    now: datetime.timedelta,
) -> fleet.Worker | None:
    """Return the worker with the most room that only lacks more of it."""
    best: fleet.Worker | None = None
    best_free = 0
    for worker in workers:
        if approved is not None and worker.worker not in approved:
            continue
        found = _obstacle(worker, step, service, closed, on_worker, now)
        if found not in obstacles.SHORTAGES or worker.worker in reserved:
            continue
        if not step.committed.fits(worker.entry.capacity):
            continue
        capacity = worker.entry.capacity.millicores
        free = capacity - worker.used.millicores
        if best is None or free > best_free:
            best, best_free = worker, free
    return best


def could_run(
    *,
    worker: fleet.Worker,
    step: model.Step,
    service: ids.ServiceId,
    closed: collections.abc.Container[ids.ZoneId],
    now: datetime.timedelta,
) -> bool:
    """Tell whether a worker may run a step, now or once it has room."""
    found = _obstacle(worker, step, service, closed, {}, now)
    if found is not None and found not in obstacles.SHORTAGES:
        return False
    return step.committed.fits(worker.entry.capacity)


def _obstacle(
    worker: fleet.Worker,
    step: model.Step,
    service: ids.ServiceId,
    closed: collections.abc.Container[ids.ZoneId],
    on_worker: collections.abc.Mapping[ids.WorkerId, int],
    now: datetime.timedelta,
) -> obstacles.Obstacle | None:
    """Return why a worker must not get a task of a step, if it must not."""
    entry = worker.entry
    if entry is None or not worker.listed:
        return obstacles.Obstacle.NOT_LISTED
    if entry.service != service or (
        step.label and step.label not in entry.labels
    ):
        return obstacles.Obstacle.OTHER_KIND
    if entry.zone in closed:
        return obstacles.Obstacle.ZONE_CLOSED
    if entry.state is not deployment.WorkerState.READY:
        return obstacles.Obstacle.LEAVING
    if not worker.looked or not worker.reachable:
        return obstacles.Obstacle.OUT_OF_REACH
    if now < worker.full_until:
        return obstacles.Obstacle.HAS_REFUSED
    if len(worker.failing) >= fleet.SUSPECT_FAILURES:
        # After the suspension one task at a time shows whether it recovered.
        if now < worker.suspended_until or worker.runs:
            return obstacles.Obstacle.SUSPECTED
    limit = step.max_per_worker
    if limit and on_worker.get(worker.worker, 0) >= limit:
        return obstacles.Obstacle.ENOUGH_OF_STEP
    return _shortage(worker, step)


def _shortage(
    worker: fleet.Worker, step: model.Step
) -> obstacles.Obstacle | None:
    """Return what a worker has too little of for a task."""
    wanted = worker.used.plus(step.committed)
    capacity = worker.entry.capacity
    if wanted.millicores > capacity.millicores:
        return obstacles.Obstacle.NO_PROCESSORS
    if wanted.memory_mib > capacity.memory_mib:
        return obstacles.Obstacle.NO_MEMORY
    if wanted.accelerators > capacity.accelerators:
        return obstacles.Obstacle.NO_ACCELERATORS
    return None


def _score(
    worker: fleet.Worker,
    step: model.Step,
    interference: interferences.Interference,
) -> float:
    """Return how bad a worker is for a task."""
    score = load(worker)
    if worker.entry.cold:
        score += COLD_PENALTY
    if step.rack and step.rack != worker.entry.rack:
        score += WRONG_RACK_PENALTY
    if step.filler:
        score += filling.harm(worker, step, interference)
    elif step.latency_target:
        score += _mixture(worker, step)
    return score


def _mixture(worker: fleet.Worker, step: model.Step) -> float:
    """Return how badly a serving task goes with those on a worker.

    Tasks of one image are packed together. What slows one of them down slows
    all of them down, so that fillers find workers where they do no harm.
    Images that must mix do so on few workers, which are mixed already.
    """
    images = {
        run.step.image
        for run in worker.runs.values()
        if run.step.latency_target
    }
    if not images:
        return 0.0
    if images == {step.image}:
        return -PACKING_WEIGHT
    if step.image in images:
        return MIXED_WEIGHT
    return PACKING_WEIGHT if len(images) == 1 else 2 * MIXED_WEIGHT


def load(worker: fleet.Worker) -> float:
    """Return the share of the processors that is asked for."""
    capacity = worker.entry.capacity.millicores or 1
    return (worker.used.millicores + worker.filling) / capacity
