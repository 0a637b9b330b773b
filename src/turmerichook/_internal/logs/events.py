"""Definition of numbered log events.

Each subpackage lists its events in an ``EventEnum`` in its own ``events.py``.
Numbers are unique in the whole product: 1xxx processes and settings, 2xxx
platform, 3xxx configuration, 4xxx streams and membership, 5xxx scheduling,
6xxx routing. ``docs/events.md`` is the catalogue, which
``tools/event_catalogue.py`` writes.
"""

import dataclasses
import enum


DEFAULT_LINES_ALLOWED = 20


class Level(enum.Enum):
    """Severity of an event.

    DEBUG: of use to developers only. INFO: a normal step or decision.
    WARNING: the condition was handled, and needs attention only if it
    persists. ERROR: a guarantee or a function of the software is at risk,
    and an operator should act.
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
    :param limit: number of lines that may be written in 10 s; further lines
        are counted and not written. By default warnings and errors are
        limited; scheduling decisions are not, because a replay needs all
        of them.
    :param value_characters: maximum length of a field's value; longer values
        are truncated.
    """

    number: int
    level: Level
    summary: str
    limit: int | None = None
    # Logged values may come from callers, who can send texts that are long or
    # made to mislead.
    value_characters: int = 500

    @property
    def lines_allowed(self) -> int | None:
        """Number of lines that may be written in 10 s; None for no limit."""
        if self.limit is not None:
            return self.limit
        if self.level in (Level.WARNING, Level.ERROR):
            return DEFAULT_LINES_ALLOWED
        return None

    @property
    def code(self) -> str:
        """The event's code in logs and documents, ``TH-<number>``."""
        return f"TH-{self.number}"


class EventEnum(enum.Enum):
    """Base of the subpackages' event lists; each value is an ``Event``."""

    @property
    def event(self) -> Event:
        """The event's definition."""
        return self.value


class ProcessEvent(EventEnum):
    """Events 1000 to 1999: processes, settings and the log itself."""

    STARTED = Event(
        number=1001,
        level=Level.INFO,
        summary="the process has started",
    )
    STOPPED = Event(
        number=1002,
        level=Level.INFO,
        summary="the process has stopped normally",
    )
    FAILED = Event(
        number=1003,
        level=Level.ERROR,
        summary="the process ends because of an error",
    )
    LINES_LEFT_OUT = Event(
        number=1010,
        level=Level.WARNING,
        summary="lines of one event exceeded its limit and were suppressed",
        limit=1000,
    )
