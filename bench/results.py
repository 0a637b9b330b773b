"""Results of measurements."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """One measured figure.

    :param name: stable name with dots, such as ``placement.p99``.
    :param baseline: figure of the baseline in the same run, if there is one.
    """

    name: str
    value: float
    unit: str
    baseline: float | None = None

    @property
    def ratio(self) -> float | None:
        """The value relative to its baseline."""
        if not self.baseline:
            return None
        return self.value / self.baseline

    def line(self) -> str:
        """Return ``name value unit baseline ratio``; ``-`` for absent."""
        return " ".join(
            (
                self.name,
                f"{self.value:.6g}",
                self.unit,
                _or_dash(self.baseline),
                _or_dash(self.ratio),
            )
        )


def _or_dash(number: float | None) -> str:
    return "-" if number is None else f"{number:.6g}"
