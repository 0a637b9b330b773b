"""Which tasks a zone should run, from configuration and job records."""

import dataclasses
import datetime

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal.platform import workers


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


def service_tasks(
    zone: ids.ZoneId, configuration: site.Configuration
) -> list[TaskSpec]:
    """Return the replicas that belong in a zone."""
    return [
        TaskSpec(
            task=ids.TaskId(f"service/{service.service}/{zone}/{number}"),
            kind=workers.TaskKind.SERVICE,
            team=service.team,
            resources=service.resources,
            urgency=service.urgency,
            slots=service.slots,
            connections=service.connections,
        )
        for service in configuration.services.values()
        for number in range(replicas_in(service, zone, configuration))
    ]


def job_tasks(job: site.Job) -> list[TaskSpec]:
    """Return the tasks of a job."""
    return [
        TaskSpec(
            task=ids.TaskId(f"job/{job.job}/{number}"),
            kind=workers.TaskKind.BATCH,
            team=job.team,
            resources=job.resources,
            urgency=job.urgency,
            run_time=job.run_time,
        )
        for number in range(job.tasks)
    ]


def job_of(task: ids.TaskId) -> ids.JobId:
    """Return the job of a batch task."""
    return ids.JobId(task.split("/")[1])


def is_batch(task: ids.TaskId) -> bool:
    """Tell whether a task belongs to a job."""
    return task.startswith("job/")


def service_of(task: ids.TaskId) -> ids.ServiceId:
    """Return the service of a service task."""
    return ids.ServiceId(task.split("/")[1])
