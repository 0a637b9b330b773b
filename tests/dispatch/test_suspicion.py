"""Tests of workers that fail what they start."""

import datetime

from tests.dispatch import fakes
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import interference
from turmerichook._internal.dispatch import jobs
from turmerichook._internal.dispatch import run_book
from turmerichook._internal.dispatch import waiting
from turmerichook._internal.dispatch import waiting_step
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses

SECOND = datetime.timedelta(seconds=1)
NOW = 1000 * SECOND
NOBODY = ids.WorkerId("")


def _run(task, step=run_book.STRAY):
    return fleet.Run(
        task=task,
        run=ids.Attempt(1),
        step=step,
        phase=fleet.RunPhase.STOPPING,
    )


def _suspected():
    worker = fleet.Worker(worker=ids.WorkerId("a"), entry=fakes.entry("a"))
    worker.looked = True
    for number in range(fleet.SUSPECT_FAILED_JOBS):
        failed = model.TaskKey(ids.JobId(f"{number:016x}"), 0, 0, 0)
        worker.note_end(model.EndKind.FAILED, _run(failed), NOW)
    return worker


class TestSuspectedWorker:
    """Pattern: a worker has failed tasks of three jobs in a row."""

    def test_unknown_run_does_not_end_the_suspension(self):
        """Guards against tasks for a failing worker that lists a stray run."""
        worker = _suspected()
        until = worker.suspended_until
        assert until == NOW + fleet.SUSPENSION
        worker.add(_run(model.TaskKey(ids.JobId("f" * 16), 0, 0, 0)))
        assert worker.suspended_until >= until

    def test_overdue_fillers_go_there_one_at_a_time(self):
        """Guards against several attempts that are lost on a failing worker.

        The first task of an overdue job let all workers be ranked again, the
        one that it was given to as well.
        """
        worker = _suspected()
        now = NOW + fleet.SUSPENSION + SECOND
        step = fakes.step(
            4,
            filler=True,
            demand=resources.Resources(millicores=1000, memory_mib=100),
        )
        job = jobs.Job(
            progress=progresses.Progress(
                spec=fakes.job("0" * 16, step, accepted=now)
            ),
            queue=fakes.QUEUE,
        )
        tasks = waiting.WaitingTasks()
        for task in job.progress.open_occurrence():
            tasks.add(job, task, NOBODY, now - waiting_step.PATIENCE - SECOND)
        given = []
        tasks.place(
            workers=[worker],
            closed=(),
            approved=lambda _: None,
            assign=lambda *terms: given.append(terms),
            full=lambda: False,
            interference=interference.Interference(),
            now=now,
            wall=now,
            limit=10,
        )
        assert len(given) == 1
