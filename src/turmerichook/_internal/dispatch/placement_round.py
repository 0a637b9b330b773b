"""Placement of waiting tasks at one moment."""

import collections
import collections.abc
import dataclasses
import datetime
import typing

from turmerichook._internal.dispatch import candidates
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import interference as interferences
from turmerichook._internal.dispatch import obstacles
from turmerichook._internal.dispatch import placement
from turmerichook._internal.dispatch import refusals
from turmerichook._internal.dispatch import room as rooms
from turmerichook._internal.dispatch import waiting_step
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
from turmerichook._internal.workflow import model

# A step of fillers that no worker could take is not tried again before, nor
# are those of the same image that ask for as much: the harm that fillers do
# changes with each reading. A backlog tried against hundreds of workers each
# round would fill a processor.
BLOCKED_PAUSE = datetime.timedelta(milliseconds=150)

# Workers whose room is kept together at once; more would keep short tasks out.
RESERVED_MAX = 2

# Returns the workers that a step's policy allows; None if it allows all.
Approved = collections.abc.Callable[
    [waiting_step.WaitingStep], collections.abc.Container[ids.WorkerId] | None
]


class Choice(typing.NamedTuple):
    """A task, its worker, and the number of its run."""

    task: model.TaskKey
    worker: fleet.Worker
    run: ids.Attempt


