"""Tests of what is due by time alone."""

import datetime

from tests.dispatch import fakes
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import run_book
from turmerichook._internal.dispatch import watchdog
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model

NOW = datetime.timedelta(seconds=100)
ROUND = datetime.timedelta(milliseconds=25)


class Runs(dict):
    """Runs of a worker that count how often all are looked at."""

    looks = 0

    def values(self):
        self.looks += 1
        return super().values()


def watched():
    """Return a watchdog, and a worker with a stop that must be repeated."""
    book = run_book.RunBook()
    worker = fleet.Worker(worker=ids.WorkerId("a"), entry=fakes.entry("a"))
    worker.runs = Runs()
    task = model.TaskKey(ids.JobId("j"), 0, 0, 0)
    run = fleet.Run(
        task=task,
        run=ids.Attempt(1),
        step=fakes.step(),
        phase=fleet.RunPhase.RUNNING,
    )
    worker.add(run)
    book.workers[worker.worker] = worker
    book.stop(worker, run, NOW, "stalled")
    book.orders.clear()
    return watchdog.Watchdog(book=book, timing=fakes.TIMING), worker


class TestRounds:
    """Pattern: thousands of runs and forty rounds a second."""

    def test_runs_are_not_looked_at_in_each_round(self):
        """Guards against a leader that spends its rounds on looks at runs."""
        made, worker = watched()
        for number in range(40):
            made.tick(NOW + number * ROUND)
        assert worker.runs.looks <= 11

    def test_stop_is_repeated_in_time(self):
        """Guards against a stop without an answer that is forgotten."""
        made, _ = watched()
        for number in range(40):
            made.tick(NOW + number * ROUND)
            if made.book.orders:
                break
        late = number * ROUND - watchdog.STOP_REPEAT
        assert made.book.orders
        assert late <= datetime.timedelta(milliseconds=100)
