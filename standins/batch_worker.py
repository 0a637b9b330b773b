"""A simulated worker of the users' platform, as a state machine without I/O.

The worker rejects orders with an outdated fencing token or run number, ends
runs when the lease expires by the worker's own clock, and reports each ended
run until the report is acknowledged. It records every run that it starts.
"""

import dataclasses
import datetime

from turmerichook._internal.dispatch import orders
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model
from turmerichook import exceptions

SECOND = datetime.timedelta(seconds=1)
# Largest number of ends in one report; the lowest numbers come first.
ENDS_LISTED_MAX = 500


@dataclasses.dataclass(kw_only=True)
class BatchWorker:
    """State of a worker.

    :param closed: highest run number that was stopped or has ended, by task.
    :param starts: task and run number of every run started so far.
    :param done: tasks of all runs that ended as done, once for each run.
    """

    clock: datetime.timedelta = SECOND
    incarnation: int = 1
    token: int = 0
    running: dict[model.TaskKey, ids.Attempt] = dataclasses.field(
        default_factory=dict
    )
    closed: dict[model.TaskKey, ids.Attempt] = dataclasses.field(
        default_factory=dict
    )
    ends: list[orders.EndRow] = dataclasses.field(default_factory=list)
    last_end: int = 0
    lease_until: datetime.timedelta = datetime.timedelta()
    cut_off: bool = False
    starts: list[tuple[model.TaskKey, ids.Attempt]] = dataclasses.field(
        default_factory=list
    )
    done: list[model.TaskKey] = dataclasses.field(default_factory=list)

    def start(self, order: orders.Start) -> orders.Outcome:
        """Start a run, or refuse the order."""
        if order.token < self.token:
            return _refused(orders.RefusalReason.STALE_TOKEN)
        self.token = order.token
        if self.running.get(order.task) == order.run:
            return orders.Accepted()
        if order.run <= self.closed.get(order.task, 0):
            return _refused(orders.RefusalReason.OLD_RUN)
        if order.valid_until <= self.clock:
            return _refused(orders.RefusalReason.EXPIRED)
        self.lease_until = max(self.lease_until, order.valid_until)
        self.running[order.task] = order.run
        self.starts.append((order.task, order.run))
        return orders.Accepted()

    def stop(self, order: orders.Stop) -> orders.Outcome:
        """Stop a run, or refuse the order."""
        if order.token < self.token:
            return _refused(orders.RefusalReason.STALE_TOKEN)
        self.token = order.token
        closed = max(self.closed.get(order.task, 0), order.run)
        self.closed[order.task] = ids.Attempt(closed)
        if self.running.get(order.task) == order.run:
            self.end(order.task, model.EndKind.STOPPED)
        return orders.Accepted()

    def end(self, task: model.TaskKey, kind: model.EndKind) -> None:
        """End a task's current run and queue the report of its end."""
        run = self.running.pop(task)
        self.closed[task] = max(self.closed.get(task, ids.Attempt(0)), run)
        self.last_end += 1
        if kind is model.EndKind.DONE:
            self.done.append(task)
        self.ends.append(
            orders.EndRow(
                number=self.last_end,
                task=task,
                run=run,
                kind=kind,
                checkpoint=ids.CheckpointId(""),
            )
        )

    def lapse(self) -> None:
        """End all runs if the worker's lease has expired."""
        if self.lease_until < self.clock:
            for task in list(self.running):
                self.end(task, model.EndKind.LEASE_EXPIRED)

    def renew(self, order: orders.Renewal) -> orders.Report:
        """Extend the lease and report running and ended runs.

        :raises StaleTokenError: if the worker has accepted an order with a
            higher fencing token.
        """
        if order.token < self.token:
            raise exceptions.StaleTokenError(
                message=f"fencing token {order.token} is lower than "
                f"the accepted token {self.token}"
            )
        self.token = order.token
        self.ends = [e for e in self.ends if e.number > order.acknowledged]
        if order.lease_until is not None:
            self.lease_until = max(self.lease_until, order.lease_until)
        return orders.Report(
            clock=self.clock,
            incarnation=self.incarnation,
            running=tuple(
                orders.RunningRow(
                    task=task,
                    run=run,
                    checkpoint=ids.CheckpointId(""),
                    percent=50,
                    measurement=None,
                )
                for task, run in self.running.items()
            ),
            ends=tuple(self.ends[:ENDS_LISTED_MAX]),
            ends_complete=len(self.ends) < ENDS_LISTED_MAX,
        )

    def restart(self) -> None:
        """Simulate a crash and restart that loses all state."""
        self.incarnation += 1
        self.token = 0
        self.running.clear()
        self.closed.clear()
        self.ends.clear()
        self.last_end = 0


def _refused(reason: orders.RefusalReason) -> orders.Refused:
    return orders.Refused(reason=reason)
