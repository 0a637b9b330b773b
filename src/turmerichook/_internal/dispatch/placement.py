"""Choice of a worker for one task.

The worker with the lowest score is chosen, which mainly is the least loaded
one that may run the task. Filler tasks go to workers where they are predicted
to slow serving tasks down least, and wait if they would push a tail latency
over its target. A worker gets no task for a while after it has refused one, or
while it is suspected to be faulty.
"""

import collections
import collections.abc
import dataclasses
import heapq

from turmerichook._internal.dispatch import filling
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import interference as interferences
from turmerichook._internal.dispatch import obstacles
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal import outcomes
from turmerichook._internal.workflow import model

# Penalties in the score of a worker; 1.0 is the load of a fully used worker.
COLD_START_PENALTY = 0.5
WRONG_RACK_PENALTY = 1.0
SAME_WORKER_PENALTY = 2.0
KEPT_PENALTY = 0.5
# Score for packing serving tasks of one image onto few workers, and for adding
# an image to a worker that already runs several.
PACKING_WEIGHT = 3.0
MIXED_IMAGES_WEIGHT = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Packing:
    """Packs tasks where room for short tasks is scarce.

    :param last: workers that are kept for tasks that fit nowhere else.
    """

    last: collections.abc.Container[ids.WorkerId]

    def score(self, worker: ids.WorkerId, fit_score: float) -> float:
        """Return a worker's score from the score by its free capacity."""
        return fit_score + KEPT_PENALTY if worker in self.last else fit_score


class Ranking:
    """Workers that can run a task of one step, the lowest score first.

    All tasks of a step have the same requirements, so that after a choice only
    the chosen worker is scored again: with hundreds of workers, scoring all of
    them for each task would take longer than the tasks run.
    """

    def __init__(
        self,
        *,
        conditions: obstacles.Conditions,
        workers: collections.abc.Iterable[fleet.Worker],
        reserved: collections.abc.Container[ids.WorkerId],
        interference: interferences.Interference,
        overdue: bool,
        kept: collections.abc.Container[ids.WorkerId] = (),
        packing: Packing | None = None,
        checked: bool = False,
    ):
        """Rank the workers.

        :param reserved: workers whose capacity is reserved for other tasks.
        :param kept: workers that are kept free of tasks like these.
        :param packing: how to pack the tasks; None to spread them.
        :param overdue: whether the job has waited for so long that a filler
            is placed whatever its interference cost.
        :param checked: whether it is known that no worker has an obstacle
            other than the interference cost.
        """
        self.conditions = conditions
        self.reserved = reserved
        self.kept = kept
        self.packing = packing
        self.interference = interference
        self.overdue = overdue
        self.obstacles: collections.Counter[obstacles.Obstacle] = (
            collections.Counter()
        )
        # Score, number that breaks ties, and worker.
        self.heap: list[tuple[float, int, fleet.Worker]] = []
        for number, worker in enumerate(workers):
            self._rank(number, worker, checked)
        self.last_taken = 0

    def take(self, last: ids.WorkerId) -> fleet.Worker | outcomes.Absent:
        """Remove and return the best worker for a task.

        :param last: worker of the task's last run, which is avoided if
            another worker is not much worse.
        """
        if not self.heap:
            return outcomes.Absent(
                reason=outcomes.Reason.NO_FIT, detail=self.detail()
            )
        best = heapq.heappop(self.heap)
        if best[2].worker == last and self.heap:
            if best[0] + SAME_WORKER_PENALTY > self.heap[0][0]:
                best = heapq.heapreplace(self.heap, best)
        self.last_taken = best[1]
        return best[2]

    def remaining(self) -> list[fleet.Worker]:
        """Return the ranked workers, the best first."""
        return [worker for _, _, worker in sorted(self.heap)]

    def put_back(self, worker: fleet.Worker) -> None:
        """Score the worker that was taken last, and rank it again."""
        self._rank(self.last_taken, worker)

    def _rank(
        self, number: int, worker: fleet.Worker, checked: bool = False
    ) -> None:
        step = self.conditions.step
        obstacle = None if checked else self._obstacle(worker)
        interference_cost = 0.0
        if obstacle is None and step.filler:
            interference_cost = filling.interference_cost(
                worker, step, self.interference
            )
            if (
                interference_cost > filling.INTERFERENCE_COST_MAX
                and not self.overdue
            ):
                obstacle = obstacles.Obstacle.SLOWS_SERVICES
        if obstacle is not None:
            self.obstacles[obstacle] += 1
            return
        score = _score(worker, step, self.packing) + interference_cost
        heapq.heappush(self.heap, (score, number, worker))

    def _obstacle(self, worker: fleet.Worker) -> obstacles.Obstacle | None:
        step = self.conditions.step
        obstacle = self.conditions.obstacle(worker)
        if obstacle is not None:
            return obstacle
        if step.filler:
            return filling.obstacle(worker, step, self.overdue)
        if worker.worker in self.reserved:
            return obstacles.Obstacle.RESERVED
        if worker.worker in self.kept:
            return obstacles.Obstacle.KEPT_FOR_SHORT
        return None

    def detail(self) -> str:
        """Return a log text with the number of workers for each obstacle."""
        return ",".join(
            f"{obstacle.value}:{count}"
            for obstacle, count in sorted(
                self.obstacles.items(), key=lambda item: item[0].value
            )
        )


