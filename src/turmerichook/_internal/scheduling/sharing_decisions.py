"""Decisions of co-location that the zone's owner carries out."""

import dataclasses
import enum

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.scheduling import health
from turmerichook._internal.scheduling import ladder


class StopReason(enum.Enum):
    """Why a batch task is taken off its host."""

    SLOW_SERVICE = "slow-service"
    OUTGROWN = "outgrown"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Throttle:
    """Limit an attempt to a share of its processors."""

    host: ids.HostId
    task: ids.TaskId
    attempt: ids.Attempt
    share: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Evict:
    """Take an attempt off its host.

    :param again: whether an earlier request had no effect yet; it is not
        counted against the budgets again.
    """

    host: ids.HostId
    task: ids.TaskId
    attempt: ids.Attempt
    checkpoint: bool
    reason: StopReason
    again: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Resize:
    """Change the commitment of an attempt."""

    host: ids.HostId
    task: ids.TaskId
    attempt: ids.Attempt
    before: resources.Resources
    after: resources.Resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EvictionDenied:
    """A budget kept a task on its host."""

    host: ids.HostId
    task: ids.TaskId
    reason: StopReason


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StepChanged:
    """A host is on another step of the ladder."""

    host: ids.HostId
    before: ladder.Step
    step: ladder.Step


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobAtFault:
    """A job fails on every host it was tried on."""

    job: ids.JobId


Decision = (
    Throttle
    | Evict
    | Resize
    | EvictionDenied
    | StepChanged
    | JobAtFault
    | health.Change
)
