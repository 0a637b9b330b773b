"""Health of an endpoint: outlier ejection, probing and slow start.

An endpoint that fails is ejected for a time, then probed with single requests.
Once the probes succeed it gets a growing share of the traffic (slow start).
Times are monotonic seconds.
"""

import dataclasses
import enum

# Consecutive failures after which an endpoint is ejected.
CONSECUTIVE_FAILURES = 5
# Smoothed failure rate at which an endpoint is ejected, the number of results
# below which the rate is not significant, and the weight of a new result.
MAX_FAILURE_RATE = 0.6
MIN_RATE_RESULTS = 20
FAILURE_RATE_SMOOTHING = 0.1
# Duration of the first ejection, doubled with each further one up to a
# maximum.
EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
# Consecutive successes that end the probing of an endpoint.
PROBE_SUCCESSES = 3
# Maximum share of a service's endpoints that may be ejected at once. If more
# of them fail, the cause is more likely something that they share, and
# ejecting them would overload the remaining endpoints.
MAX_EJECTED_SHARE = 0.5
# Duration of the slow start, and the share of the traffic at its beginning.
SLOW_START_S = 60.0
SLOW_START_INITIAL_SHARE = 0.1


class State(enum.Enum):
    """Whether an endpoint gets requests; probing allows one at a time."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"


@dataclasses.dataclass(kw_only=True, slots=True)
class Health:
    """Health of one endpoint as seen by this gateway.

    :param slow_start_at: time at which the slow start began.
    :param consecutive_failures: failures since the last success.
    :param result_count: results since the endpoint was last healthy again.
    :param failure_rate: smoothed share of results that are failures.
    :param ejections: how often the endpoint has been ejected.
    :param ejected_until: end of the present ejection.
    :param probe_successes: consecutive successes in the present probing.
    """

    slow_start_at: float
    state: State = State.HEALTHY
    consecutive_failures: int = 0
    result_count: int = 0
    failure_rate: float = 0.0
    ejections: int = 0
    ejected_until: float = 0.0
    probe_successes: int = 0

    def current_state(self, now: float) -> State:
        """Return the state; change it to probing once an ejection is over."""
        if self.state is State.EJECTED and now >= self.ejected_until:
            self.state = State.PROBING
            self.probe_successes = 0
        return self.state

    def traffic_share(self, now: float) -> float:
        """Return the endpoint's share of its normal traffic, up to 1.0.

        The share grows linearly during the slow start.
        """
        age = now - self.slow_start_at
        if age >= SLOW_START_S:
            return 1.0
        increase = (
            (1.0 - SLOW_START_INITIAL_SHARE) * max(0.0, age) / SLOW_START_S
        )
        return SLOW_START_INITIAL_SHARE + increase


class Change(enum.Enum):
    """Change of state that a result has caused."""

    NONE = "none"
    EJECTED = "ejected"
    RETURNED = "returned"


def may_eject(*, ejected: int, endpoints: int) -> bool:
    """Return whether one more of a service's endpoints may be ejected."""
    return ejected + 1 <= endpoints * MAX_EJECTED_SHARE


def record_success(health: Health, now: float) -> Change:
    """Record a successful exchange."""
    health.consecutive_failures = 0
    health.result_count += 1
    health.failure_rate *= 1.0 - FAILURE_RATE_SMOOTHING
    if health.state is not State.PROBING:
        return Change.NONE
    health.probe_successes += 1
    if health.probe_successes < PROBE_SUCCESSES:
        return Change.NONE
    health.state = State.HEALTHY
    health.slow_start_at = now
    health.failure_rate = 0.0
    health.result_count = 0
    return Change.RETURNED


def record_failure(
    health: Health, now: float, *, may_be_ejected: bool
) -> Change:
    """Record a failed exchange.

    :param may_be_ejected: result of ``may_eject`` for the service.
    """
    health.consecutive_failures += 1
    health.result_count += 1
    health.failure_rate += FAILURE_RATE_SMOOTHING * (1.0 - health.failure_rate)
    if health.state is State.EJECTED:
        return Change.NONE
    if health.state is State.PROBING:
        return _eject(health, now)
    failing = health.consecutive_failures >= CONSECUTIVE_FAILURES or (
        health.result_count >= MIN_RATE_RESULTS
        and health.failure_rate >= MAX_FAILURE_RATE
    )
    if failing and may_be_ejected:
        return _eject(health, now)
    return Change.NONE


def _eject(health: Health, now: float) -> Change:
    duration = EJECTION_S * 2.0 ** min(health.ejections, 10)
    health.state = State.EJECTED
    health.ejected_until = now + min(duration, MAX_EJECTION_S)
    health.ejections += 1
    health.consecutive_failures = 0
    return Change.EJECTED
