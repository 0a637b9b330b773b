"""Interface to the platform's workers.

One call, ``sync``, renews the leases of the zone's tasks on a worker, hands
it operations, acknowledges events and returns new ones. With a wait time it
is also the event poll.
"""

import dataclasses
import datetime
import enum
import typing

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources


class TaskKind(enum.Enum):
    """What a task is to the worker."""

    BATCH = "batch"
    SERVICE = "service"


class TaskState(enum.Enum):
    """State of one attempt of a task on a worker."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    # Stopped on request or by a lapsed lease, with its last checkpoint.
    STOPPED = "stopped"
    # The start was refused; nothing ran.
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Start:
    """Start an attempt of a task.

    :param not_after: reading of the worker's monotonic clock after which
        the worker must refuse the start.
    :param run_time: declared run time of a batch task.
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
    """Stop an attempt; batch tasks are checkpointed first if asked."""

    task: ids.TaskId
    attempt: ids.Attempt
    checkpoint: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Throttle:
    """Limit an attempt to a share of its processors (0 to 1)."""

    task: ids.TaskId
    attempt: ids.Attempt
    share: float


Operation = Start | Stop | Throttle


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskEvent:
    """A change of an attempt's state, numbered per worker boot."""

    sequence: int
    task: ids.TaskId
    attempt: ids.Attempt
    state: TaskState
    detail: str = ""
    address: str = ""
    checkpoint: ids.CheckpointId | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskUsage:
    """Measured use of one attempt, reported with a lag.

    :param age: time since the measurement.
    :param latency: recent 99th percentile of a service task, zero if none.
    """

    task: ids.TaskId
    attempt: ids.Attempt
    used: resources.Resources
    age: datetime.timedelta
    latency: datetime.timedelta = datetime.timedelta()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SyncRequest:
    """What the zone's owner tells a worker.

    :param lease_until: reading of the worker's monotonic clock up to which
        the leases of the zone's tasks hold. An absolute reading keeps a
        request that was delayed in the network from extending a lease late.
    :param boot: boot id that ``lease_until``, ``acknowledged`` and the
        operations refer to, or an empty string. A worker with another boot
        id ignores all three.
    :param acknowledged: highest event sequence that is durable.
    :param inventory: whether the answer must list all running attempts.
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
    """What a worker tells the zone's owner.

    :param clock: the worker's monotonic clock when it answered.
    """

    boot: ids.BootId
    clock: datetime.timedelta
    events: tuple[TaskEvent, ...]
    usage: tuple[TaskUsage, ...] = ()
    running: tuple[RunningTask, ...] = ()


class WorkerPool(typing.Protocol):
    """Access to all workers by their address."""

    async def sync(
        self, address: str, request: SyncRequest, *, timeout: float
    ) -> SyncAnswer:
        """Exchange state with one worker.

        :raises StaleEpochError: if the worker has seen a higher epoch.
        :raises WorkerUnreachableError: if no usable answer came; whether
            the worker acted is unknown.
        """

    def forget(self, address: str) -> None:
        """Close connections to a worker that is no longer used."""
