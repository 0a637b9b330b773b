"""Data types for settings, platform configuration and worker entries."""

import dataclasses
import datetime
import enum

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources


@dataclasses.dataclass(frozen=True, kw_only=True)
class Timing:
    """Time limits of the site's policy.

    :param lease_max: longest lease of a task on a worker.
    :param stop_timeout: longest time that a worker takes to stop a task.
    :param gang_timeout: how long tasks of a gang, which must all run at the
        same time, wait for the others.
    :param grace: time from the start of a planned stop of a process until
        the process is killed.
    :param drain_timeout: time after which a draining worker must no longer
        be assigned tasks.
    :param contact: time without faults after which the guaranteed time
        bounds apply again.
    :param state_retention: how long the state of a job must stay readable
        after the job has ended.
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
    """Settings of an entry process; all addresses are ``ip:port``.

    :param zone: availability zone of the process.
    :param zones: all availability zones of the site.
    :param store: address of the store.
    :param host_service: address of the service that lists hosts.
    :param advisor: address of the service that tells which workers may run
        a step, or empty if there is none.
    :param listen: address on which callers are served.
    :param health_listen: address that answers the load balancer's readiness
        checks.
    :param admin_listen: address that serves metrics, or empty for none.
    :param lease_ttl_min: shortest time to live that the store allows for a
        lease.
    :param processors: number of processors that the process may use.
    :param revocation_timeout: time after which a key that operators have
        removed must not be accepted any more, even by a process that the
        store does not answer; None if that is not required.
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
    revocation_timeout: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdvisorTerms:
    """Response times and ticket validity of a queue's advisor.

    The advisor is the service that approves workers for the queue's tasks.

    :param decision: time that the advisor takes for any answer.
    :param each_worker: time added for each worker in the question.
    :param validity: how long the ticket that the advisor issues is valid.
    """

    decision: datetime.timedelta
    each_worker: datetime.timedelta
    validity: datetime.timedelta


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Queue:
    """Queue to which callers submit jobs.

    :param host: value of the ``Host`` header that selects the queue, without
        a port.
    :param prefix: path prefix that selects the queue.
    :param service: pool of workers that runs the queue's tasks.
    :param priority: scheduling priority; 0 is the most urgent.
    :param max_attempts: number of failed runs of one task after which the
        job fails.
    :param slack_factor: factor that is multiplied by the run time of the
        job's longest chain of dependent tasks to give the variable part of
        the job's latency objective.
    :param latency_objective: constant part, added to the variable part.
    :param advisor: terms of the advisor that decides which workers may run
        the queue's tasks; None if all workers may.
    :param public: whether requests need no key of a customer.
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
    public: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A pool of workers.

    :param guarded: whether workers refuse tasks that exceed their capacity.
    :param standby: whether the pool's hosts are powered off.
    """

    service: ids.ServiceId
    guarded: bool
    standby: bool


# Amount of a resource that a quota does not limit.
UNLIMITED = 2**53


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Customer:
    """A customer whose jobs share the workers with those of others.

    :param keys: keys that the customer's requests may carry.
    :param weight: the customer's share when the workers are full, relative
        to other customers.
    :param quota: what the customer's tasks may use on all workers together;
        ``UNLIMITED`` of a resource that is not limited.
    """

    customer: ids.CustomerId
    keys: tuple[str, ...] = dataclasses.field(repr=False)
    weight: float
    quota: resources.Resources


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """Configuration that operators set on the platform.

    :param body_bytes: size limit of a request body.
    :param customers: None if the deployment does not tell customers apart, so
        that requests need no key.
    """

    version: int
    queues: tuple[Queue, ...]
    services: tuple[Service, ...]
    body_bytes: int
    customers: tuple[Customer, ...] | None = None

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host with the longest matching path prefix."""
        longest_match: Queue | None = None
        for queue in self.queues:
            if queue.host == host and path.startswith(queue.prefix):
                if longest_match is None or len(queue.prefix) > len(
                    longest_match.prefix
                ):
                    longest_match = queue
        return longest_match

    def queue(self, name: ids.QueueId) -> Queue | None:
        """Return a queue by its name."""
        return next((q for q in self.queues if q.queue == name), None)


class WorkerState(enum.Enum):
    """State that a worker reports in its registry entry."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkerEntry:
    """A worker's entry in the registry.

    :param incarnation: Unix time in milliseconds of the worker's start. A
        different value means that the worker was restarted and kept no state
        from before.
    :param address: address at which the worker takes requests.
    :param capacity: resources that all tasks on the worker may use together.
    :param cold: how long the worker stays slow because it started recently.
    :param remaining: shortest time for which a draining worker still runs;
        None if its entry gives none.
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

    def is_of_kind(self, service: ids.ServiceId, label: str) -> bool:
        """Return whether the worker is of a service and has a label.

        :param label: empty if any labels will do.
        """
        return self.service == service and (not label or label in self.labels)
