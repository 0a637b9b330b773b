"""Tests of the watchdog's periodic checks."""

import datetime

from tests.dispatch import fakes
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import interference
from turmerichook._internal.dispatch import run_tracker as run_trackers
from turmerichook._internal.dispatch import watchdog
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model

NOW = datetime.timedelta(seconds=100)
ROUND_INTERVAL = datetime.timedelta(milliseconds=25)


class CountedRuns(dict):
    """The runs of a worker; counts the iterations over all of them."""

    iterations = 0

    def values(self):
        self.iterations += 1
        return super().values()


def make_watchdog():
    """Return a watchdog, and a worker with a stop that was not answered."""
    run_tracker = run_trackers.RunTracker()
    worker = fleet.Worker(worker=ids.WorkerId("a"), entry=fakes.entry("a"))
    worker.runs = CountedRuns()
    task = model.TaskKey(ids.JobId("j"), 0, 0, 0)
    run = fleet.Run(
        task=task,
        run=ids.Attempt(1),
        step=fakes.step(),
        phase=fleet.RunPhase.RUNNING,
    )
    worker.add(run)
    run_tracker.workers[worker.worker] = worker
    run_tracker.stop(worker, run, NOW, "stalled")
    run_tracker.orders.clear()
    return watchdog.Watchdog(
        run_tracker=run_tracker,
        timing=fakes.TIMING,
        interference=interference.Interference(),
    ), worker


class TestRounds:
    """Forty rounds per second with thousands of runs."""

    def test_runs_are_not_checked_in_each_round(self):
        """Guards against rounds that are slow, as each checks all runs.

        One check of thousands of runs takes a tenth of a round.
        """
        checker, worker = make_watchdog()
        for number in range(40):
            checker.tick(NOW + number * ROUND_INTERVAL)
        assert worker.runs.iterations <= 11

    def test_stop_is_repeated_in_time(self):
        """Guards against a stop without an answer that is not repeated.

        A check in only some of the rounds delays the repetition by at most
        100 ms.
        """
        checker, _ = make_watchdog()
        for number in range(40):
            checker.tick(NOW + number * ROUND_INTERVAL)
            if checker.run_tracker.orders:
                break
        delay = number * ROUND_INTERVAL - watchdog.STOP_REPEAT
        assert checker.run_tracker.orders
        assert delay <= datetime.timedelta(milliseconds=100)


class TestPause:
    """The leader is suspended, or a worker is slow to report."""

    def stalled(self, *, reported_at):
        """Return whether a run is stopped 5 s after its last progress.

        :param reported_at: when the worker's last report arrived.
        """
        run_tracker = run_trackers.RunTracker()
        worker = fleet.Worker(worker=ids.WorkerId("a"), entry=fakes.entry("a"))
        run_tracker.workers[worker.worker] = worker
        worker.add(
            fleet.Run(
                task=model.TaskKey(ids.JobId("j"), 0, 0, 0),
                run=ids.Attempt(1),
                step=fakes.step(),
                phase=fleet.RunPhase.RUNNING,
                percent=40,
                progress_changed_at=NOW,
            )
        )
        worker.clock_read_at = reported_at
        checker = watchdog.Watchdog(
            run_tracker=run_tracker,
            timing=fakes.TIMING,
            interference=interference.Interference(),
        )
        checker.tick(NOW + 5 * fakes.SECOND)
        return bool(run_tracker.orders)

    def test_work_goes_on_while_no_report_was_read(self):
        """Guards against a leader that stops all work after a pause.

        Progress that has not been read for 5 s looked like progress that was
        not made, so that the leader stopped every run before it had read the
        reports that were waiting.
        """
        assert not self.stalled(reported_at=NOW)

    def test_run_without_progress_in_its_reports_is_stopped(self):
        """Guards against a run that stands still for good."""
        assert self.stalled(reported_at=NOW + 5 * fakes.SECOND)


class TestLapsedLeases:
    """The leases on a worker that is out of reach have ended."""

    def expire(self, monkeypatch, *, own, answered=None):
        """Return the logged fields once all leases have ended, or None.

        Leases of former leaders end at ``NOW``.

        :param own: when leases of this leader end.
        :param answered: when the worker last answered, if it ever did.
        """
        logged = []
        run_tracker = run_trackers.RunTracker()
        run_tracker.inherited_leases_until = NOW
        task = model.TaskKey(ids.JobId("j"), 0, 0, 0)
        run_tracker.recover_run(
            task, ids.WorkerId("a"), ids.Attempt(1), fakes.step(), fakes.SECOND
        )
        worker = run_tracker.workers[ids.WorkerId("a")]
        worker.lapsed_at = own
        worker.clock_read_at = answered or fleet.ZERO
        monkeypatch.setattr(
            watchdog.logs,
            "emit",
            lambda event, **fields: logged.append(fields),
        )
        checker = watchdog.Watchdog(
            run_tracker=run_tracker,
            timing=fakes.TIMING,
            interference=interference.Interference(),
        )
        checker.tick(NOW + fakes.SECOND)
        return next((f for f in logged if "inherited" in f), None)

    def test_former_leaders_leases_ended_last(self, monkeypatch):
        """Guards against a wait whose cause the log does not show."""
        fields = self.expire(monkeypatch, own=None)
        assert fields["inherited"] is True
        assert "silent_ms" not in fields

    def test_own_leases_ended_last(self, monkeypatch):
        """Guards against a wait that is blamed on former leaders."""
        fields = self.expire(
            monkeypatch,
            own=NOW + 100 * fakes.MS,
            answered=NOW - 2 * fakes.SECOND,
        )
        assert fields["inherited"] is False
        assert fields["silent_ms"] == 3000

    def test_runs_stay_while_own_leases_last(self, monkeypatch):
        """Guards against a second run while a lease of this leader lasts."""
        assert self.expire(monkeypatch, own=NOW + fakes.SECOND) is None
