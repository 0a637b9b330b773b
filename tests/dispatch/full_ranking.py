"""Placement that holds each waiting step against all workers.

The rules by which a worker is chosen, without any of the knowledge that
``waiting.WaitingTasks`` keeps from one round to the next.
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
    """One round over all steps and all workers."""

    def __init__(self, *, workers, closed, approved, interference, now):
        self.workers = workers
        self.closed = closed
        self.approved = approved
        self.interference = interference
        self.now = now
        self.reserved = set()
        # Obstacles of each step whose task found no worker.
        self.obstacles = {}

    def place(self, tasks, *, assign, wall, limit):
        """Place the tasks of some ``WaitingTasks``; return how many."""
        placed = 0
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

    def choose(self, waits, limit):
        """Choose workers for as many of a step's tasks as fit."""
        step = waits.step
        counts = waits.tasks_by_worker()
        conditions = obstacles.Conditions(
            step=step,
            service=waits.job.queue.service,
            closed=self.closed,
            approved=self.approved(waits),
            on_worker=counts,
            now=self.now,
        )
        records = waits.job.progress.tasks
        overdue = self.now - waits.since > waiting_step.PATIENCE and not any(
            record.worker for record in records.values()
        )
        starving = waits.starving(self.now)
        chosen = []
        ranking = None
        for task, last in waits.tasks.items():
            if len(chosen) == limit:
                break
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
                    reserved=() if starving else self.reserved,
                    interference=self.interference,
                    overdue=overdue,
                )
            worker = ranking.take(last)
            if isinstance(worker, outcomes.Absent):
                self.obstacles[waits.key] = collections.Counter(
                    ranking.obstacles
                )
                if (
                    starving
                    and len(self.reserved) < placement_round.RESERVED_MAX
                ):
                    found = placement.most_free_worker(
                        conditions=conditions,
                        workers=self.workers,
                        reserved=self.reserved,
                    )
                    if found is not None:
                        self.reserved.add(found.worker)
                break
            counts[worker.worker] += 1
            worker.reserve(step)
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

    def choose_gang(self, waits):
        """Choose workers for all members, under one run number, or none."""
        count = waits.step.count
        if len(waits.tasks) < count:
            return []
        chosen = self.choose(waits, count)
        if len(chosen) < count:
            return []
        run = max(choice.run for choice in chosen)
        return [choice._replace(run=run) for choice in chosen]


def text(found):
    """Return the form in which obstacles are logged."""
    return ",".join(
        f"{obstacle.value}:{count}"
        for obstacle, count in sorted(
            found.items(), key=lambda item: item[0].value
        )
    )
