"""One placement round: the choice of workers for waiting tasks."""

import collections
import collections.abc
import dataclasses
import datetime
import typing

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import candidates
from turmerichook._internal.dispatch import crashes
from turmerichook._internal.dispatch import customers
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import headroom as headrooms
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

# Time for which a step of filler tasks that no worker could take is not tried
# again, nor are filler steps of the same image that request as much. The pause
# is short because the interference of fillers changes with each latency
# reading. Without a pause, checking a backlog against hundreds of workers in
# each round would use a whole processor.
BLOCKED_PAUSE = datetime.timedelta(milliseconds=150)

# Workers that may be reserved for starving tasks at the same time; reserving
# more would leave too little capacity to short tasks.
RESERVED_MAX = 2

# Time after which a task that may crash its worker is placed beside others
# that have not begun either. The site guarantees that a job with room for it
# has no task running for at most 3 s.
ISOLATION_WAIT = datetime.timedelta(milliseconds=1500)

# Logged as the obstacle of a task that may not start on any worker.
CRASHES_UNCONFIRMED = "crashes-unconfirmed"

# Returns the workers that the policy of a step's queue allows, or None if the
# policy allows all workers.
Approved = collections.abc.Callable[
    [waiting_step.WaitingStep], collections.abc.Container[ids.WorkerId] | None
]


class Choice(typing.NamedTuple):
    """A task, the worker chosen for the task, and its next run number."""

    task: model.TaskKey
    worker: fleet.Worker
    run: ids.Attempt


