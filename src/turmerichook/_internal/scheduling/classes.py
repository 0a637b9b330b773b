"""Task classes, the unit that sizes and interference are learned for."""

import functools
import re
import typing

from turmerichook._internal.models import ids
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import plan

TaskClass = typing.NewType("TaskClass", str)

DIGITS = re.compile(r"[0-9]+")


def class_of(spec: plan.TaskSpec) -> TaskClass:
    """Return the class of a task.

    Replicas of a service are one class. Batch tasks of a team whose job ids
    differ only in digits are one class, since recurring jobs carry a date or
    a sequence number in their id and a new class would learn nothing.
    """
    if spec.kind is workers.TaskKind.SERVICE:
        return TaskClass(f"service/{plan.service_of(spec.task)}")
    return _batch_class(spec.team, plan.job_of(spec.task))


@functools.lru_cache(maxsize=4096)
def _batch_class(team: ids.TeamId, job: ids.JobId) -> TaskClass:
    return TaskClass(f"{team}/{DIGITS.sub('#', job)}")
