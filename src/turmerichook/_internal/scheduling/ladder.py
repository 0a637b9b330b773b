"""Escalation on a host whose service is slow against its target.

The steps are: throttle batch, checkpoint and evict, stop. A step up needs
several slow reports in a row that were measured after the previous step and a
minimum time between steps. A step down needs a longer quiet time and a lower
latency than the one that leads up, so that the host does not swing between
two steps.
"""

import dataclasses
import datetime
import enum

# Latency relative to the target: above the first the service is slow, below
# the second it has recovered.
SLOW = 1.0
RECOVERED = 0.93
REPORTS_UP = 2
REPORTS_DOWN = 3
DWELL_UP = datetime.timedelta(seconds=5)
DWELL_DOWN = datetime.timedelta(seconds=20)
# Evictions one after the other before batch is stopped altogether.
EVICTIONS_BEFORE_STOP = 3


class Step(enum.IntEnum):
    """Steps of the ladder, from mild to strict."""

    NONE = 0
    THROTTLE = 1
    EVICT = 2
    STOP = 3


@dataclasses.dataclass(kw_only=True, slots=True)
class Ladder:
    """Where a host stands.

    :param since: when the last step was taken.
    :param evictions: granted evictions since the host reached ``EVICT``;
        one that a budget refused does not bring the host closer to ``STOP``.
    """

    step: Step = Step.NONE
    since: datetime.timedelta
    slow: int = 0
    recovered: int = 0
    evictions: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Moved:
    """The host is on another step, or must evict once more."""

    before: Step
    step: Step


def observe(
    ladder: Ladder,
    *,
    ratio: float,
    measured: datetime.timedelta,
    now: datetime.timedelta,
) -> Moved | None:
    """Take in the latency of the host's slowest service.

    :param ratio: latency relative to the service's target.
    :param measured: when the latency was measured.
    :returns: the change, if there is one.
    """
    if measured < ladder.since and ladder.step is not Step.NONE:
        return None
    ladder.slow = ladder.slow + 1 if ratio > SLOW else 0
    ladder.recovered = ladder.recovered + 1 if ratio < RECOVERED else 0
    waited = now - ladder.since
    if ladder.slow >= REPORTS_UP and waited >= DWELL_UP:
        return _up(ladder, now)
    if ladder.recovered >= REPORTS_DOWN and waited >= DWELL_DOWN:
        return _down(ladder, now)
    return None


def relax(ladder: Ladder, now: datetime.timedelta) -> Moved | None:
    """Step down on a host that has no service left."""
    if now - ladder.since < DWELL_DOWN:
        return None
    return _down(ladder, now)


def _up(ladder: Ladder, now: datetime.timedelta) -> Moved | None:
    if ladder.step is Step.STOP:
        return None
    if ladder.step is Step.EVICT and ladder.evictions < EVICTIONS_BEFORE_STOP:
        return _move(ladder, Step.EVICT, now)
    return _move(ladder, Step(ladder.step + 1), now)


def _down(ladder: Ladder, now: datetime.timedelta) -> Moved | None:
    if ladder.step is Step.NONE:
        return None
    return _move(ladder, Step(ladder.step - 1), now)


def _move(ladder: Ladder, step: Step, now: datetime.timedelta) -> Moved:
    before = ladder.step
    ladder.step = step
    ladder.since = now
    ladder.slow = 0
    ladder.recovered = 0
    if step < Step.EVICT:
        ladder.evictions = 0
    return Moved(before=before, step=step)
