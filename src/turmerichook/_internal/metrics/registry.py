"""Counters, gauges and histograms, and their exposition as text.

Histograms keep two significant digits and are created with their first
value, because each costs about 20 KB.
"""

import typing

from hdrh import histogram

NAMESPACE = "turmerichook"
CONTENT_TYPE = "text/plain; version=0.0.4"
QUANTILES = (0.5, 0.99, 0.999)
SIGNIFICANT_DIGITS = 2
MICROSECONDS = 1_000_000
# Longer durations are counted as this one.
LONGEST_S = 600

Labels = tuple[tuple[str, str], ...]
Series = dict[Labels, typing.Any]


class Registry:
    """All metrics of one process.

    Names get the product's prefix; the caller adds the unit.
    """

    def __init__(self):
        self.counters: dict[str, Series] = {}
        self.gauges: dict[str, Series] = {}
        self.durations: dict[str, Series] = {}

    def count(self, name: str, by: float = 1, **labels: str) -> None:
        """Add to a counter."""
        series = self.counters.setdefault(name, {})
        key = _key(labels)
        series[key] = series.get(key, 0) + by

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self.gauges.setdefault(name, {})[_key(labels)] = value

    def clear(self, name: str) -> None:
        """Remove all series of a gauge, before they are set anew."""
        self.gauges.pop(name, None)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        series = self.durations.setdefault(name, {})
        key = _key(labels)
        found = series.get(key)
        if found is None:
            found = series[key] = Duration()
        found.add(seconds)

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines: list[str] = []
        for kind, metrics in (
            ("counter", self.counters),
            ("gauge", self.gauges),
        ):
            for name, series in sorted(metrics.items()):
                lines.append(f"# TYPE {NAMESPACE}_{name} {kind}")
                lines += [
                    _line(name, labels, value)
                    for labels, value in sorted(series.items())
                ]
        for name, series in sorted(self.durations.items()):
            lines.append(f"# TYPE {NAMESPACE}_{name} summary")
            for labels, duration in sorted(series.items()):
                lines += _summary(name, labels, duration)
        return "\n".join(lines) + "\n"


class Duration:
    """Histogram of durations from 1 microsecond to 10 minutes."""

    def __init__(self):
        self.histogram = histogram.HdrHistogram(
            1, LONGEST_S * MICROSECONDS, SIGNIFICANT_DIGITS
        )
        self.sum = 0.0

    def add(self, seconds: float) -> None:
        """Add one duration."""
        value = min(max(seconds, 0.0), LONGEST_S)
        self.sum += value
        self.histogram.record_value(max(1, round(value * MICROSECONDS)))

    def quantile(self, share: float) -> float:
        """Return a quantile in seconds."""
        found = self.histogram.get_value_at_percentile(share * 100)
        return found / MICROSECONDS

    @property
    def count(self) -> int:
        """Number of durations."""
        return self.histogram.get_total_count()


def _key(labels: dict[str, str]) -> Labels:
    return tuple(sorted(labels.items()))


def _summary(name: str, labels: Labels, duration: Duration) -> list[str]:
    lines = [
        _line(
            name,
            (*labels, ("quantile", f"{share:g}")),
            duration.quantile(share),
        )
        for share in QUANTILES
    ]
    lines.append(_line(f"{name}_sum", labels, duration.sum))
    lines.append(_line(f"{name}_count", labels, duration.count))
    return lines


def _line(name: str, labels: Labels, value: float) -> str:
    inner = ",".join(f'{key}="{_escape(text)}"' for key, text in labels)
    braces = f"{{{inner}}}" if inner else ""
    return f"{NAMESPACE}_{name}{braces} {value:.10g}"


def _escape(text: str) -> str:
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return escaped.replace("\n", "\\n")
