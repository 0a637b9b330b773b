"""Task records of a zone, and the commands that follow from decisions."""

import dataclasses
import datetime
import enum

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import retries


class Phase(enum.Enum):
    """Phase of a task in its zone."""

    WAITING = "waiting"
    # Capacity is reserved on a host where other tasks are being stopped.
    RESERVED = "reserved"
    # The assignment is written, or is about to be written, to the journal;
    # no worker has reported yet that the attempt runs.
    ASSIGNED = "assigned"
    RUNNING = "running"
    STOPPING = "stopping"
    FINISHED = "finished"
    FAILED = "failed"


@dataclasses.dataclass(kw_only=True, slots=True)
class Task:
    """A task that was assigned, or for which capacity was reserved.

    :param wanted: whether the planned workloads still include the task.
    :param since: monotonic time at which the task entered its phase.
    :param host: host to which the task is assigned, or on which capacity is
        reserved for it.
    :param amount: amount that the current attempt commits or has reserved.
    :param saved: monotonic time of the last checkpoint, or of the start of
        the attempt if there was none since.
    :param due: monotonic time before which a failed task does not start
        again; None if no delay is running.
    :param avoid: hosts on which attempts have failed or never began to run.
    :param failures: failed attempts of the task.
    """

    spec: plan.TaskSpec
    phase: Phase
    since: datetime.timedelta
    amount: resources.Resources
    attempt: ids.Attempt = ids.Attempt(0)
    host: ids.HostId | None = None
    checkpoint: ids.CheckpointId | None = None
    address: str = ""
    wanted: bool = True
    saved: datetime.timedelta = datetime.timedelta()
    due: datetime.timedelta | None = None
    avoid: frozenset[ids.HostId] = frozenset()
    failures: retries.Failures = dataclasses.field(
        default_factory=retries.Failures
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartCommand:
    """Start an attempt once the journal has stored its assignment."""

    task: ids.TaskId
    host: ids.HostId
    attempt: ids.Attempt
    amount: resources.Resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StopCommand:
    """Ask a worker to stop an attempt."""

    host: ids.HostId
    stop: workers.Stop


Command = StartCommand | StopCommand
