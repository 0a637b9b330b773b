"""Requests that wait for room at an endpoint of one service.

Urgent requests leave before normal ones and these before deferrable ones.
Within an urgency the teams take turns by weight, and within a team the
earliest deadline is first. A request that cannot be answered in time is shed
at once, and a full queue sheds deferrable requests first. Times are monotonic
seconds.
"""

import bisect
import dataclasses
import enum
import typing

from turmerichook._internal.models import site

CAPACITY = 512
REMEMBERED_TEAMS = 64
RATE_WEIGHT = 0.1
# Share of the estimated wait that must fit before the deadline. The estimate
# errs both ways; a request that is admitted wrongly is shed when its turn
# comes, while one that is shed wrongly is lost.
CONFIDENCE = 0.8

ORDER = {
    site.Urgency.URGENT: 0,
    site.Urgency.NORMAL: 1,
    site.Urgency.DEFERRABLE: 2,
}


class Shed(enum.Enum):
    """Why a request does not wait any longer."""

    QUEUE_FULL = "queue-full"
    CANNOT_MEET_DEADLINE = "deadline-cannot-be-met"
    DEADLINE_PASSED = "deadline-passed"
    DISPLACED = "displaced-by-more-urgent"


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Entry:
    """A request that waits.

    :param weight: share of the team relative to other teams.
    :param ticket: what the owner of the queue needs to go on with it.
    :param sequence: order of arrival, set by the queue.
    """

    urgency: site.Urgency
    team: str
    weight: float
    deadline: float
    ticket: typing.Any
    sequence: int = 0
    waiting: bool = False

    @property
    def key(self) -> tuple[float, int]:
        """The order within a team."""
        return (self.deadline, self.sequence)


@dataclasses.dataclass(kw_only=True, slots=True)
class TeamQueue:
    """A team's entries of one urgency, the earliest deadline first."""

    served: float
    entries: list[Entry] = dataclasses.field(default_factory=list)


class Level:
    """The entries of one urgency."""

    def __init__(self):
        self.teams: dict[str, TeamQueue] = {}
        self.count = 0
        # Served amount of the team that was last in turn; a team that comes
        # back starts there, so that it cannot claim its past idle time.
        self.position = 0.0
        # Served amounts of teams without entries, as far as these are ahead
        # of the position: a team that sends one request at a time must not
        # get more than its weight.
        self.ahead: dict[str, float] = {}

    def push(self, entry: Entry) -> None:
        """Add an entry."""
        team = self.teams.get(entry.team)
        if team is None:
            served = max(self.position, self.ahead.pop(entry.team, 0.0))
            team = TeamQueue(served=served)
            self.teams[entry.team] = team
        bisect.insort(team.entries, entry, key=_key)
        entry.waiting = True
        self.count += 1

    def pop(self) -> Entry | None:
        """Take the entry whose turn it is."""
        if not self.teams:
            return None
        team = min(self.teams.values(), key=lambda t: t.served)
        entry = team.entries[0]
        self.position = team.served
        team.served += 1.0 / entry.weight
        self.remove(entry)
        return entry

    def latest(self) -> Entry | None:
        """Return the entry with the latest deadline of the longest team."""
        if not self.teams:
            return None
        team = max(self.teams.values(), key=lambda t: len(t.entries))
        return team.entries[-1]

    def remove(self, entry: Entry) -> None:
        """Take an entry out."""
        entries = self.teams[entry.team].entries
        del entries[bisect.bisect_left(entries, entry.key, key=_key)]
        entry.waiting = False
        self.count -= 1
        if not entries:
            self.ahead[entry.team] = self.teams.pop(entry.team).served
            self._forget()

    def _forget(self) -> None:
        if len(self.ahead) > len(self.teams) + REMEMBERED_TEAMS:
            self.ahead = {
                name: served
                for name, served in self.ahead.items()
                if served > self.position
            }


class Queue:
    """All entries of one service."""

    def __init__(self, *, capacity: int = CAPACITY):
        self.capacity = capacity
        self.levels = {urgency: Level() for urgency in ORDER}
        self.sequence = 0
        # Smoothed time between two exchanges that ended, 0 while unknown.
        self.interval = 0.0
        self.last_end = 0.0

    def __len__(self):
        return sum(level.count for level in self.levels.values())

    def ended(self, now: float, *, busy: bool) -> None:
        """Account for an exchange that made room.

        :param busy: whether requests wait; otherwise the time since the last
            end tells nothing about what the endpoints can do.
        """
        gap = now - self.last_end
        self.last_end = now
        if not busy:
            return
        if not self.interval:
            self.interval = gap
        self.interval += RATE_WEIGHT * (gap - self.interval)

    def wait_for(self, urgency: site.Urgency) -> float:
        """Estimate the wait of a new entry in seconds."""
        ahead = sum(
            level.count
            for other, level in self.levels.items()
            if ORDER[other] <= ORDER[urgency]
        )
        return ahead * self.interval

    def offer(
        self, entry: Entry, *, now: float, needed: float
    ) -> tuple[Shed | None, Entry | None]:
        """Add an entry, or shed it or a less urgent one.

        :param needed: seconds that the exchange itself is expected to take.
        :returns: why the entry was shed, or None; and the entry that was
            displaced, or None.
        """
        expected = CONFIDENCE * self.wait_for(entry.urgency) + needed
        if now + expected > entry.deadline:
            return Shed.CANNOT_MEET_DEADLINE, None
        displaced = None
        if len(self) >= self.capacity:
            displaced = self._displace(entry.urgency)
            if displaced is None:
                return Shed.QUEUE_FULL, None
        self.sequence += 1
        entry.sequence = self.sequence
        self.levels[entry.urgency].push(entry)
        return None, displaced

    def pop(self) -> Entry | None:
        """Take the entry whose turn it is."""
        for level in self.levels.values():
            entry = level.pop()
            if entry is not None:
                return entry
        return None

    def put_back(self, entry: Entry) -> None:
        """Return an entry that was popped but found no room."""
        level = self.levels[entry.urgency]
        level.push(entry)
        level.teams[entry.team].served -= 1.0 / entry.weight

    def remove(self, entry: Entry) -> None:
        """Take out an entry whose caller is gone or whose time is up."""
        if entry.waiting:
            self.levels[entry.urgency].remove(entry)

    def _displace(self, urgency: site.Urgency) -> Entry | None:
        for other in reversed(ORDER):
            if ORDER[other] <= ORDER[urgency]:
                return None
            entry = self.levels[other].latest()
            if entry is not None:
                self.remove(entry)
                return entry
        return None


def _key(entry: Entry) -> tuple[float, int]:
    return entry.key
