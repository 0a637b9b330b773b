"""Attempts that no wanted task accounts for.

After a takeover the journal or a worker may hold attempts of tasks that are
no longer in the plan, such as those of a service that was removed meanwhile.
They hold room until they have ended, and are stopped.
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
    """Finds stray attempts and follows them to their end."""

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
        # Attempts that the journal assigns to a host and nobody wants.
        # Jobs whose records are not understood; their attempts run on.
        self.spared: set[ids.JobId] = set()
        self.orphans: dict[ids.HostId, dict[ids.TaskId, ids.Attempt]] = {}

    def find_orphans(self) -> None:
        """Compare the journal with the wanted tasks after a takeover."""
        for task, fact in list(self.journal.facts.rows()):
            if task in self.state.tasks:
                continue
            if fact.host is not None:
                self.orphans.setdefault(fact.host, {})[task] = fact.attempt
            elif not plan.is_batch(task):
                self.journal.append(journals.Forgotten(task=task))

    def running(
        self,
        host: ids.HostId,
        item: workers.RunningTask,
        now: datetime.timedelta,
    ) -> None:
        """Stop an attempt that a worker runs and nobody wants."""
        batch = item.kind is workers.TaskKind.BATCH
        stop = workers.Stop(
            task=item.task,
            attempt=item.attempt,
            checkpoint=batch,
        )
        name = stops.stray_name(stop)
        self.state.ledger.record(host, name, item.resources)
        if batch and plan.job_of(item.task) in self.spared:
            return
        if self.stops.add_stray(host, stop, now):
            logs.emit(
                events.SchedulingEvent.STRAY_STOPPED,
                host=host,
                task=item.task,
                attempt=item.attempt,
            )

    def listed(
        self,
        host: ids.HostId,
        running: set[tuple[ids.TaskId, ids.Attempt]],
    ) -> None:
        """Note which attempts an inventory lists; others have ended."""
        for entry in self.stops.strays_on(host):
            stop = entry.stop
            if (stop.task, stop.attempt) not in running:
                self.ended(host, stop.task, stop.attempt, None)
        for task, attempt in list(self.orphans.get(host, {}).items()):
            if (task, attempt) not in running:
                self.ended(host, task, attempt, None)

    def ended(
        self,
        host: ids.HostId,
        task: ids.TaskId,
        attempt: ids.Attempt,
        checkpoint: ids.CheckpointId | None,
        *,
        finished: bool = False,
    ) -> None:
        """Note the end of an attempt if it is a stray one."""
        for entry in self.stops.strays_on(host):
            if (entry.stop.task, entry.stop.attempt) == (task, attempt):
                self.stops.remove(entry)
                name = stops.stray_name(entry.stop)
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
