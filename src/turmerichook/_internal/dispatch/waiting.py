"""Tasks that may start, and the order in which they are placed.

All tasks of a step have the same requirements. A step for which no worker had
capacity is therefore skipped for the rest of the round, and in later rounds
until a worker that may have capacity for the step has changed.
"""

import collections.abc
import datetime
import itertools
import typing

from turmerichook._internal.dispatch import customers as customers_
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import headroom
from turmerichook._internal.dispatch import interference as interferences
from turmerichook._internal.dispatch import jobs
from turmerichook._internal.dispatch import placement_round
from turmerichook._internal.dispatch import postponement as postponements
from turmerichook._internal.dispatch import refusals
from turmerichook._internal.dispatch import room as rooms
from turmerichook._internal.dispatch import urgency
from turmerichook._internal.dispatch import waiting_step
from turmerichook._internal.models import ids
from turmerichook._internal.models import policy as policies
from turmerichook._internal.workflow import model

# Interval at which the reason why some step waits is determined and logged,
# and the minimum interval between such log lines for the same step. Checking
# all workers for each step in each round would use a whole processor.
EXPLAIN_INTERVAL = datetime.timedelta(milliseconds=100)
EXPLAIN_STEP_INTERVAL = datetime.timedelta(seconds=30)
# The latter for tasks of services that have lost their run, which are few.
EXPLAIN_RESTART_INTERVAL = datetime.timedelta(seconds=2)

# Share of all processors used by long-running tasks above which starving
# long-running tasks that have never run are no longer placed before short
# tasks. Otherwise the short tasks would get none of the capacity that becomes
# free.
LONG_RUNNING_SHARE_MAX = 0.9

# Number of the most urgent steps that each round checks, although an earlier
# round of the same pass over all steps may have checked them. The round asks
# whether its time is exhausted after as many others, as reading the clock for
# each of them takes longer than most of the checks.
ALWAYS_CHECKED = 50

# Assigns a task to a worker under a run number.
Assign = collections.abc.Callable[
    [
        jobs.Job,
        model.TaskKey,
        fleet.Worker,
        ids.Attempt,
        datetime.timedelta,
    ],
    None,
]


# Step, whether its tasks restart, and the task if it may crash workers.
StepsKey = tuple[model.StepKey, bool, model.TaskKey | None]


