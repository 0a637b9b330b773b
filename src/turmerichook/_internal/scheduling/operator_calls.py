"""What a zone's owner tells operators: queues, hosts, explanations.

Costs one pass over the zone's tasks, so it runs on an operator's call and
once in ten minutes for the history of the queue.
"""

import collections
import datetime

from turmerichook._internal.models import ids
from turmerichook._internal.scheduling import state as states

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
        self.samples.append(_waiting(state))


def queue_document(
    state: states.ZoneTasks, history: QueueHistory, now: datetime.timedelta
) -> dict:
    """Return queue lengths and hosts of a zone."""
    waiting = [
        task.since
        for task in state.tasks.values()
        if task.phase is states.Phase.WAITING
    ]
    running = sum(
        task.phase is states.Phase.RUNNING for task in state.tasks.values()
    )
    listed = collections.Counter(
        host.state.value for host in state.hosts.values()
    )
    oldest = (now - min(waiting)).total_seconds() if waiting else 0.0
    return {
        "waiting": len(waiting),
        "running": running,
        "oldest_s": round(oldest, 1),
        "hosts": dict(listed),
        "usable_hosts": len(state.usable),
        "waiting_history": list(history.samples),
        "history_interval_s": SAMPLE_INTERVAL.total_seconds(),
    }


def explain_document(
    state: states.ZoneTasks, name: str, now: datetime.timedelta
) -> dict | None:
    """Return where a task stands, None if the zone does not know it."""
    task = state.tasks.get(ids.TaskId(name))
    if task is None:
        return None
    detail = f"on {task.host}" if task.host else ""
    if task.phase is states.Phase.WAITING and not state.open:
        detail = "the zone is closed or its owner may not start tasks"
    return {
        "task": name,
        "phase": task.phase.value,
        "attempt": task.attempt,
        "since_s": round((now - task.since).total_seconds(), 1),
        "detail": detail,
    }


def _waiting(state: states.ZoneTasks) -> int:
    return sum(
        task.phase is states.Phase.WAITING for task in state.tasks.values()
    )
