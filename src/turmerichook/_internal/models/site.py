"""The operators' configuration as plain data."""

import dataclasses
import datetime
import enum
import typing

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources


class ZoneState(enum.Enum):
    """Whether an availability zone may get new work."""

    IN = "in"
    OUT = "out"


class Urgency(enum.Enum):
    """How much delay a request or task can stand."""

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
    """A team and the most that its running tasks may commit in all zones.

    :param quota: limit for the sum of commitments; None for no limit.
    :param weight: share of contended room relative to other teams.
    :param request_rate: requests a second to the team's services on all
        gateways together; None for no limit.
    """

    team: ids.TeamId
    quota: resources.Resources | None = None
    weight: float = 1.0
    request_rate: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A latency-critical service.

    :param replicas: tasks in all zones together.
    :param zones: zones that may hold replicas.
    :param slots: requests that one replica works on at once.
    :param connections: connections that one replica accepts.
    :param latency_target: 99th percentile that replicas should keep next to
        batch work; None leaves them without protection.
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
    :param zones: allowed zones; empty for all.
    :param start_by: time after acceptance by which tasks should start; it
        orders the jobs of one team.
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
    """What the site weighs in placement.

    :param spread: preference for hosts with much room left.
    :param pack: preference for hosts with little room left.
    :param interference: reluctance to place batch next to services that it
        slows down.
    """

    spread: float = 1.0
    pack: float = 0.0
    interference: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """All that operators set, as one generation."""

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
        """Return the zones that may get new work, in name order."""
        return tuple(
            sorted(
                name
                for name, zone in self.zones.items()
                if zone.state is ZoneState.IN
            )
        )


EMPTY = Configuration()
