"""Pace of filler tasks beside tasks that have a latency target.

Multiplicative decrease while a tail is over or near its target, additive
increase while all are well below it. Interference differs by image and drifts,
so the controller learns nothing that it would have to forget.
"""

import datetime

from turmerichook._internal.dispatch import fleet

# Share of the latency target above which fillers are slowed down, and below
# which they may go faster again.
SLOW_DOWN_RATIO = 0.9
SPEED_UP_RATIO = 0.7
DECREASE = 0.5
INCREASE_PERCENT = 15
# Below this pace fillers are stopped altogether.
PACE_MIN_PERCENT = 10
# Readings cover half a second, and a new pace takes a tenth to act.
SETTLE_TIME = datetime.timedelta(milliseconds=600)


def worst_ratio(worker: fleet.Worker) -> float:
    """Return the highest tail latency in units of its target."""
    worst = 0.0
    for run in worker.runs.values():
        target = run.step.latency_target
        if target and run.reading is not None:
            tail = datetime.timedelta(milliseconds=run.reading)
            worst = max(worst, tail / target)
    return worst


def next_pace(worker: fleet.Worker, now: datetime.timedelta) -> int:
    """Return the pace of a worker's fillers in percent."""
    pace = worker.filler_pace
    if now - worker.paced_at < SETTLE_TIME:
        return pace
    ratio = worst_ratio(worker)
    if ratio > SLOW_DOWN_RATIO and _has_fillers(worker):
        slower = int(pace * DECREASE)
        pace = slower if slower >= PACE_MIN_PERCENT else 0
    elif ratio < SPEED_UP_RATIO:
        pace = min(100, pace + INCREASE_PERCENT)
    if pace != worker.filler_pace:
        worker.paced_at = now
    return pace


def _has_fillers(worker: fleet.Worker) -> bool:
    return any(run.step.filler for run in worker.runs.values())
