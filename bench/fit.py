"""Straight lines through measured points."""

import collections.abc
import dataclasses
import statistics

Points = collections.abc.Sequence[tuple[float, float]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Line:
    """``y = base + slope * x``.

    :param error: largest distance of a point from the line, as a share of
        the largest ``y``.
    """

    base: float
    slope: float
    error: float

    def at(self, x: float) -> float:
        """Return the line's ``y`` at ``x``."""
        return self.base + self.slope * x


def line(points: Points) -> Line:
    """Return the least-squares line through some points."""
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    slope, base = statistics.linear_regression(xs, ys)
    largest = max(abs(y) for y in ys) or 1.0
    error = max(abs(y - base - slope * x) for x, y in points) / largest
    return Line(base=base, slope=slope, error=error)
