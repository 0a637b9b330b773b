"""Tests of a backlog of tasks whose workers an advisor must name."""

import dataclasses
import datetime

import pytest

from tests.dispatch import fakes
from turmerichook._internal.dispatch import advice
from turmerichook._internal.dispatch import dispatcher as dispatchers
from turmerichook._internal.dispatch import obstacles
from turmerichook._internal.models import deployment
from turmerichook._internal.workflow import progress as progresses

MS = datetime.timedelta(milliseconds=1)
NOW = 1000_000 * MS
ROUND = 25 * MS
WORKERS = 40
JOBS = 50
TERMS = deployment.AdvisorTerms(
    decision=30 * MS, each_worker=2 * MS, validity=60_000 * MS
)
QUEUE = dataclasses.replace(fakes.QUEUE, advisor=TERMS)
CONFIGURATION = dataclasses.replace(fakes.CONFIGURATION, queues=(QUEUE,))


@pytest.fixture
def looks(monkeypatch):
    """Return the looks at a worker for a step, in a list."""
    found = []
    look = obstacles.Conditions.obstacle

    def note(conditions, worker):
        found.append(worker)
        return look(conditions, worker)

    monkeypatch.setattr(obstacles.Conditions, "obstacle", note)
    return found


def _site():
    """Return a dispatcher with jobs for which no worker is approved."""
    dispatcher = dispatchers.Dispatcher(
        timing=fakes.TIMING, configuration=CONFIGURATION
    )
    for number in range(WORKERS):
        entry = fakes.entry(f"w{number}")
        dispatcher.set_entry(entry, NOW)
        dispatcher.workers[entry.worker].looked = True
    for number in range(JOBS):
        spec = fakes.job(f"{number:016x}", accepted=NOW)
        dispatcher.add_job(progresses.Progress(spec=spec), now=NOW, wall=NOW)
    nobody = advice.WorkerAdvice(
        incarnation=1, ticket="", until=NOW + 60_000 * MS
    )
    for step in dispatcher.waiting.steps.values():
        dispatcher.book.advice.by_step[step.key] = dict.fromkeys(
            dispatcher.workers, nobody
        )
    return dispatcher


class TestAdvisedBacklog:
    """Pattern: workers have room, and the advisor approves of none."""

    def test_placement_looks_at_no_worker_again(self, looks):
        """Guards against rounds that cost as much as backlog times workers.

        With 400 jobs and 160 workers a round took a tenth of a second, which
        no commit and no report could use.
        """
        dispatcher = _site()
        dispatcher.place(NOW, NOW, 100)
        dispatcher.place(NOW + ROUND, NOW + ROUND, 100)
        looks.clear()
        again = NOW + 2 * ROUND
        dispatcher.place(again, again, 100)
        # One step in 100 ms is held against all workers for the log.
        assert len(looks) <= WORKERS

    def test_known_answers_are_not_looked_through_again(self, monkeypatch):
        """Guards against a look at each worker for each step in 50 ms.

        With 400 jobs and 160 workers it took 38 ms.
        """
        looks = []
        worth = advice._needs_answer

        def note(*terms):
            looks.append(terms)
            return worth(*terms)

        monkeypatch.setattr(advice, "_needs_answer", note)
        dispatcher = _site()
        assert dispatcher.next_question(NOW, NOW) is None
        looks.clear()
        assert dispatcher.next_question(NOW + ROUND, NOW + ROUND) is None
        assert len(looks) <= WORKERS
