"""Tests that placement chooses the same workers as a full ranking."""

import dataclasses
import datetime
import random

import pytest

from tests.dispatch import fakes
from tests.dispatch import full_ranking
from turmerichook._internal.dispatch import advice
from turmerichook._internal.dispatch import dispatcher as dispatchers
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import interference
from turmerichook._internal.dispatch import placement_round
from turmerichook._internal.dispatch import urgency
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses

MS = datetime.timedelta(milliseconds=1)
SECOND = 1000 * MS
LIMIT = 12
TERMS = deployment.AdvisorTerms(
    decision=30 * MS, each_worker=2 * MS, validity=3000 * MS
)
QUEUES = (
    fakes.QUEUE,
    dataclasses.replace(fakes.QUEUE, queue=ids.QueueId("low"), priority=1),
    dataclasses.replace(
        fakes.QUEUE, queue=ids.QueueId("advised"), advisor=TERMS
    ),
)
CONFIGURATION = dataclasses.replace(fakes.CONFIGURATION, queues=QUEUES)


class PlacementRecorder:
    """A dispatcher whose placements are recorded.

    :param full: whether to place by ``full_ranking``.
    """

    def __init__(self, *, full):
        self.full = full
        self.placed = []
        self.obstacles = {}
        self.dispatcher = dispatchers.Dispatcher(
            timing=fakes.TIMING, configuration=CONFIGURATION
        )
        self.run_tracker = self.dispatcher.run_tracker

    def assign(self, job, task, worker, run, now):
        """Record a placement, and let the task run."""
        self.placed.append((task, worker.worker, run))
        self.dispatcher.assign(job, task, worker, run, now)
        worker.runs[task].phase = fleet.RunPhase.RUNNING

    def place(self, now):
        """Run one placement round."""
        self.placed = []
        self.obstacles = {}
        arguments = {
            "workers": self.run_tracker.workers.values(),
            "closed": self.dispatcher.closed_zones,
            "approved": lambda s: self.dispatcher.approved(s, now),
            "interference": self.dispatcher.interference,
            "now": now,
        }
        if not self.full:
            self.run_tracker.waiting.place(
                answer_count=self.run_tracker.advice.answer_count,
                assign=self.assign,
                full=lambda: False,
                wall=now,
                limit=LIMIT,
                **arguments,
            )
            return
        round_ = full_ranking.FullRanking(**arguments)
        round_.place(
            self.run_tracker.waiting, assign=self.assign, wall=now, limit=LIMIT
        )
        self.obstacles = round_.obstacles


