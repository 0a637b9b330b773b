"""Placement beside one that holds every step against every worker."""

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


class World:
    """A dispatcher that notes what it places."""

    def __init__(self, *, full):
        self.full = full
        self.placed = []
        self.obstacles = {}
        self.dispatcher = dispatchers.Dispatcher(
            timing=fakes.TIMING, configuration=CONFIGURATION
        )
        self.book = self.dispatcher.book

    def assign(self, job, task, worker, run, now):
        """Note a placement and count it."""
        self.placed.append((task, worker.worker, run))
        self.dispatcher.assign(job, task, worker, run, now)
        worker.runs[task].phase = fleet.RunPhase.RUNNING

    def place(self, now):
        """Run one round."""
        self.placed = []
        self.obstacles = {}
        terms = {
            "workers": self.book.workers.values(),
            "closed": self.dispatcher.closed_zones,
            "approved": lambda s: self.dispatcher._approved(s, now),
            "interference": self.dispatcher.interference,
            "now": now,
        }
        if not self.full:
            self.book.waiting.place(
                assign=self.assign,
                full=lambda: False,
                wall=now,
                limit=LIMIT,
                **terms,
            )
            return
        round_ = full_ranking.FullRanking(**terms)
        round_.place(
            self.book.waiting, assign=self.assign, wall=now, limit=LIMIT
        )
        self.obstacles = round_.obstacles


class Pair:
    """Two worlds to which the same happens, with a source of chance."""

    def __init__(self, seed, *, fillers):
        self.random = random.Random(seed)
        self.fillers = fillers
        self.now = 1000 * SECOND
        self.own = World(full=False)
        self.worlds = (self.own, World(full=True))
        self.jobs = 0
        self.images = [ids.ImageId(f"i{n}") for n in range(3)]
        self.names = [f"w{n}" for n in range(self.random.randint(1, 12))]
        for name in self.names:
            self.enter(name)
        for image in self.images:
            for other in self.images:
                pair = interference.Estimate(
                    self.random.choice((0.0, 0.02, 0.1, 0.3)), 0.001, self.now
                )
                for world in self.worlds:
                    model_ = world.dispatcher.interference
                    model_.pairs[image, other] = pair

    def each(self, name):
        """Return a worker of this name in both worlds."""
        return [
            (world, world.book.workers[ids.WorkerId(name)])
            for world in self.worlds
            if ids.WorkerId(name) in world.book.workers
        ]

    def enter(self, name):
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
        for world in self.worlds:
            world.dispatcher.set_entry(entry, self.now)
            worker = world.book.workers[entry.worker]
            worker.looked = worker.reachable = True

    def submit(self):
        """Hand in a job."""
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
                # Each its own deadline, since the order of equals is open.
                accepted=self.now - self.random.randint(0, 4000) * MS,
            ),
            queue=self.random.choice(QUEUES).queue,
        )
        for world in self.worlds:
            world.dispatcher.add_job(
                progresses.Progress(spec=spec), now=self.now, wall=self.now
            )

    def end(self, name):
        """End, lose or fail some runs of a worker."""
        count = self.random.randint(1, 4)
        how = self.random.choice(("done", "done", "lost", "failed"))
        for world, worker in self.each(name):
            for task in list(worker.runs)[:count]:
                self.end_run(world, worker, task, how)

    def end_run(self, world, worker, task, how):
        """End one run and let follow what follows."""
        run = worker.runs[task]
        job = world.book.jobs[task.job]
        if how == "done":
            worker.remove(task)
            worker.note_end(model.EndKind.DONE, run, self.now)
            world.book.enqueue_next(job, job.progress.finish(task), self.now)
        elif how == "lost":
            world.book.lose(worker, run, "lost", self.now)
        else:
            worker.remove(task)
            worker.note_end(model.EndKind.FAILED, run, self.now)
            world.book.return_task(
                job, task, worker.worker, "", False, self.now
            )

    def disturb(self, name):
        """Change what placement has to heed of a worker."""
        kind = self.random.randrange(5)
        flag = self.random.random() < 0.5
        span = self.random.randint(0, 900) * MS
        for _, worker in self.each(name):
            if kind == 0:
                worker.reachable = flag
            elif kind == 1:
                worker.looked = flag
            elif kind == 2:
                worker.full_until = self.now + span
            elif kind == 3:
                worker.hot_since = self.now if flag else None
            else:
                worker.paced_at = self.now
                for run in worker.fillers():
                    run.pace = 25 if flag else 100

    def unlist(self, name):
        """Remove an entry, and the worker once nothing runs there."""
        for world, worker in self.each(name):
            world.dispatcher.remove_entry(worker.worker)
            if not worker.runs:
                del world.book.workers[worker.worker]

    def advise(self):
        """Let the advisor name some workers for some waiting steps."""
        steps = [
            step.key
            for step in self.own.book.waiting.steps.values()
            if step.job.queue.advisor is not None
        ]
        for key in steps:
            good = self.random.sample(self.names, len(self.names) // 2)
            by_step = {
                ids.WorkerId(name): advice.WorkerAdvice(
                    incarnation=1, ticket="t", until=self.now + 2 * SECOND
                )
                for name in good
            }
            for world in self.worlds:
                world.book.advice.by_step[key] = dict(by_step)

    def close_zones(self):
        """Close some zones and open the others."""
        closed = set(self.random.sample("xyz", self.random.randint(0, 1)))
        for world in self.worlds:
            world.dispatcher.closed_zones = set(closed)

    def happen(self):
        """Let something happen in both worlds."""
        name = self.random.choice(self.names)
        chances = (
            (6, self.submit),
            (8, lambda: self.end(name)),
            (3, lambda: self.disturb(name)),
            (2, lambda: self.enter(name)),
            (1, lambda: self.unlist(name)),
            (1, self.advise),
            (1, self.close_zones),
        )
        weights, actions = zip(*chances)
        self.random.choices(actions, weights)[0]()


def play(seed, span, *, fillers, explained):
    """Play rounds in both worlds; compare them after each.

    :param explained: filled with the obstacles that are logged.
    """
    pair = Pair(seed, fillers=fillers)
    own, other = pair.worlds
    placed = 0
    for _ in range(60):
        for _ in range(pair.random.randint(0, 4)):
            pair.happen()
        explained.clear()
        for world in pair.worlds:
            world.place(pair.now)
        assert own.placed == other.placed
        for key, detail in explained.items():
            if len(own.placed) == LIMIT and key not in other.obstacles:
                # The full ranking ended with the last task that was placed.
                continue
            assert detail == full_ranking.text(other.obstacles[key])
        placed += len(own.placed)
        pair.now += span
    assert placed


@pytest.fixture
def explained(monkeypatch):
    """Return the obstacles that are logged, by step."""
    found = {}

    def note(step, detail):
        if not step.step.gang:
            found[step.key] = detail

    monkeypatch.setattr(placement_round, "_log_wait", note)
    return found


class TestSameChoices:
    """Knowledge kept between rounds changes no choice."""

    @pytest.mark.parametrize("seed", range(60))
    def test_rounds_in_a_row(self, seed, explained, monkeypatch):
        """Guards against room that is overlooked, and a worse worker."""
        monkeypatch.setattr(urgency, "RESORT_INTERVAL", 0 * MS)
        play(seed, 25 * MS, fillers=False, explained=explained)

    @pytest.mark.parametrize("seed", range(60))
    def test_fillers_after_their_pause(self, seed, explained):
        """Guards against fillers that are taken for hopeless."""
        play(seed, 200 * MS, fillers=True, explained=explained)
