"""Processor time of a leader's round of placement with a backlog.

In each round some tasks end and as many steps come, so that the workers stay
full and the backlog keeps its length. The baseline holds every waiting step
against every worker.
"""

import collections.abc
import datetime
import random
import time
import typing

import loguru

from bench import results
from tests.dispatch import fakes
from tests.dispatch import full_ranking
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import interference
from turmerichook._internal.dispatch import jobs
from turmerichook._internal.dispatch import waiting
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses

SEED = 1
WORKERS = (175, 350, 1_300)
BACKLOGS = (50, 500, 2_000)
ROUND = datetime.timedelta(milliseconds=25)
ROUNDS = 200
# A round of the baseline takes seconds where both numbers are high.
BASELINE_ROUNDS = 1
# Ends in a round at 500 a second.
ENDS = 12
STEP_TASKS = 3
SHARE_OF_FILLERS = 0.3
LIMIT = 200
NOBODY = ids.WorkerId("")


class Load:
    """Full workers and a backlog that is refilled."""

    def __init__(self, *, workers: int, backlog: int):
        self.random = random.Random(SEED)
        self.now = datetime.timedelta(seconds=1000)
        self.backlog = backlog
        self.waiting = waiting.WaitingTasks()
        self.interference = interference.Interference()
        self.jobs = 0
        self.placed = 0
        self.running: list[tuple[fleet.Worker, model.TaskKey]] = []
        self.workers = {}
        for number in range(workers):
            worker = fleet.Worker(
                worker=ids.WorkerId(f"w{number}"),
                entry=fakes.entry(f"w{number}"),
            )
            worker.report_received = True
            self.workers[worker.worker] = worker
        while not self.blocked():
            self.refill()
            self.now += ROUND
            self.own_round()
        self.refill()

    def blocked(self) -> bool:
        """Tell whether the last round left its whole refill waiting."""
        before, self.placed = self.placed, 0
        return bool(self.running) and before < ENDS

    def refill(self) -> None:
        """Hand in jobs of one step until the backlog has its length."""
        while len(self.waiting.steps) < self.backlog:
            self.jobs += 1
            step = fakes.step(
                STEP_TASKS,
                demand=resources.Resources(
                    millicores=self.random.randrange(500, 4000),
                    memory_mib=self.random.randrange(500, 6000),
                ),
                filler=self.random.random() < SHARE_OF_FILLERS,
                image=ids.ImageId(f"i{self.random.randrange(18)}"),
            )
            spec = fakes.job(f"{self.jobs:016x}", step, accepted=self.now)
            job = jobs.Job(
                progress=progresses.Progress(spec=spec), queue=fakes.QUEUE
            )
            for task in job.progress.open_occurrence():
                self.waiting.add(job, task, NOBODY, self.now)

    def end(self) -> None:
        """End random tasks."""
        for _ in range(min(ENDS, len(self.running))):
            place = self.random.randrange(len(self.running))
            worker, task = self.running[place]
            self.running[place] = self.running[-1]
            self.running.pop()
            worker.remove(task)

    def assign(self, job, task, worker, run, now) -> None:
        """Let a task run on its worker."""
        job.progress.assign(task, worker.worker, run)
        worker.add(
            fleet.Run(
                task=task,
                run=run,
                step=job.spec.steps[task.step],
                phase=fleet.RunPhase.RUNNING,
            )
        )
        self.running.append((worker, task))
        self.placed += 1

    def terms(self) -> dict[str, typing.Any]:
        """Return what a round has to know."""
        return {
            "workers": self.workers.values(),
            "closed": set(),
            "approved": lambda step: None,
            "answer_count": lambda key: 0,
            "assign": self.assign,
            "interference": self.interference,
            "now": self.now,
        }

    def own_round(self) -> None:
        """Place what fits."""
        self.waiting.place(
            wall=self.now, full=lambda: False, limit=LIMIT, **self.terms()
        )

    def full_round(self) -> None:
        """Place what fits, by a full ranking."""
        terms = self.terms()
        del terms["answer_count"]
        assign = terms.pop("assign")
        full_ranking.FullRanking(**terms).place(
            self.waiting, assign=assign, wall=self.now, limit=LIMIT
        )


def run() -> list[results.Result]:
    """Return a row for each number of workers and of waiting steps."""
    loguru.logger.remove()
    return [
        _measure(workers, backlog)
        for workers in WORKERS
        for backlog in BACKLOGS
    ]


def _measure(workers: int, backlog: int) -> results.Result:
    """Return the processor time of a round in milliseconds."""
    load = Load(workers=workers, backlog=backlog)
    return results.Result(
        name=f"backlog.workers_{workers}.steps_{backlog}",
        value=_drive(load, load.own_round, ROUNDS),
        unit="ms",
        baseline=_drive(load, load.full_round, BASELINE_ROUNDS),
    )


def _drive(
    load: Load, place: collections.abc.Callable[[], None], rounds: int
) -> float:
    spent = 0.0
    for _ in range(rounds):
        load.now += ROUND
        load.end()
        load.refill()
        begin = time.process_time()
        place()
        spent += time.process_time() - begin
    return spent / rounds * 1e3
