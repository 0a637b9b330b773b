"""What a caller submits: a job made of steps, each with many tasks."""

import dataclasses
import datetime
import enum
import typing

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources


class JobState(enum.Enum):
    """What a caller is told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELED = "canceled"

    @property
    def final(self) -> bool:
        """Whether the state never changes again."""
        return self in FINAL_STATES


FINAL_STATES = frozenset(
    (JobState.COMPLETED, JobState.FAILED, JobState.CANCELED)
)


class EndKind(enum.Enum):
    """How one run of a task ended on its worker."""

    DONE = "done"
    # By the task's own fault or by the worker's: counts as an attempt.
    FAILED = "failed"
    STOPPED = "stopped"
    # The lease ran out.
    LAPSED = "lapsed"
    # Another member of the gang ended.
    BROKEN = "broken"
    # The other members of the gang did not come in time.
    ALONE = "alone"


class StepKey(typing.NamedTuple):
    """Name of one occurrence of a step."""

    job: ids.JobId
    occurrence: int
    step: int


class TaskKey(typing.NamedTuple):
    """Name of one task.

    :param occurrence: which repetition of the job, from 0.
    """

    job: ids.JobId
    occurrence: int
    step: int
    index: int

    @property
    def step_key(self) -> StepKey:
        """Name of the task's step."""
        return StepKey(self.job, self.occurrence, self.step)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """Tasks of one job that are alike.

    :param after: numbers of the steps that must be done first.
    :param estimate: rough run time of one task.
    :param checkpointing: whether a run saves its progress.
    :param gang: whether the tasks only work together.
    :param same_rack: whether a gang is slow across racks.
    :param label: label that the worker must have, or empty.
    :param rack: where the data is, or empty.
    :param max_per_worker: most tasks of one occurrence on one worker, 0 for
        no limit.
    :param speculative: whether copies of a task may run in parallel.
    :param long_running: whether the tasks run until the job is cancelled.
    :param latency_target: tail latency that long-running tasks must keep.
    :param filler: whether the processors count against no capacity: the
        tasks get what the others leave.
    :param max_missing: most long-running tasks that voluntary disruption
        may keep away at once, 0 for no limit.
    """

    count: int
    demand: resources.Resources
    estimate: datetime.timedelta = datetime.timedelta()
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: ids.RackId = ids.RackId("")
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    image: ids.ImageId = ids.ImageId("")
    latency_target: datetime.timedelta = datetime.timedelta()
    filler: bool = False
    max_missing: int = 0

    @property
    def committed(self) -> resources.Resources:
        """What a task takes of a worker's capacity."""
        if not self.filler:
            return self.demand
        return dataclasses.replace(self.demand, millicores=0)

    @property
    def work(self) -> datetime.timedelta:
        """Estimated processor time of a task."""
        return self.estimate * (self.demand.millicores / 1000)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Repetition:
    """Due times of a repeated job.

    :param first: Unix time of the first occurrence.
    """

    count: int
    first: datetime.timedelta
    interval: datetime.timedelta

    def due(self, occurrence: int) -> datetime.timedelta:
        """Return the Unix time at which an occurrence is due."""
        return self.first + occurrence * self.interval


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobSpec:
    """A job as it was accepted.

    :param payload: text that each start hands to the worker unchanged.
    :param accepted: Unix time of the acceptance.
    :param service: service whose workers ran the queue at acceptance.
    """

    job: ids.JobId
    queue: ids.QueueId
    service: ids.ServiceId
    payload: str
    steps: tuple[Step, ...]
    accepted: datetime.timedelta
    repetition: Repetition | None = None

    @property
    def occurrences(self) -> int:
        """Number of times that the steps run."""
        return self.repetition.count if self.repetition else 1
