"""Crashes of workers, and the tasks that they may be due to.

A task that crashes its worker is not reported by anything: the worker loses
its runs and returns as another incarnation, or not at all. Of a crashed
worker's tasks, those that had just started are suspected. A suspected task is
started again alone, so that the next crash tells whether it was the cause. It
is cleared once it has run on for some time or has ended by itself.
"""

import collections
import collections.abc
import datetime

from turmerichook._internal.dispatch import fleet
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses

# A task is suspected if its worker crashed within this time of the start, and
# is cleared once reports have listed it for this time.
SUSPECT_TIME = datetime.timedelta(seconds=2)
# Workers whose last answers are no further apart are lost at the same time.
SAME_TIME = datetime.timedelta(seconds=1)
# Lost workers from which on a loss at the same time has another cause than a
# task, such as a loss of power, and the share of the busy workers that this
# takes.
MANY_WORKERS = 3
MANY_SHARE = 0.1
# Time for which losses are kept to be compared with later ones, which takes
# until all leases of a worker have ended.
LOSSES_KEPT = datetime.timedelta(seconds=30)
# Crashes after the beginning of a run from which on its task is given up, by
# how the last one counts.
CERTAIN_CRASHES_MAX = {
    fleet.Crash.ISOLATED: 2,
    fleet.Crash.SHARED: 3,
}
# Crashes of any kind from which on a task is given up. The platform allows two
# starts after the third crash; at least one is left for a crash that was not
# noticed or a start that a former leader sent.
CRASHES_MAX = 4
# Share of the listed workers that may be on probation at the same time. Other
# suspected tasks start beside any tasks, so that workers remain for the rest.
PROBATION_SHARE = 0.2
# Ends of a run that show that the task did not crash its worker.
OWN_ENDS = (model.EndKind.DONE, model.EndKind.FAILED)


class Losses:
    """Lost workers, and the suspicion that follows from a loss."""

    def __init__(
        self,
        *,
        workers: collections.abc.Mapping[ids.WorkerId, fleet.Worker],
    ):
        self.workers = workers
        # Worker, our time of its last answer, and our time of the notice.
        self.losses: collections.deque[
            tuple[ids.WorkerId, datetime.timedelta, datetime.timedelta]
        ] = collections.deque()

    def mark_restarted(
        self,
        worker: fleet.Worker,
        incarnation: int,
        now: datetime.timedelta,
    ) -> None:
        """Mark the runs that may have crashed the last incarnation."""
        ended = [
            run
            for run in worker.runs.values()
            if run.incarnation and run.incarnation != incarnation
        ]
        if ended or worker.incarnation:
            self._mark(worker, ended, now, certain=True)

    def mark_lost(
        self, worker: fleet.Worker, now: datetime.timedelta, *, certain: bool
    ) -> None:
        """Mark the runs that may have crashed a worker that is gone.

        :param certain: whether the worker's process has certainly ended; one
            that is cut off may still run.
        """
        self._mark(worker, list(worker.runs.values()), now, certain=certain)

    def _mark(
        self,
        worker: fleet.Worker,
        runs: list[fleet.Run],
        now: datetime.timedelta,
        *,
        certain: bool,
    ) -> None:
        if worker.draining:
            return
        # A leader that has not heard of the worker yet only knows that the
        # worker is lost by now.
        last_answer = worker.clock_read_at or now
        while self.losses and now - self.losses[0][2] > LOSSES_KEPT:
            self.losses.popleft()
        self.losses.append((worker.worker, last_answer, now))
        many = self._many_at(last_answer)
        suspects = _suspects(worker, runs, last_answer)
        for run in suspects:
            if many and run.begun:
                # The task did not crash its worker at the start, so that the
                # other cause is more likely.
                continue
            if not certain:
                # Another incarnation may have shown before that it crashed.
                run.crash = run.crash or fleet.Crash.UNCONFIRMED
            elif many or not run.known_by_worker:
                run.crash = fleet.Crash.DOUBTFUL
            elif run.isolated and len(suspects) == 1:
                run.crash = fleet.Crash.ISOLATED
            else:
                run.crash = fleet.Crash.SHARED

    def _many_at(self, time: datetime.timedelta) -> bool:
        """Return whether many workers were lost at about the same time."""
        lost = {
            worker
            for worker, last_answer, _ in self.losses
            if abs(last_answer - time) <= SAME_TIME
        }
        lost.update(
            worker.worker
            for worker in self.workers.values()
            if not (worker.reachable and worker.listed)
            and abs(worker.clock_read_at - time) <= SAME_TIME
        )
        # An idle worker is not renewed, so that its loss is noticed later.
        observed = lost.union(
            worker.worker for worker in self.workers.values() if worker.runs
        )
        return len(lost) >= MANY_WORKERS and (
            len(lost) > MANY_SHARE * len(observed)
        )


def _suspects(
    worker: fleet.Worker,
    runs: list[fleet.Run],
    last_answer: datetime.timedelta,
) -> list[fleet.Run]:
    """Return the runs that may have crashed their worker."""
    recent = []
    for run in runs:
        if run.phase is fleet.RunPhase.ASSIGNED:
            continue
        if run.task == worker.probation and run.isolated:
            # The other runs had begun before, or were sent no start.
            return [run]
        began = run.first_listed_at if run.sent_at is None else run.sent_at
        if not run.begun or last_answer - began < SUSPECT_TIME:
            recent.append(run)
    return recent


def must_give_up(record: progresses.TaskRecord, crash: fleet.Crash) -> bool:
    """Return whether a task must not be started again.

    Unconfirmed crashes do not count: a job that was failed for them would stay
    failed when the workers turn out to be alive.

    :param crash: how the last crash of a worker under the task counts.
    """
    if at_limit(record):
        return True
    limit = CERTAIN_CRASHES_MAX.get(crash)
    return limit is not None and record.certain_crashes >= limit


def at_limit(record: progresses.TaskRecord, gone: int = 0) -> bool:
    """Return whether crashes of any kind are enough to give a task up.

    :param gone: number of unconfirmed crashes to be taken for crashes.
    """
    return record.crashes + gone >= CRASHES_MAX


def must_wait(record: progresses.TaskRecord) -> bool:
    """Return whether a task waits until it is known which workers crashed.

    If all of them have, the task must not be started again.
    """
    return at_limit(record, gone=len(record.unconfirmed))


def all_begun(worker: fleet.Worker) -> bool:
    """Return whether all runs on a worker have begun."""
    return all(run.begun for run in worker.runs.values())


def probation_allowed(
    workers: collections.abc.Iterable[fleet.Worker],
) -> bool:
    """Return whether one more worker may be on probation."""
    listed = on_probation = 0
    for worker in workers:
        listed += worker.listed
        on_probation += worker.probation is not None
    return on_probation < max(1, PROBATION_SHARE * listed)


def crash_cost(worker: fleet.Worker) -> tuple[int, int, int]:
    """Return a sort key for what a crash of the worker would cost.

    Tasks that have not begun come first, as they would be suspected, too.
    """
    runs = worker.runs.values()
    services = sum(
        run.step.long_running or bool(run.step.latency_target) for run in runs
    )
    return sum(not run.begun for run in runs), services, len(runs)
