"""Learned pressure of filler tasks on the serving tasks beside them.

The tail latency of a serving task is taken for that of a queue: its floor,
reached without load, divided by the share of time that is left. That share is
used up by a load of the task's own, which rises and falls within seconds, and
by the cores that fillers use, each image with a coefficient of its own for
each image that serves. Pressures add up in this form, while latencies do not.

Loads and coefficients are estimated like the state of a Kalman filter with a
diagonal covariance. Variances grow with time, since both drift.
"""

import collections
import collections.abc
import dataclasses
import datetime
import math

from turmerichook._internal.models import ids

# Mean and variance of the pressure of a core of an image that was never seen
# beside the other one.
PAIR_MEAN = 0.02
PAIR_VARIANCE = 0.005
# The load of a serving task that was never seen.
LOAD_MEAN = 0.45
LOAD_VARIANCE = 0.025
# Growth of the variances a second: pairs change with releases of an image,
# loads within seconds.
PAIR_DRIFT = 0.00001
LOAD_DRIFT = 0.01
# Share of the way back to the mean that a load is expected to go in a second.
LOAD_REVERSION = 0.2
NOISE_VARIANCE = 0.002
# One reading counts for at most this many deviations.
MAX_SURPRISE = 3.0
LOAD_LOW = 0.05
LOAD_HIGH = 0.75
# Beyond this the queue of a task grows, and its latency tells little more.
SATURATION = 0.93
# First guess of the floor in units of the latency target.
FLOOR_FIRST = 0.2
MAX_PAIRS = 4096
# Cores of filler work that a serving task over its target outweighs. A slow
# task of about three cores is charged four times over, and a core of it is
# worth a fifth of one that runs batch with an objective.
SLOW_TASK_COST = 2.5

Cores = collections.abc.Mapping[ids.ImageId, float]


@dataclasses.dataclass(slots=True)
class Estimate:
    """A quantity with its variance and the time of its last update."""

    mean: float
    variance: float
    updated: datetime.timedelta

    def drift(
        self, rate: float, most: float, now: datetime.timedelta
    ) -> float:
        """Let the variance grow to what it is now; return the age in s."""
        age = max(0.0, (now - self.updated).total_seconds())
        self.variance = min(most, self.variance + rate * age)
        self.updated = now
        return age

    def correct(self, gain: float, factor: float, error: float) -> None:
        """Apply a measurement."""
        self.mean += gain * error
        self.variance *= 1.0 - gain * factor


class Interference:
    """Floors of serving images, and coefficients of pairs of images."""

    def __init__(self):
        self.pairs: collections.OrderedDict[
            tuple[ids.ImageId, ids.ImageId], Estimate
        ] = collections.OrderedDict()
        self.floors: dict[ids.ImageId, datetime.timedelta] = {}

    def new_load(self, now: datetime.timedelta) -> Estimate:
        """Return the load of a serving task that has just been seen."""
        return Estimate(LOAD_MEAN, LOAD_VARIANCE, now)

    def pressure(
        self,
        image: ids.ImageId,
        tail: datetime.timedelta,
        target: datetime.timedelta,
    ) -> float:
        """Return the share of time that a tail latency stands for."""
        floor = self.floors.get(image, FLOOR_FIRST * target)
        if tail <= floor:
            return 0.0
        return min(SATURATION, 1.0 - floor / tail)

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
        """Learn from a reading.

        :param neighbours: cores that the fillers beside it use, by image.
        """
        floor = self.floors.get(image, FLOOR_FIRST * target)
        self.floors[image] = min(floor, max(tail, floor / 2))
        measured = self.pressure(image, tail, target)
        if measured >= SATURATION:
            # The latency would be as high under any greater pressure, and
            # stays so while the queue drains.
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
        limit = MAX_SURPRISE * variance**0.5
        error = max(-limit, min(limit, error))
        load.correct(load.variance / variance, 1.0, error)
        load.mean = max(LOAD_LOW, min(LOAD_HIGH, load.mean))
        for pair, cores in terms:
            pair.correct(pair.variance * cores / variance, cores, error)
            pair.mean = max(0.0, pair.mean)

    def added(self, image: ids.ImageId, neighbours: Cores) -> float:
        """Return the pressure of some neighbours on a serving image."""
        return sum(
            self.coefficient(image, filler) * cores
            for filler, cores in neighbours.items()
        )

    def coefficient(self, image: ids.ImageId, filler: ids.ImageId) -> float:
        """Return the pressure of one core of a filler image."""
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


def marginal_cost(excess: float, spread: float) -> float:
    """Return what more pressure on a serving task costs.

    The chance of being over the target follows a logistic curve. Beyond the
    target the cost stays at its highest, so that a slow task is relieved
    although it can hardly become slower.

    :param excess: predicted pressure above that of the latency target.
    :param spread: scale of the prediction's error.
    :returns: cores of filler work for a unit of pressure.
    """
    chance = 1.0 / (1.0 + math.exp(-min(0.0, excess) / spread))
    return SLOW_TASK_COST * chance * (1.0 - chance) / spread
