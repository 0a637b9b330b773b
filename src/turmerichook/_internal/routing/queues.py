"""Queue of the requests to one service that wait for an endpoint.

Urgent requests are dequeued before normal ones, and normal ones before
deferrable ones. Within an urgency, the teams share the service by weight
(start-time fair queueing); within a team, the request with the earliest
deadline is first. A request that cannot be answered before its deadline is
shed at once. A full queue sheds its least urgent requests to admit more
urgent ones. Times are monotonic seconds.
"""

import bisect
import dataclasses
import enum
import typing

from turmerichook._internal.models import site

# Maximum length of a queue.
MAX_WAITING = 512
# Teams without waiting requests, beyond the number of waiting teams, whose
# start tags are kept before outdated tags are deleted.
MAX_IDLE_TEAMS = 64
# Weight of a new measurement in the smoothed time between completions.
INTERVAL_SMOOTHING = 0.1
# Share of the estimated wait that must fit before the deadline. It is below 1
# because the estimate can be too high or too low: a request that is admitted
# by mistake is still shed when its turn comes, while a request that is shed by
# mistake is lost.
WAIT_ESTIMATE_FACTOR = 0.8

# Urgencies in the order in which they are dequeued.
PRIORITY = {
    site.Urgency.URGENT: 0,
    site.Urgency.NORMAL: 1,
    site.Urgency.DEFERRABLE: 2,
}


class Shed(enum.Enum):
    """Why a request was not admitted to the queue or was removed from it."""

    QUEUE_FULL = "queue-full"
    CANNOT_MEET_DEADLINE = "deadline-cannot-be-met"
    DEADLINE_PASSED = "deadline-passed"
    DISPLACED = "displaced-by-more-urgent"


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Entry:
    """A waiting request.

    :param weight: share of the team relative to other teams.
    :param resume_data: data that the owner of the queue needs to resume the
        request.
    :param sequence: order of arrival, set by the queue.
    :param waiting: whether the entry is in the queue, set by the queue.
    """

    urgency: site.Urgency
    team: str
    weight: float
    deadline: float
    resume_data: typing.Any
    sequence: int = 0
    waiting: bool = False

    @property
    def key(self) -> tuple[float, int]:
        """Sort key within a team: deadline, then order of arrival."""
        return (self.deadline, self.sequence)


@dataclasses.dataclass(kw_only=True, slots=True)
class TeamQueue:
    """A team's entries of one urgency, sorted by deadline.

    :param start_tag: service that the team has received, in requests divided
        by its weight; the team with the lowest tag is next.
    """

    start_tag: float
    entries: list[Entry] = dataclasses.field(default_factory=list)


class Level:
    """The entries of one urgency."""

    def __init__(self):
        self.teams: dict[str, TeamQueue] = {}
        self.count = 0
        # Start tag of the team that was served last. A team that has been idle
        # gets at least this tag when it returns, so that it cannot claim
        # service for its idle time.
        self.virtual_time = 0.0
        # Start tags of teams that have no entries now. Without them, a team
        # that sends one request at a time would get more than its weight,
        # since it would always return at the virtual time. Only tags above
        # the virtual time matter; lower ones may be deleted.
        self.idle_start_tags: dict[str, float] = {}

    def push(self, entry: Entry) -> None:
        """Add an entry."""
        team = self.teams.get(entry.team)
        if team is None:
            start_tag = max(
                self.virtual_time, self.idle_start_tags.pop(entry.team, 0.0)
            )
            team = TeamQueue(start_tag=start_tag)
            self.teams[entry.team] = team
        bisect.insort(team.entries, entry, key=_entry_key)
        entry.waiting = True
        self.count += 1

    def pop(self) -> Entry | None:
        """Remove and return the next entry, or None if there is none."""
        if not self.teams:
            return None
        team = min(self.teams.values(), key=lambda t: t.start_tag)
        entry = team.entries[0]
        self.virtual_time = team.start_tag
        team.start_tag += 1.0 / entry.weight
        self.remove(entry)
        return entry

    def last_of_longest_team(self) -> Entry | None:
        """Return the last entry of the team with the most entries."""
        if not self.teams:
            return None
        team = max(self.teams.values(), key=lambda t: len(t.entries))
        return team.entries[-1]

    def remove(self, entry: Entry) -> None:
        """Remove an entry."""
        entries = self.teams[entry.team].entries
        del entries[bisect.bisect_left(entries, entry.key, key=_entry_key)]
        entry.waiting = False
        self.count -= 1
        if not entries:
            self.idle_start_tags[entry.team] = self.teams.pop(
                entry.team
            ).start_tag
            self._prune_idle_teams()

    def _prune_idle_teams(self) -> None:
        if len(self.idle_start_tags) > len(self.teams) + MAX_IDLE_TEAMS:
            self.idle_start_tags = {
                name: start_tag
                for name, start_tag in self.idle_start_tags.items()
                if start_tag > self.virtual_time
            }


