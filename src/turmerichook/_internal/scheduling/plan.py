"""Workloads that a zone should run, by configuration and job records."""

import dataclasses
import datetime

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal.providers import workers


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskSpec:
    """Specification of one task.

    :param resources: declared resources of the task.
    :param run_time: declared run time of a batch task.
    :param slots: requests that a replica serves at a time.
    :param connections: connections that a replica accepts.
    """

    task: ids.TaskId
    kind: workers.TaskKind
    team: ids.TeamId
    resources: resources.Resources
    urgency: site.Urgency
    run_time: datetime.timedelta = datetime.timedelta()
    slots: int = 0
    connections: int = 0


def replicas_in(
    service: site.Service,
    zone: ids.ZoneId,
    configuration: site.Configuration,
) -> int:
    """Return how many replicas of a service a zone should run.

    The replicas are split evenly over the open zones that the service allows.
    The result depends on the configuration only, so that the owners of
    different zones agree without communication.
    """
    allowed = [
        name
        for name in configuration.open_zones()
        if not service.zones or name in service.zones
    ]
    if zone not in allowed:
        return 0
    base, remainder = divmod(service.replicas, len(allowed))
    return base + (1 if allowed.index(zone) < remainder else 0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workload:
    """A set of identical tasks: a job, or a service's replicas in a zone.

    :param key: prefix of the tasks' ids.
    :param count: number of tasks.
    :param zones: allowed zones; empty if all are allowed.
    :param start_by: monotonic time by which the tasks should start, None
        where none is declared.
    :param deadline: monotonic time after which the result has no use.
    """

    key: str
    kind: workers.TaskKind
    team: ids.TeamId
    resources: resources.Resources
    urgency: site.Urgency
    count: int
    zones: tuple[ids.ZoneId, ...] = ()
    run_time: datetime.timedelta = datetime.timedelta()
    slots: int = 0
    connections: int = 0
    start_by: datetime.timedelta | None = None
    deadline: datetime.timedelta | None = None

    def name(self, number: int) -> ids.TaskId:
        """Return the id of one task."""
        return ids.TaskId(f"{self.key}/{number}")

    def task(self, number: int) -> TaskSpec:
        """Return the specification of one task."""
        return TaskSpec(
            task=self.name(number),
            kind=self.kind,
            team=self.team,
            resources=self.resources,
            urgency=self.urgency,
            run_time=self.run_time,
            slots=self.slots,
            connections=self.connections,
        )


def service_work(
    zone: ids.ZoneId, configuration: site.Configuration
) -> list[Workload]:
    """Return the workloads of the services with replicas in a zone."""
    work = []
    for service in configuration.services.values():
        count = replicas_in(service, zone, configuration)
        if count:
            work.append(
                Workload(
                    key=f"service/{service.service}/{zone}",
                    kind=workers.TaskKind.SERVICE,
                    team=service.team,
                    resources=service.resources,
                    urgency=service.urgency,
                    count=count,
                    slots=service.slots,
                    connections=service.connections,
                )
            )
    return work


def job_work(job: site.Job, accepted: datetime.timedelta) -> Workload:
    """Return the workload of a job.

    :param accepted: monotonic time at which the job was accepted; negative
        if it was accepted before the zero point of the monotonic clock.
    """
    return Workload(
        key=job_key(job.job),
        kind=workers.TaskKind.BATCH,
        team=job.team,
        resources=job.resources,
        urgency=job.urgency,
        count=job.tasks,
        zones=job.zones,
        run_time=job.run_time,
        start_by=None if job.start_by is None else accepted + job.start_by,
        deadline=None if job.deadline is None else accepted + job.deadline,
    )


def job_key(job: ids.JobId) -> str:
    """Return the key of a job's workload."""
    return f"job/{job}"


def split(task: ids.TaskId) -> tuple[str, int]:
    """Split a task id into the key of its workload and its number."""
    key, _, number = task.rpartition("/")
    return key, int(number)


def job_of(task: ids.TaskId) -> ids.JobId:
    """Return the job of a batch task's id or of its workload's key."""
    return ids.JobId(task.split("/")[1])


def is_batch(task: ids.TaskId) -> bool:
    """Tell whether a task belongs to a job."""
    return task.startswith("job/")


def service_of(task: ids.TaskId) -> ids.ServiceId:
    """Return the service of a replica's id or of its workload's key."""
    return ids.ServiceId(task.split("/")[1])
