"""Cached state of workers for placement, and the best workers to rank."""

import collections.abc
import datetime
import heapq
import operator

from turmerichook._internal.dispatch import filling
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import obstacles
from turmerichook._internal.dispatch import placement
from turmerichook._internal.dispatch import task_needs
from turmerichook._internal.models import ids

NEVER = datetime.timedelta.max


class Candidate:
    """State of a worker that placement needs, as of one worker version.

    :ivar recheck: when a pause of the worker ends, after which the worker may
        get tasks again without a new version.
    """

    __slots__ = (
        "accelerators",
        "over_target",
        "fit_score",
        "idle",
        "memory_mib",
        "millicores",
        "number",
        "recheck",
        "score",
        "serving",
        "version",
        "worker",
    )

    def __init__(self, *, worker: fleet.Worker, number: int):
        self.worker = worker
        self.number = number
        self.version = -1
        self.recheck = NEVER
        self.set_unavailable()
        self.score = 0.0
        # Score for tasks that are packed.
        self.fit_score = 0.0
        # Processors that further fillers would get, in millicores.
        self.idle = 0.0
        # Whether the worker runs tasks with a latency target, and whether
        # the tail latency of one of them is over its target.
        self.serving = self.over_target = False

    def set_unavailable(self) -> None:
        """Set all capacities to -1, so that no task fits on the worker."""
        self.millicores = self.memory_mib = self.accelerators = -1

    def read(
        self,
        closed: collections.abc.Container[ids.ZoneId],
        now: datetime.timedelta,
    ) -> None:
        """Update the state from the worker."""
        worker = self.worker
        self.version = worker.version
        self.recheck = min(
            (
                t
                for t in (worker.no_room_until, worker.suspended_until)
                if t > now
            ),
            default=NEVER,
        )
        if obstacles.worker_obstacle(worker, closed, now) is not None:
            self.set_unavailable()
            return
        capacity, used = worker.entry.capacity, worker.used
        self.millicores = capacity.millicores - used.millicores
        self.memory_mib = capacity.memory_mib - used.memory_mib
        self.accelerators = capacity.accelerators - used.accelerators
        self.score = placement.base_score(worker)
        self.fit_score = placement.fit_score(worker)
        self.idle = filling.available_to_fillers(worker)
        self.serving = any(True for _ in worker.serving())
        self.over_target = worker.over_target_since is not None


def best(
    fitting: list[Candidate],
    needs: task_needs.Needs,
    count: int,
    packing: placement.Packing | None = None,
) -> list[Candidate]:
    """Return the workers among which ``count`` tasks of a step are placed.

    The tasks need at most ``count + 1`` workers: placing a task improves the
    score of no other worker, and each task avoids at most the worker of its
    last run. The score for serving tasks, and for fillers on workers with
    serving tasks, depends on more than load and rack, so that none of these
    workers is left out.
    """
    if needs.serving or len(fitting) <= count + 1:
        return fitting
    with_serving = [c for c in fitting if c.serving] if needs.filler else []
    if with_serving:
        fitting = [c for c in fitting if not c.serving]

    def score(candidate: Candidate) -> float:
        if packing is None or needs.filler:
            base = candidate.score
        else:
            worker = candidate.worker.worker
            base = packing.score(worker, candidate.fit_score)
        if needs.rack and needs.rack != candidate.worker.entry.rack:
            return base + placement.WRONG_RACK_PENALTY
        return base

    fitting = heapq.nsmallest(count + 1, fitting, key=score)
    return sorted(fitting + with_serving, key=operator.attrgetter("number"))
