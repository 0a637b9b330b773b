"""Metrics of the gateway in the Prometheus text format.

A histogram takes about 20 KB of memory, so it is created only when its first
value is recorded.
"""

from hdrh import histogram

MIN_DURATION_US = 1
MAX_DURATION_US = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.99, 0.999)
PREFIX = "turmerichook_gateway_"

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Counters, gauges and histograms of one gateway."""

    def __init__(self):
        self.counters: dict[tuple[str, Labels], int] = {}
        self.gauges: dict[tuple[str, Labels], float] = {}
        self.histograms: dict[tuple[str, Labels], histogram.HdrHistogram]
        self.histograms = {}

    def count(self, name: str, labels: Labels = (), by: int = 1) -> None:
        """Increment a counter."""
        key = (name, labels)
        self.counters[key] = self.counters.get(key, 0) + by

    def set(self, name: str, value: float, labels: Labels = ()) -> None:
        """Set a gauge."""
        self.gauges[(name, labels)] = value

    def record(self, name: str, seconds: float, labels: Labels = ()) -> None:
        """Record a duration in a histogram.

        Durations outside of the range of the histogram are clamped to it.
        """
        key = (name, labels)
        recorded = self.histograms.get(key)
        if recorded is None:
            recorded = histogram.HdrHistogram(
                MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_DIGITS
            )
            self.histograms[key] = recorded
        value = round(seconds * 1e6)
        recorded.record_value(
            min(max(value, MIN_DURATION_US), MAX_DURATION_US)
        )

    def render(self) -> str:
        """Return all metrics in the Prometheus text exposition format."""
        lines: list[str] = []
        for kind, series in (
            ("counter", self.counters),
            ("gauge", self.gauges),
        ):
            last_name = ""
            for (name, labels), value in sorted(series.items()):
                if name != last_name:
                    lines.append(f"# TYPE {PREFIX}{name} {kind}")
                    last_name = name
                lines.append(f"{PREFIX}{name}{_labels(labels)} {value}")
        last_name = ""
        for (name, labels), recorded in sorted(
            self.histograms.items(), key=lambda item: item[0]
        ):
            if name != last_name:
                lines.append(f"# TYPE {PREFIX}{name} summary")
                last_name = name
            lines += _summary(name, labels, recorded)
        return "\n".join(lines) + "\n"


def _summary(
    name: str, labels: Labels, recorded: histogram.HdrHistogram
) -> list[str]:
    lines = []
    for quantile in QUANTILES:
        value = recorded.get_value_at_percentile(quantile * 100) / 1e6
        label_text = _labels(labels + (("quantile", f"{quantile:g}"),))
        lines.append(f"{PREFIX}{name}{label_text} {value:g}")
    count = recorded.get_total_count()
    total = recorded.get_mean_value() * count / 1e6
    lines.append(f"{PREFIX}{name}_sum{_labels(labels)} {total:g}")
    lines.append(f"{PREFIX}{name}_count{_labels(labels)} {count}")
    return lines


def _labels(labels: Labels) -> str:
    if not labels:
        return ""
    pairs = ",".join(f'{key}="{_escape(value)}"' for key, value in labels)
    return "{" + pairs + "}"


def _escape(value: str) -> str:
    escaped = value.replace("\\", "\\\\").replace('"', '\\"')
    return escaped.replace("\n", "\\n")
