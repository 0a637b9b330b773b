"""Incarnations of a worker; each start of its process is a new one."""

import datetime

from turmerichook._internal.dispatch import crashes
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.logs import setup as logs


def accept_incarnation(
    worker: fleet.Worker,
    incarnation: int,
    losses: crashes.Losses,
    now: datetime.timedelta,
) -> bool:
    """Update the worker's incarnation; return False for an outdated one.

    :param incarnation: Unix time in milliseconds of the start, or 0 if it was
        not reported, which is accepted.
    """
    if not incarnation or incarnation == worker.incarnation:
        return True
    # The order of start times says nothing: the clock of the worker's machine
    # may have been set back between two starts.
    if incarnation in worker.former_incarnations:
        return False
    previous = worker.incarnation
    losses.mark_restarted(worker, incarnation, now)
    worker.incarnation = incarnation
    if previous:
        worker.former_incarnations.add(previous)
        _reset_after_restart(worker)
    return True


def _reset_after_restart(worker: fleet.Worker) -> None:
    logs.emit(
        events.DispatchEvent.WORKER_RESTARTED,
        worker=worker.worker,
        runs=len(worker.runs),
    )
    worker.last_end_number = 0
    worker.unsaved.clear()
    worker.clock = None
    worker.lease_until = fleet.ZERO
    worker.report_received = False
    worker.failed_jobs.clear()
    for run in worker.runs.values():
        if run.phase is fleet.RunPhase.RUNNING:
            # The new incarnation may have received the start. If its next
            # report does not list the run, the run ended with the previous
            # incarnation.
            run.phase = fleet.RunPhase.UNCERTAIN
            run.fenced = True
