"""Rate limits on the log lines of each event."""

import dataclasses
import math

PERIOD_S = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuppressedLines:
    """Number of lines of one event that were suppressed in a period."""

    code: str
    count: int


@dataclasses.dataclass(slots=True)
class _Period:
    started: float
    written: int = 0
    suppressed: int = 0


class Limiter:
    """Limits the lines of each event in periods of 10 s.

    An event's period starts with its first line. The limiter reads no clock:
    callers pass the time in.
    """

    def __init__(self):
        self.periods: dict[str, _Period] = {}
        # Earliest end of an open period.
        self.earliest_end = math.inf

    def allow(self, code: str, limit: int | None, now: float) -> bool:
        """Return whether a line of an event may be written, and count it.

        :param limit: lines allowed in a period, or None for no limit.
        :param now: reading of ``time.monotonic``.
        """
        if limit is None:
            return True
        period = self.periods.get(code)
        if period is None:
            period = self.periods[code] = _Period(now)
            self.earliest_end = min(self.earliest_end, now + PERIOD_S)
        if period.written >= limit:
            period.suppressed += 1
            return False
        period.written += 1
        return True

    def close_periods(self, now: float) -> list[SuppressedLines]:
        """Close the periods that have ended; return their suppressed lines.

        :param now: reading of ``time.monotonic``.
        """
        if now < self.earliest_end:
            return []
        expired = [
            code
            for code, period in self.periods.items()
            if now >= period.started + PERIOD_S
        ]
        closed_periods = [(code, self.periods.pop(code)) for code in expired]
        self.earliest_end = min(
            (period.started + PERIOD_S for period in self.periods.values()),
            default=math.inf,
        )
        return [
            SuppressedLines(code=code, count=period.suppressed)
            for code, period in closed_periods
            if period.suppressed
        ]
