"""What a zone's owner tells operators: queues, hosts, explanations.

Costs one pass over the zone's work, so it runs on an operator's call and
once in ten minutes for the history of the queue.
"""

import collections
import datetime

from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
from turmerichook._internal.scheduling import explanations
from turmerichook._internal.scheduling import queue_lengths
from turmerichook._internal.scheduling import state as states
from turmerichook._internal.scheduling import tasks

SAMPLE_INTERVAL = datetime.timedelta(minutes=10)
# Twelve hours, so that the morning shows the whole night.
SAMPLES_KEPT = 72
# Entries of the document that are also metrics.
GAUGES = ("waiting", "running", "oldest_s", "usable_hosts")


class QueueHistory:
    """Number of waiting tasks over the last twelve hours."""

    def __init__(self):
        self.samples: collections.deque[int] = collections.deque(
            maxlen=SAMPLES_KEPT
        )

    def add(self, state: states.ZoneTasks) -> None:
        """Take the sample of now."""
        # The age of the oldest one is not kept, so the time is of no use.
        length = queue_lengths.total(state, datetime.timedelta())
        self.samples.append(length.waiting)


def queue_document(
    state: states.ZoneTasks, history: QueueHistory, now: datetime.timedelta
) -> dict:
    """Return queue lengths and hosts of a zone."""
    length = queue_lengths.total(state, now)
    listed = collections.Counter(
        host.state.value for host in state.hosts.values()
    )
    return {
        "waiting": length.waiting,
        "running": length.running,
        "oldest_s": round(length.oldest.total_seconds(), 1),
        "hosts": dict(listed),
        "usable_hosts": len(state.usable),
        "waiting_history": list(history.samples),
        "history_interval_s": SAMPLE_INTERVAL.total_seconds(),
    }


def explain_document(
    state: states.ZoneTasks, name: str, now: datetime.timedelta
) -> dict | None:
    """Return where a task stands, None if the zone does not know it."""
    found = explanations.explain(state, ids.TaskId(name), now)
    task = state.tasks.get(ids.TaskId(name))
    if isinstance(found, outcomes.Absent):
        # A task that is no longer wanted may still have to end.
        if task is None:
            return None
        return _standing(name, task, now)
    document = {
        "task": name,
        "phase": found.phase.value,
        "reason": "" if found.reason is None else found.reason.value,
        "starts_when": found.change.value,
        "ahead": found.rank,
        "detail": found.detail,
        "missing": found.missing.text(),
    }
    if task is not None:
        document |= _standing(name, task, now)
        document["detail"] = found.detail or document["detail"]
    return document


def _standing(
    name: str, task: tasks.Task, now: datetime.timedelta
) -> dict[str, str | int | float]:
    return {
        "task": name,
        "phase": task.phase.value,
        "attempt": task.attempt,
        "since_s": round((now - task.since).total_seconds(), 1),
        "detail": f"on {task.host}" if task.host else "",
    }
