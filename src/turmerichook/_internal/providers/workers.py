"""Interface to the platform's workers.

The owner of a zone, a scheduler, controls a worker by a single call, ``sync``.
The call renews the leases of the zone's tasks on the worker, sends operations,
acknowledges task events and returns new ones. With a wait time, the call is a
long poll for events.
"""

import dataclasses
import datetime
import enum
import typing

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources


class TaskKind(enum.Enum):
    """Kind of workload that a task runs."""

    BATCH = "batch"
    SERVICE = "service"


class TaskState(enum.Enum):
    """State of one attempt of a task on a worker."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    # Stopped on request or because its lease expired; the event holds the
    # last checkpoint, if any.
    STOPPED = "stopped"
    # The worker refused the start; nothing was run.
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Start:
    """Start an attempt of a task.

    :param not_after: reading of the worker's monotonic clock after which
        the worker must refuse the start.
    :param run_time: declared run time of a batch task.
    :param checkpoint: checkpoint from which a batch task resumes.
    """

    task: ids.TaskId
    attempt: ids.Attempt
    kind: TaskKind
    resources: resources.Resources
    not_after: datetime.timedelta
    run_time: datetime.timedelta = datetime.timedelta()
    checkpoint: ids.CheckpointId | None = None
    slots: int = 0
    connections: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stop:
    """Stop an attempt.

    :param checkpoint: whether a batch task saves a checkpoint first.
    """

    task: ids.TaskId
    attempt: ids.Attempt
    checkpoint: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Throttle:
    """Limit an attempt's use of processors.

    :param share: fraction of its processors that it may use, from 0 to 1.
    """

    task: ids.TaskId
    attempt: ids.Attempt
    share: float


Operation = Start | Stop | Throttle


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskEvent:
    """A change of an attempt's state.

    :param sequence: number of the event since the worker started.
    :param address: address of a running service task.
    """

    sequence: int
    task: ids.TaskId
    attempt: ids.Attempt
    state: TaskState
    detail: str = ""
    address: str = ""
    checkpoint: ids.CheckpointId | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskUsage:
    """Measured resource use of one attempt, reported with a delay.

    :param age: time since the measurement.
    :param latency: recent 99th percentile of the latency of a service task;
        zero if there is none.
    """

    task: ids.TaskId
    attempt: ids.Attempt
    used: resources.Resources
    age: datetime.timedelta
    latency: datetime.timedelta = datetime.timedelta()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SyncRequest:
    """Request of a zone's owner to a worker.

    :param lease_until: time on the worker's monotonic clock at which the
        leases of the zone's tasks expire. The time is absolute because a
        duration would extend the leases too far if the network delayed the
        request.
    :param boot: boot id that ``lease_until``, ``acknowledged`` and the
        operations refer to, or an empty string if none is known. A worker
        with another boot id ignores all three.
    :param acknowledged: highest event sequence that the owner has stored
        durably; the worker may drop events up to this one.
    :param inventory: whether the response must list all running attempts.
    :param wait: longest time to wait for an event if there is none.
    """

    zone: ids.ZoneId
    epoch: ids.Epoch
    owner: ids.NodeId
    lease_until: datetime.timedelta
    boot: ids.BootId
    acknowledged: int
    operations: tuple[Operation, ...] = ()
    inventory: bool = False
    wait: datetime.timedelta = datetime.timedelta()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunningTask:
    """An attempt that runs on the worker."""

    task: ids.TaskId
    attempt: ids.Attempt
    kind: TaskKind
    resources: resources.Resources
    address: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SyncAnswer:
    """Response of a worker to a zone's owner.

    :param boot: id that the worker chose when it started.
    :param clock: the worker's monotonic clock when it sent the response.
    :param running: all running attempts if the request asked for them.
    """

    boot: ids.BootId
    clock: datetime.timedelta
    events: tuple[TaskEvent, ...]
    usage: tuple[TaskUsage, ...] = ()
    running: tuple[RunningTask, ...] = ()


class WorkerPool(typing.Protocol):
    """Access to workers by their addresses."""

    async def sync(
        self, address: str, request: SyncRequest, *, timeout: float
    ) -> SyncAnswer:
        """Send a request to one worker and return its response.

        :param timeout: seconds allowed in addition to the request's wait.
        :raises StaleEpochError: if the worker has seen a higher epoch.
        :raises WorkerUnreachableError: if no valid response arrived; the
            worker may or may not have applied the request.
        """

    def forget(self, address: str) -> None:
        """Close the connections to a worker that is no longer needed."""
