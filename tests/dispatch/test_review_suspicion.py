"""Tests of workers that fail what they start."""

import datetime

from tests.dispatch import fakes
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import run_book
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model

SECOND = datetime.timedelta(seconds=1)
NOW = 1000 * SECOND


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
    for number in range(fleet.SUSPECT_FAILURES):
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
