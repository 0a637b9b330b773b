"""Jobs that the leader holds in memory, and their snapshots for commits."""

import dataclasses
import datetime
import typing

from turmerichook._internal.dispatch import fleet
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses

# Entries of a commit for the snapshot of a final job: one writes its progress,
# the others remove the job and its cancellation from the inbox.
FINAL_ENTRIES = 3


class End(typing.NamedTuple):
    """Identification of a run's end that a worker reported."""

    worker: ids.WorkerId
    incarnation: int
    number: int


@dataclasses.dataclass(kw_only=True, eq=False)
class Job:
    """An accepted job whose final state is not durable yet.

    :param begun: whether a worker has certainly started one of its tasks.
    :param unsaved_ends: reported ends that the job's next snapshot includes.
    """

    progress: progresses.Progress
    queue: deployment.Queue
    begun: bool = False
    unsaved_ends: list[End] = dataclasses.field(default_factory=list)

    @property
    def spec(self) -> model.JobSpec:
        """The job as the caller submitted it."""
        return self.progress.spec

    @property
    def entries(self) -> int:
        """Number of entries of a commit that a snapshot needs."""
        return FINAL_ENTRIES if self.progress.state.final else 1

    @property
    def work(self) -> datetime.timedelta:
        """Estimated processor time of one occurrence."""
        return sum(
            (step.count * step.processor_time for step in self.spec.steps),
            datetime.timedelta(),
        )

    @property
    def largest_demand(self) -> resources.Resources:
        """The most of each resource that any of the tasks needs."""
        largest = resources.NOTHING
        for step in self.spec.steps:
            largest = largest.greater(step.demand)
        return largest

    def time_allowed(self) -> datetime.timedelta:
        """Return the time that the latency objective allows an occurrence."""
        slack = self.progress.critical_path() * self.queue.slack_factor
        return slack + self.queue.latency_objective

    def suspected(self, task: model.TaskKey) -> bool:
        """Return whether a task may crash the worker that starts it."""
        record = self.progress.tasks.get(task)
        return record is not None and record.suspected

    def clear_suspicion(self, task: model.TaskKey) -> None:
        """Forget earlier crashes of workers under a task."""
        record = self.progress.tasks.get(task)
        if record is not None:
            record.forget_crashes()

    def deadline(
        self, occurrence: int, factor: float = 1.0
    ) -> datetime.timedelta:
        """Return the Unix time by which an occurrence should complete.

        :param factor: multiple of the time allowed by the latency objective.
        """
        due = self.spec.accepted
        if self.spec.repetition is not None:
            due = self.spec.repetition.due(occurrence)
        return due + factor * self.time_allowed()


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobSnapshot:
    """A snapshot of a job for a commit.

    :param runs: assigned runs that may start once the snapshot is durable.
    :param ends: ends that are included in the snapshot.
    :param value: the encoded progress.
    """

    job: Job
    runs: tuple[tuple[ids.WorkerId, fleet.Run], ...]
    ends: tuple[End, ...]
    state: model.JobState
    value: bytes
