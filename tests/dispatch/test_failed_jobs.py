"""Tests of what the log tells about a job that has failed."""

import io
import json

import pytest

from tests.dispatch import fakes
from tests.dispatch import test_crashing_tasks
from tests.dispatch import test_lapsed_runs
from turmerichook._internal.dispatch import crashes
from turmerichook._internal.dispatch import events
from turmerichook._internal.logs import limits
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model

JOB = test_crashing_tasks.JOB


@pytest.fixture(name="log")
def _log(monkeypatch):
    """Yield the log, after too many lines on crashes for a further one."""
    sink = io.StringIO()
    monkeypatch.setattr(logs, "_limiter", limits.Limiter())
    logs.configure(node="n", style=logs.JSON, level="INFO", sink=sink)
    for _ in range(1000):
        logs.emit(events.DispatchEvent.TASK_CRASHED_WORKER)
    yield sink
    logs.configure(node="", style=logs.TEXT, level="INFO")


def find(log, event):
    """Return the lines of one event that name the job."""
    lines = [json.loads(line) for line in log.getvalue().splitlines()]
    return [
        line
        for line in lines
        if line["event"] == event and line.get("job") == JOB
    ]


class TestReason:
    """The log names why a job failed, however much else is logged."""

    def test_crashed_workers(self, log):
        """Guards against a failure whose only line was suppressed."""
        site = test_crashing_tasks.CrashHarness(
            *test_crashing_tasks.workers(6)
        )
        site.submit(fakes.job(JOB, test_crashing_tasks.step()))
        site.play(60)
        (failed,) = find(log, "job-failed")
        (ended,) = find(log, "job-ended")
        assert failed["reason"] == ended["reason"] == "workers-crashed"
        assert failed["task"] == "0.0.0"
        assert (failed["crashes"], failed["failures"]) == (2, 0)

    def test_exhausted_attempts(self, log):
        """Guards against a reason that crashes cannot be told from."""
        site = test_crashing_tasks.CrashHarness("w0", "w1")
        site.crashing = set()
        site.submit(fakes.job(JOB, fakes.step()))
        for _ in range(10):
            site.play(0.5)
            for worker in site.workers.values():
                for task in list(worker.running):
                    worker.end(task, model.EndKind.FAILED)
        (failed,) = find(log, "job-failed")
        (ended,) = find(log, "job-ended")
        assert failed["reason"] == ended["reason"] == "attempts-exhausted"
        assert (failed["crashes"], failed["failures"]) == (0, 3)

    def test_no_reason(self, log):
        """Guards against a reason beside a job that did not fail."""
        site = test_crashing_tasks.CrashHarness("w0")
        site.crashing = set()
        site.submit(fakes.job(JOB, fakes.step()))
        site.play(0.5, until=lambda: bool(site.running()))
        site.dispatcher.cancel(ids.JobId(JOB), site.now)
        site.play(2)
        (ended,) = find(log, "job-ended")
        assert "reason" not in ended
        assert not find(log, "job-failed")


class TestUnconfirmedCrashes:
    """The log names what a task waits for that is in doubt."""

    def test_wait_and_withdrawal(self, log):
        """Guards against a task that waits for a reason that no line gives."""
        site = test_lapsed_runs.CutHarness(8)
        site.submit(fakes.job(JOB, test_crashing_tasks.step()))
        names = test_lapsed_runs.lose_in_turn(site, crashes.CRASHES_MAX)
        site.play(40)
        assert [line["worker"] for line in find(log, "task-lost-worker")] == (
            names
        )
        assert "crashes-unconfirmed" in {
            line["obstacles"] for line in find(log, "task-waits")
        }
        site.reconnect(names[0])
        site.play(2)
        (withdrawn,) = find(log, "task-crash-withdrawn")
        assert withdrawn["worker"] == names[0]
        assert withdrawn["unconfirmed"] == crashes.CRASHES_MAX - 1