def most_free_worker(
    *,
    conditions: obstacles.Conditions,
    workers: collections.abc.Iterable[fleet.Worker],
    reserved: collections.abc.Container[ids.WorkerId],
) -> fleet.Worker | None:
    """Return the worker with the most free processors, to be reserved.

    Only workers that are too full at present, and have no other obstacle to
    the step, are considered.
    """
    best: fleet.Worker | None = None
    best_free = 0
    for worker in workers:
        if worker.worker in reserved or not conditions.lacks_only_room(worker):
            continue
        free = worker.entry.capacity.millicores - worker.used.millicores
        if best is None or free > best_free:
            best, best_free = worker, free
    return best


def _score(
    worker: fleet.Worker, step: model.Step, packing: Packing | None
) -> float:
    """Return the score of a worker for a task; lower is better."""
    if packing is None or step.filler:
        score = base_score(worker)
    else:
        score = packing.score(worker.worker, fit_score(worker))
    if step.rack and step.rack != worker.entry.rack:
        score += WRONG_RACK_PENALTY
    if step.latency_target and not step.filler:
        score += _image_mix_score(worker, step)
    return score


def base_score(worker: fleet.Worker) -> float:
    """Return the part of a worker's score that is the same for all tasks."""
    score = load(worker)
    return score + COLD_START_PENALTY if worker.entry.cold else score


def fit_score(worker: fleet.Worker) -> float:
    """Return the part of a worker's score for tasks that are packed.

    The fullest worker that fits is the best, so that free capacity remains in
    large parts.
    """
    score = 1.0 - share_used(worker.used, worker.entry.capacity)
    return score + COLD_START_PENALTY if worker.entry.cold else score


def share_used(
    used: resources.Resources, capacity: resources.Resources
) -> float:
    """Return the highest share that is used of any resource."""
    return max(
        used.millicores / (capacity.millicores or 1),
        used.memory_mib / (capacity.memory_mib or 1),
        used.accelerators / (capacity.accelerators or 1),
    )


def _image_mix_score(worker: fleet.Worker, step: model.Step) -> float:
    """Return the score of adding a serving task to those on a worker.

    Serving tasks of one image are packed together. A filler that slows one of
    them down slows all of them down, so that other workers remain on which the
    filler slows down nothing. Where different images have to share a worker,
    workers that already run several images are preferred, to keep their number
    low.
    """
    images = {run.step.image for run in worker.serving()}
    if not images:
        return 0.0
    if images == {step.image}:
        return -PACKING_WEIGHT
    if step.image in images:
        return MIXED_IMAGES_WEIGHT
    return PACKING_WEIGHT if len(images) == 1 else 2 * MIXED_IMAGES_WEIGHT


def load(worker: fleet.Worker) -> float:
    """Return the requested share of a worker's processors.

    With fillers the share may exceed 1.
    """
    capacity = worker.entry.capacity.millicores or 1
    return (worker.used.millicores + worker.filler_millicores) / capacity