class WaitingTasks:
    """All tasks that wait for a worker."""

    def __init__(
        self,
        *,
        customers: customers_.Customers | None = None,
        policy: policies.Policy = policies.DEFAULT,
    ):
        self.customers = customers or customers_.Customers()
        self.postponement = postponements.Postponement(policy=policy)
        # By step, and by whether the tasks restart after an earlier run. A
        # task that may crash workers is kept by itself.
        self.steps: dict[StepsKey, waiting_step.WaitingStep] = {}
        self.urgency: urgency.UrgencyOrder[waiting_step.WaitingStep] = (
            urgency.UrgencyOrder()
        )
        # Whether a long-running task restarts or starves while long-running
        # tasks use more than their maximum share of the processors.
        self.long_running_over_share = False
        self.room = rooms.Room()
        self.refusals = refusals.Refusals()
        self.headroom = headroom.Headroom()
        self.explain_at = fleet.ZERO
        # Number of the present pass over all steps.
        self.sweep = 0

    def __len__(self) -> int:
        return sum(len(step.tasks) for step in self.steps.values())

    def add(
        self,
        job: jobs.Job,
        task: model.TaskKey,
        last: ids.WorkerId,
        now: datetime.timedelta,
        ended_at: datetime.timedelta | None = None,
    ) -> None:
        """Add a task that waits for a worker.

        :param last: worker of the task's last run; empty if there was none.
        :param ended_at: our time since which the last run may have been over.
            A task that restarts has waited since then, as the end of a run
            on a lost worker is only noticed when its leases have ended.
        """
        restarts = _restarts(job, task)
        # The tasks of a gang are placed together, suspected or not.
        suspected = job.suspected(task) and not _in_gang(job, task)
        key = (task.step_key, restarts, task if suspected else None)
        step = self.steps.get(key)
        if step is None:
            step = waiting_step.create(
                job, task, restarts=restarts, suspected=suspected, now=now
            )
            self.steps[key] = step
            self.urgency.add(step)
            self.postponement.note_step(step)
        if restarts and ended_at is not None:
            step.since = min(step.since, ended_at)
        step.tasks[task] = last

    def remove(self, task: model.TaskKey) -> None:
        """Remove a task, if it is waiting."""
        for restarts, suspect in itertools.product(
            (False, True), (None, task)
        ):
            key = (task.step_key, restarts, suspect)
            step = self.steps.get(key)
            if step is not None:
                step.tasks.pop(task, None)
                if not step.tasks:
                    del self.steps[key]

    def drop(self, job: ids.JobId) -> None:
        """Remove all waiting tasks of a job."""
        for key in [key for key in self.steps if key[0].job == job]:
            self.steps.pop(key).tasks.clear()

    def by_urgency(
        self,
        *,
        workers: collections.abc.Iterable[fleet.Worker],
        now: datetime.timedelta,
        wall: datetime.timedelta,
    ) -> list[waiting_step.WaitingStep]:
        """Return the steps with waiting tasks, the most urgent first."""
        steps = self.steps.values()
        if self.urgency.resort_due(now):
            self.long_running_over_share = any(
                step.restarts or step.starving(now) for step in steps
            ) and _long_running_over_share(workers)
            if self.customers.configured:
                self._update_shares(workers)
            self.postponement.update(steps, now, wall)
        return self.urgency.read(
            all_items=steps,
            key=self._order(now, wall),
            is_live=lambda step: step.tasks,
            now=now,
        )

    def _order(
        self, now: datetime.timedelta, wall: datetime.timedelta
    ) -> collections.abc.Callable[
        [waiting_step.WaitingStep], waiting_step.Order
    ]:
        """Return a function that returns the sort key of a step."""
        over_share = self.customers.over_share
        postponed = self.postponement.all_postponed

        def order(step: waiting_step.WaitingStep) -> waiting_step.Order:
            return step.order(
                now,
                wall,
                long_running_over_share=self.long_running_over_share,
                over_share=step.customer in over_share,
                # Without the feature the set is empty, and no key is made.
                postponed=bool(postponed) and step.key.whole in postponed,
            )

        return order

    def _update_shares(
        self, workers: collections.abc.Iterable[fleet.Worker]
    ) -> None:
        waiting = {step.customer for step in self.steps.values()}
        waiting.discard(ids.CustomerId(""))
        self.customers.update_shares(
            waiting,
            (
                worker.entry.capacity
                for worker in workers
                if worker.entry is not None and worker.listed
            ),
        )

    def place(
        self,
        *,
        workers: collections.abc.Collection[fleet.Worker],
        closed: collections.abc.Container[ids.ZoneId],
        approved: placement_round.Approved,
        answer_count: collections.abc.Callable[[model.StepKey], int],
        assign: Assign,
        full: collections.abc.Callable[[], bool],
        interference: interferences.Interference,
        now: datetime.timedelta,
        wall: datetime.timedelta,
        limit: int,
        exhausted: collections.abc.Callable[[], bool] = lambda: False,
    ) -> int:
        """Assign tasks to workers, the most urgent first.

        If the time of the round is exhausted before all steps are checked,
        the next round goes on with the others. It checks the most urgent ones
        first nevertheless.

        :param answer_count: returns how often the advisor's answers for a
            step have been stored.
        :param full: returns whether to stop before the next step.
        :param limit: maximum number of tasks to assign.
        :param exhausted: returns whether to leave the other steps to the next
            round. It is not called before the steps are sorted.
        :returns: the number of tasks assigned.
        """
        self.room.update(workers, closed, now)
        self.room.reopen(
            self.headroom.update(workers, self.steps.values(), closed, now)
        )
        self.refusals.remove_expired(now)
        round_ = placement_round.Round(
            workers=workers,
            closed=closed,
            approved=approved,
            answer_count=answer_count,
            interference=interference,
            now=now,
            room=self.room,
            refusals=self.refusals,
            reserved=self.room.reserved,
            headroom=self.headroom,
        )
        placed = advanced = 0
        ordered = self.by_urgency(workers=workers, now=now, wall=wall)
        for position, waiting in enumerate(ordered):
            if placed >= limit or full():
                break
            if waiting.sweep != self.sweep:
                if advanced % ALWAYS_CHECKED == 0 and exhausted():
                    return placed
                waiting.sweep = self.sweep
                advanced += 1
            elif position >= ALWAYS_CHECKED:
                continue
            if waiting.customer:
                chosen = self._choose(round_, waiting, limit - placed)
            else:
                chosen = round_.choose(waiting, limit - placed)
            for task, worker, run in chosen:
                self.remove(task)
                assign(waiting.job, task, worker, run, now)
                self.room.refresh(worker)
            placed += len(chosen)
            self._explain(round_, waiting)
        self.sweep += 1
        self.customers.end_pass()
        return placed

    def startable(self, waiting: waiting_step.WaitingStep, count: int) -> int:
        """Return how many tasks of a step its customer's quota allows."""
        if not waiting.customer:
            return count
        return self.customers.startable(waiting.customer, waiting.step, count)

    def position(
        self,
        waiting: waiting_step.WaitingStep,
        now: datetime.timedelta,
        wall: datetime.timedelta,
    ) -> int:
        """Return the place that a step would have among those that wait.

        The first place is 1.
        """
        order = self._order(now, wall)
        own = order(waiting)
        return 1 + sum(order(step) <= own for step in self.steps.values())

    def trial_round(
        self,
        *,
        workers: collections.abc.Collection[fleet.Worker],
        closed: collections.abc.Container[ids.ZoneId],
        now: datetime.timedelta,
        **terms: typing.Any,
    ) -> placement_round.Round:
        """Return a round in which choices have no effect on later rounds.

        :param terms: further terms of ``placement_round.Round``.
        """
        room = rooms.Room()
        room.update(workers, closed, now)
        room.reserved = set(self.room.reserved)
        return placement_round.Round(
            workers=workers,
            closed=closed,
            now=now,
            room=room,
            refusals=refusals.Refusals(),
            reserved=room.reserved,
            headroom=self.headroom.copy(),
            **terms,
        )

    def _choose(
        self,
        round_: placement_round.Round,
        waiting: waiting_step.WaitingStep,
        limit: int,
    ) -> list[placement_round.Choice]:
        """Choose workers for a customer's tasks within its quota.

        Notes why tasks wait, if the customer's quota or share is the reason.
        """
        customer = waiting.customer
        most = min(limit, len(waiting.tasks))
        startable = self.startable(waiting, most)
        waiting.quota_reached = startable < most
        chosen = round_.choose(waiting, startable) if startable else []
        left = len(waiting.tasks) - len(chosen)
        if left and waiting.quota_reached:
            self.customers.note_delay(
                customer, customers_.DelayReason.QUOTA, left
            )
        elif left and customer in self.customers.over_share:
            self.customers.note_delay(
                customer, customers_.DelayReason.SHARE, left
            )
        return chosen

    def _explain(
        self,
        round_: placement_round.Round,
        waiting: waiting_step.WaitingStep,
    ) -> None:
        """Log why a step waits, if the log intervals allow it."""
        now = round_.now
        if self.explain_at <= now >= waiting.explain_at and waiting.tasks:
            self.explain_at = now + EXPLAIN_INTERVAL
            waiting.explain_at = now + (
                EXPLAIN_RESTART_INTERVAL
                if waiting.restarts
                else EXPLAIN_STEP_INTERVAL
            )
            round_.explain(waiting)


def _in_gang(job: jobs.Job, task: model.TaskKey) -> bool:
    return job.spec.steps[task.step].gang


def _restarts(job: jobs.Job, task: model.TaskKey) -> bool:
    """Return whether a task is a long-running one that has run before."""
    step = job.spec.steps[task.step]
    record = job.progress.tasks.get(task)
    # The tasks of a gang only start together, so that none restarts alone.
    return (
        step.long_running
        and not step.gang
        and record is not None
        and record.run > 0
    )


def _long_running_over_share(
    workers: collections.abc.Iterable[fleet.Worker],
) -> bool:
    """Return whether long-running tasks use more than their maximum share."""
    capacity = long_running_use = 0
    for worker in workers:
        if worker.entry is None or not worker.listed:
            continue
        capacity += worker.entry.capacity.millicores
        long_running_use += worker.long_running_use.millicores
    return long_running_use > capacity * LONG_RUNNING_SHARE_MAX
