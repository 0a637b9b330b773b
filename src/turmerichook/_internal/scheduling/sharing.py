"""Connection between the zone's owner and the ``colocation`` module.

Messages to the owner are translated into events of ``colocation``. The
decisions of ``colocation`` are translated into log lines, changes of the
ledger and operations for workers.
"""

import datetime

from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import colocation
from turmerichook._internal.scheduling import events
from turmerichook._internal.scheduling import health
from turmerichook._internal.scheduling import sharing_decisions as decisions
from turmerichook._internal.scheduling import state as states
from turmerichook._internal.scheduling import stops

DECISION_INTERVAL = datetime.timedelta(seconds=1)
OUTCOMES_BY_STATE = {
    workers.TaskState.FINISHED: colocation.Outcome.FINISHED,
    workers.TaskState.FAILED: colocation.Outcome.FAILED,
    workers.TaskState.STOPPED: colocation.Outcome.STOPPED,
    workers.TaskState.REFUSED: colocation.Outcome.STOPPED,
}

HostOperation = tuple[ids.HostId, workers.Operation]


class Sharing:
    """Co-location in a zone during one tenure of its owner."""

    def __init__(self, *, state: states.ZoneTasks, stop_list: stops.StopList):
        self.state = state
        self.stops = stop_list
        self.colocation = colocation.Colocation()
        self.last_decided: datetime.timedelta | None = None
        state.adviser = self.colocation

    def apply_answer(
        self,
        host: ids.HostId,
        answer: workers.SyncAnswer,
        now: datetime.timedelta,
    ) -> None:
        """Process the usage reports in a worker's answer."""
        if answer.usage:
            self.colocation.process_usage(host, answer.usage, now)

    def apply_event(
        self, event: workers.TaskEvent, now: datetime.timedelta
    ) -> None:
        """Record the end of an attempt; other events are ignored."""
        outcome = OUTCOMES_BY_STATE.get(event.state)
        if outcome is not None:
            self.colocation.record_end(event.task, event.attempt, outcome, now)

    def apply_inventory(
        self, host: ids.HostId, item: workers.RunningTask
    ) -> None:
        """Raise a task's commitment to the resources granted by its worker.

        After a takeover the ledger contains declared sizes, while the former
        owner may have started the task with a larger, corrected size.
        """
        account = self.state.ledger.hosts.get(host)
        if account is None or item.task not in account.tasks:
            return
        task = self.state.tasks.get(item.task)
        if task is None or task.host != host:
            return
        before = account.tasks[item.task]
        if not item.resources.fits(before):
            self.state.resize(task, before.greater(item.resources))

    def decide(
        self, now: datetime.timedelta
    ) -> dict[ids.HostId, list[workers.Operation]]:
        """Decide once a second and return the operations for each worker."""
        if (
            self.last_decided is not None
            and now - self.last_decided < DECISION_INTERVAL
        ):
            return {}
        self.last_decided = now
        self._track(now)
        operations: dict[ids.HostId, list[workers.Operation]] = {}
        for decision in self.colocation.decide(now, self._free):
            for host, operation in self._apply(decision, now):
                operations.setdefault(host, []).append(operation)
        self.state.resize_waiting()
        return operations

    def _free(self, host: ids.HostId) -> resources.Resources:
        account = self.state.ledger.hosts.get(host)
        return resources.NOTHING if account is None else account.free

    def _track(self, now: datetime.timedelta) -> None:
        """Apply changes that are not reported by an event.

        A takeover makes such changes, for example.
        """
        tracked_tasks = self.colocation.tracker.tasks
        for name, tracked_attempt in list(tracked_tasks.items()):
            task = self.state.tasks.get(name)
            if task is None or task.phase not in states.ON_HOST:
                self.colocation.record_end(
                    name,
                    tracked_attempt.attempt,
                    colocation.Outcome.STOPPED,
                    now,
                )
        for name, task in self.state.tasks.items():
            if task.phase not in states.ON_HOST:
                continue
            tracked_attempt = tracked_tasks.get(name)
            amount = task.amount
            if (
                tracked_attempt is not None
                and tracked_attempt.attempt == task.attempt
            ):
                if tracked_attempt.amount != amount:
                    self.colocation.tracker.resize(
                        tracked_attempt, amount, now
                    )
            else:
                self.colocation.record_placement(
                    task.spec,
                    task.attempt,
                    task.host,
                    amount,
                    resumed=task.checkpoint is not None,
                    now=now,
                    adopted=True,
                )

    def _apply(
        self, decision: decisions.Decision, now: datetime.timedelta
    ) -> list[HostOperation]:
        match decision:
            case decisions.Throttle():
                return self._throttle(decision)
            case decisions.Evict():
                self._evict(decision, now)
            case decisions.Resize():
                self._resize(decision)
            case decisions.EvictionDenied():
                logs.emit(
                    events.SchedulingEvent.EVICTION_DENIED,
                    host=decision.host,
                    task=decision.task,
                    reason=decision.reason.value,
                )
            case decisions.StepChanged():
                _log_step(decision)
            case decisions.JobAtFault():
                logs.emit(
                    events.SchedulingEvent.JOB_AT_FAULT, job=decision.job
                )
            case health.Quarantined():
                logs.emit(
                    events.SchedulingEvent.HOST_QUARANTINED,
                    host=decision.host,
                    jobs=",".join(decision.jobs),
                )
            case health.Suspected():
                logs.emit(
                    events.SchedulingEvent.HOST_SUSPECTED,
                    host=decision.host,
                    jobs=",".join(decision.jobs),
                )
            case health.Returned():
                logs.emit(
                    events.SchedulingEvent.HOST_RETURNED, host=decision.host
                )
        return []

    def _throttle(self, decision: decisions.Throttle) -> list[HostOperation]:
        if decision.share < 1.0:
            # Only limits are logged: after a takeover the limit of every
            # batch task is lifted, which would log one line for each task.
            logs.emit(
                events.SchedulingEvent.TASK_THROTTLED,
                host=decision.host,
                task=decision.task,
                attempt=decision.attempt,
                share=decision.share,
            )
        operation = workers.Throttle(
            task=decision.task,
            attempt=decision.attempt,
            share=decision.share,
        )
        return [(decision.host, operation)]

    def _evict(
        self, decision: decisions.Evict, now: datetime.timedelta
    ) -> None:
        """Stop an attempt; the stop list resends the command as needed."""
        task = self.state.tasks.get(decision.task)
        if task is None or task.attempt != decision.attempt:
            return
        if task.phase not in (states.Phase.ASSIGNED, states.Phase.RUNNING):
            return
        logs.emit(
            events.SchedulingEvent.TASK_EVICTED,
            host=decision.host,
            task=decision.task,
            attempt=decision.attempt,
            checkpoint=decision.checkpoint,
            reason=decision.reason.value,
            again=decision.again,
        )
        command = self.state.stop(task, now, checkpoint=decision.checkpoint)
        self.stops.add(command, now)

    def _resize(self, decision: decisions.Resize) -> None:
        task = self.state.tasks[decision.task]
        self.state.resize(task, decision.after)
        logs.emit(
            events.SchedulingEvent.TASK_RESIZED,
            host=decision.host,
            task=decision.task,
            attempt=decision.attempt,
            before=decision.before.to_map(),
            after=decision.after.to_map(),
        )


def _log_step(decision: decisions.StepChanged) -> None:
    event = events.SchedulingEvent.HOST_CALMER
    if decision.step > decision.before:
        event = events.SchedulingEvent.HOST_NOISY
    logs.emit(
        event,
        host=decision.host,
        before=decision.before.name.lower(),
        step=decision.step.name.lower(),
    )