@dataclasses.dataclass(kw_only=True)
class Round:
    """Chooses workers for waiting tasks, all at the time ``now``."""

    workers: collections.abc.Collection[fleet.Worker]
    closed: collections.abc.Container[ids.ZoneId]
    approved: Approved
    # Returns how often the advisor's answers for a step have been stored.
    answer_count: collections.abc.Callable[[model.StepKey], int]
    interference: interferences.Interference
    now: datetime.timedelta
    room: rooms.Room
    refusals: refusals.Refusals
    # Workers whose free capacity is reserved for starving tasks.
    reserved: set[ids.WorkerId]
    # Workers that are kept free of first runs of long-running tasks.
    headroom: headrooms.Headroom

    def _blocked(self, waiting: waiting_step.WaitingStep) -> bool:
        """Return whether a cheap check shows that no worker fits a step.

        False means that the workers have to be checked one by one.
        """
        self._forget_outdated_check(waiting)
        needs = waiting.needs
        if needs.filler:
            return self._fillers_blocked(waiting)
        if self._entitled(waiting):
            # A starving step may use capacity that is reserved for others, or
            # needs a worker reserved for the step itself.
            return len(self.reserved) >= RESERVED_MAX and not self._candidates(
                waiting
            )
        if self.room.may_fit(needs, waiting.checked_position):
            return False
        waiting.checked_position = self.room.position
        return True

    def _forget_outdated_check(
        self, waiting: waiting_step.WaitingStep
    ) -> None:
        """Have all workers checked if others may run the step by now."""
        queue = waiting.job.queue
        advised = queue.advisor is not None
        checked_for = waiting_step.CheckedFor(
            service=queue.service,
            answer_count=self.answer_count(waiting.key) if advised else None,
        )
        if waiting.checked_for != checked_for:
            waiting.checked_for = checked_for
            waiting.checked_position = rooms.UNCHECKED

    def _fillers_blocked(self, waiting: waiting_step.WaitingStep) -> bool:
        """Return whether a cheap check shows that no worker takes a filler."""
        if self.now < waiting.blocked_until:
            return True
        overdue = waiting.overdue(self.now)
        if not overdue and not self.room.may_fill(waiting.needs):
            return True
        refusal_kind = _refusal_kind(waiting, overdue)
        until = self.refusals.until(refusal_kind, waiting.needs, self.now)
        if until is None:
            return False
        waiting.blocked_until = until
        return True

    def choose(
        self, waiting: waiting_step.WaitingStep, limit: int
    ) -> list[Choice]:
        """Choose workers for up to ``limit`` tasks of a step."""
        if waiting.suspected:
            return self._choose_for_suspect(waiting)
        if self._blocked(waiting):
            return []
        if waiting.step.gang:
            return self._choose_gang(waiting)
        return self._choose(waiting, limit)

    def _choose(
        self, waiting: waiting_step.WaitingStep, limit: int
    ) -> list[Choice]:
        """Choose workers for as many tasks of a step as fit.

        Each choice reserves the task's resources on the chosen worker until
        all choices for the step are made.
        """
        step = waiting.step
        records = waiting.job.progress.tasks
        fitting = [] if waiting.needs.filler else self._candidates(waiting)
        if not fitting and not (
            waiting.needs.filler or self._entitled(waiting)
        ):
            self._note_no_room(waiting)
            return []
        counts = waiting.tasks_by_worker()
        conditions = self._conditions(waiting, counts)
        overdue = waiting.overdue(self.now)
        chosen: list[Choice] = []
        ranking: placement.Ranking | None = None
        service = waiting.job.queue.service
        kept = self._kept_from(waiting)
        # Whether the tasks may use kept workers, as they fit nowhere else.
        opened = False
        pending = collections.deque(waiting.tasks.items())
        while pending and len(chosen) < limit:
            task, last = pending[0]
            if opened and self.headroom.scarce(service):
                kept, opened = self._kept_from(waiting), False
                ranking = None
            if ranking is None:
                ranking = self._rank(
                    waiting,
                    conditions,
                    [c for c in fitting if c.worker.worker not in kept],
                    count=min(limit, len(waiting.tasks)),
                    overdue=overdue,
                    chosen=[choice.worker for choice in chosen],
                )
            worker = ranking.take(last)
            if isinstance(worker, outcomes.Absent):
                if kept and not self.headroom.scarce(service):
                    kept, opened = frozenset(), True
                    ranking = None
                    continue
                if waiting.needs.filler:
                    self._block_fillers(waiting, conditions, overdue=overdue)
                else:
                    self._note_no_room(waiting)
                if self._entitled(waiting):
                    self._reserve_room(conditions, kept)
                break
            pending.popleft()
            counts[worker.worker] += 1
            worker.reserve(step)
            if step.long_running:
                self.headroom.note_long_running(service, step.committed)
            record = records.get(task)
            run = ids.Attempt(record.run + 1 if record else 1)
            chosen.append(Choice(task, worker, run))
            if overdue:
                # Only one task of an overdue job may be placed without regard
                # to its interference with serving tasks.
                overdue, ranking = False, None
            elif not worker.suspected:
                ranking.put_back(worker)
        for choice in chosen:
            choice.worker.release(step)
        return chosen

    def _note_no_room(self, waiting: waiting_step.WaitingStep) -> None:
        """Have a step checked again once workers have changed."""
        waiting.checked_position = self.room.position
        waiting.lacked_room = True

    def _choose_for_suspect(
        self, waiting: waiting_step.WaitingStep
    ) -> list[Choice]:
        """Choose a worker for a task that may crash it."""
        if waiting.crashes_unconfirmed:
            return []
        (task,) = waiting.tasks
        conditions = self._conditions(waiting, waiting.tasks_by_worker())
        worker = None
        if self.now >= waiting.blocked_until or self._candidates(waiting):
            worker = self._worker_for_suspect(waiting, conditions)
            waiting.blocked_until = self.now + BLOCKED_PAUSE
            waiting.checked_position = self.room.position
        if worker is None:
            if self._entitled(waiting):
                # Reservations last for one round.
                self._reserve_room(conditions, frozenset())
            return []
        run = ids.Attempt(waiting.job.progress.tasks[task].run + 1)
        return [Choice(task, worker, run)]

    def _worker_for_suspect(
        self,
        waiting: waiting_step.WaitingStep,
        conditions: obstacles.Conditions,
    ) -> fleet.Worker | None:
        """Return the worker whose crash would do the least harm, or None."""
        ranking = placement.Ranking(
            conditions=conditions,
            workers=self.workers,
            reserved=self._reserved_from(waiting),
            interference=self.interference,
            overdue=waiting.overdue(self.now),
        )
        fitting = ranking.remaining()
        isolated = []
        if crashes.probation_allowed(self.workers):
            isolated = [w for w in fitting if crashes.all_begun(w)]
            if not isolated and self.now - waiting.since < ISOLATION_WAIT:
                return None
        return min(isolated or fitting, key=crashes.crash_cost, default=None)

    def explain(self, waiting: waiting_step.WaitingStep) -> None:
        """Log what keeps the workers from running the tasks of a step.

        Nothing is logged if some worker can run one of the tasks, unless
        the step is a gang.
        """
        detail = self.obstacles_of(waiting)
        if detail:
            self._log_wait(waiting, detail)

    def obstacles_of(self, waiting: waiting_step.WaitingStep) -> str:
        """Return what keeps the workers from running the tasks of a step.

        For most obstacles the text counts the workers. It is empty if some
        worker can run one of the tasks, unless the step is a gang.
        """
        if waiting.quota_reached:
            return customers.DelayReason.QUOTA.value
        if waiting.crashes_unconfirmed:
            return CRASHES_UNCONFIRMED
        ranking = placement.Ranking(
            conditions=self._conditions(waiting, waiting.tasks_by_worker()),
            workers=self.workers,
            reserved=self._reserved_from(waiting),
            kept=self._kept_from(waiting),
            interference=self.interference,
            overdue=waiting.overdue(self.now),
        )
        outcome = ranking.take(ids.WorkerId(""))
        if isinstance(outcome, outcomes.Absent):
            return outcome.detail
        return ranking.detail() if waiting.step.gang else ""

    def _log_wait(
        self, waiting: waiting_step.WaitingStep, detail: str
    ) -> None:
        logs.emit(
            events.DispatchEvent.TASK_WAITS,
            job=waiting.key.job,
            step=waiting.key.step,
            tasks=len(waiting.tasks),
            reason=outcomes.Reason.NO_FIT.value,
            obstacles=detail,
            priority=waiting.job.queue.priority,
            restarts=waiting.restarts,
            waited_ms=(self.now - waiting.since) // clocks.MILLISECOND,
            reserved=len(self.reserved),
        )

    def _candidates(
        self, waiting: waiting_step.WaitingStep
    ) -> list[candidates.Candidate]:
        """Return the workers that may have capacity for a step's tasks."""
        checked_position = (
            rooms.UNCHECKED if waiting.step.gang else waiting.checked_position
        )
        return self.room.candidates_for(
            waiting.needs, waiting.job.queue.service, checked_position
        )

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
        """Return the workers that are reserved for tasks of other steps."""
        # Reservations do not bind starving tasks: the capacity that one of
        # them waits for may be enough for another one.
        return () if self._entitled(waiting) else self.reserved

    def _entitled(self, waiting: waiting_step.WaitingStep) -> bool:
        """Return whether a worker may be reserved for a step.

        Where room for short tasks is scarce, first runs of long-running tasks
        get no reservation, however long they have waited.
        """
        return waiting.starving(self.now) and (
            waiting.restarts
            or not self.headroom.scarce(waiting.job.queue.service)
        )

    def _kept_from(
        self, waiting: waiting_step.WaitingStep
    ) -> frozenset[ids.WorkerId]:
        """Return the workers that are kept free of first runs of a step."""
        if waiting.needs.long_running and not waiting.restarts:
            return self.headroom.kept
        return frozenset()

    def _rank(
        self,
        waiting: waiting_step.WaitingStep,
        conditions: obstacles.Conditions,
        fitting: list[candidates.Candidate],
        *,
        count: int,
        overdue: bool,
        chosen: collections.abc.Collection[fleet.Worker],
    ) -> placement.Ranking:
        reserved = self._reserved_from(waiting)
        needs = waiting.needs
        packing = self.headroom.packing(waiting.job.queue.service)
        if needs.filler:
            fitting = self.room.filler_candidates(
                needs, waiting.job.queue.service, overdue=overdue
            )
        elif reserved:
            fitting = [c for c in fitting if c.worker.worker not in reserved]
        if conditions.approved is not None:
            fitting = [
                c for c in fitting if c.worker.worker in conditions.approved
            ]
        if conditions.approved is not None or waiting.step.max_per_worker:
            fitting = [
                c for c in fitting if conditions.obstacle(c.worker) is None
            ]
        return placement.Ranking(
            conditions=conditions,
            workers=[
                c.worker
                for c in candidates.best(fitting, needs, count, packing)
                # A worker suspected to be faulty gets one task at a time.
                if not (c.worker.suspected and c.worker in chosen)
            ],
            reserved=reserved,
            packing=packing,
            interference=self.interference,
            overdue=overdue,
            # Tasks that were chosen take room that the cache does not show.
            checked=not chosen,
        )

    def _block_fillers(
        self,
        waiting: waiting_step.WaitingStep,
        conditions: obstacles.Conditions,
        *,
        overdue: bool,
    ) -> None:
        """Block a filler step that no worker takes for ``BLOCKED_PAUSE``."""
        waiting.blocked_until = self.now + BLOCKED_PAUSE
        restricted = waiting.step.max_per_worker or waiting.step.gang
        if conditions.approved is None and not restricted:
            self.refusals.note(
                _refusal_kind(waiting, overdue),
                waiting.needs,
                now=self.now,
                until=waiting.blocked_until,
            )

    def _choose_gang(self, waiting: waiting_step.WaitingStep) -> list[Choice]:
        """Choose workers for all tasks of a gang, or for none of them.

        The tasks of a gang share one run number.
        """
        count = waiting.step.count
        if len(waiting.tasks) < count:
            # Some tasks of the gang's previous run have not ended yet.
            return []
        if waiting.checked_position >= 0 and not self._entitled(waiting):
            if not self.room.candidates_for(
                waiting.needs,
                waiting.job.queue.service,
                waiting.checked_position,
            ):
                waiting.checked_position = self.room.position
                return []
        if waiting.crashes_unconfirmed:
            return []
        suspects = [t for t in waiting.tasks if waiting.job.suspected(t)]
        chosen: list[Choice] = []
        if suspects:
            chosen = self._choose_gang_of_suspects(waiting, suspects)
        if not suspects or (
            # There may never be a worker for each suspect alone.
            len(chosen) < count and self.now - waiting.since >= ISOLATION_WAIT
        ):
            chosen = self._choose(waiting, count)
        if len(chosen) < count:
            return []
        run = max(choice.run for choice in chosen)
        return [choice._replace(run=run) for choice in chosen]

    def _choose_gang_of_suspects(
        self,
        waiting: waiting_step.WaitingStep,
        suspects: list[model.TaskKey],
    ) -> list[Choice]:
        """Choose workers for a gang with members that may crash theirs."""
        step = waiting.step
        counts = waiting.tasks_by_worker()
        conditions = self._conditions(waiting, counts)
        records = waiting.job.progress.tasks
        chosen: list[Choice] = []
        for task in suspects:
            worker = self._worker_for_suspect(waiting, conditions)
            if worker is None:
                break
            # Keeps the other members of the gang off the worker.
            worker.probation = task
            self.room.refresh(worker)
            worker.reserve(step)
            counts[worker.worker] += 1
            run = ids.Attempt(records[task].run + 1)
            chosen.append(Choice(task, worker, run))
        if len(chosen) == len(suspects):
            others = dataclasses.replace(
                waiting,
                tasks={
                    task: last
                    for task, last in waiting.tasks.items()
                    if task not in suspects
                },
            )
            chosen += self._choose(others, len(others.tasks))
        for choice in chosen[: len(suspects)]:
            choice.worker.release(step)
            choice.worker.probation = None
            self.room.refresh(choice.worker)
        return chosen

    def _reserve_room(
        self,
        conditions: obstacles.Conditions,
        kept: frozenset[ids.WorkerId],
    ) -> None:
        """Reserve the worker with the most free capacity for a starving task.

        Without a reservation, short tasks would take each part of the
        worker's capacity as it becomes free.
        """
        if len(self.reserved) >= RESERVED_MAX:
            return
        worker = placement.most_free_worker(
            conditions=conditions,
            workers=self.workers,
            reserved=self.reserved | kept,
        )
        if worker is not None:
            self.reserved.add(worker.worker)


def _refusal_kind(
    waiting: waiting_step.WaitingStep, overdue: bool
) -> collections.abc.Hashable:
    """Return the group of fillers whose refused needs can be compared."""
    needs = waiting.needs
    return waiting.job.queue.service, needs.label, waiting.step.image, overdue
