"""Moves fillers that are held back to workers where they can go on.

Pacing slows a filler down for the serving tasks beside it, for as long as they
need it, which may be until they end. A job waits for its last task, so that
one such filler holds up the whole job.
"""

import collections.abc
import datetime
import typing

from turmerichook._internal.dispatch import candidates
from turmerichook._internal.dispatch import filling
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import interference as interferences
from turmerichook._internal.dispatch import jobs
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model

# A filler at this pace or less, in percent, for this time is held back.
PACE_MAX = 25
HELD_BACK_TIME = datetime.timedelta(seconds=2)
# Longer time for a filler without checkpoints, which loses its progress.
HELD_BACK_TIME_UNSAVED = datetime.timedelta(seconds=4)
# Largest cost to the serving tasks of another worker for which a filler is
# moved there, in units of the value of the filler's work. It is lower than the
# cost for which a filler is placed, so that it is not soon held back again.
MOVE_COST_MAX = 0.3
# Most fillers that are moved at a time, and the interval. Each move takes two
# entries of commits, of which the leader has a few hundred a second.
MOVES_MAX = 4
INTERVAL = datetime.timedelta(milliseconds=200)
# Workers that are considered for each filler, those with most idle processors.
TARGETS_MAX = 20


class Move(typing.NamedTuple):
    """A filler to stop, so that it starts on another worker."""

    worker: fleet.Worker
    run: fleet.Run


class HeldBackFillers:
    """Chooses the fillers that are to move."""

    def __init__(self):
        self.next_check = fleet.ZERO

    def choose(
        self,
        *,
        workers: collections.abc.Iterable[fleet.Worker],
        targets: collections.abc.Iterable[candidates.Candidate],
        all_jobs: collections.abc.Mapping[ids.JobId, jobs.Job],
        interference: interferences.Interference,
        now: datetime.timedelta,
    ) -> list[Move]:
        """Return the fillers to move now.

        Those come first whose steps have the fewest unfinished tasks.

        :param targets: workers to which fillers may move.
        """
        if now < self.next_check:
            return []
        self.next_check = now + INTERVAL
        moves = [
            Move(worker, run)
            for worker in workers
            if worker.reachable and worker.filler_millicores
            for run in worker.fillers()
            if _held_back(run, now) and run.task.job in all_jobs
        ]
        if not moves:
            return []
        moves.sort(key=lambda m: _unfinished(all_jobs[m.run.task.job], m.run))
        free = _Targets(targets, interference)
        return [
            move
            for move in moves[: 4 * MOVES_MAX]
            if free.take(all_jobs[move.run.task.job], move)
        ][:MOVES_MAX]


class _Targets:
    """Workers with idle processors, and what moved fillers leave of them."""

    def __init__(
        self,
        targets: collections.abc.Iterable[candidates.Candidate],
        interference: interferences.Interference,
    ):
        self.interference = interference
        usable = [t for t in targets if t.millicores >= 0]
        usable = [t for t in usable if not t.over_target and t.idle > 0]
        usable.sort(key=lambda target: -target.idle)
        self.usable = usable
        self.idle = {target: target.idle for target in usable}

    def take(self, job: jobs.Job, move: Move) -> bool:
        """Take a worker's idle processors for a filler, if any has enough."""
        step = move.run.step
        considered = 0
        for target in self.usable:
            if self.idle[target] < step.demand.millicores:
                continue
            if not _fits(target, job, move):
                continue
            considered += 1
            if considered > TARGETS_MAX:
                return False
            cost = filling.interference_cost(
                target.worker, step, self.interference
            )
            if cost <= MOVE_COST_MAX:
                self.idle[target] -= step.demand.millicores
                return True
        return False


def _held_back(run: fleet.Run, now: datetime.timedelta) -> bool:
    """Return whether a filler has been held back for too long."""
    if run.held_back_since is None or not run.should_run:
        return False
    if run.phase is not fleet.RunPhase.RUNNING:
        return False
    if run.step.gang or run.step.long_running:
        # The stop would end the other members of the gang, or make a task
        # unavailable that is to run all the time.
        return False
    limit = (
        HELD_BACK_TIME if run.step.checkpointing else HELD_BACK_TIME_UNSAVED
    )
    return now - run.held_back_since >= limit


def note_pace(run: fleet.Run, now: datetime.timedelta) -> None:
    """Record since when a filler has been held back by its pace."""
    if run.pace > PACE_MAX:
        run.held_back_since = None
    elif run.held_back_since is None:
        run.held_back_since = now


def _unfinished(job: jobs.Job, run: fleet.Run) -> int:
    return job.progress.unfinished_tasks[run.task.occurrence, run.task.step]


def _fits(target: candidates.Candidate, job: jobs.Job, move: Move) -> bool:
    """Return whether a worker may run a filler, apart from its processors."""
    step: model.Step = move.run.step
    return (
        target.worker is not move.worker
        and target.worker.entry.is_of_kind(job.queue.service, step.label)
        and step.committed.memory_mib <= target.memory_mib
        and step.committed.accelerators <= target.accelerators
    )
