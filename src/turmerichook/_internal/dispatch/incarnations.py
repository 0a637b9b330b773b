"""Incarnations of a worker, one for each time that it was started."""

from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.logs import setup as logs


def check(worker: fleet.Worker, incarnation: int) -> bool:
    """Note an incarnation; tell whether no later one is known."""
    if not incarnation or incarnation == worker.incarnation:
        return True
    known = worker.incarnation
    if known and incarnation < known:
        return False
    worker.incarnation = incarnation
    if known:
        _restarted(worker)
    return True


def _restarted(worker: fleet.Worker) -> None:
    logs.emit(
        events.DispatchEvent.WORKER_RESTARTED,
        worker=worker.worker,
        runs=len(worker.runs),
    )
    worker.last_end_number = 0
    worker.unsaved.clear()
    worker.clock = None
    worker.lease_until = fleet.ZERO
    worker.looked = False
    worker.failed_jobs.clear()
    for run in worker.runs.values():
        if run.phase is fleet.RunPhase.RUNNING:
            # The new incarnation may have taken the start; if the next report
            # does not list the run, it ended with the former.
            run.phase = fleet.RunPhase.UNCERTAIN
            run.fenced = True
