"""Where the tasks of a job would go now, without accepting the job.

The decisions are those of a placement round, made on copies of what a round
changes. All state of the dispatcher stays as it is.
"""

import dataclasses
import datetime

from turmerichook._internal.dispatch import dispatcher as dispatchers
from turmerichook._internal.dispatch import jobs
from turmerichook._internal.dispatch import waiting_step
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses

# Workers that are named for each step.
WORKERS_SHOWN = 5
# Tasks of a step for which workers are chosen, at most, as in a round.
TASKS_TRIED = 200
# Obstacle of tasks for which there is room until the tasks before them start.
ROOM_TAKEN = "room-taken-by-first-tasks"


@dataclasses.dataclass(frozen=True, kw_only=True)
class StepPlan:
    """What would become of a step's tasks now.

    :param after: steps that have to end first; the plan of such a step shows
        what would become of it if they had ended.
    :param position: place among the steps that wait, from 1.
    :param startable: number of tasks that would get a worker now, of at most
        ``TASKS_TRIED``, if no other step came first.
    :param workers: workers of the first tasks.
    :param obstacles: why the other tasks would wait; mostly the number of
        workers for each reason.
    """

    step: int
    tasks: int
    after: tuple[int, ...]
    position: int
    startable: int
    workers: tuple[ids.WorkerId, ...]
    obstacles: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobPlan:
    """What would become of a job now.

    :param waiting_steps: number of steps that wait at present.
    :param critical_path: estimated run time of its longest chain of steps.
    :param objective: time that its latency objective allows.
    """

    priority: int
    waiting_steps: int
    critical_path: datetime.timedelta
    objective: datetime.timedelta
    steps: tuple[StepPlan, ...]


def plan_job(
    dispatcher: dispatchers.Dispatcher,
    spec: model.JobSpec,
    *,
    now: datetime.timedelta,
    wall: datetime.timedelta,
) -> JobPlan:
    """Return the plan of a job that has not been submitted."""
    job = jobs.Job(
        progress=progresses.Progress(spec=spec),
        queue=dispatcher.queue_of(spec),
    )
    return JobPlan(
        priority=job.queue.priority,
        waiting_steps=len(dispatcher.waiting.steps),
        critical_path=job.progress.critical_path(),
        objective=job.time_allowed(),
        steps=tuple(
            _plan_step(dispatcher, job, number, now, wall)
            for number, step in enumerate(spec.steps)
            if step.count
        ),
    )


def _plan_step(
    dispatcher: dispatchers.Dispatcher,
    job: jobs.Job,
    number: int,
    now: datetime.timedelta,
    wall: datetime.timedelta,
) -> StepPlan:
    step = job.spec.steps[number]
    tasks = [
        model.TaskKey(job.spec.job, 0, number, index)
        for index in range(step.count)
    ]
    waiting = waiting_step.create(
        job, tasks[0], restarts=False, suspected=False, now=now
    )
    waiting.tasks.update(dict.fromkeys(tasks, ids.WorkerId("")))
    round_ = dispatcher.waiting.trial_round(
        workers=dispatcher.workers.values(),
        closed=dispatcher.closed_zones,
        approved=lambda step: dispatcher.approved(step, now),
        answer_count=dispatcher.run_tracker.advice.answer_count,
        interference=dispatcher.interference,
        now=now,
    )
    most = min(step.count, TASKS_TRIED)
    startable = dispatcher.waiting.startable(waiting, most)
    chosen = round_.choose(waiting, startable) if startable else []
    obstacles = ""
    if len(chosen) < most:
        waiting.quota_reached = len(chosen) == startable
        obstacles = round_.obstacles_of(waiting) or ROOM_TAKEN
    return StepPlan(
        step=number,
        tasks=step.count,
        after=step.after,
        position=dispatcher.waiting.position(waiting, now, wall),
        startable=len(chosen),
        workers=tuple(c.worker.worker for c in chosen[:WORKERS_SHOWN]),
        obstacles=obstacles,
    )
