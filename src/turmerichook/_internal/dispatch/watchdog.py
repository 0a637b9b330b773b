"""Time-driven work: repeated stops, stalled or slowed runs, ended leases."""

import datetime
import typing

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import decisions
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import held_back
from turmerichook._internal.dispatch import interference as interferences
from turmerichook._internal.dispatch import run_tracker as run_trackers
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import deployment

# A stop that the worker has not answered is sent again after this time.
STOP_REPEAT = datetime.timedelta(milliseconds=700)
# A run is stopped if its progress has not changed for this time in the reports
# of its worker, or for the estimated duration of its step if that is longer.
# Its task then waits for a worker again.
STALL_LIMIT = datetime.timedelta(seconds=2)
# Shortest time between two checks of all runs. All other limits here are
# longer, and a check of thousands of runs in each round would take a tenth of
# the round.
TICK_INTERVAL = datetime.timedelta(milliseconds=100)
# Runs on a draining worker are stopped this long before the worker shuts down.
SHUTDOWN_MARGIN = datetime.timedelta(seconds=1)


class Watchdog:
    """Checks the runs and leases of all workers periodically."""

    def __init__(
        self,
        *,
        run_tracker: run_trackers.RunTracker,
        timing: deployment.Timing,
        interference: interferences.Interference,
    ):
        self.run_tracker = run_tracker
        self.timing = timing
        self.interference = interference
        self.held_back = held_back.HeldBackFillers()
        self.next_tick = fleet.ZERO

    def tick(self, now: datetime.timedelta) -> None:
        """Repeat and send stops, and drop runs with expired leases.

        Runs are stopped that stall, that are held back while another worker
        has room for them, or whose worker leaves.
        """
        if now < self.next_tick:
            return
        self.next_tick = now + TICK_INTERVAL
        self.run_tracker.crash_counts.give_up_gone(now)
        self.run_tracker.save_proofs(now)
        for worker in list(self.run_tracker.workers.values()):
            if not worker.runs:
                if not worker.listed and not worker.reachable:
                    self._forget(worker)
                continue
            leases_until = self.run_tracker.leases_until(worker)
            if not worker.reachable and leases_until is not None:
                if now > leases_until + self.timing.stop_timeout:
                    self._expire(worker, now)
            self._tick_runs(worker, now)
        self._move_held_back(now)

    def _forget(self, worker: fleet.Worker) -> None:
        """Forget a worker, unless a task may have to wait for news of it."""
        if worker.worker not in self.run_tracker.crash_counts.lost_at:
            del self.run_tracker.workers[worker.worker]

    def _tick_runs(
        self, worker: fleet.Worker, now: datetime.timedelta
    ) -> None:
        draining = worker.draining
        for run in list(worker.runs.values()):
            if run.phase is fleet.RunPhase.STOPPING:
                if not run.stop_accepted and worker.reachable:
                    if now - run.stop_sent >= STOP_REPEAT:
                        run.stop_sent = now
                        self.run_tracker.orders.append(
                            decisions.StopOrder(worker=worker.worker, run=run)
                        )
            elif run.phase is fleet.RunPhase.RUNNING and run.should_run:
                if draining and self._must_stop_before_shutdown(
                    worker, run, now
                ):
                    self.run_tracker.stop(worker, run, now, "worker-leaves")
                elif self._stalled(worker, run):
                    self.run_tracker.stop(worker, run, now, "stalled")

    def _move_held_back(self, now: datetime.timedelta) -> None:
        tracker = self.run_tracker
        for worker, run in self.held_back.choose(
            workers=tracker.workers.values(),
            targets=tracker.waiting.room.by_worker.values(),
            all_jobs=tracker.jobs,
            interference=self.interference,
            now=now,
        ):
            tracker.stop(worker, run, now, "held-back")

    def _must_stop_before_shutdown(
        self, worker: fleet.Worker, run: fleet.Run, now: datetime.timedelta
    ) -> bool:
        if run.step.long_running:
            return True
        if worker.shutdown_at is None:
            return False
        return now > worker.shutdown_at - SHUTDOWN_MARGIN

    def _stalled(self, worker: fleet.Worker, run: fleet.Run) -> bool:
        if run.step.filler or run.percent >= 100:
            return False
        if run.step is run_trackers.STRAY_STEP:
            # How long the task takes is unknown.
            return False
        limit = max(STALL_LIMIT, run.step.estimate)
        # Only a report shows that there was no progress. The current time
        # would also count a pause of this process or of the worker's reports.
        unchanged_for = worker.clock_read_at - run.progress_changed_at
        return worker.reachable and unchanged_for > limit

    def _expire(self, worker: fleet.Worker, now: datetime.timedelta) -> None:
        expired_runs = [
            run
            for run in worker.runs.values()
            if run.phase is not fleet.RunPhase.ASSIGNED
        ]
        if not expired_runs:
            return
        fields: dict[str, typing.Any] = {}
        if worker.clock_read_at > fleet.ZERO:
            silent = now - worker.clock_read_at
            fields["silent_ms"] = round(silent / clocks.MILLISECOND)
        logs.emit(
            events.DispatchEvent.WORKER_LAPSED,
            worker=worker.worker,
            runs=len(expired_runs),
            # Whether leases of former leaders were the last to end.
            inherited=worker.lapsed_at is None
            or self.run_tracker.leases_until(worker) > worker.lapsed_at,
            **fields,
        )
        if not worker.listed:
            self.run_tracker.losses.mark_lost(worker, now, certain=False)
        for run in expired_runs:
            self.run_tracker.drop_run(worker, run, "lapsed", now)
