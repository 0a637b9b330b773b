"""Learned slowdown of services by the batch classes next to them.

The logarithm of a service's latency is modelled as a base, which depends on
the service and its load, plus one coefficient for each batch class times the
share of the host's processors that the class may use. Each coefficient has a
mean and a variance, updated like a Kalman filter with a diagonal covariance:
three floats for a pair, where a full covariance would need them for each pair
of pairs. The variance grows with time, since interference drifts.
"""

import collections
import collections.abc
import dataclasses
import math

from turmerichook._internal.scheduling import classes

MAX_PAIRS = 4096
MAX_BASES = 1024
LOAD_STEPS = 8
# Mean and variance assumed for a pair that was never seen together.
PRIOR_MEAN = 0.15
PRIOR_VARIANCE = 0.25
BASE_VARIANCE = 1.0
# Growth of a variance a second; a pair that was not seen for two hours is
# about as uncertain as one that was never seen.
DRIFT = PRIOR_VARIANCE / 7200.0
NOISE_VARIANCE = 0.01
# A variance above this makes a pair unknown.
UNKNOWN_VARIANCE = 0.1225
# One outlier must not turn a well-known pair around, so a report counts for
# at most this many deviations. Each such report also makes the pairs less
# certain, so that a pair far outside the prior is learned in a few reports.
MAX_SURPRISE = 3.0
SURPRISE_GROWTH = 4.0
MAX_VARIANCE = 16.0

Neighbours = collections.abc.Mapping[classes.TaskClass, float]
Key = tuple[classes.TaskClass, classes.TaskClass | int]


@dataclasses.dataclass(kw_only=True, slots=True)
class Estimate:
    """A coefficient with its uncertainty.

    :param updated: monotonic seconds of the newest measurement in it.
    """

    mean: float
    variance: float
    updated: float

    def variance_at(self, now: float, most: float) -> float:
        """Return the variance including the drift since the last update."""
        age = max(0.0, now - self.updated)
        return max(self.variance, min(most, self.variance + DRIFT * age))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Prediction:
    """Logarithm of a factor, with its standard deviation."""

    mean: float
    deviation: float

    def upper(self, confidence: float) -> float:
        """Return a cautious value, ``confidence`` deviations above."""
        return self.mean + confidence * self.deviation


class Interference:
    """Coefficients of all pairs and bases that were seen recently."""

    def __init__(self):
        self.pairs: collections.OrderedDict[Key, Estimate]
        self.pairs = collections.OrderedDict()
        self.bases: collections.OrderedDict[Key, Estimate]
        self.bases = collections.OrderedDict()

    def observe(
        self,
        *,
        service: classes.TaskClass,
        load: float,
        latency: float,
        neighbours: Neighbours,
        measured: float,
        now: float,
    ) -> None:
        """Learn from a latency report.

        :param load: use of the service relative to its declared size.
        :param latency: seconds.
        :param neighbours: share of the host's processors of each batch
            class at the time of the measurement.
        :param measured: monotonic seconds of the measurement.
        """
        if latency <= 0.0:
            return
        base = self._base(service, load, math.log(latency), measured)
        terms = [(base, 1.0, BASE_VARIANCE)]
        for batch, share in neighbours.items():
            if share > 0.0:
                pair = self._pair(service, batch, measured)
                terms.append((pair, share, PRIOR_VARIANCE))
        surprise = math.log(latency)
        # A late report tells less about the present.
        spread = NOISE_VARIANCE + DRIFT * max(0.0, now - measured)
        for estimate, factor, most in terms:
            estimate.variance = estimate.variance_at(measured, most)
            estimate.updated = max(estimate.updated, measured)
            surprise -= estimate.mean * factor
            spread += estimate.variance * factor * factor
        limit = MAX_SURPRISE * math.sqrt(spread)
        surprised = abs(surprise) > limit
        surprise = max(-limit, min(limit, surprise))
        for estimate, factor, _ in terms:
            gain = estimate.variance * factor / spread
            estimate.mean += gain * surprise
            estimate.variance *= 1.0 - gain * factor
            if surprised:
                grown = estimate.variance * SURPRISE_GROWTH
                estimate.variance = min(MAX_VARIANCE, grown)

    def slowdown(
        self,
        service: classes.TaskClass,
        neighbours: Neighbours,
        now: float,
    ) -> Prediction:
        """Predict the slowdown of a service next to some batch classes."""
        mean = 0.0
        variance = 0.0
        for batch, share in neighbours.items():
            estimate = self.pairs.get((service, batch))
            if estimate is None:
                mean += PRIOR_MEAN * share
                variance += PRIOR_VARIANCE * share * share
                continue
            mean += estimate.mean * share
            drifted = estimate.variance_at(now, PRIOR_VARIANCE)
            variance += drifted * share * share
        return Prediction(mean=mean, deviation=math.sqrt(variance))

    def base(
        self, service: classes.TaskClass, load: float
    ) -> Prediction | None:
        """Return the logarithm of a service's latency alone, if known."""
        estimate = self.bases.get((service, load_step(load)))
        if estimate is None:
            return None
        return Prediction(
            mean=estimate.mean, deviation=math.sqrt(estimate.variance)
        )

    def pair(
        self,
        service: classes.TaskClass,
        batch: classes.TaskClass,
        now: float,
    ) -> tuple[float, float, bool]:
        """Return mean, variance and whether too little is known."""
        estimate = self.pairs.get((service, batch))
        if estimate is None:
            return PRIOR_MEAN, PRIOR_VARIANCE, True
        variance = estimate.variance_at(now, PRIOR_VARIANCE)
        return estimate.mean, variance, variance > UNKNOWN_VARIANCE

    def unknown(
        self,
        service: classes.TaskClass,
        batch: classes.TaskClass,
        now: float,
    ) -> bool:
        """Tell whether too little is known of a pair."""
        return self.pair(service, batch, now)[2]

    def _base(
        self,
        service: classes.TaskClass,
        load: float,
        level: float,
        measured: float,
    ) -> Estimate:
        key = (service, load_step(load))
        if key not in self.bases:
            self.bases[key] = Estimate(
                mean=level, variance=BASE_VARIANCE, updated=measured
            )
        return _touch(self.bases, key, MAX_BASES)

    def _pair(
        self,
        service: classes.TaskClass,
        batch: classes.TaskClass,
        measured: float,
    ) -> Estimate:
        key = (service, batch)
        if key not in self.pairs:
            self.pairs[key] = Estimate(
                mean=PRIOR_MEAN, variance=PRIOR_VARIANCE, updated=measured
            )
        return _touch(self.pairs, key, MAX_PAIRS)


def load_step(load: float) -> int:
    """Return the load rounded to an eighth of the declared size."""
    return max(0, min(2 * LOAD_STEPS, round(load * LOAD_STEPS)))


def _touch(
    table: "collections.OrderedDict[Key, Estimate]", key: Key, most: int
) -> Estimate:
    table.move_to_end(key)
    if len(table) > most:
        table.popitem(last=False)
    return table[key]
