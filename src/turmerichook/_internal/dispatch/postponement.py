"""Jobs that are postponed when there is too little room for all.

Keeps what ``least_cost`` needs to know: the rate at which work ends, and the
mean work of the jobs of each queue.
"""

import collections.abc
import datetime

from turmerichook._internal.dispatch import least_cost
from turmerichook._internal.dispatch import waiting_step
from turmerichook._internal.dispatch import work_rate
from turmerichook._internal.models import policy as policies
from turmerichook._internal.workflow import model

StepsByOccurrence = dict[model.Occurrence, list[waiting_step.WaitingStep]]


class Postponement:
    """Chooses the jobs to postpone, if the policy asks for that.

    :ivar rates: rate of the work that ends, for each kind of room.
    :ivar by_kind: what is postponed at present, for each kind of room.
    :ivar all_postponed: the same for both kinds together.
    """

    def __init__(self, *, policy: policies.Policy):
        order = policy.overload_order
        self.enabled = order is policies.OverloadOrder.LEAST_COST
        self.rates = {
            kind: work_rate.WorkRate() for kind in work_rate.RoomKind
        }
        self.mean_work = least_cost.MeanWork()
        self.by_kind: dict[
            work_rate.RoomKind, frozenset[model.Occurrence]
        ] = {}
        self.all_postponed: frozenset[model.Occurrence] = frozenset()

    def note_step(self, step: waiting_step.WaitingStep) -> None:
        """Count the work of a job whose first step begins to wait."""
        if self.enabled and not step.key.step:
            self.mean_work.note(step.job.queue.queue, step.job.work)

    def note_done(self, step: model.Step, now: datetime.timedelta) -> None:
        """Count the work of a task that is done."""
        if self.enabled and not step.long_running:
            kind = _room_kind(filler=step.filler)
            self.rates[kind].note_end(step.processor_time, now)

    def update(
        self,
        steps: collections.abc.Iterable[waiting_step.WaitingStep],
        now: datetime.timedelta,
        wall: datetime.timedelta,
    ) -> None:
        """Choose anew.

        :param steps: all waiting steps.
        """
        if not self.enabled:
            return
        steps_by_kind: dict[work_rate.RoomKind, StepsByOccurrence] = {
            kind: {} for kind in work_rate.RoomKind
        }
        for step in steps:
            if not step.needs.long_running:
                kind = _room_kind(filler=step.needs.filler)
                steps_by_kind[kind].setdefault(step.key.whole, []).append(step)
        self.by_kind = {
            kind: least_cost.postponed(
                [
                    self._waiting_work(together, wall)
                    for together in by_occurrence.values()
                ],
                self.rates[kind].cores(now),
                wall,
            )
            for kind, by_occurrence in steps_by_kind.items()
        }
        self.all_postponed = frozenset().union(*self.by_kind.values())

    def _waiting_work(
        self,
        steps: list[waiting_step.WaitingStep],
        wall: datetime.timedelta,
    ) -> least_cost.WaitingWork:
        """Return what is to be known of the waiting steps of an occurrence."""
        job = steps[0].job
        work = sum(
            (len(step.tasks) * step.step.processor_time for step in steps),
            datetime.timedelta(),
        )
        later = max(
            job.progress.downstream_work(step.key.step) for step in steps
        )
        return least_cost.WaitingWork(
            key=steps[0].key.whole,
            priority=job.queue.priority,
            deadline=min(step.deadline for step in steps),
            earliest=wall + max(step.chain for step in steps),
            work=work + later,
            large=self.mean_work.is_large(job.queue.queue, job.work),
        )


def _room_kind(*, filler: bool) -> work_rate.RoomKind:
    return work_rate.RoomKind.FILLER if filler else work_rate.RoomKind.OTHER
