"""Tests of a backlog of tasks for which the advisor approves no worker."""

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
def checks(monkeypatch):
    """Return a list that records each check of a worker for a step."""
    checked_workers = []
    original = obstacles.Conditions.obstacle

    def record(conditions, worker):
        checked_workers.append(worker)
        return original(conditions, worker)

    monkeypatch.setattr(obstacles.Conditions, "obstacle", record)
    return checked_workers


def _dispatcher_without_approvals():
    """Return a dispatcher with jobs whose steps no worker may run."""
    dispatcher = dispatchers.Dispatcher(
        timing=fakes.TIMING, configuration=CONFIGURATION
    )
    for number in range(WORKERS):
        entry = fakes.entry(f"w{number}")
        dispatcher.set_entry(entry, NOW)
        dispatcher.workers[entry.worker].report_received = True
    for number in range(JOBS):
        spec = fakes.job(f"{number:016x}", accepted=NOW)
        dispatcher.add_job(progresses.Progress(spec=spec), now=NOW, wall=NOW)
    rejection = advice.WorkerAdvice(
        incarnation=1, ticket="", until=NOW + 60_000 * MS
    )
    for step in dispatcher.waiting.steps.values():
        dispatcher.run_tracker.advice.by_step[step.key] = dict.fromkeys(
            dispatcher.workers, rejection
        )
    return dispatcher


class TestAdvisedBacklog:
    """Workers have free capacity, but the advisor approves none of them."""

    def test_placement_looks_at_no_worker_again(self, checks):
        """Guards against rounds that check each step against each worker.

        With 400 jobs and 160 workers such a round took 0.1 s, during which
        the leader could process no commit and no report.
        """
        dispatcher = _dispatcher_without_approvals()
        dispatcher.place(NOW, NOW, 100)
        dispatcher.place(NOW + ROUND, NOW + ROUND, 100)
        checks.clear()
        again = NOW + 2 * ROUND
        dispatcher.place(again, again, 100)
        # To log why a step waits, one step per 100 ms is checked against
        # all workers.
        assert len(checks) <= WORKERS

    def test_known_answers_are_not_looked_through_again(self, monkeypatch):
        """Guards against going through all answers every 50 ms.

        The search for the next question checked the answer of each worker for
        each step. With 400 jobs and 160 workers this took 38 ms.
        """
        checks = []
        original = advice._needs_answer

        def record(*arguments):
            checks.append(arguments)
            return original(*arguments)

        monkeypatch.setattr(advice, "_needs_answer", record)
        dispatcher = _dispatcher_without_approvals()
        assert dispatcher.next_question(NOW, NOW) is None
        checks.clear()
        assert dispatcher.next_question(NOW + ROUND, NOW + ROUND) is None
        assert len(checks) <= WORKERS
