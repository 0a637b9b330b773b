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

from turmerichook._internal.models import ids

# Mean and variance of the pressure of a core of an image that was never seen
# beside the other one.
PAIR_MEAN = 0.02
PAIR_VARIANCE = 0.005
# The load of a serving task that was never seen.
LOAD_MEAN = 0.45
LOAD_VARIANCE = 0.04
# Growth of the variances a second: pairs change within minutes, loads within
# seconds.
PAIR_DRIFT = 0.0001
LOAD_DRIFT = 0.01
NOISE_VARIANCE = 0.0005
# One reading counts for at most this many deviations.
MAX_SURPRISE = 3.0
LOAD_LOW = 0.05
LOAD_HIGH = 0.75
# Beyond this the queue of a task grows, and its latency tells little more.
SATURATION = 0.93
# First guess of the floor in units of the latency target.
FLOOR_FIRST = 0.2
# Weight of the newest change in the trend of a load.
TREND_WEIGHT = 0.5
# Decay a second of the highest load that was seen.
CREST_DECAY = 0.002
MAX_PAIRS = 4096

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


@dataclasses.dataclass(slots=True)
class Load:
    """Load of one serving task without its neighbours.

    :param trend: change a second.
    :param crest: highest load of the recent past.
    """

    estimate: Estimate
    trend: float = 0.0
    crest: float = 0.0

    def expected(self, horizon: datetime.timedelta) -> float:
        """Return the highest load expected until the horizon."""
        rise = max(0.0, self.trend) * horizon.total_seconds()
        return max(
            self.estimate.mean, min(self.crest, self.estimate.mean + rise)
        )


class Interference:
    """Floors of serving images, and coefficients of pairs of images."""

    def __init__(self):
        self.pairs: collections.OrderedDict[
            tuple[ids.ImageId, ids.ImageId], Estimate
        ] = collections.OrderedDict()
        self.floors: dict[ids.ImageId, datetime.timedelta] = {}

    def new_load(self, now: datetime.timedelta) -> Load:
        """Return the load of a serving task that has just been seen."""
        return Load(Estimate(LOAD_MEAN, LOAD_VARIANCE, now), crest=LOAD_MEAN)

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
        load: Load,
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
        estimate = load.estimate
        before = estimate.mean
        age = estimate.drift(LOAD_DRIFT, LOAD_VARIANCE, now)
        predicted = estimate.mean
        variance = NOISE_VARIANCE + estimate.variance
        terms: list[tuple[Estimate, float]] = []
        for filler, cores in neighbours.items():
            if cores <= 0.0:
                continue
            pair = self._pair(image, filler, now)
            pair.drift(PAIR_DRIFT, PAIR_VARIANCE, now)
            predicted += pair.mean * cores
            variance += pair.variance * cores * cores
            terms.append((pair, cores))
        measured = self.pressure(image, tail, target)
        error = measured - predicted
        if measured >= SATURATION:
            # The latency would be as high under any greater pressure.
            error = max(0.0, error)
        limit = MAX_SURPRISE * variance**0.5
        error = max(-limit, min(limit, error))
        estimate.correct(estimate.variance / variance, 1.0, error)
        estimate.mean = max(LOAD_LOW, min(LOAD_HIGH, estimate.mean))
        for pair, cores in terms:
            pair.correct(pair.variance * cores / variance, cores, error)
            pair.mean = max(0.0, pair.mean)
        _follow(load, before, age)

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


def _follow(load: Load, before: float, age: float) -> None:
    """Update trend and crest of a load after a reading."""
    if age <= 0.0:
        return
    change = (load.estimate.mean - before) / age
    load.trend += TREND_WEIGHT * (change - load.trend)
    load.crest = max(load.estimate.mean, load.crest - CREST_DECAY * age)
