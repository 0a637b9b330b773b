"""Learned slowdown of serving tasks by the filler tasks beside them.

The logarithm of a task's tail latency is modelled as a base of its own, which
follows its load, plus one coefficient for each pair of images times the
processors that the fillers of that image use. All are estimated like the
state of a Kalman filter with a diagonal covariance. Variances grow with time,
since loads and interference drift.
"""

import collections
import collections.abc
import dataclasses
import datetime
import math

from turmerichook._internal.models import ids

# Mean and variance of a pair that was never seen together, in units of the
# logarithm a core; far above the scatter between pairs in practice.
PAIR_MEAN = 0.05
PAIR_VARIANCE = 0.1
# Growth of the variances a second: pairs change within minutes, the load of
# a serving task within seconds.
PAIR_DRIFT = 0.002
BASE_DRIFT = 0.05
BASE_VARIANCE = 0.3
NOISE_VARIANCE = 0.02
# One reading counts for at most this many deviations.
MAX_SURPRISE = 3.0
# Shares of targets between which a base is assumed to lie; a tail beyond
# comes from neighbours.
BASE_LOW = 0.1
BASE_HIGH = 0.85
BASE_FIRST = 0.3
MAX_PAIRS = 4096

Cores = collections.abc.Mapping[ids.ImageId, float]


@dataclasses.dataclass(slots=True)
class Estimate:
    """A quantity with its variance and the time of its last update."""

    mean: float
    variance: float
    updated: datetime.timedelta

    def drift(self, rate: float, most: float, now: datetime.timedelta) -> None:
        """Let the variance grow to what it is now."""
        age = max(0.0, (now - self.updated).total_seconds())
        self.variance = min(most, self.variance + rate * age)
        self.updated = now

    def correct(self, gain: float, factor: float, error: float) -> None:
        """Apply a measurement."""
        self.mean += gain * error
        self.variance *= 1.0 - gain * factor


class Interference:
    """Coefficients of the pairs of images that were seen together."""

    def __init__(self):
        self.pairs: collections.OrderedDict[
            tuple[ids.ImageId, ids.ImageId], Estimate
        ] = collections.OrderedDict()

    def new_base(self, now: datetime.timedelta) -> Estimate:
        """Return the base of a serving task that has just been seen."""
        return Estimate(math.log(BASE_FIRST), BASE_VARIANCE, now)

    def observe(
        self,
        *,
        image: ids.ImageId,
        base: Estimate,
        ratio: float,
        neighbours: Cores,
        now: datetime.timedelta,
    ) -> None:
        """Learn from a reading.

        :param base: estimate that belongs to the serving task.
        :param ratio: tail latency in units of its target.
        :param neighbours: cores that the fillers beside it use, by image.
        """
        base.drift(BASE_DRIFT, BASE_VARIANCE, now)
        predicted = base.mean
        variance = NOISE_VARIANCE + base.variance
        terms: list[tuple[Estimate, float]] = []
        for filler, cores in neighbours.items():
            if cores <= 0.0:
                continue
            pair = self._pair(image, filler, now)
            pair.drift(PAIR_DRIFT, PAIR_VARIANCE, now)
            predicted += pair.mean * cores
            variance += pair.variance * cores * cores
            terms.append((pair, cores))
        error = math.log(max(ratio, BASE_LOW)) - predicted
        limit = MAX_SURPRISE * math.sqrt(variance)
        error = max(-limit, min(limit, error))
        base.correct(base.variance / variance, 1.0, error)
        low, high = math.log(BASE_LOW), math.log(BASE_HIGH)
        base.mean = max(low, min(high, base.mean))
        for pair, cores in terms:
            pair.correct(pair.variance * cores / variance, cores, error)
            pair.mean = max(0.0, pair.mean)

    def slowdown(self, image: ids.ImageId, neighbours: Cores) -> float:
        """Return the logarithm of the slowdown by some neighbours."""
        return sum(
            self.coefficient(image, filler) * cores
            for filler, cores in neighbours.items()
        )

    def coefficient(self, image: ids.ImageId, filler: ids.ImageId) -> float:
        """Return the logarithm of the slowdown by one core of a filler."""
        pair = self.pairs.get((image, filler))
        return PAIR_MEAN if pair is None else pair.mean

    def _pair(
        self,
        image: ids.ImageId,
        filler: ids.ImageId,
        now: datetime.timedelta,
    ) -> Estimate:
        key = (image, filler)
        found = self.pairs.get(key)
        if found is None:
            found = self.pairs[key] = Estimate(PAIR_MEAN, PAIR_VARIANCE, now)
        self.pairs.move_to_end(key)
        if len(self.pairs) > MAX_PAIRS:
            self.pairs.popitem(last=False)
        return found
