"""Ejection of endpoints that fail, probing back, and slow start.

Times are monotonic seconds.
"""

import dataclasses
import enum

# Failures in a row that eject an endpoint.
CONSECUTIVE_FAILURES = 5
# Smoothed rate of failures that ejects an endpoint, and the results that it
# needs to mean something.
FAILURE_RATE = 0.6
RATE_RESULTS = 20
RATE_WEIGHT = 0.1
EJECTION_S = 5.0
EJECTION_MAX_S = 60.0
# Successes in a row that end probing.
PROBES = 3
# Most of a service's endpoints that may be ejected at once. If more fail,
# the fault is more likely in what they share, and the rest would be flooded.
EJECTED_SHARE = 0.5
SLOW_START_S = 60.0
SLOW_START_SHARE = 0.1


class State(enum.Enum):
    """Whether an endpoint gets requests."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"


@dataclasses.dataclass(kw_only=True, slots=True)
class Health:
    """What is known about an endpoint's health.

    :param since: start of the slow start.
    :param until: end of the ejection.
    """

    since: float
    state: State = State.HEALTHY
    failures: int = 0
    results: int = 0
    rate: float = 0.0
    ejections: int = 0
    until: float = 0.0
    successes: int = 0

    def present(self, now: float) -> State:
        """Return the state, with probing once an ejection is over."""
        if self.state is State.EJECTED and now >= self.until:
            self.state = State.PROBING
            self.successes = 0
        return self.state

    def share(self, now: float) -> float:
        """Return the share of requests during the slow start."""
        age = now - self.since
        if age >= SLOW_START_S:
            return 1.0
        grown = (1.0 - SLOW_START_SHARE) * max(0.0, age) / SLOW_START_S
        return SLOW_START_SHARE + grown


class Change(enum.Enum):
    """What a result changed."""

    NONE = "none"
    EJECTED = "ejected"
    RETURNED = "returned"


def may_eject(*, ejected: int, endpoints: int) -> bool:
    """Tell whether one more of a service's endpoints may be ejected."""
    return ejected + 1 <= endpoints * EJECTED_SHARE


def succeed(health: Health, now: float) -> Change:
    """Account for an exchange that ended well."""
    health.failures = 0
    health.results += 1
    health.rate *= 1.0 - RATE_WEIGHT
    if health.state is not State.PROBING:
        return Change.NONE
    health.successes += 1
    if health.successes < PROBES:
        return Change.NONE
    health.state = State.HEALTHY
    health.since = now
    health.rate = 0.0
    health.results = 0
    return Change.RETURNED


def fail(health: Health, now: float, *, allowed: bool) -> Change:
    """Account for a failure.

    :param allowed: whether ``may_eject`` holds.
    """
    health.failures += 1
    health.results += 1
    health.rate += RATE_WEIGHT * (1.0 - health.rate)
    if health.state is State.EJECTED:
        return Change.NONE
    if health.state is State.PROBING:
        return _eject(health, now)
    failing = health.failures >= CONSECUTIVE_FAILURES or (
        health.results >= RATE_RESULTS and health.rate >= FAILURE_RATE
    )
    if failing and allowed:
        return _eject(health, now)
    return Change.NONE


def _eject(health: Health, now: float) -> Change:
    lasting = EJECTION_S * 2.0 ** min(health.ejections, 10)
    health.state = State.EJECTED
    health.until = now + min(lasting, EJECTION_MAX_S)
    health.ejections += 1
    health.failures = 0
    return Change.EJECTED
