"""A simulated day of a fleet: real decisions, workers and store in memory.

Time advances in rounds. Each round ends runs that are due, reports them,
places waiting tasks and commits at most as many jobs as a real commit holds.
"""

import dataclasses
import datetime
import heapq
import itertools
import random

from tests.dispatch import fakes
from turmerichook._internal.dispatch import committer
from turmerichook._internal.dispatch import dispatcher as dispatchers
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import orders
from turmerichook._internal.dispatch import waiting_step
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses

MS = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
ROUND = 40 * MS
TASKS_PER_ROUND_MAX = 200
START = 1000 * SECOND


@dataclasses.dataclass(kw_only=True)
class Outcome:
    """What became of one job; ``ended`` is None while it is not complete."""

    queue: ids.QueueId
    work: float
    accepted: datetime.timedelta
    objective: datetime.timedelta
    ended: datetime.timedelta | None = None

    def served(self) -> bool:
        """Return whether the job ended while its result had some value."""
        useful_time = waiting_step.USEFUL_TIME_FACTOR * self.objective
        return (
            self.ended is not None
            and self.ended - self.accepted <= useful_time
        )


class FleetDay:
    """Workers, the leader's decisions, and jobs drawn from a seed.

    :ivar outcomes: one for each short job, by its id.
    """

    def __init__(self, *, seed: int, queues):
        self.random = random.Random(seed)
        self.now = START
        self.dispatcher = dispatchers.Dispatcher(
            timing=fakes.TIMING,
            configuration=dataclasses.replace(
                fakes.CONFIGURATION, queues=tuple(queues)
            ),
        )
        self.outcomes: dict[ids.JobId, Outcome] = {}
        self.numbers = itertools.count(1)
        self.end_numbers: dict[ids.WorkerId, int] = {}
        # Times at which runs end, with what breaks ties.
        self.ends: list[
            tuple[datetime.timedelta, int, ids.WorkerId, fleet.Run]
        ] = []
        self.entries = {}

    # Workers

    def draw_capacity(self) -> resources.Resources:
        """Return a worker's capacity; each third is of one and a half size."""
        factor = self.random.choice((1.0, 1.0, 1.5))
        return resources.Resources(
            millicores=round(16_000 * factor),
            memory_mib=round(64_000 * factor),
        )

    def add_worker(self, name, capacity, **fields):
        entry = dataclasses.replace(
            fakes.entry(name), capacity=capacity, **fields
        )
        self.entries[entry.worker] = entry
        self.end_numbers.setdefault(entry.worker, 0)
        self.dispatcher.set_entry(entry, self.now)
        self.report(self.dispatcher.workers[entry.worker], ())

    def replace_entry(self, name, **fields):
        """Change fields of a worker's registry entry."""
        entry = dataclasses.replace(self.entries[ids.WorkerId(name)], **fields)
        self.entries[entry.worker] = entry
        self.dispatcher.set_entry(entry, self.now)

    def report(self, worker, ends):
        """Apply a report that lists all runs of a worker but the ended."""
        ended = {end.task for end in ends}
        running = tuple(
            orders.RunningRow(
                task=run.task,
                run=run.run,
                checkpoint=ids.CheckpointId(""),
                percent=100,
                measurement=None,
            )
            for run in worker.runs.values()
            if run.task not in ended
            and run.phase is not fleet.RunPhase.ASSIGNED
        )
        settlement = self.dispatcher.settlement
        settlement.apply_report(
            worker,
            orders.Report(
                clock=self.now,
                incarnation=worker.incarnation,
                running=running,
                ends=tuple(ends),
                ends_complete=True,
            ),
            requested_at=settlement.next_sequence_number(),
            now=self.now,
        )

    # Jobs

    def submit(self, queue, *steps, count_outcome=True):
        """Submit a job, and return its id."""
        name = ids.JobId(f"{next(self.numbers):016x}")
        spec = dataclasses.replace(
            fakes.job(name, *steps, accepted=self.now), queue=queue.queue
        )
        self.dispatcher.add_job(
            progresses.Progress(spec=spec), now=self.now, wall=self.now
        )
        job = self.dispatcher.jobs[name]
        if count_outcome:
            self.outcomes[name] = Outcome(
                queue=queue.queue,
                work=sum(s.count * s.processor_time / SECOND for s in steps),
                accepted=self.now,
                objective=job.deadline(0) - self.now,
            )
        return name

    def draw(self, mean, spread, most, least=1.0):
        """Return a positive number from a skewed distribution."""
        drawn = self.random.lognormvariate(-spread * spread / 2, spread) * mean
        return max(least, min(most, drawn))

    # Time

    def run_round(self):
        """Advance by one round."""
        self.now += ROUND
        due = {}
        while self.ends and self.ends[0][0] <= self.now:
            _, _, worker_id, run = heapq.heappop(self.ends)
            due.setdefault(worker_id, []).append(run)
        for worker_id, runs in due.items():
            self.end_runs(self.dispatcher.workers[worker_id], runs)
        self.dispatcher.place(
            self.now, self.now, TASKS_PER_ROUND_MAX, committer.PLACED_JOBS_MAX
        )
        saves = self.dispatcher.next_saves(committer.SAVE_ENTRIES_MAX)
        for start in self.dispatcher.committed(saves, self.now):
            self.start(start)
        for save in saves:
            outcome = self.outcomes.get(save.job.spec.job)
            if outcome is not None and save.state is model.JobState.COMPLETED:
                outcome.ended = self.now

    def start(self, start):
        """Let the worker accept a start."""
        worker = self.dispatcher.workers[start.worker]
        self.dispatcher.settlement.apply_start_outcome(
            worker, start.run, orders.Accepted(), self.now
        )
        step = start.run.step
        if not step.long_running:
            span = step.estimate * self.random.uniform(0.7, 1.3)
            heapq.heappush(
                self.ends,
                (self.now + span, next(self.numbers), start.worker, start.run),
            )

    def end_runs(self, worker, runs):
        """Let a worker report the ends of runs."""
        ends = []
        for run in runs:
            if worker.runs.get(run.task) is not run:
                continue
            self.end_numbers[worker.worker] += 1
            ends.append(
                orders.EndRow(
                    number=self.end_numbers[worker.worker],
                    task=run.task,
                    run=run.run,
                    kind=model.EndKind.DONE,
                    checkpoint=ids.CheckpointId(""),
                )
            )
        if ends:
            self.report(worker, ends)

    # Measures

    def long_running_share(self):
        """Return the share of the processors that services use."""
        room = self.dispatcher.fleet_room(self.now)
        return room.long_running / room.capacity


def queue(name, *, priority=0, slack=1.5, objective=300 * MS):
    """Return a queue of the simulated site."""
    return deployment.Queue(
        queue=ids.QueueId(name),
        host="example",
        prefix=f"/{name}/",
        service=fakes.SERVICE,
        priority=priority,
        max_attempts=4,
        slack_factor=slack,
        latency_objective=objective,
        timeout=3 * SECOND,
    )


def shares(outcomes):
    """Return the share of jobs served: all, largest tenth, next fifth.

    A job counts as served while its result has some value.
    """
    ordered = sorted(outcomes, key=lambda outcome: -outcome.work)
    tenth = max(1, len(ordered) // 10)
    parts = (ordered, ordered[:tenth], ordered[tenth : 3 * tenth])
    return tuple(
        sum(outcome.served() for outcome in part) / len(part) for part in parts
    )
