"""Counters and latencies of the gateway in the Prometheus text format.

Histograms cost about 20 KB each, so one exists only once it has a value.
"""

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
DIGITS = 2
QUANTILES = (0.5, 0.99, 0.999)
PREFIX = "turmerichook_gateway_"

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """All figures of one gateway."""

    def __init__(self):
        self.counters: dict[tuple[str, Labels], int] = {}
        self.gauges: dict[tuple[str, Labels], float] = {}
        self.histograms: dict[tuple[str, Labels], histogram.HdrHistogram]
        self.histograms = {}

    def count(self, name: str, labels: Labels = (), by: int = 1) -> None:
        """Add to a counter."""
        key = (name, labels)
        self.counters[key] = self.counters.get(key, 0) + by

    def set(self, name: str, value: float, labels: Labels = ()) -> None:
        """Set a gauge."""
        self.gauges[(name, labels)] = value

    def record(self, name: str, seconds: float, labels: Labels = ()) -> None:
        """Add a duration to a histogram."""
        key = (name, labels)
        found = self.histograms.get(key)
        if found is None:
            found = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
            self.histograms[key] = found
        value = round(seconds * 1e6)
        found.record_value(min(max(value, LOWEST_US), HIGHEST_US))

    def render(self) -> str:
        """Return the text exposition."""
        lines: list[str] = []
        for kind, figures in (
            ("counter", self.counters),
            ("gauge", self.gauges),
        ):
            shown = ""
            for (name, labels), value in sorted(figures.items()):
                if name != shown:
                    lines.append(f"# TYPE {PREFIX}{name} {kind}")
                    shown = name
                lines.append(f"{PREFIX}{name}{_labels(labels)} {value}")
        shown = ""
        for (name, labels), found in sorted(
            self.histograms.items(), key=lambda item: item[0]
        ):
            if name != shown:
                lines.append(f"# TYPE {PREFIX}{name} summary")
                shown = name
            lines += _summary(name, labels, found)
        return "\n".join(lines) + "\n"


def _summary(
    name: str, labels: Labels, found: histogram.HdrHistogram
) -> list[str]:
    lines = []
    for quantile in QUANTILES:
        value = found.get_value_at_percentile(quantile * 100) / 1e6
        shown = _labels(labels + (("quantile", f"{quantile:g}"),))
        lines.append(f"{PREFIX}{name}{shown} {value:g}")
    count = found.get_total_count()
    total = found.get_mean_value() * count / 1e6
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
