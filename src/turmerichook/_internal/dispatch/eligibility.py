"""Log of the workers whose eligibility for tasks has changed.

Eligible workers may get tasks as far as their state is concerned, whatever
capacity is free. Unlike a worker's version, eligibility does not change when
tasks start or end.
"""

import collections.abc
import dataclasses
import datetime

from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import obstacles
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources

# Length of the log per worker, from which the oldest half is removed.
CHANGES_KEPT_PER_WORKER = 4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Eligibility:
    """Properties of a worker that decide which steps it may run."""

    incarnation: int
    service: ids.ServiceId
    labels: collections.abc.Collection[str]
    capacity: resources.Resources


class EligibilityLog:
    """Workers that became eligible, or eligible for other steps."""

    def __init__(self):
        # Last eligibility of each worker; None while it may get no task.
        self.by_worker: dict[
            ids.WorkerId, tuple[fleet.Worker, _Eligibility | None]
        ] = {}
        # The latest changes; ``dropped`` earlier ones are no longer in the
        # log.
        self.changes: list[fleet.Worker] = []
        self.dropped = 0

    @property
    def position(self) -> int:
        """Number of changes logged so far."""
        return self.dropped + len(self.changes)

    def changed_since(self, position: int) -> list[fleet.Worker]:
        """Return the workers with changes after a position in the log.

        Each worker is listed once, in the order of its first change.

        :param position: not less than ``dropped``.
        """
        return list(dict.fromkeys(self.changes[position - self.dropped :]))

    def update(
        self,
        workers: collections.abc.Collection[fleet.Worker],
        closed: collections.abc.Container[ids.ZoneId],
        now: datetime.timedelta,
    ) -> None:
        """Log the workers whose eligibility has changed."""
        former, self.by_worker = self.by_worker, {}
        unknown = (None, None)
        for worker in workers:
            eligibility = _eligibility(worker, closed, now)
            self.by_worker[worker.worker] = (worker, eligibility)
            if eligibility is not None and (
                former.get(worker.worker, unknown) != (worker, eligibility)
            ):
                self.changes.append(worker)
        length_max = CHANGES_KEPT_PER_WORKER * len(workers)
        if len(self.changes) > 2 * length_max:
            surplus = len(self.changes) - length_max
            del self.changes[:surplus]
            self.dropped += surplus


def _eligibility(
    worker: fleet.Worker,
    closed: collections.abc.Container[ids.ZoneId],
    now: datetime.timedelta,
) -> _Eligibility | None:
    if obstacles.worker_obstacle(worker, closed, now) is not None:
        return None
    entry = worker.entry
    return _Eligibility(
        incarnation=worker.incarnation,
        service=entry.service,
        labels=entry.labels,
        capacity=entry.capacity,
    )
