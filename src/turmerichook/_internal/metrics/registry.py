"""Counters, gauges and histograms, and their exposition as text.

A histogram takes about 20 KB of memory. It therefore keeps only two
significant digits, and is created when its first value is recorded.
"""

import typing

from hdrh import histogram

NAMESPACE = "turmerichook"
CONTENT_TYPE = "text/plain; version=0.0.4"
QUANTILES = (0.5, 0.99, 0.999)
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_SECOND = 1_000_000
# Longer durations are recorded as this value.
MAX_DURATION_S = 600

Labels = tuple[tuple[str, str], ...]
Series = dict[Labels, typing.Any]


class Registry:
    """All metrics of one process.

    The registry puts the product's prefix before each name. Callers include
    the unit in the name.
    """

    def __init__(self):
        self.counters: dict[str, Series] = {}
        self.gauges: dict[str, Series] = {}
        self.durations: dict[str, Series] = {}

    def count(self, name: str, by: float = 1, **labels: str) -> None:
        """Add to a counter."""
        series = self.counters.setdefault(name, {})
        key = _label_key(labels)
        series[key] = series.get(key, 0) + by

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self.gauges.setdefault(name, {})[_label_key(labels)] = value

    def clear(self, name: str) -> None:
        """Remove all series of a gauge.

        Callers use this before they set the series again, so that series
        which no longer apply disappear.
        """
        self.gauges.pop(name, None)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in a histogram."""
        series = self.durations.setdefault(name, {})
        key = _label_key(labels)
        duration = series.get(key)
        if duration is None:
            duration = series[key] = DurationHistogram()
        duration.add(seconds)

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
                    _sample_line(name, labels, value)
                    for labels, value in sorted(series.items())
                ]
        for name, series in sorted(self.durations.items()):
            lines.append(f"# TYPE {NAMESPACE}_{name} summary")
            for labels, duration in sorted(series.items()):
                lines += _summary_lines(name, labels, duration)
        return "\n".join(lines) + "\n"


class DurationHistogram:
    """Histogram of durations from 1 microsecond to 10 minutes."""

    def __init__(self):
        self.histogram = histogram.HdrHistogram(
            1, MAX_DURATION_S * MICROSECONDS_PER_SECOND, SIGNIFICANT_DIGITS
        )
        self.sum = 0.0

    def add(self, seconds: float) -> None:
        """Record one duration; values out of range are clamped."""
        value = min(max(seconds, 0.0), MAX_DURATION_S)
        self.sum += value
        self.histogram.record_value(
            max(1, round(value * MICROSECONDS_PER_SECOND))
        )

    def quantile(self, fraction: float) -> float:
        """Return a quantile in seconds."""
        microseconds = self.histogram.get_value_at_percentile(fraction * 100)
        return microseconds / MICROSECONDS_PER_SECOND

    @property
    def count(self) -> int:
        """Number of recorded durations."""
        return self.histogram.get_total_count()


def _label_key(labels: dict[str, str]) -> Labels:
    return tuple(sorted(labels.items()))


def _summary_lines(
    name: str, labels: Labels, duration: DurationHistogram
) -> list[str]:
    lines = [
        _sample_line(
            name,
            (*labels, ("quantile", f"{fraction:g}")),
            duration.quantile(fraction),
        )
        for fraction in QUANTILES
    ]
    lines.append(_sample_line(f"{name}_sum", labels, duration.sum))
    lines.append(_sample_line(f"{name}_count", labels, duration.count))
    return lines


def _sample_line(name: str, labels: Labels, value: float) -> str:
    label_list = ",".join(
        f'{key}="{_escape_label_value(text)}"' for key, text in labels
    )
    label_block = f"{{{label_list}}}" if label_list else ""
    return f"{NAMESPACE}_{name}{label_block} {value:.10g}"


def _escape_label_value(text: str) -> str:
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return escaped.replace("\n", "\\n")