class RecorderPair:
    """Two recorders that get the same random events."""

    def __init__(self, seed, *, fillers):
        self.random = random.Random(seed)
        self.fillers = fillers
        self.now = 1000 * SECOND
        self.incremental = PlacementRecorder(full=False)
        self.recorders = (self.incremental, PlacementRecorder(full=True))
        self.jobs = 0
        self.images = [ids.ImageId(f"i{n}") for n in range(3)]
        self.names = [f"w{n}" for n in range(self.random.randint(1, 12))]
        for name in self.names:
            self.register(name)
        for image in self.images:
            for other in self.images:
                pair = interference.Estimate(
                    self.random.choice((0.0, 0.02, 0.1, 0.3)), 0.001, self.now
                )
                for recorder in self.recorders:
                    model_ = recorder.dispatcher.interference
                    model_.pairs[image, other] = pair

    def worker_in_both(self, name):
        """Return each recorder with a worker of this name, and the worker."""
        return [
            (recorder, recorder.run_tracker.workers[ids.WorkerId(name)])
            for recorder in self.recorders
            if ids.WorkerId(name) in recorder.run_tracker.workers
        ]

    def register(self, name):
        """Register a worker, or change its entry."""
        entry = fakes.entry(
            name,
            millicores=self.random.choice((4000, 8000, 16_000)),
            zone=ids.ZoneId(self.random.choice("xyz")),
            state=self.random.choices(
                tuple(deployment.WorkerState), weights=(8, 1)
            )[0],
        )
        entry = dataclasses.replace(
            entry,
            labels=frozenset(self.random.sample(("a", "b"), 1)),
            rack=ids.RackId(self.random.choice(("r1", "r2"))),
            cold=self.random.choice((0 * MS, 200 * MS)),
        )
        for recorder in self.recorders:
            recorder.dispatcher.set_entry(entry, self.now)
            worker = recorder.run_tracker.workers[entry.worker]
            worker.report_received = worker.reachable = True

    def submit(self):
        """Add a random job to both recorders."""
        chance = self.random.random
        steps = []
        for number in range(self.random.randint(1, 2)):
            filler = self.fillers and chance() < 0.4
            lasts = not filler and chance() < 0.2
            steps.append(
                fakes.step(
                    self.random.randint(1, 5),
                    demand=resources.Resources(
                        millicores=self.random.randrange(200, 5000, 100),
                        memory_mib=self.random.randrange(500, 20_000, 500),
                    ),
                    estimate=self.random.randint(1, 30) * 100 * MS,
                    after=(0,) if number and chance() < 0.5 else (),
                    label=self.random.choice(("", "", "a", "b", "c")),
                    rack=ids.RackId(self.random.choice(("", "r1", "r2"))),
                    max_per_worker=self.random.choice((0, 0, 1, 2)),
                    gang=not lasts and chance() < 0.15,
                    long_running=lasts,
                    filler=filler,
                    image=self.random.choice(self.images),
                    latency_target=50 * MS if lasts else 0 * MS,
                )
            )
        self.jobs += 1
        spec = dataclasses.replace(
            fakes.job(
                f"{self.jobs:016x}",
                *steps,
                # Each job gets its own deadline, as the order of steps with
                # equal keys is not defined.
                accepted=self.now - self.random.randint(0, 4000) * MS,
            ),
            queue=self.random.choice(QUEUES).queue,
        )
        for recorder in self.recorders:
            recorder.dispatcher.add_job(
                progresses.Progress(spec=spec), now=self.now, wall=self.now
            )

    def end(self, name):
        """End some runs of a worker as done, lost or failed."""
        count = self.random.randint(1, 4)
        outcome = self.random.choice(("done", "done", "lost", "failed"))
        for recorder, worker in self.worker_in_both(name):
            for task in list(worker.runs)[:count]:
                self.end_run(recorder, worker, task, outcome)

    def end_run(self, recorder, worker, task, outcome):
        """End one run and update its job accordingly."""
        run = worker.runs[task]
        job = recorder.run_tracker.jobs[task.job]
        if outcome == "done":
            worker.remove(task)
            worker.update_health(model.EndKind.DONE, run, self.now)
            recorder.run_tracker.enqueue_next(
                job, job.progress.finish(task), self.now
            )
        elif outcome == "lost":
            recorder.run_tracker.drop_run(worker, run, "lost", self.now)
        else:
            worker.remove(task)
            worker.update_health(model.EndKind.FAILED, run, self.now)
            recorder.run_tracker.return_task(
                job, task, worker.worker, "", False, self.now
            )

    def change_worker_state(self, name):
        """Change a state of a worker that matters to placement."""
        kind = self.random.randrange(5)
        flag = self.random.random() < 0.5
        span = self.random.randint(0, 900) * MS
        for _, worker in self.worker_in_both(name):
            if kind == 0:
                worker.reachable = flag
            elif kind == 1:
                worker.report_received = flag
            elif kind == 2:
                worker.no_room_until = self.now + span
            elif kind == 3:
                worker.over_target_since = self.now if flag else None
            else:
                worker.paced_at = self.now
                for run in worker.fillers():
                    run.pace = 25 if flag else 100

    def unlist(self, name):
        """Remove a worker's entry, and the worker itself if it has no runs."""
        for recorder, worker in self.worker_in_both(name):
            recorder.dispatcher.remove_entry(worker.worker)
            if not worker.runs:
                del recorder.run_tracker.workers[worker.worker]

    def advise(self):
        """Approve random workers for each waiting step that needs advice."""
        steps = [
            step.key
            for step in self.incremental.run_tracker.waiting.steps.values()
            if step.job.queue.advisor is not None
        ]
        for key in steps:
            allowed = self.random.sample(self.names, len(self.names) // 2)
            by_step = {
                ids.WorkerId(name): advice.WorkerAdvice(
                    incarnation=1, ticket="t", until=self.now + 2 * SECOND
                )
                for name in allowed
            }
            for recorder in self.recorders:
                cache = recorder.run_tracker.advice
                cache.by_step.pop(key, None)
                cache.store(key, by_step)

    def close_zones(self):
        """Close at most one zone, and open the others."""
        closed = set(self.random.sample("xyz", self.random.randint(0, 1)))
        for recorder in self.recorders:
            recorder.dispatcher.closed_zones = set(closed)

    def apply_random_event(self):
        """Apply one random event to both recorders."""
        name = self.random.choice(self.names)
        chances = (
            (6, self.submit),
            (8, lambda: self.end(name)),
            (3, lambda: self.change_worker_state(name)),
            (2, lambda: self.register(name)),
            (1, lambda: self.unlist(name)),
            (1, self.advise),
            (1, self.close_zones),
        )
        weights, actions = zip(*chances)
        self.random.choices(actions, weights)[0]()


def compare_rounds(seed, span, *, fillers, explained):
    """Run rounds on both recorders, and compare the placements of each.

    :param explained: the obstacles that were logged in a round, by step.
    """
    pair = RecorderPair(seed, fillers=fillers)
    incremental, other = pair.recorders
    placed = 0
    for _ in range(60):
        for _ in range(pair.random.randint(0, 4)):
            pair.apply_random_event()
        explained.clear()
        for recorder in pair.recorders:
            recorder.place(pair.now)
        assert incremental.placed == other.placed
        for key, detail in explained.items():
            if len(incremental.placed) == LIMIT and key not in other.obstacles:
                # The full ranking stopped at the limit, before this step.
                continue
            assert detail == full_ranking.obstacle_text(other.obstacles[key])
        placed += len(incremental.placed)
        pair.now += span
    assert placed


@pytest.fixture
def explained(monkeypatch):
    """Return the obstacles that get logged, by step."""
    logged = {}

    def record(_, step, detail):
        if not step.step.gang:
            logged[step.key] = detail

    monkeypatch.setattr(placement_round.Round, "_log_wait", record)
    return logged


class TestSameChoices:
    """State kept between rounds does not change which workers are chosen."""

    @pytest.mark.parametrize("seed", range(60))
    def test_rounds_in_a_row(self, seed, explained, monkeypatch):
        """Guards against overlooked free capacity and wrongly ranked workers.

        Either follows from state of an earlier round that is out of date.
        """
        monkeypatch.setattr(urgency, "RESORT_INTERVAL", 0 * MS)
        compare_rounds(seed, 25 * MS, fillers=False, explained=explained)

    @pytest.mark.parametrize("seed", range(60))
    def test_fillers_after_their_pause(self, seed, explained):
        """Guards against fillers that wait although a worker would take them.

        A refusal that applies to too many fillers has this effect.
        """
        compare_rounds(seed, 200 * MS, fillers=True, explained=explained)
