"""Limits on the lines that one event may write."""

import dataclasses

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

    def allow(self, code: str, limit: int | None, now: float) -> bool:
        """Tell whether a line may be written now."""
        if limit is None:
            return True
        window = self.windows.get(code)
        if window is None:
            window = self.windows[code] = _Window(now)
        if window.written >= limit:
            window.left_out += 1
            return False
        window.written += 1
        return True

    def ended(self, now: float) -> list[LeftOut]:
        """Close the periods that have passed, and return their counts."""
        passed = [
            code
            for code, window in self.windows.items()
            if now - window.began >= PERIOD_S
        ]
        closed = [(code, self.windows.pop(code)) for code in passed]
        return [
            LeftOut(code=code, count=window.left_out)
            for code, window in closed
            if window.left_out
        ]
