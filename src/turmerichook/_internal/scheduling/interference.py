"""Learned slowdown of services by batch classes on the same host.

The logarithm of a service's latency is modelled as a sum: a baseline, which
depends on the service and its load, and for each batch class on the host one
coefficient times the share of the host's processors that the class may use.
Baselines and coefficients have a mean and a variance, updated like a Kalman
filter with a diagonal covariance. That takes three floats for each pair of a
service class and a batch class, where a full covariance would need them for
each pair of pairs. The variance grows with time, since interference drifts.
"""

import collections
import collections.abc
import dataclasses
import math

from turmerichook._internal.scheduling import classes

MAX_PAIRS = 4096
MAX_BASELINES = 1024
LOAD_STEPS = 8
# Mean and variance assumed for a pair of classes that has not been observed
# on one host.
PRIOR_MEAN = 0.15
PRIOR_VARIANCE = 0.25
BASELINE_VARIANCE = 1.0
# Growth of a variance per second. After two hours without an observation a
# pair is about as uncertain as one that has not been observed at all.
VARIANCE_DRIFT_PER_S = PRIOR_VARIANCE / 7200.0
# Variance of the noise of one latency report.
NOISE_VARIANCE = 0.01
# The slowdown of a pair counts as unknown above this variance.
UNKNOWN_VARIANCE = 0.1225
# The innovation, which is the measured less the predicted logarithm of the
# latency, is clipped to this many standard deviations, so that one outlier
# does not reverse a well-known coefficient. Each clipped report also
# multiplies the variances by ``OUTLIER_VARIANCE_FACTOR``, so that a pair far
# outside of the prior is learned within a few reports.
MAX_INNOVATION_DEVIATIONS = 3.0
OUTLIER_VARIANCE_FACTOR = 4.0
MAX_VARIANCE = 16.0

Neighbours = collections.abc.Mapping[classes.TaskClass, float]
EstimateKey = tuple[classes.TaskClass, classes.TaskClass | int]


@dataclasses.dataclass(kw_only=True, slots=True)
class Estimate:
    """A baseline or coefficient with its uncertainty.

    :param updated: monotonic time in seconds of the newest measurement that
        contributed to the estimate.
    """

    mean: float
    variance: float
    updated: float

    def variance_at(self, now: float, max_variance: float) -> float:
        """Return the variance including the drift since the last update.

        :param max_variance: limit of what drift raises the variance to.
        """
        age = max(0.0, now - self.updated)
        return max(
            self.variance,
            min(max_variance, self.variance + VARIANCE_DRIFT_PER_S * age),
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Prediction:
    """Predicted logarithm of a latency or slowdown, with its deviation."""

    mean: float
    deviation: float

    def upper_bound(self, deviations: float) -> float:
        """Return the mean plus ``deviations`` standard deviations."""
        return self.mean + deviations * self.deviation


class Interference:
    """Baselines and coefficients that were updated most recently."""

    def __init__(self):
        self.pairs: collections.OrderedDict[EstimateKey, Estimate]
        self.pairs = collections.OrderedDict()
        self.baselines: collections.OrderedDict[EstimateKey, Estimate]
        self.baselines = collections.OrderedDict()

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
        """Update the estimates with a latency report.

        :param load: processor use of the service relative to its declared
            size.
        :param latency: reported latency in seconds.
        :param neighbours: share of the host's processors that each batch
            class could use at the time of the measurement.
        :param measured: monotonic time of the measurement in seconds.
        """
        if latency <= 0.0:
            return
        baseline = self._baseline(service, load, math.log(latency), measured)
        terms = [(baseline, 1.0, BASELINE_VARIANCE)]
        for batch, share in neighbours.items():
            if share > 0.0:
                pair = self._pair(service, batch, measured)
                terms.append((pair, share, PRIOR_VARIANCE))
        innovation = math.log(latency)
        # The older the measurement, the less it says about the present.
        innovation_variance = NOISE_VARIANCE + VARIANCE_DRIFT_PER_S * max(
            0.0, now - measured
        )
        for estimate, factor, max_variance in terms:
            estimate.variance = estimate.variance_at(measured, max_variance)
            estimate.updated = max(estimate.updated, measured)
            innovation -= estimate.mean * factor
            innovation_variance += estimate.variance * factor * factor
        limit = MAX_INNOVATION_DEVIATIONS * math.sqrt(innovation_variance)
        is_outlier = abs(innovation) > limit
        innovation = max(-limit, min(limit, innovation))
        for estimate, factor, _ in terms:
            gain = estimate.variance * factor / innovation_variance
            estimate.mean += gain * innovation
            estimate.variance *= 1.0 - gain * factor
            if is_outlier:
                grown = estimate.variance * OUTLIER_VARIANCE_FACTOR
                estimate.variance = min(MAX_VARIANCE, grown)

    def slowdown(
        self,
        service: classes.TaskClass,
        neighbours: Neighbours,
        now: float,
    ) -> Prediction:
        """Predict the logarithmic slowdown of a service by its neighbours."""
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

    def baseline(
        self, service: classes.TaskClass, load: float
    ) -> Prediction | None:
        """Return the logarithm of a service's latency without batch tasks.

        :returns: None if no latency was reported at this load.
        """
        estimate = self.baselines.get((service, load_step(load)))
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
        """Return mean, variance and whether the slowdown is unknown.

        :returns: mean and variance of the coefficient, and whether the
            variance exceeds ``UNKNOWN_VARIANCE``.
        """
        estimate = self.pairs.get((service, batch))
        if estimate is None:
            return PRIOR_MEAN, PRIOR_VARIANCE, True
        variance = estimate.variance_at(now, PRIOR_VARIANCE)
        return estimate.mean, variance, variance > UNKNOWN_VARIANCE

    def is_unknown(
        self,
        service: classes.TaskClass,
        batch: classes.TaskClass,
        now: float,
    ) -> bool:
        """Tell whether a batch class has an unknown effect on a service."""
        return self.pair(service, batch, now)[2]

    def _baseline(
        self,
        service: classes.TaskClass,
        load: float,
        level: float,
        measured: float,
    ) -> Estimate:
        key = (service, load_step(load))
        if key not in self.baselines:
            self.baselines[key] = Estimate(
                mean=level, variance=BASELINE_VARIANCE, updated=measured
            )
        return _mark_used(self.baselines, key, MAX_BASELINES)

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
        return _mark_used(self.pairs, key, MAX_PAIRS)


def load_step(load: float) -> int:
    """Return the load in eighths of the declared size, at most 16."""
    return max(0, min(2 * LOAD_STEPS, round(load * LOAD_STEPS)))


def _mark_used(
    table: "collections.OrderedDict[EstimateKey, Estimate]",
    key: EstimateKey,
    limit: int,
) -> Estimate:
    table.move_to_end(key)
    if len(table) > limit:
        table.popitem(last=False)
    return table[key]