class Queue:
    """All waiting requests of one service."""

    def __init__(self, *, capacity: int = MAX_WAITING):
        self.capacity = capacity
        self.levels = {urgency: Level() for urgency in PRIORITY}
        self.sequence = 0
        # Smoothed time between the completions of two exchanges, or 0 until
        # it has been measured.
        self.completion_interval = 0.0
        self.last_completion = 0.0
        # Whether requests were waiting at the last completion.
        self.was_saturated = False

    def __len__(self):
        return sum(level.count for level in self.levels.values())

    def record_completion(self, now: float, *, requests_waiting: bool) -> None:
        """Update the completion interval after an exchange has ended.

        The time between two completions shows the throughput of the endpoints
        only if requests were waiting at both. Otherwise it includes idle time.

        :param requests_waiting: whether requests are waiting now.
        """
        elapsed = now - self.last_completion
        saturated = requests_waiting and self.was_saturated
        self.last_completion = now
        self.was_saturated = requests_waiting
        if not saturated:
            return
        if not self.completion_interval:
            self.completion_interval = elapsed
        self.completion_interval += INTERVAL_SMOOTHING * (
            elapsed - self.completion_interval
        )

    def estimated_wait(self, urgency: site.Urgency) -> float:
        """Estimate the time in seconds that a new entry would wait."""
        ahead = sum(
            level.count
            for other, level in self.levels.items()
            if PRIORITY[other] <= PRIORITY[urgency]
        )
        return ahead * self.completion_interval

    def offer(
        self, entry: Entry, *, now: float, exchange_time: float
    ) -> tuple[Shed | None, Entry | None]:
        """Add an entry, unless it has to be shed.

        If the queue is full, a less urgent entry is displaced.

        :param exchange_time: expected duration of the exchange itself in
            seconds.
        :returns: the reason why the entry was shed or None, and the entry
            that was displaced or None.
        """
        expected = (
            WAIT_ESTIMATE_FACTOR * self.estimated_wait(entry.urgency)
            + exchange_time
        )
        if now + expected > entry.deadline:
            return Shed.CANNOT_MEET_DEADLINE, None
        displaced = None
        if len(self) >= self.capacity:
            displaced = self._evict_less_urgent(entry.urgency)
            if displaced is None:
                return Shed.QUEUE_FULL, None
        self.sequence += 1
        entry.sequence = self.sequence
        self.levels[entry.urgency].push(entry)
        return None, displaced

    def pop(self) -> Entry | None:
        """Remove and return the next entry, or None if the queue is empty."""
        for level in self.levels.values():
            entry = level.pop()
            if entry is not None:
                return entry
        return None

    def requeue(self, entry: Entry) -> None:
        """Put back a popped entry for which no endpoint was available."""
        level = self.levels[entry.urgency]
        level.push(entry)
        level.teams[entry.team].start_tag -= 1.0 / entry.weight

    def remove(self, entry: Entry) -> None:
        """Remove an entry if it is still waiting.

        The caller may have disconnected, or the deadline may have passed.
        """
        if entry.waiting:
            self.levels[entry.urgency].remove(entry)

    def _evict_less_urgent(self, urgency: site.Urgency) -> Entry | None:
        for other in reversed(PRIORITY):
            if PRIORITY[other] <= PRIORITY[urgency]:
                return None
            entry = self.levels[other].last_of_longest_team()
            if entry is not None:
                self.remove(entry)
                return entry
        return None


def _entry_key(entry: Entry) -> tuple[float, int]:
    return entry.key
