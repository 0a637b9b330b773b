"""Independent checker of the starts and commitments that a zone decides.

The checker sees only the host list that the zone gets, and the commands and
journal entries that it returns. A violated rule raises ``AssertionError`` with
the name of the rule.
"""

import dataclasses
import datetime

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.scheduling import decision_round
from turmerichook._internal.scheduling import journal
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import state as states


@dataclasses.dataclass(kw_only=True)
class TaskHistory:
    """History of one task.

    :param attempt: number of the last attempt.
    :param host: host of the current attempt, None without one.
    :param checkpoint: last checkpoint that a worker reported.
    :param written: last checkpoint in the journal.
    :param not_before: time before which the task must not start again.
    """

    attempt: int = 0
    host: ids.HostId | None = None
    checkpoint: ids.CheckpointId | None = None
    written: ids.CheckpointId | None = None
    finished: bool = False
    failures: int = 0
    not_before: datetime.timedelta = datetime.timedelta()


class Checker:
    """Commitments of one zone and the histories of its tasks."""

    def __init__(self):
        self.capacity: dict[ids.HostId, resources.Resources] = {}
        self.placed: dict[
            ids.HostId, dict[ids.TaskId, resources.Resources]
        ] = {}
        self.histories: dict[ids.TaskId, TaskHistory] = {}
        self.limits: dict[ids.TeamId, resources.Resources] = {}
        self.work: dict[str, plan.Workload] = {}

    def on_round(
        self,
        result: decision_round.Round,
        zone: states.ZoneTasks,
        now: datetime.timedelta,
    ) -> None:
        """Check the starts, stops and reservations of a round."""
        for command in result.starts:
            self._on_start(command, zone.tasks[command.task], now)
        for command in result.stops:
            history = self.histories[command.stop.task]
            assert history.host == command.host, "stop of an attempt elsewhere"
            assert history.attempt == command.stop.attempt, (
                "stop of old attempt"
            )
        started = {command.host for command in result.starts}
        for host, capacity in self.capacity.items():
            used = self.used(host)
            reserved = resources.NOTHING
            account = zone.ledger.hosts.get(host)
            if account is not None:
                for reservation in account.reservations.values():
                    reserved = reserved.plus(reservation.granted)
            shrunk = not used.fits(capacity)
            if not shrunk or host in started or reserved != resources.NOTHING:
                total = used.plus(reserved)
                assert total.fits(capacity), f"I1: {host} has {total}"

    def _on_start(
        self,
        command: states.StartCommand,
        task: states.Task,
        now: datetime.timedelta,
    ) -> None:
        name = command.task
        history = self.histories.setdefault(name, TaskHistory())
        assert history.host is None, f"I2: {name} runs on {history.host}"
        assert not history.finished, f"I2: {name} has finished already"
        assert command.attempt > history.attempt, (
            f"I2: {name} reuses an attempt"
        )
        assert task.checkpoint == history.checkpoint, (
            f"I3: {name} lost progress"
        )
        assert now >= history.not_before, f"{name} is tried again too early"
        history.host = command.host
        history.attempt = command.attempt
        on_host = self.placed.setdefault(command.host, {})
        on_host[name] = command.amount
        team = self.work[plan.split(name)[0]].team
        if team in self.limits:
            used = self._used_by(team)
            assert used.fits(self.limits[team]), f"quota: {team} uses {used}"

    def on_entries(self, entries: list[journal.Entry]) -> None:
        """Check the ends of attempts and release their commitments."""
        for entry in entries:
            history = self.histories[entry.task]
            assert entry.attempt == history.attempt, "end of an old attempt"
            assert not history.finished, f"{entry.task} ended twice"
            if history.host is None:
                # A worker may report on an attempt that was given up before.
                late = isinstance(entry, journal.Finished)
                late = late or entry.checkpoint not in (None, history.written)
                assert late, f"{entry.task} ended twice"
            else:
                del self.placed[history.host][entry.task]
            history.host = None
            match entry:
                case journal.Returned():
                    unchanged = entry.checkpoint == history.checkpoint
                    assert unchanged, f"I3: {entry.task} lost its checkpoint"
                    history.written = entry.checkpoint
                case journal.Finished():
                    history.finished = True

    def on_failure(self, name: ids.TaskId, now: datetime.timedelta) -> None:
        """Expect a retry delay that doubles with each failure."""
        history = self.histories[name]
        history.failures += 1
        seconds = min(300, 2 ** (history.failures - 1))
        history.not_before = now + datetime.timedelta(seconds=seconds)

    def used(self, host: ids.HostId) -> resources.Resources:
        """Return the sum of the commitments on a host."""
        total = resources.NOTHING
        for amount in self.placed.get(host, {}).values():
            total = total.plus(amount)
        return total

    def _used_by(self, team: ids.TeamId) -> resources.Resources:
        total = resources.NOTHING
        for on_host in self.placed.values():
            for name, amount in on_host.items():
                if self.work[plan.split(name)[0]].team == team:
                    total = total.plus(amount)
        return total
