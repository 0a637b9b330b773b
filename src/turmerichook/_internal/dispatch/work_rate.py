"""Rate at which the work of short tasks ends, as a measure of their room."""

import collections
import datetime
import enum

# Time over which the rate is measured.
WINDOW = datetime.timedelta(seconds=5)
# Least time since the first end before there is a rate.
WARM_UP = datetime.timedelta(seconds=2)


class RoomKind(enum.Enum):
    """Kind of room that tasks use."""

    # Processors that other tasks leave unused.
    FILLER = "filler"
    # Processors that are reserved for the task.
    OTHER = "other"


class WorkRate:
    """Estimated processor time of the tasks of one kind that have ended."""

    def __init__(self):
        self.ends: collections.deque[
            tuple[datetime.timedelta, datetime.timedelta]
        ] = collections.deque()
        self.total = datetime.timedelta()
        self.first_end: datetime.timedelta | None = None

    def note_end(
        self, work: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Count the work of a task that is done.

        :param work: estimated processor time of the task.
        """
        if self.first_end is None:
            self.first_end = now
        self.ends.append((now, work))
        self.total += work

    def cores(self, now: datetime.timedelta) -> float | None:
        """Return processor seconds of work a second; None if unknown."""
        while self.ends and now - self.ends[0][0] > WINDOW:
            self.total -= self.ends.popleft()[1]
        if not self.ends or now - self.first_end < WARM_UP:
            return None
        return self.total / min(WINDOW, now - self.first_end)
