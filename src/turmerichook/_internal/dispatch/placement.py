"""Choice of a worker for one task.

The least loaded worker that may run the task wins. Filler tasks go where they
are predicted to slow serving tasks down least, and wait rather than push a
tail latency over its target. Workers that are suspected or have just refused
get nothing.
"""

import collections
import collections.abc
import heapq

from turmerichook._internal.dispatch import filling
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import interference as interferences
from turmerichook._internal.dispatch import obstacles
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
        conditions: obstacles.Conditions,
        workers: collections.abc.Iterable[fleet.Worker],
        reserved: collections.abc.Container[ids.WorkerId],
        interference: interferences.Interference,
        overdue: bool,
    ):
        """Rank the workers.

        :param reserved: workers whose room is kept for other tasks.
        :param overdue: whether the job has waited for too long.
        """
        self.conditions = conditions
        self.reserved = reserved
        self.interference = interference
        self.overdue = overdue
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
                reason=outcomes.Reason.NO_FIT, detail=self.detail()
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
        step = self.conditions.step
        found = self._obstacle(worker)
        harm = 0.0
        if found is None and step.filler:
            harm = filling.harm(worker, step, self.interference)
            if harm > filling.HARM_MAX and not self.overdue:
                found = obstacles.Obstacle.SLOWS_SERVICES
        if found is not None:
            self.obstacles[found] += 1
            return
        score = _score(worker, step) + harm
        heapq.heappush(self.heap, (score, number, worker))

    def _obstacle(self, worker: fleet.Worker) -> obstacles.Obstacle | None:
        step = self.conditions.step
        found = self.conditions.obstacle(worker)
        if found is not None:
            return found
        if step.filler:
            return filling.obstacle(worker, step, self.overdue)
        if worker.worker in self.reserved:
            return obstacles.Obstacle.RESERVED
        return None

    def detail(self) -> str:
        """Return how many workers each obstacle was found on."""
        return ",".join(
            f"{obstacle.value}:{count}"
            for obstacle, count in sorted(
                self.obstacles.items(), key=lambda item: item[0].value
            )
        )


def roomiest(
    *,
    conditions: obstacles.Conditions,
    workers: collections.abc.Iterable[fleet.Worker],
    reserved: collections.abc.Container[ids.WorkerId],
) -> fleet.Worker | None:
    """Return the worker with the most room that only lacks more of it."""
    best: fleet.Worker | None = None
    best_free = 0
    for worker in workers:
        if worker.worker in reserved or not conditions.lacks_only_room(worker):
            continue
        free = worker.entry.capacity.millicores - worker.used.millicores
        if best is None or free > best_free:
            best, best_free = worker, free
    return best


def _score(worker: fleet.Worker, step: model.Step) -> float:
    """Return how bad a worker is for a task."""
    score = base_score(worker)
    if step.rack and step.rack != worker.entry.rack:
        score += WRONG_RACK_PENALTY
    if step.latency_target and not step.filler:
        score += _mixture(worker, step)
    return score


def base_score(worker: fleet.Worker) -> float:
    """Return how bad a worker is for any task."""
    score = load(worker)
    return score + COLD_PENALTY if worker.entry.cold else score


def _mixture(worker: fleet.Worker, step: model.Step) -> float:
    """Return how badly a serving task goes with those on a worker.

    Tasks of one image are packed together. What slows one of them down slows
    all of them down, so that fillers find workers where they do no harm.
    Images that must mix do so on few workers, which are mixed already.
    """
    images = {run.step.image for run in worker.serving()}
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
