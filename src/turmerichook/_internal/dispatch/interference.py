"""Model of how filler tasks slow down the serving tasks on the same worker.

The tail latency of a serving task is modelled as that of a queue: the floor,
which is the latency without any load, divided by one minus the pressure.
Pressure is the share of time in which the task is busy or held up. It is the
sum of the task's own load, which changes within seconds, and of the cores that
fillers use on the worker, each multiplied by a coefficient for the pair of the
serving image and the filler image. Pressures can be added up in this way,
while latencies cannot.

Loads and coefficients are estimated by a Kalman filter with a diagonal
covariance. Their variances grow with time, since both quantities drift.
"""

import collections
import collections.abc
import dataclasses
import datetime
import math

from turmerichook._internal.models import ids

# Prior mean and variance of the coefficient of a pair of images: the pressure
# that one core of the filler adds, before any reading of the pair.
PAIR_MEAN = 0.02
PAIR_VARIANCE = 0.005
# Prior mean and variance of the load of a serving task.
LOAD_MEAN = 0.45
LOAD_VARIANCE = 0.025
# Growth of the variances per second: the coefficient of a pair changes with
# new releases of an image, a load changes within seconds.
PAIR_DRIFT = 0.00001
LOAD_DRIFT = 0.01
# Rate per second at which a load is expected to return to its prior mean.
LOAD_REVERSION = 0.2
NOISE_VARIANCE = 0.002
# Limit for the error of one reading, in standard deviations of the predicted
# pressure.
MAX_DEVIATIONS = 3.0
LOAD_LOW = 0.05
LOAD_HIGH = 0.75
# Pressure above which the queue of a task keeps growing, so that the latency
# is no longer a measure of the pressure.
SATURATION_PRESSURE = 0.93
# Initial estimate of the floor, as a share of the latency target.
INITIAL_FLOOR_SHARE = 0.2
MAX_PAIRS = 4096
# Cost of a serving task over its latency target, in cores of filler work. A
# slow task of about three cores is charged four times over, and one core of it
# is worth a fifth of a core that runs batch work with a latency objective.
SLOW_TASK_COST = 2.5

Cores = collections.abc.Mapping[ids.ImageId, float]


@dataclasses.dataclass(slots=True)
class Estimate:
    """An estimated quantity, its variance and the time of its last update."""

    mean: float
    variance: float
    updated: datetime.timedelta

    def drift(
        self, rate: float, variance_max: float, now: datetime.timedelta
    ) -> float:
        """Increase the variance by the time since the last update.

        :param rate: growth of the variance per second.
        :param variance_max: limit for the variance.
        :returns: seconds since the last update.
        """
        age = max(0.0, (now - self.updated).total_seconds())
        self.variance = min(variance_max, self.variance + rate * age)
        self.updated = now
        return age

    def correct(self, gain: float, factor: float, error: float) -> None:
        """Apply a measurement, given its gain, factor and error."""
        self.mean += gain * error
        self.variance *= 1.0 - gain * factor


class Interference:
    """Latency floors of serving images, and coefficients of image pairs."""

    def __init__(self):
        self.pairs: collections.OrderedDict[
            tuple[ids.ImageId, ids.ImageId], Estimate
        ] = collections.OrderedDict()
        self.floors: dict[ids.ImageId, datetime.timedelta] = {}

    def new_load(self, now: datetime.timedelta) -> Estimate:
        """Return the prior load estimate for a serving task."""
        return Estimate(LOAD_MEAN, LOAD_VARIANCE, now)

    def pressure(
        self,
        image: ids.ImageId,
        tail: datetime.timedelta,
        target: datetime.timedelta,
    ) -> float:
        """Return the pressure at which a tail latency arises."""
        floor = self.floors.get(image, INITIAL_FLOOR_SHARE * target)
        if tail <= floor:
            return 0.0
        return min(SATURATION_PRESSURE, 1.0 - floor / tail)

    def observe(
        self,
        *,
        image: ids.ImageId,
        load: Estimate,
        tail: datetime.timedelta,
        target: datetime.timedelta,
        neighbours: Cores,
        now: datetime.timedelta,
    ) -> None:
        """Update the estimates with a reading of a task's tail latency.

        :param neighbours: cores used by fillers on the same worker, by image.
        """
        floor = self.floors.get(image, INITIAL_FLOOR_SHARE * target)
        self.floors[image] = min(floor, max(tail, floor / 2))
        measured = self.pressure(image, tail, target)
        if measured >= SATURATION_PRESSURE:
            # The latency would be as high under any greater pressure, and
            # stays high while the queue drains, so that this reading cannot
            # improve the estimates.
            return
        age = load.drift(LOAD_DRIFT, LOAD_VARIANCE, now)
        reversion = 1.0 - math.exp(-LOAD_REVERSION * age)
        load.mean += reversion * (LOAD_MEAN - load.mean)
        predicted = load.mean
        variance = NOISE_VARIANCE + load.variance
        terms: list[tuple[Estimate, float]] = []
        for filler, cores in neighbours.items():
            if cores <= 0.0:
                continue
            pair = self._pair(image, filler, now)
            pair.drift(PAIR_DRIFT, PAIR_VARIANCE, now)
            predicted += pair.mean * cores
            variance += pair.variance * cores * cores
            terms.append((pair, cores))
        error = measured - predicted
        limit = MAX_DEVIATIONS * variance**0.5
        error = max(-limit, min(limit, error))
        load.correct(load.variance / variance, 1.0, error)
        load.mean = max(LOAD_LOW, min(LOAD_HIGH, load.mean))
        for pair, cores in terms:
            pair.correct(pair.variance * cores / variance, cores, error)
            pair.mean = max(0.0, pair.mean)

    def neighbour_pressure(
        self, image: ids.ImageId, neighbours: Cores
    ) -> float:
        """Return the pressure that fillers add to a serving image.

        :param neighbours: cores used by the fillers, by image.
        """
        return sum(
            self.coefficient(image, filler) * cores
            for filler, cores in neighbours.items()
        )

    def coefficient(self, image: ids.ImageId, filler: ids.ImageId) -> float:
        """Return the pressure that one core of a filler adds to an image."""
        pair = self.pairs.get((image, filler))
        return PAIR_MEAN if pair is None else pair.mean

    def _pair(
        self,
        image: ids.ImageId,
        filler: ids.ImageId,
        now: datetime.timedelta,
    ) -> Estimate:
        key = (image, filler)
        pair = self.pairs.get(key)
        if pair is None:
            pair = self.pairs[key] = Estimate(PAIR_MEAN, PAIR_VARIANCE, now)
        self.pairs.move_to_end(key)
        if len(self.pairs) > MAX_PAIRS:
            self.pairs.popitem(last=False)
        return pair


def marginal_cost(excess: float, error_scale: float) -> float:
    """Return the cost of additional pressure on a serving task.

    The probability that the task is over its latency target is a logistic
    function of the pressure. Above the target the cost stays at its maximum,
    so that fillers are still slowed down for a task that can hardly become
    slower.

    :param excess: predicted pressure minus the pressure at the latency target.
    :param error_scale: scale of the error of the prediction.
    :returns: cost in cores of filler work for each unit of pressure.
    """
    probability = 1.0 / (1.0 + math.exp(-min(0.0, excess) / error_scale))
    return SLOW_TASK_COST * probability * (1.0 - probability) / error_scale
