"""Escalation steps on a host whose service exceeds its latency target.

The steps are, from mild to strict: throttle batch tasks, checkpoint and evict
them, stop them. A step up requires several consecutive slow reports that were
measured after the previous step, and a minimum dwell time at that step. A step
down requires a longer dwell time and a latency further below the target, so
that the host does not oscillate between two steps.
"""

import dataclasses
import datetime
import enum

# Latency relative to the target: a service is slow above ``SLOW_RATIO`` and
# has recovered below ``RECOVERED_RATIO``.
SLOW_RATIO = 1.0
RECOVERED_RATIO = 0.93
SLOW_REPORTS_TO_STEP_UP = 2
RECOVERED_REPORTS_TO_STEP_DOWN = 3
MIN_DWELL_BEFORE_STEP_UP = datetime.timedelta(seconds=5)
MIN_DWELL_BEFORE_STEP_DOWN = datetime.timedelta(seconds=20)
# Evictions at ``Step.EVICT`` before all batch tasks on the host are stopped.
EVICTIONS_BEFORE_STOP = 3


class Step(enum.IntEnum):
    """Escalation steps, from mild to strict."""

    NONE = 0
    THROTTLE = 1
    EVICT = 2
    STOP = 3


@dataclasses.dataclass(kw_only=True, slots=True)
class Escalation:
    """Escalation state of a host.

    :param since: monotonic time of the last step.
    :param slow_reports: consecutive reports above ``SLOW_RATIO``.
    :param recovered_reports: consecutive reports below ``RECOVERED_RATIO``.
    :param evictions: granted evictions since the host reached ``EVICT``. An
        eviction that a budget refused is not counted, so that it does not
        bring the host closer to ``STOP``.
    """

    step: Step = Step.NONE
    since: datetime.timedelta
    slow_reports: int = 0
    recovered_reports: int = 0
    evictions: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StepTransition:
    """A change of a host's step.

    Both steps are ``EVICT`` where one more task is to be evicted.
    """

    before: Step
    step: Step


def observe(
    escalation: Escalation,
    *,
    ratio: float,
    measured: datetime.timedelta,
    now: datetime.timedelta,
) -> StepTransition | None:
    """Update the escalation with the latency of the slowest service.

    :param ratio: latency relative to the service's target.
    :param measured: monotonic time of the latency measurement.
    :returns: the transition, if one is due.
    """
    if measured < escalation.since and escalation.step is not Step.NONE:
        return None
    escalation.slow_reports = (
        escalation.slow_reports + 1 if ratio > SLOW_RATIO else 0
    )
    escalation.recovered_reports = (
        escalation.recovered_reports + 1 if ratio < RECOVERED_RATIO else 0
    )
    dwell = now - escalation.since
    if (
        escalation.slow_reports >= SLOW_REPORTS_TO_STEP_UP
        and dwell >= MIN_DWELL_BEFORE_STEP_UP
    ):
        return _step_up(escalation, now)
    if (
        escalation.recovered_reports >= RECOVERED_REPORTS_TO_STEP_DOWN
        and dwell >= MIN_DWELL_BEFORE_STEP_DOWN
    ):
        return _step_down(escalation, now)
    return None


def step_down_idle(
    escalation: Escalation, now: datetime.timedelta
) -> StepTransition | None:
    """Step down on a host that runs no service any more."""
    if now - escalation.since < MIN_DWELL_BEFORE_STEP_DOWN:
        return None
    return _step_down(escalation, now)


def _step_up(
    escalation: Escalation, now: datetime.timedelta
) -> StepTransition | None:
    if escalation.step is Step.STOP:
        return None
    if (
        escalation.step is Step.EVICT
        and escalation.evictions < EVICTIONS_BEFORE_STOP
    ):
        return _change_step(escalation, Step.EVICT, now)
    return _change_step(escalation, Step(escalation.step + 1), now)


def _step_down(
    escalation: Escalation, now: datetime.timedelta
) -> StepTransition | None:
    if escalation.step is Step.NONE:
        return None
    return _change_step(escalation, Step(escalation.step - 1), now)


def _change_step(
    escalation: Escalation, step: Step, now: datetime.timedelta
) -> StepTransition:
    before = escalation.step
    escalation.step = step
    escalation.since = now
    escalation.slow_reports = 0
    escalation.recovered_reports = 0
    if step < Step.EVICT:
        escalation.evictions = 0
    return StepTransition(before=before, step=step)
