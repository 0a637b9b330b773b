"""Task classes: groups of tasks with common learned sizes and slowdowns."""

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

    All replicas of a service form one class. Batch tasks of a team whose job
    ids differ only in digits form one class: a recurring job has a date or a
    sequence number in its id, and in a class of its own each run would start
    without the usage learned from earlier runs.
    """
    if spec.kind is workers.TaskKind.SERVICE:
        return TaskClass(f"service/{plan.service_of(spec.task)}")
    return _batch_class(spec.team, plan.job_of(spec.task))


@functools.lru_cache(maxsize=4096)
def _batch_class(team: ids.TeamId, job: ids.JobId) -> TaskClass:
    return TaskClass(f"{team}/{DIGITS.sub('#', job)}")
