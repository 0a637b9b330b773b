"""Stops that were decided on and have not taken effect yet.

Each stop is sent when it is due, and repeated until it has taken effect. The
endpoint of a service task is announced as leaving before the task is stopped,
so the stop of such a task is due only after a drain time.
"""

import dataclasses
import datetime

from turmerichook._internal.models import ids
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import state as states

# Callers must have stopped sending to a leaving endpoint within 5 s, which is
# invariant I8. The other 5 s let requests that are in progress then complete.
DRAIN_TIME = datetime.timedelta(seconds=10)
RESEND_INTERVAL = datetime.timedelta(seconds=3)


@dataclasses.dataclass(kw_only=True)
class PendingStop:
    """A stop that has not taken effect yet.

    :param next_send: when the stop is to be sent next.
    :param stray: whether the attempt belongs to no wanted task.
    :param send_count: how often the stop was sent.
    """

    host: ids.HostId
    stop: workers.Stop
    next_send: datetime.timedelta
    stray: bool = False
    send_count: int = 0


def stray_ledger_name(stop: workers.Stop) -> ids.TaskId:
    """Return the name under which the ledger counts a stray attempt."""
    return ids.TaskId(f"{stop.task}#{stop.attempt}")


class StopList:
    """All stops that have not taken effect yet."""

    def __init__(self, *, state: states.ZoneTasks):
        self.state = state
        self.entries: dict[
            tuple[ids.HostId, ids.TaskId, ids.Attempt], PendingStop
        ]
        self.entries = {}

    def add(
        self, command: states.StopCommand, now: datetime.timedelta
    ) -> None:
        """Add the stop of a task in the stopping phase.

        A stop that was added before keeps its time, so that a round that
        decides on the same stop again does not change the drain time of an
        endpoint.
        """
        task = self.state.tasks[command.stop.task]
        delay = datetime.timedelta()
        if task.spec.kind is workers.TaskKind.SERVICE and task.address:
            delay = DRAIN_TIME
        self._add(
            PendingStop(
                host=command.host, stop=command.stop, next_send=now + delay
            ),
        )

    def add_stray(
        self,
        host: ids.HostId,
        stop: workers.Stop,
        now: datetime.timedelta,
    ) -> bool:
        """Add the stop of a stray attempt.

        Returns False if it was added before.
        """
        return self._add(
            PendingStop(host=host, stop=stop, next_send=now, stray=True)
        )

    def strays_on(self, host: ids.HostId) -> list[PendingStop]:
        """Return the stops of stray attempts on a host."""
        return [
            entry
            for entry in self.entries.values()
            if entry.stray and entry.host == host
        ]

    def remove(self, entry: PendingStop) -> None:
        """Drop a stop that has taken effect."""
        stop = entry.stop
        self.entries.pop((entry.host, stop.task, stop.attempt), None)

    def take_due(self, now: datetime.timedelta) -> list[PendingStop]:
        """Return the stops to send now, and schedule their repetition.

        Stops of tasks that are no longer stopping are removed.
        """
        due_stops = []
        for entry in list(self.entries.values()):
            if not entry.stray and not self._is_stopping(entry):
                self.remove(entry)
            elif entry.next_send <= now:
                entry.next_send = now + RESEND_INTERVAL
                entry.send_count += 1
                due_stops.append(entry)
        return due_stops

    def hosts_with_repeated_stops(self) -> set[ids.HostId]:
        """Return the hosts to which a stop was sent more than once.

        Their inventories show whether the stop has taken effect.
        """
        return {e.host for e in self.entries.values() if e.send_count > 1}

    def _is_stopping(self, entry: PendingStop) -> bool:
        task = self.state.tasks.get(entry.stop.task)
        return (
            task is not None
            and task.phase is states.Phase.STOPPING
            and task.attempt == entry.stop.attempt
            and task.host == entry.host
        )

    def _add(self, entry: PendingStop) -> bool:
        key = (entry.host, entry.stop.task, entry.stop.attempt)
        if key in self.entries:
            return False
        self.entries[key] = entry
        return True
