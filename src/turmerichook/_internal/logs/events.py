"""What a numbered log event is.

Each slice lists its events in an ``Enum`` in its own ``events.py``. Numbers
are unique in the product: 1xxx processes and settings, 2xxx platform, 3xxx
configuration, 4xxx streams and membership, 5xxx scheduling, 6xxx routing.
``docs/events.md`` is the catalogue; ``tools/event_catalogue.py`` writes it.
"""

import dataclasses
import enum


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
    """

    number: int
    level: Level
    summary: str

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
