"""Stray attempts, which belong to no wanted task.

After a takeover the journal or a worker may list attempts of tasks that are no
longer wanted, for example because their service was removed while the zone had
no owner. Such attempts are stopped, and count as using their host's resources
until they have ended.
"""

import datetime

from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import events
from turmerichook._internal.scheduling import journal as journals
from turmerichook._internal.scheduling import journal_store
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import state as states
from turmerichook._internal.scheduling import stops


class Strays:
    """Finds stray attempts, stops them and records their end."""

    def __init__(
        self,
        *,
        state: states.ZoneTasks,
        journal: journal_store.Journal,
        stop_list: stops.StopList,
    ):
        self.state = state
        self.journal = journal
        self.stops = stop_list
        # Jobs whose records cannot be decoded. Their attempts are not stopped,
        # since the jobs may still be wanted.
        self.unreadable_jobs: set[ids.JobId] = set()
        # Attempts of no wanted task that the journal assigns to each host.
        self.orphans: dict[ids.HostId, dict[ids.TaskId, ids.Attempt]] = {}

    def find_orphans(self) -> None:
        """Find journal entries of tasks that are not wanted.

        Called once after a takeover, when the wanted tasks are known.
        """
        for task, fact in list(self.journal.state.rows()):
            if task in self.state.tasks:
                continue
            if fact.host is not None:
                self.orphans.setdefault(fact.host, {})[task] = fact.attempt
            elif not plan.is_batch(task):
                self.journal.append(journals.Forgotten(task=task))

    def stop_running(
        self,
        host: ids.HostId,
        running_task: workers.RunningTask,
        now: datetime.timedelta,
    ) -> None:
        """Count and stop a stray attempt that a worker runs."""
        is_batch = running_task.kind is workers.TaskKind.BATCH
        stop = workers.Stop(
            task=running_task.task,
            attempt=running_task.attempt,
            checkpoint=is_batch,
        )
        name = stops.stray_ledger_name(stop)
        self.state.ledger.record(host, name, running_task.resources)
        if is_batch and plan.job_of(running_task.task) in self.unreadable_jobs:
            return
        if self.stops.add_stray(host, stop, now):
            logs.emit(
                events.SchedulingEvent.STRAY_STOPPED,
                host=host,
                task=running_task.task,
                attempt=running_task.attempt,
            )

    def apply_inventory(
        self,
        host: ids.HostId,
        running: set[tuple[ids.TaskId, ids.Attempt]],
    ) -> None:
        """Record the end of stray attempts that an inventory does not list.

        :param running: tasks and attempts that the inventory lists.
        """
        for entry in self.stops.strays_on(host):
            stop = entry.stop
            if (stop.task, stop.attempt) not in running:
                self.note_ended(host, stop.task, stop.attempt, None)
        for task, attempt in list(self.orphans.get(host, {}).items()):
            if (task, attempt) not in running:
                self.note_ended(host, task, attempt, None)

    def note_ended(
        self,
        host: ids.HostId,
        task: ids.TaskId,
        attempt: ids.Attempt,
        checkpoint: ids.CheckpointId | None,
        *,
        finished: bool = False,
    ) -> None:
        """Record the end of an attempt if it is stray.

        :param finished: whether the attempt ended with a result.
        """
        for entry in self.stops.strays_on(host):
            if (entry.stop.task, entry.stop.attempt) == (task, attempt):
                self.stops.remove(entry)
                name = stops.stray_ledger_name(entry.stop)
                self.state.ledger.release(host, name)
        orphans = self.orphans.get(host, {})
        if orphans.get(task) != attempt:
            return
        del orphans[task]
        if not plan.is_batch(task):
            self.journal.append(journals.Forgotten(task=task))
            return
        if finished:
            self.journal.append(
                journals.Finished(task=task, attempt=attempt, succeeded=True)
            )
            return
        self.journal.append(
            journals.Returned(
                task=task, attempt=attempt, checkpoint=checkpoint
            )
        )
