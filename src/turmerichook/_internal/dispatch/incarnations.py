"""Incarnations of a worker; each start of its process is a new one."""

import datetime

from turmerichook._internal.dispatch import crashes
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.logs import setup as logs


def accept_entry(
    worker: fleet.Worker,
    incarnation: int,
    losses: crashes.Losses,
    now: datetime.timedelta,
    *,
    last_request: int,
) -> bool:
    """Update the worker's incarnation; return False for an outdated one.

    The registry may lag behind the worker's reports. Whether an entry with an
    earlier start time is outdated, or the clock of the worker's machine has
    been set back, the next report tells, which is requested.

    :param incarnation: Unix time in milliseconds of the start, or 0 if it was
        not reported, which is accepted.
    :param last_request: latest sequence number, which no request for a
        report that is still to be sent has.
    """
    if not incarnation or incarnation == worker.incarnation:
        return True
    if incarnation in worker.former_incarnations:
        return False
    if incarnation < worker.incarnation:
        if worker.entry is None or worker.entry.incarnation != incarnation:
            # An idle worker would not be asked for another report.
            worker.report_received = False
            worker.incarnation_known_at = last_request
        return False
    _replace(worker, incarnation, losses, now, last_request)
    return True


def accept_report(
    worker: fleet.Worker,
    incarnation: int,
    losses: crashes.Losses,
    now: datetime.timedelta,
    *,
    requested_at: int,
    last_request: int,
) -> bool:
    """Update the worker's incarnation; return False for an outdated one.

    The order of start times says nothing, as the clock of the worker's machine
    may have been set back between two starts. The answer to a request that
    was sent after all other news of the worker's incarnation is the latest
    news; the answer to an earlier request may be older than these.

    :param incarnation: Unix time in milliseconds of the start, or 0 if it was
        not reported, which is accepted whenever it was requested.
    :param requested_at: sequence number of the request for the report.
    :param last_request: latest sequence number, which no request for a
        report that is still to be sent has.
    """
    if not incarnation:
        return True
    if (
        incarnation in worker.former_incarnations
        or requested_at <= worker.incarnation_known_at
    ):
        return False
    if incarnation != worker.incarnation:
        _replace(worker, incarnation, losses, now, last_request)
    # All others had started before the request, and one runs at a time.
    worker.former_incarnations |= worker.replaced_incarnations - {incarnation}
    worker.replaced_incarnations.clear()
    return True


def _replace(
    worker: fleet.Worker,
    incarnation: int,
    losses: crashes.Losses,
    now: datetime.timedelta,
    last_request: int,
) -> None:
    previous = worker.incarnation
    losses.mark_restarted(worker, incarnation, now)
    worker.incarnation = incarnation
    worker.incarnation_known_at = last_request
    if previous:
        worker.replaced_incarnations.add(previous)
        _reset_after_restart(worker)


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
        elif run.phase is fleet.RunPhase.STOPPING:
            # The new incarnation does not know of the stop.
            run.stop_accepted = False
