"""Jobs that the leader holds, and snapshots of them for the store."""

import dataclasses
import datetime
import typing

from turmerichook._internal.dispatch import fleet
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses

# Entries of a commit that the save of a final job takes: its progress, and the
# removal of the job and of its cancellation from the inbox.
FINAL_ENTRIES = 3


class End(typing.NamedTuple):
    """An end that a worker reported in one of its incarnations."""

    worker: ids.WorkerId
    incarnation: int
    number: int


@dataclasses.dataclass(kw_only=True, eq=False)
class Job:
    """An accepted job that is not final and durable yet.

    :param begun: whether a worker is known to have begun one of its tasks.
    :param unsaved_ends: ends by worker that the next save makes durable.
    """

    progress: progresses.Progress
    queue: deployment.Queue
    begun: bool = False
    unsaved_ends: list[End] = dataclasses.field(default_factory=list)

    @property
    def spec(self) -> model.JobSpec:
        """The job as accepted."""
        return self.progress.spec

    @property
    def entries(self) -> int:
        """Number of entries that a save takes in a commit."""
        return FINAL_ENTRIES if self.progress.state.final else 1

    def deadline(
        self, occurrence: int, factor: float = 1.0
    ) -> datetime.timedelta:
        """Return the Unix time of the latency objective, or a multiple."""
        due = self.spec.accepted
        if self.spec.repetition is not None:
            due = self.spec.repetition.due(occurrence)
        slack = self.progress.chain() * self.queue.slack_factor
        return due + factor * (slack + self.queue.latency_objective)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Save:
    """A snapshot of a job that a commit makes durable."""

    job: Job
    runs: tuple[tuple[ids.WorkerId, fleet.Run], ...]
    ends: tuple[End, ...]
    state: model.JobState
    value: bytes
