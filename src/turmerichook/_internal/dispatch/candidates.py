"""Workers as placement sees them, and which of them are worth ranking."""

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
    """What placement has read of a worker, as of one of its versions.

    :ivar recheck: when the worker may be open again by time alone.
    """

    __slots__ = (
        "accelerators",
        "hot",
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
        self.close()
        self.score = 0.0
        # Processors that more fillers would get, in thousandths.
        self.idle = 0.0
        # Whether tasks with a latency target run here, and whether one of
        # them is over it.
        self.serving = self.hot = False

    def close(self) -> None:
        """Note that the worker gets no tasks: it has less than no room."""
        self.millicores = self.memory_mib = self.accelerators = -1

    def read(
        self,
        closed: collections.abc.Container[ids.ZoneId],
        now: datetime.timedelta,
    ) -> None:
        """Read the worker as it is now."""
        worker = self.worker
        self.version = worker.version
        self.recheck = min(
            (
                t
                for t in (worker.full_until, worker.suspended_until)
                if t > now
            ),
            default=NEVER,
        )
        if obstacles.closure(worker, closed, now) is not None:
            self.close()
            return
        capacity, used = worker.entry.capacity, worker.used
        self.millicores = capacity.millicores - used.millicores
        self.memory_mib = capacity.memory_mib - used.memory_mib
        self.accelerators = capacity.accelerators - used.accelerators
        self.score = placement.base_score(worker)
        self.idle = filling.unused(worker)
        self.serving = any(True for _ in worker.serving())
        self.hot = worker.hot_since is not None


def best(
    found: list[Candidate], needs: task_needs.Needs, count: int
) -> list[Candidate]:
    """Return as many of the best workers as some tasks of a step can need.

    A task makes no other worker better, and may have to avoid one worker. The
    score of serving tasks, and of fillers beside them, depends on more than
    load and rack, so that none of these workers is left out.
    """
    if needs.serving or len(found) <= count + 1:
        return found
    beside = [c for c in found if c.serving] if needs.filler else []
    if beside:
        found = [c for c in found if not c.serving]

    def score(candidate: Candidate) -> float:
        if needs.rack and needs.rack != candidate.worker.entry.rack:
            return candidate.score + placement.WRONG_RACK_PENALTY
        return candidate.score

    found = heapq.nsmallest(count + 1, found, key=score)
    return sorted(found + beside, key=operator.attrgetter("number"))
