"""Co-location decisions, which the zone's owner carries out."""

import dataclasses
import enum

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.scheduling import health
from turmerichook._internal.scheduling import ladder


class StopReason(enum.Enum):
    """Why a batch task is evicted from its host."""

    SLOW_SERVICE = "slow-service"
    OUTGROWN = "outgrown"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Throttle:
    """Limit an attempt to a share of its processors.

    :param share: 1.0 lifts the limit.
    """

    host: ids.HostId
    task: ids.TaskId
    attempt: ids.Attempt
    share: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Evict:
    """Stop an attempt and remove it from its host.

    :param checkpoint: whether the attempt may write a checkpoint first.
    :param again: whether the decision repeats an earlier one that has had no
        effect. It is not counted against the eviction budgets again.
    """

    host: ids.HostId
    task: ids.TaskId
    attempt: ids.Attempt
    checkpoint: bool
    reason: StopReason
    again: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Resize:
    """Change the resources that a host has committed to an attempt."""

    host: ids.HostId
    task: ids.TaskId
    attempt: ids.Attempt
    before: resources.Resources
    after: resources.Resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EvictionDenied:
    """An eviction budget did not allow the eviction of a task."""

    host: ids.HostId
    task: ids.TaskId
    reason: StopReason


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StepChanged:
    """The escalation step of a host has changed."""

    host: ids.HostId
    before: ladder.Step
    step: ladder.Step


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobAtFault:
    """A job failed quickly on several hosts and never succeeded."""

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
