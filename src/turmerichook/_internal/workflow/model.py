"""Model of a submitted job: steps that depend on each other, with tasks."""

import dataclasses
import datetime
import enum
import typing

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources


class JobState(enum.Enum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELED = "canceled"

    @property
    def final(self) -> bool:
        """Whether the job can no longer leave this state."""
        return self in FINAL_STATES


FINAL_STATES = frozenset(
    (JobState.COMPLETED, JobState.FAILED, JobState.CANCELED)
)


class EndKind(enum.Enum):
    """How one run of a task on a worker ended."""

    DONE = "done"
    # A fault of the task or of its worker ended the run. Unless the task is
    # long-running, the run counts against the attempts that the queue allows.
    FAILED = "failed"
    STOPPED = "stopped"
    # The worker ended the run because the worker's lease expired.
    LEASE_EXPIRED = "lapsed"
    # Another task of the gang ended; the tasks of a gang only run together.
    GANG_MEMBER_ENDED = "broken"
    # The other tasks of the gang did not start within the gang time-out.
    GANG_INCOMPLETE = "alone"


class Occurrence(typing.NamedTuple):
    """Identifier of one occurrence of a job.

    :param occurrence: number of the repetition of the job, from 0.
    """

    job: ids.JobId
    occurrence: int


class StepKey(typing.NamedTuple):
    """Identifier of a step within one occurrence of a job.

    :param occurrence: number of the repetition of the job, from 0.
    :param step: index of the step in the job.
    """

    job: ids.JobId
    occurrence: int
    step: int

    @property
    def whole(self) -> Occurrence:
        """Identifier of the occurrence that the step belongs to."""
        return Occurrence(self.job, self.occurrence)


class TaskKey(typing.NamedTuple):
    """Identifier of one task.

    :param occurrence: number of the repetition of the job, from 0.
    :param step: index of the step in the job.
    :param index: index of the task in the step.
    """

    job: ids.JobId
    occurrence: int
    step: int
    index: int

    @property
    def step_key(self) -> StepKey:
        """Identifier of the step that the task belongs to."""
        return StepKey(self.job, self.occurrence, self.step)

    def text(self) -> str:
        """Return the task's identifier within its job, for log lines."""
        return f"{self.occurrence}.{self.step}.{self.index}"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """Group of tasks of one job that have the same requirements.

    :param count: number of tasks.
    :param demand: resources that one task needs.
    :param estimate: rough run time of one task.
    :param after: indexes of the steps that must be done before this one.
    :param checkpointing: whether a run saves checkpoints from which a later
        run can continue.
    :param gang: whether the tasks only work while all of them run.
    :param same_rack: whether a gang is slow when its tasks run on workers of
        different racks.
    :param label: label that the worker must have, or empty.
    :param rack: rack that holds the data, or empty.
    :param max_per_worker: largest number of tasks of one occurrence on one
        worker, 0 for no limit.
    :param speculative: whether several copies of a task may run in parallel.
    :param long_running: whether the tasks run until the job is cancelled.
    :param latency_target: tail latency that long-running tasks must not
        exceed, 0 for none.
    :param filler: whether the processors of the tasks do not count against a
        worker's capacity: the tasks only get the processor time that the
        other tasks on the worker leave unused.
    :param max_unavailable: largest number of long-running tasks that voluntary
        disruption may make unavailable at the same time, 0 for no limit.
    :param max_attempts: ``max_attempts`` of the job's queue when the job was
        accepted, for a leader that does not know the queue; 0 if unknown.
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
    max_unavailable: int = 0
    max_attempts: int = 0

    @property
    def committed(self) -> resources.Resources:
        """Resources that a task occupies of a worker's capacity."""
        if not self.filler:
            return self.demand
        return dataclasses.replace(self.demand, millicores=0)

    @property
    def processor_time(self) -> datetime.timedelta:
        """Estimated processor time of a task: run time times processors."""
        return self.estimate * (self.demand.millicores / 1000)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Repetition:
    """Schedule of a repeated job.

    :param count: number of occurrences.
    :param first: Unix time at which the first occurrence is due.
    :param interval: time between the due times of two occurrences.
    """

    count: int
    first: datetime.timedelta
    interval: datetime.timedelta

    def due(self, occurrence: int) -> datetime.timedelta:
        """Return the Unix time at which an occurrence is due."""
        return self.first + occurrence * self.interval


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobSpec:
    """A job as it was accepted; it does not change afterwards.

    :param service: service whose workers ran the queue's jobs when the job
        was accepted.
    :param customer: customer whose quota and share the tasks count for, or
        empty.
    :param payload: text of the caller that each start of a task passes to
        the worker unchanged.
    :param accepted: Unix time of the acceptance.
    :param repetition: schedule of a repeated job, or None for a job that
        runs once.
    """

    job: ids.JobId
    queue: ids.QueueId
    service: ids.ServiceId
    payload: str
    steps: tuple[Step, ...]
    accepted: datetime.timedelta
    repetition: Repetition | None = None
    customer: ids.CustomerId = ids.CustomerId("")

    @property
    def occurrences(self) -> int:
        """Number of times that the job runs all of its steps."""
        return self.repetition.count if self.repetition else 1
