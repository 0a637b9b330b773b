"""Tests of suspected workers, on which tasks of several jobs failed."""

import datetime

from tests.dispatch import fakes
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import interference
from turmerichook._internal.dispatch import jobs
from turmerichook._internal.dispatch import run_tracker
from turmerichook._internal.dispatch import waiting
from turmerichook._internal.dispatch import waiting_step
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses

SECOND = datetime.timedelta(seconds=1)
NOW = 1000 * SECOND
NO_WORKER = ids.WorkerId("")


def _make_run(task, step=run_tracker.STRAY_STEP):
    return fleet.Run(
        task=task,
        run=ids.Attempt(1),
        step=step,
        phase=fleet.RunPhase.STOPPING,
    )


def _make_suspected_worker():
    worker = fleet.Worker(worker=ids.WorkerId("a"), entry=fakes.entry("a"))
    worker.report_received = True
    for number in range(fleet.SUSPECT_FAILED_JOBS):
        failed = model.TaskKey(ids.JobId(f"{number:016x}"), 0, 0, 0)
        worker.update_health(model.EndKind.FAILED, _make_run(failed), NOW)
    return worker


class TestSuspectedWorker:
    """Tasks of three jobs in a row have failed on a worker."""

    def test_stray_run_does_not_end_the_suspension(self):
        """Guards against a suspension that ends early.

        This happens if the worker reports a run that the leader does not hold,
        and the zero start time of this run sets the end of the suspension.
        """
        worker = _make_suspected_worker()
        until = worker.suspended_until
        assert until == NOW + fleet.SUSPENSION_TIME
        worker.add(_make_run(model.TaskKey(ids.JobId("f" * 16), 0, 0, 0)))
        assert worker.suspended_until >= until

    def test_overdue_fillers_are_placed_one_at_a_time(self):
        """Guards against several failed attempts on a suspected worker.

        After the first task of an overdue job was placed, all workers were
        ranked again, including the suspected worker that had got the task.
        """
        worker = _make_suspected_worker()
        now = NOW + fleet.SUSPENSION_TIME + SECOND
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
            tasks.add(
                job,
                task,
                NO_WORKER,
                now - waiting_step.STARVATION_TIME - SECOND,
            )
        assignments = []
        tasks.place(
            workers=[worker],
            closed=(),
            approved=lambda _: None,
            answer_count=lambda key: 0,
            assign=lambda *arguments: assignments.append(arguments),
            full=lambda: False,
            interference=interference.Interference(),
            now=now,
            wall=now,
            limit=10,
        )
        assert len(assignments) == 1
