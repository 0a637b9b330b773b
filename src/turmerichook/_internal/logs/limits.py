"""Limits on the lines that one event may write."""

import dataclasses
import math

PERIOD_S = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeftOut:
    """Lines of one event that were not written in a period."""

    code: str
    count: int


@dataclasses.dataclass(slots=True)
class _Window:
    began: float
    written: int = 0
    left_out: int = 0


class Limiter:
    """Counts lines by event over periods of 10 s. Pure; time is passed in."""

    def __init__(self):
        self.windows: dict[str, _Window] = {}
        # When the first of the periods ends.
        self.next_end = math.inf

    def allow(self, code: str, limit: int | None, now: float) -> bool:
        """Tell whether a line may be written now."""
        if limit is None:
            return True
        window = self.windows.get(code)
        if window is None:
            window = self.windows[code] = _Window(now)
            self.next_end = min(self.next_end, now + PERIOD_S)
        if window.written >= limit:
            window.left_out += 1
            return False
        window.written += 1
        return True

    def ended(self, now: float) -> list[LeftOut]:
        """Close the periods that have passed, and return their counts."""
        if now < self.next_end:
            return []
        passed = [
            code
            for code, window in self.windows.items()
            if now >= window.began + PERIOD_S
        ]
        closed = [(code, self.windows.pop(code)) for code in passed]
        self.next_end = min(
            (window.began + PERIOD_S for window in self.windows.values()),
            default=math.inf,
        )
        return [
            LeftOut(code=code, count=window.left_out)
            for code, window in closed
            if window.left_out
        ]
