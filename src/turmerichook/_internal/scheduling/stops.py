"""Stops that were decided, sent when due and again until they took effect.

A service task is announced as leaving before it is stopped, so its stop is
due only after a drain time.
"""

import dataclasses
import datetime

from turmerichook._internal.models import ids
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import state as states

# Callers must have stopped sending to a leaving endpoint within 5 s (I8);
# the rest is for the requests that are in progress then.
DRAIN_TIME = datetime.timedelta(seconds=10)
RESEND_INTERVAL = datetime.timedelta(seconds=3)


@dataclasses.dataclass(kw_only=True)
class Due:
    """A stop and when it is to be sent next.

    :param stray: whether no wanted task accounts for the attempt.
    :param sent: how often it was sent.
    """

    host: ids.HostId
    stop: workers.Stop
    due: datetime.timedelta
    stray: bool = False
    sent: int = 0


def stray_name(stop: workers.Stop) -> ids.TaskId:
    """Return the name under which the ledger holds a stray attempt."""
    return ids.TaskId(f"{stop.task}#{stop.attempt}")


class StopList:
    """All stops that have not taken effect yet."""

    def __init__(self, *, state: states.ZoneTasks):
        self.state = state
        self.entries: dict[tuple[ids.HostId, ids.TaskId, ids.Attempt], Due]
        self.entries = {}

    def add(
        self, command: states.StopCommand, now: datetime.timedelta
    ) -> None:
        """Add the stop of a task that is in its stopping phase.

        One that is known already keeps its own times, so that a stop that a
        round repeats does not cut the drain of an endpoint short.
        """
        task = self.state.tasks[command.stop.task]
        delay = datetime.timedelta()
        if task.spec.kind is workers.TaskKind.SERVICE and task.address:
            delay = DRAIN_TIME
        self._add(
            Due(host=command.host, stop=command.stop, due=now + delay),
        )

    def add_stray(
        self,
        host: ids.HostId,
        stop: workers.Stop,
        now: datetime.timedelta,
    ) -> bool:
        """Add the stop of a stray attempt; False if it is known."""
        return self._add(Due(host=host, stop=stop, due=now, stray=True))

    def strays_on(self, host: ids.HostId) -> list[Due]:
        """Return the stray attempts on a host."""
        return [
            entry
            for entry in self.entries.values()
            if entry.stray and entry.host == host
        ]

    def remove(self, entry: Due) -> None:
        """Drop a stop that has taken effect."""
        stop = entry.stop
        self.entries.pop((entry.host, stop.task, stop.attempt), None)

    def take_due(self, now: datetime.timedelta) -> list[Due]:
        """Return the stops to send now; each is due again later."""
        found = []
        for entry in list(self.entries.values()):
            if not entry.stray and not self._stopping(entry):
                self.remove(entry)
            elif entry.due <= now:
                entry.due = now + RESEND_INTERVAL
                entry.sent += 1
                found.append(entry)
        return found

    def doubtful_hosts(self) -> set[ids.HostId]:
        """Return hosts whose inventory must show whether a stop worked."""
        return {e.host for e in self.entries.values() if e.sent > 1}

    def _stopping(self, entry: Due) -> bool:
        task = self.state.tasks.get(entry.stop.task)
        return (
            task is not None
            and task.phase is states.Phase.STOPPING
            and task.attempt == entry.stop.attempt
            and task.host == entry.host
        )

    def _add(self, entry: Due) -> bool:
        key = (entry.host, entry.stop.task, entry.stop.attempt)
        if key in self.entries:
            return False
        self.entries[key] = entry
        return True
