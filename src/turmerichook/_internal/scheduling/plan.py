"""Which tasks a zone should run, from configuration and job records."""

import dataclasses
import datetime

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal.providers import workers


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskSpec:
    """What has to run."""

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
    """Return how many replicas of a service belong in a zone.

    It depends on nothing but the configuration, so that owners of different
    zones agree without talking to each other.
    """
    allowed = [
        name
        for name in configuration.open_zones()
        if not service.zones or name in service.zones
    ]
    if zone not in allowed:
        return 0
    each, rest = divmod(service.replicas, len(allowed))
    return each + (1 if allowed.index(zone) < rest else 0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workload:
    """Equal tasks: a job, or the replicas of a service in a zone.

    :param key: start of the tasks' ids.
    :param count: number of tasks.
    :param zones: allowed zones; empty for all.
    :param start_by: monotonic time by which the tasks should start, None
        where none is declared.
    :param deadline: monotonic time after which the work is of no use.
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
        """Return one task."""
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
    """Return the services that have replicas in a zone."""
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
    """Return the work of a job.

    :param accepted: monotonic time at which the job was accepted; negative
        if that was before the clock began.
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
    """Return the workload's key and the number of a task."""
    key, _, number = task.rpartition("/")
    return key, int(number)


def job_of(task: ids.TaskId) -> ids.JobId:
    """Return the job of a batch task or its workload."""
    return ids.JobId(task.split("/")[1])


def is_batch(task: ids.TaskId) -> bool:
    """Tell whether a task belongs to a job."""
    return task.startswith("job/")


def service_of(task: ids.TaskId) -> ids.ServiceId:
    """Return the service of a service task or its workload."""
    return ids.ServiceId(task.split("/")[1])