@dataclasses.dataclass(kw_only=True)
class Round:
    """Placement of the waiting tasks at one moment."""

    workers: collections.abc.Collection[fleet.Worker]
    closed: collections.abc.Container[ids.ZoneId]
    approved: Approved
    interference: interferences.Interference
    now: datetime.timedelta
    room: rooms.Room
    refusals: refusals.Refusals
    # Workers that are reserved for starving tasks.
    reserved: set[ids.WorkerId]

    def _blocked(self, waiting: waiting_step.WaitingStep) -> bool:
        """Tell quickly that no worker can take a step's tasks now."""
        if waiting.service != waiting.job.queue.service:
            waiting.service = waiting.job.queue.service
            waiting.tried = rooms.UNTRIED
        needs = waiting.needs
        if needs.filler:
            return self._paused(waiting)
        if needs.long_running and waiting.starving(self.now):
            # What is kept for others may do, or room is to be kept for it.
            return len(self.reserved) >= RESERVED_MAX and not self._candidates(
                waiting
            )
        if self.room.may_fit(needs, waiting.tried):
            return False
        waiting.tried = self.room.position
        return True

    def _paused(self, waiting: waiting_step.WaitingStep) -> bool:
        """Tell quickly that no worker takes a step's fillers now."""
        if self.now < waiting.blocked_until:
            return True
        overdue = waiting.overdue(self.now)
        if not overdue and not self.room.may_fill(waiting.needs):
            return True
        kind = _kind(waiting, overdue)
        until = self.refusals.until(kind, waiting.needs, self.now)
        if until is None:
            return False
        waiting.blocked_until = until
        return True

    def choose(
        self, waiting: waiting_step.WaitingStep, limit: int
    ) -> list[Choice]:
        """Choose workers for at most so many of a step's tasks."""
        if self._blocked(waiting):
            return []
        if waiting.step.gang:
            return self._choose_gang(waiting)
        return self._choose(waiting, limit)

    def _choose(
        self, waiting: waiting_step.WaitingStep, limit: int
    ) -> list[Choice]:
        """Choose workers for as many of a step's tasks as fit.

        Each choice counts as if the task took its room at once.
        """
        step = waiting.step
        records = waiting.job.progress.tasks
        found = [] if waiting.needs.filler else self._candidates(waiting)
        counts = waiting.tasks_by_worker()
        conditions = self._conditions(waiting, counts)
        overdue = waiting.overdue(self.now)
        chosen: list[Choice] = []
        ranking: placement.Ranking | None = None
        for task, last in waiting.tasks.items():
            if len(chosen) == limit:
                break
            if ranking is None:
                ranking = self._rank(
                    waiting,
                    conditions,
                    found,
                    count=min(limit, len(waiting.tasks)),
                    overdue=overdue,
                    chosen=[choice.worker for choice in chosen],
                )
            worker = ranking.take(last)
            if isinstance(worker, outcomes.Absent):
                if waiting.needs.filler:
                    self._pause(waiting, conditions, overdue=overdue)
                elif conditions.approved is None or not found:
                    waiting.tried = self.room.position
                if waiting.starving(self.now):
                    self._reserve_room(conditions)
                break
            counts[worker.worker] += 1
            worker.reserve(step)
            record = records.get(task)
            run = ids.Attempt(record.run + 1 if record else 1)
            chosen.append(Choice(task, worker, run))
            if overdue:
                # Only one task of an overdue job goes wherever there is room.
                overdue, ranking = False, None
            elif not worker.suspected:
                ranking.put_back(worker)
        for choice in chosen:
            choice.worker.release(step)
        return chosen

    def explain(self, waiting: waiting_step.WaitingStep) -> None:
        """Log why no worker takes the step's tasks, if none does."""
        ranking = placement.Ranking(
            conditions=self._conditions(waiting, waiting.tasks_by_worker()),
            workers=self.workers,
            reserved=self._reserved_from(waiting),
            interference=self.interference,
            overdue=waiting.overdue(self.now),
        )
        found = ranking.take(ids.WorkerId(""))
        if isinstance(found, outcomes.Absent):
            _log_wait(waiting, found.detail)
        elif waiting.step.gang:
            _log_wait(waiting, ranking.detail())

    def _candidates(
        self, waiting: waiting_step.WaitingStep
    ) -> list[candidates.Candidate]:
        """Return the workers that may have room for a step's tasks."""
        tried = rooms.UNTRIED if waiting.step.gang else waiting.tried
        return self.room.candidates_for(waiting.needs, waiting.service, tried)

    def _conditions(
        self, waiting: waiting_step.WaitingStep, counts: collections.Counter
    ) -> obstacles.Conditions:
        return obstacles.Conditions(
            step=waiting.step,
            service=waiting.job.queue.service,
            closed=self.closed,
            approved=self.approved(waiting),
            on_worker=counts,
            now=self.now,
        )

    def _reserved_from(
        self, waiting: waiting_step.WaitingStep
    ) -> collections.abc.Container[ids.WorkerId]:
        """Return the workers whose room is kept for other tasks."""
        # What a starving task waits for may be room for another.
        return () if waiting.starving(self.now) else self.reserved

    def _rank(
        self,
        waiting: waiting_step.WaitingStep,
        conditions: obstacles.Conditions,
        found: list[candidates.Candidate],
        *,
        count: int,
        overdue: bool,
        chosen: collections.abc.Collection[fleet.Worker],
    ) -> placement.Ranking:
        reserved = self._reserved_from(waiting)
        needs = waiting.needs
        if needs.filler:
            found = self.room.filler_candidates(
                needs, waiting.service, overdue=overdue
            )
        elif reserved:
            found = [c for c in found if c.worker.worker not in reserved]
        if conditions.approved is not None or waiting.step.max_per_worker:
            found = [c for c in found if conditions.obstacle(c.worker) is None]
        return placement.Ranking(
            conditions=conditions,
            workers=[
                c.worker
                for c in candidates.best(found, needs, count)
                # A suspected worker gets one task at a time.
                if not (c.worker.suspected and c.worker in chosen)
            ],
            reserved=reserved,
            interference=self.interference,
            overdue=overdue,
        )

    def _pause(
        self,
        waiting: waiting_step.WaitingStep,
        conditions: obstacles.Conditions,
        *,
        overdue: bool,
    ) -> None:
        """Let a step of fillers that no worker takes rest for a while."""
        waiting.blocked_until = self.now + BLOCKED_PAUSE
        restricted = waiting.step.max_per_worker or waiting.step.gang
        if conditions.approved is None and not restricted:
            self.refusals.note(
                _kind(waiting, overdue),
                waiting.needs,
                now=self.now,
                until=waiting.blocked_until,
            )

    def _choose_gang(self, waiting: waiting_step.WaitingStep) -> list[Choice]:
        """Choose workers for all members, under one run number, or none."""
        count = waiting.step.count
        if len(waiting.tasks) < count:
            # Members of the former run have not all ended yet.
            return []
        if waiting.tried >= 0 and not waiting.starving(self.now):
            if not self.room.candidates_for(
                waiting.needs, waiting.service, waiting.tried
            ):
                waiting.tried = self.room.position
                return []
        chosen = self._choose(waiting, count)
        if len(chosen) < count:
            return []
        run = max(choice.run for choice in chosen)
        return [choice._replace(run=run) for choice in chosen]

    def _reserve_room(self, conditions: obstacles.Conditions) -> None:
        """Keep others off the worker that will have room first.

        Short tasks would take each piece of room as it becomes free.
        """
        if len(self.reserved) >= RESERVED_MAX:
            return
        worker = placement.roomiest(
            conditions=conditions,
            workers=self.workers,
            reserved=self.reserved,
        )
        if worker is not None:
            self.reserved.add(worker.worker)


def _kind(
    waiting: waiting_step.WaitingStep, overdue: bool
) -> collections.abc.Hashable:
    """Return what fillers have in common whose refusals can be compared."""
    needs = waiting.needs
    return waiting.service, needs.label, waiting.step.image, overdue


def _log_wait(waiting: waiting_step.WaitingStep, detail: str) -> None:
    logs.emit(
        events.DispatchEvent.TASK_WAITS,
        job=waiting.key.job,
        step=waiting.key.step,
        tasks=len(waiting.tasks),
        reason=outcomes.Reason.NO_FIT.value,
        obstacles=detail,
        priority=waiting.job.queue.priority,
    )
