"""What a numbered log event is.

Each slice lists its events in an ``Enum`` in its own ``events.py``. Numbers
are unique in the product: 1xxx processes and settings, 2xxx platform, 3xxx
configuration, 4xxx streams and membership, 5xxx scheduling, 6xxx routing.
``docs/events.md`` is the catalogue; ``tools/event_catalogue.py`` writes it.
"""

import dataclasses
import enum


LIMIT_DEFAULT = 20


class Level(enum.Enum):
    """What a level asks of the reader.

    DEBUG: of use to developers only. INFO: a normal step or decision.
    WARNING: handled, but look at it if it goes on. ERROR: a promise or a
    duty is at risk and somebody should act.
    """

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
    """Definition of a log event.

    :param number: unique number, shown as ``TH-<number>``.
    :param level: severity.
    :param summary: one sentence for the catalogue and the log line.
    :param limit: lines in 10 s; more are counted and left out. By default
        warnings and errors are limited, and decisions, which must all be
        there for a replay, are not.
    """

    number: int
    level: Level
    summary: str
    limit: int | None = None

    @property
    def lines_allowed(self) -> int | None:
        """Lines that may be written in 10 s; None for no limit."""
        if self.limit is not None:
            return self.limit
        if self.level in (Level.WARNING, Level.ERROR):
            return LIMIT_DEFAULT
        return None

    @property
    def code(self) -> str:
        """The number as it is shown in logs and documents."""
        return f"TH-{self.number}"


class EventEnum(enum.Enum):
    """Base of the slices' event lists; each value is an ``Event``."""

    @property
    def event(self) -> Event:
        """The event's definition."""
        return self.value


class ProcessEvent(EventEnum):
    """Numbers 1000 to 1999: processes, settings and the log itself."""

    STARTED = Event(
        number=1001,
        level=Level.INFO,
        summary="the process has started",
    )
    STOPPED = Event(
        number=1002,
        level=Level.INFO,
        summary="the process has ended as planned",
    )
    FAILED = Event(
        number=1003,
        level=Level.ERROR,
        summary="the process ends because of an error",
    )
    LINES_LEFT_OUT = Event(
        number=1010,
        level=Level.WARNING,
        summary="repeated lines of one event were left out",
        limit=1000,
    )
