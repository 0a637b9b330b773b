"""What a process knows of the site: settings, configuration and workers."""

import dataclasses
import datetime
import enum

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources


@dataclasses.dataclass(frozen=True, kw_only=True)
class Timing:
    """Time limits that the site promises or demands.

    :param lease_max: longest lease of a task on a worker.
    :param stop_timeout: longest time that a stop on a worker takes.
    :param gang_timeout: how long members of a gang wait for the others.
    :param grace: time from a planned stop to the kill.
    :param drain_timeout: time in which a draining worker must stop getting
        tasks.
    :param contact: time without disturbance after which bounds hold.
    :param state_retention: how long a final job's state must be readable.
    """

    lease_max: datetime.timedelta
    stop_timeout: datetime.timedelta
    gang_timeout: datetime.timedelta
    grace: datetime.timedelta
    drain_timeout: datetime.timedelta
    contact: datetime.timedelta
    state_retention: datetime.timedelta


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntrySettings:
    """Settings of an entry process; addresses are ``ip:port``.

    :param listen: for callers.
    :param health_listen: for the load balancer's readiness checks.
    :param admin_listen: for metrics, or empty.
    :param advisor: of the service that tells which workers may run a step,
        or empty.
    :param processors: that the process may use.
    """

    node: ids.NodeId
    zone: ids.ZoneId
    zones: tuple[ids.ZoneId, ...]
    store: str
    host_service: str
    advisor: str
    listen: str
    health_listen: str
    admin_listen: str
    lease_ttl_min: datetime.timedelta
    timing: Timing
    processors: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdvisorTerms:
    """How the advisor of a queue answers.

    :param decision: time that an answer takes.
    :param each_worker: more time for each worker that is asked about.
    :param validity: how long a ticket is valid.
    """

    decision: datetime.timedelta
    each_worker: datetime.timedelta
    validity: datetime.timedelta


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Queue:
    """Where callers hand jobs in.

    :param host: value of the ``Host`` header, without a port.
    :param priority: 0 is the most urgent.
    :param max_attempts: failed runs of one task after which the job fails.
    :param slack_factor: objective in units of the job's longest chain.
    :param latency_objective: added to that.
    :param advisor: terms of the advisor that names the workers that may be
        used; None if all may.
    """

    queue: ids.QueueId
    host: str
    prefix: str
    service: ids.ServiceId
    priority: int
    max_attempts: int
    slack_factor: float
    latency_objective: datetime.timedelta
    timeout: datetime.timedelta
    advisor: AdvisorTerms | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A pool of workers.

    :param guarded: whether workers refuse what exceeds their capacity.
    :param standby: whether its hosts are switched off.
    """

    service: ids.ServiceId
    guarded: bool
    standby: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """What operators have set.

    :param body_bytes: largest request body.
    """

    version: int
    queues: tuple[Queue, ...]
    services: tuple[Service, ...]
    body_bytes: int

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue whose prefix is the longest that fits."""
        best: Queue | None = None
        for queue in self.queues:
            if queue.host == host and path.startswith(queue.prefix):
                if best is None or len(queue.prefix) > len(best.prefix):
                    best = queue
        return best

    def queue(self, name: ids.QueueId) -> Queue | None:
        """Return a queue by its name."""
        return next((q for q in self.queues if q.queue == name), None)


class WorkerState(enum.Enum):
    """What a worker says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkerEntry:
    """A worker's entry in the registry.

    :param incarnation: Unix time in milliseconds of the worker's start; an
        entry with another one is another life that knows nothing of before.
    :param capacity: what its tasks may take together.
    :param cold: how long it remains slow after its start.
    :param remaining: least time that a draining worker has left.
    """

    worker: ids.WorkerId
    incarnation: int
    address: str
    zone: ids.ZoneId
    service: ids.ServiceId
    state: WorkerState
    capacity: resources.Resources
    labels: frozenset[str]
    rack: ids.RackId
    cold: datetime.timedelta
    remaining: datetime.timedelta | None
