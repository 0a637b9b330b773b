"""Tests of the order in which waiting tasks are placed."""

import datetime

from tests.dispatch import fakes
from turmerichook._internal.dispatch import jobs
from turmerichook._internal.dispatch import waiting
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses

SECOND = datetime.timedelta(seconds=1)
WALL = 1000 * SECOND


class Crowd:
    """Waiting jobs of one queue; their objective is 1.5 chains and 0.3 s."""

    def __init__(self):
        self.waiting = waiting.WaitingTasks()

    def add(self, name, age, *steps):
        """Let the first step of a job wait."""
        spec = fakes.job(name, *steps, accepted=WALL - age)
        job = jobs.Job(
            progress=progresses.Progress(spec=spec), queue=fakes.QUEUE
        )
        self.waiting.add(
            job, model.TaskKey(spec.job, 0, 0, 0), ids.WorkerId(""), WALL
        )

    def order(self):
        """Return the jobs, the most urgent first."""
        return [
            step.key.job
            for step in self.waiting.by_urgency(
                workers=(), now=WALL, wall=WALL
            )
        ]


class TestBacklog:
    """Pattern: more jobs wait than can end in time."""

    def test_useless_jobs_come_last(self):
        """Guards against room for results that nobody waits for any more.

        Seen on batbayar-seam quiet-1 --seed 11: jobs of three objectives
        ago went before younger ones, and a seventh ended in time.
        """
        crowd = Crowd()
        crowd.add("useless", 20 * SECOND, fakes.step(1))
        crowd.add("late", 2 * SECOND, fakes.step(1))
        crowd.add("timely", 0.5 * SECOND, fakes.step(1))
        assert crowd.order() == ["timely", "late", "useless"]

    def test_steps_that_follow_count(self):
        """Guards against a job that is taken for timely by its first step."""
        crowd = Crowd()
        long = fakes.step(1, after=(0,), estimate=10 * SECOND)
        crowd.add("long", 7 * SECOND, fakes.step(1), long)
        crowd.add("timely", 0.7 * SECOND, fakes.step(1))
        # The first one ends 18 s after its acceptance, 1.2 s too late.
        assert crowd.order() == ["timely", "long"]


class TestChain:
    """The longest chain of steps that is left."""

    def test_longest_of_two_branches(self):
        """Guards against a branch that is not counted."""
        spec = fakes.job(
            "0" * 16,
            fakes.step(1, estimate=SECOND),
            fakes.step(1, after=(0,), estimate=2 * SECOND),
            fakes.step(1, after=(0,), estimate=5 * SECOND),
            fakes.step(1, after=(1, 2), estimate=3 * SECOND),
            fakes.step(1, estimate=4 * SECOND),
        )
        progress = progresses.Progress(spec=spec)
        chains = [progress.chain_from(n) // SECOND for n in range(5)]
        assert chains == [9, 5, 8, 3, 4]

    def test_work_of_all_steps_that_must_come_later(self):
        """Guards against later steps that count for nothing, or twice."""
        spec = fakes.job(
            "0" * 16,
            fakes.step(1, estimate=SECOND),
            fakes.step(3, after=(0,), estimate=2 * SECOND),
            fakes.step(1, after=(0,), estimate=5 * SECOND),
            fakes.step(2, after=(1, 2), estimate=3 * SECOND),
            fakes.step(1, estimate=4 * SECOND),
        )
        progress = progresses.Progress(spec=spec)
        work = [progress.work_after(n) // SECOND for n in range(5)]
        assert work == [17, 6, 6, 0, 0]
