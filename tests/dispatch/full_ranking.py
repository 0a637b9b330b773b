"""Reference placement that checks each waiting step against all workers.

Chooses workers by the same rules as ``waiting.WaitingTasks``, but without any
of the state that the latter keeps from one round to the next.
"""

import collections

from turmerichook._internal.dispatch import obstacles
from turmerichook._internal.dispatch import placement
from turmerichook._internal.dispatch import placement_round
from turmerichook._internal.dispatch import waiting
from turmerichook._internal.dispatch import waiting_step
from turmerichook._internal.models import ids
from turmerichook._internal import outcomes


class FullRanking:
    """One placement round over all steps and all workers."""

    def __init__(self, *, workers, closed, approved, interference, now):
        self.workers = workers
        self.closed = closed
        self.approved = approved
        self.interference = interference
        self.now = now
        self.reserved = set()
        # Number of workers for each obstacle, by step for which a task found
        # no worker.
        self.obstacles = {}

    def place(self, tasks, *, assign, wall, limit):
        """Place waiting tasks, and return the number of tasks placed.

        :param tasks: the ``waiting.WaitingTasks``.
        """
        placed = 0
        self.headroom = tasks.headroom
        self.headroom.update(
            self.workers, tasks.steps.values(), self.closed, self.now
        )
        long_running_over_share = any(
            step.starving(self.now) for step in tasks.steps.values()
        ) and waiting._long_running_over_share(self.workers)
        order = sorted(
            tasks.steps.values(),
            key=lambda step: step.order(
                self.now, wall, long_running_over_share=long_running_over_share
            ),
        )
        for step in order:
            if placed >= limit:
                break
            if step.step.gang:
                chosen = self.choose_gang(step)
            else:
                chosen = self.choose(step, limit - placed)
            for task, worker, run in chosen:
                tasks.remove(task)
                assign(step.job, task, worker, run, self.now)
            placed += len(chosen)
        return placed

    def choose(self, pending_step, limit):
        """Choose workers for as many tasks of a step as fit."""
        step = pending_step.step
        counts = pending_step.tasks_by_worker()
        conditions = obstacles.Conditions(
            step=step,
            service=pending_step.job.queue.service,
            closed=self.closed,
            approved=self.approved(pending_step),
            on_worker=counts,
            now=self.now,
        )
        records = pending_step.job.progress.tasks
        overdue = (
            step.filler
            and self.now - pending_step.since > waiting_step.STARVATION_TIME
            and not any(record.worker for record in records.values())
        )
        service = pending_step.job.queue.service
        first_run = step.long_running and not pending_step.restarts
        kept = self.headroom.kept if first_run else frozenset()
        opened = False
        chosen = []
        ranking = None
        pending = list(pending_step.tasks.items())
        while pending and len(chosen) < limit:
            task, last = pending[0]
            if opened and self.headroom.scarce(service):
                kept, opened, ranking = self.headroom.kept, False, None
            if ranking is None:
                ranking = placement.Ranking(
                    conditions=conditions,
                    workers=[
                        worker
                        for worker in self.workers
                        if not (
                            worker.suspected
                            and any(c.worker is worker for c in chosen)
                        )
                    ],
                    reserved=(
                        () if self.entitled(pending_step) else self.reserved
                    ),
                    kept=kept,
                    packing=self.headroom.packing(service),
                    interference=self.interference,
                    overdue=overdue,
                )
            worker = ranking.take(last)
            if isinstance(worker, outcomes.Absent):
                if kept and not self.headroom.scarce(service):
                    kept, opened, ranking = frozenset(), True, None
                    continue
                pending_step.lacked_room = not step.filler
                found_obstacles = collections.Counter(ranking.obstacles)
                # Once it has been chosen, a suspected worker pauses.
                found_obstacles[obstacles.Obstacle.SUSPECTED] += sum(
                    choice.worker.suspected for choice in chosen
                )
                self.obstacles[pending_step.key] = +found_obstacles
                if (
                    self.entitled(pending_step)
                    and len(self.reserved) < placement_round.RESERVED_MAX
                ):
                    found = placement.most_free_worker(
                        conditions=conditions,
                        workers=self.workers,
                        reserved=self.reserved | kept,
                    )
                    if found is not None:
                        self.reserved.add(found.worker)
                break
            pending.pop(0)
            counts[worker.worker] += 1
            worker.reserve(step)
            if step.long_running:
                self.headroom.note_long_running(service, step.committed)
            record = records.get(task)
            run = ids.Attempt(record.run + 1 if record else 1)
            chosen.append(placement_round.Choice(task, worker, run))
            if overdue:
                overdue, ranking = False, None
            elif not worker.suspected:
                ranking.put_back(worker)
        for choice in chosen:
            choice.worker.release(step)
        return chosen

    def entitled(self, pending_step):
        """Return whether a worker may be reserved for a step."""
        return pending_step.starving(self.now) and (
            pending_step.restarts
            or not self.headroom.scarce(pending_step.job.queue.service)
        )

    def choose_gang(self, pending_step):
        """Choose workers for all tasks of a gang, or for none of them.

        The tasks of a gang share one run number.
        """
        count = pending_step.step.count
        if len(pending_step.tasks) < count:
            return []
        chosen = self.choose(pending_step, count)
        if len(chosen) < count:
            return []
        run = max(choice.run for choice in chosen)
        return [choice._replace(run=run) for choice in chosen]


def obstacle_text(found):
    """Return the counts of obstacles as a log text."""
    return ",".join(
        f"{obstacle.value}:{count}"
        for obstacle, count in sorted(
            found.items(), key=lambda item: item[0].value
        )
    )
