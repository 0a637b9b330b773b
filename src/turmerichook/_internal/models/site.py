"""Data types of the operators' configuration."""

import dataclasses
import datetime
import enum
import typing

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources


class ZoneState(enum.Enum):
    """Whether new work may be placed in an availability zone."""

    IN = "in"
    OUT = "out"


class Urgency(enum.Enum):
    """How much delay a request or task tolerates."""

    URGENT = "urgent"
    NORMAL = "normal"
    DEFERRABLE = "deferrable"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Zone:
    """An availability zone."""

    zone: ids.ZoneId
    region: ids.RegionId
    state: ZoneState = ZoneState.IN


@dataclasses.dataclass(frozen=True, kw_only=True)
class Team:
    """A team, with limits on the resources and requests of its work.

    :param quota: limit on the resources committed to the team's running
        tasks in all zones together; None for no limit.
    :param weight: share of contended capacity relative to other teams.
    :param request_rate: limit on the requests per second to the team's
        services on all gateways together; None for no limit.
    """

    team: ids.TeamId
    quota: resources.Resources | None = None
    weight: float = 1.0
    request_rate: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A latency-critical service.

    :param replicas: number of replicas in all zones together.
    :param zones: zones in which replicas may run.
    :param slots: number of requests that one replica processes at once.
    :param connections: number of connections that one replica accepts.
    :param latency_target: 99th percentile of the latency that replicas
        should keep when batch work runs on the same hosts; None does not
        protect them from batch work.
    """

    service: ids.ServiceId
    team: ids.TeamId
    replicas: int
    resources: resources.Resources
    zones: tuple[ids.ZoneId, ...]
    slots: int = 8
    connections: int = 64
    urgency: Urgency = Urgency.URGENT
    latency_target: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Job:
    """A batch job of equal tasks.

    :param tasks: number of tasks.
    :param run_time: declared run time of one task.
    :param zones: allowed zones; empty allows all zones.
    :param start_by: time after acceptance by which tasks should start; the
        jobs of one team are ordered by it.
    :param deadline: time after acceptance at which an unfinished job fails.
    """

    job: ids.JobId
    team: ids.TeamId
    tasks: int
    resources: resources.Resources
    run_time: datetime.timedelta
    zones: tuple[ids.ZoneId, ...] = ()
    urgency: Urgency = Urgency.NORMAL
    start_by: datetime.timedelta | None = None
    deadline: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Weights:
    """Weights of the site's criteria for choosing hosts.

    :param spread: weight of choosing hosts with much free capacity.
    :param pack: weight of choosing hosts with little free capacity.
    :param interference: weight of keeping batch tasks off hosts of services
        that these tasks slow down.
    """

    spread: float = 1.0
    pack: float = 0.0
    interference: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """Contents of one generation of the operators' configuration.

    :param site: name of the site.
    :param weights: weights of the placement criteria.
    """

    site: str = ""
    weights: Weights = Weights()
    zones: typing.Mapping[ids.ZoneId, Zone] = dataclasses.field(
        default_factory=dict
    )
    teams: typing.Mapping[ids.TeamId, Team] = dataclasses.field(
        default_factory=dict
    )
    services: typing.Mapping[ids.ServiceId, Service] = dataclasses.field(
        default_factory=dict
    )
    jobs: typing.Mapping[ids.JobId, Job] = dataclasses.field(
        default_factory=dict
    )

    def open_zones(self) -> tuple[ids.ZoneId, ...]:
        """Return the zones open to new work, sorted by name."""
        return tuple(
            sorted(
                name
                for name, zone in self.zones.items()
                if zone.state is ZoneState.IN
            )
        )


EMPTY = Configuration()
