"""Task records of a zone and the commands that its decisions give."""

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
    # Room is being freed for the task on a host.
    RESERVED = "reserved"
    # Assigned in the journal; whether it runs is not yet known.
    ASSIGNED = "assigned"
    RUNNING = "running"
    STOPPING = "stopping"
    FINISHED = "finished"
    FAILED = "failed"


@dataclasses.dataclass(kw_only=True, slots=True)
class Task:
    """A task that was assigned at least once.

    :param wanted: whether the plan still holds the task.
    :param since: monotonic time at which the task entered its phase.
    :param host: where it is assigned or has its room reserved.
    :param amount: what the current attempt commits.
    :param saved: monotonic time of the last checkpoint or of the start.
    :param due: monotonic time before which it is not tried again.
    :param avoid: hosts on which attempts have failed or never began.
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
    """Send a start once its assignment is durable."""

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
