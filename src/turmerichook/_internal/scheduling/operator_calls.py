"""Documents about a zone for operators: queues, hosts, explanations.

Building one takes a pass over all tasks of the zone. So it is done only when
an operator or a metrics collector asks, and every ten minutes for the history
of the queue's length.
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
# Twelve hours, so that in the morning the history shows the whole night.
SAMPLES_KEPT = 72
# Fields of the queue document that are also exported as metrics.
GAUGES = ("waiting", "running", "oldest_s", "usable_hosts")


class QueueHistory:
    """Number of waiting tasks over the last twelve hours."""

    def __init__(self):
        self.samples: collections.deque[int] = collections.deque(
            maxlen=SAMPLES_KEPT
        )

    def add(self, state: states.ZoneTasks) -> None:
        """Add the current number of waiting tasks."""
        # The time only determines the age of the oldest task, which is not
        # part of a sample.
        length = queue_lengths.total(state, datetime.timedelta())
        self.samples.append(length.waiting)


def queue_document(
    state: states.ZoneTasks, history: QueueHistory, now: datetime.timedelta
) -> dict:
    """Return task counts, host counts and queue history of a zone."""
    length = queue_lengths.total(state, now)
    host_counts = collections.Counter(
        host.state.value for host in state.hosts.values()
    )
    return {
        "waiting": length.waiting,
        "running": length.running,
        "oldest_s": round(length.oldest.total_seconds(), 1),
        "hosts": dict(host_counts),
        "usable_hosts": len(state.usable),
        "waiting_history": list(history.samples),
        "history_interval_s": SAMPLE_INTERVAL.total_seconds(),
    }


def explain_document(
    state: states.ZoneTasks, name: str, now: datetime.timedelta
) -> dict | None:
    """Return the phase of a task, and why it waits if it does.

    Returns None if the zone does not know the task.
    """
    explanation = explanations.explain(state, ids.TaskId(name), now)
    task = state.tasks.get(ids.TaskId(name))
    if isinstance(explanation, outcomes.Absent):
        # A task that is no longer wanted has no explanation, but an attempt
        # may still have to end.
        if task is None:
            return None
        return _task_fields(name, task, now)
    document = {
        "task": name,
        "phase": explanation.phase.value,
        "reason": ""
        if explanation.reason is None
        else explanation.reason.value,
        "starts_when": explanation.change.value,
        "ahead": explanation.rank,
        "detail": explanation.detail,
        "missing": explanation.missing.text(),
    }
    if task is not None:
        document |= _task_fields(name, task, now)
        document["detail"] = explanation.detail or document["detail"]
    return document


def _task_fields(
    name: str, task: tasks.Task, now: datetime.timedelta
) -> dict[str, str | int | float]:
    return {
        "task": name,
        "phase": task.phase.value,
        "attempt": task.attempt,
        "since_s": round((now - task.since).total_seconds(), 1),
        "detail": f"on {task.host}" if task.host else "",
    }
