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


class WaitingJobs:
    """Waiting jobs of one queue.

    The latency objective of a job is 1.5 times its longest chain of steps plus
    0.3 s.
    """

    def __init__(self):
        self.waiting = waiting.WaitingTasks()

    def add(self, name, age, *steps):
        """Add the first step of a job to the waiting tasks."""
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
    """More jobs wait than can meet their objectives."""

    def test_useless_jobs_come_last(self):
        """Guards against capacity used for results without any value.

        Seen on batbayar-seam quiet-1 --seed 11: jobs older than three times
        their objective went before younger ones, and a seventh of the jobs
        ended in time.
        """
        waiting_jobs = WaitingJobs()
        waiting_jobs.add("useless", 20 * SECOND, fakes.step(1))
        waiting_jobs.add("late", 2 * SECOND, fakes.step(1))
        waiting_jobs.add("timely", 0.5 * SECOND, fakes.step(1))
        assert waiting_jobs.order() == ["timely", "late", "useless"]

    def test_steps_that_follow_count(self):
        """Guards against judging a job by the time of its first step alone."""
        waiting_jobs = WaitingJobs()
        long = fakes.step(1, after=(0,), estimate=10 * SECOND)
        waiting_jobs.add("long", 7 * SECOND, fakes.step(1), long)
        waiting_jobs.add("timely", 0.7 * SECOND, fakes.step(1))
        # The job "long" ends 18 s after its acceptance, 1.2 s too late.
        assert waiting_jobs.order() == ["timely", "long"]


class TestChain:
    """Estimates of the steps that a job still has to run."""

    def test_longest_of_two_branches(self):
        """Guards against a chain without the longer of two branches."""
        spec = fakes.job(
            "0" * 16,
            fakes.step(1, estimate=SECOND),
            fakes.step(1, after=(0,), estimate=2 * SECOND),
            fakes.step(1, after=(0,), estimate=5 * SECOND),
            fakes.step(1, after=(1, 2), estimate=3 * SECOND),
            fakes.step(1, estimate=4 * SECOND),
        )
        progress = progresses.Progress(spec=spec)
        chains = [progress.critical_path_from(n) // SECOND for n in range(5)]
        assert chains == [9, 5, 8, 3, 4]

    def test_work_of_all_steps_that_must_come_later(self):
        """Guards against later steps that are counted twice or not at all."""
        spec = fakes.job(
            "0" * 16,
            fakes.step(1, estimate=SECOND),
            fakes.step(3, after=(0,), estimate=2 * SECOND),
            fakes.step(1, after=(0,), estimate=5 * SECOND),
            fakes.step(2, after=(1, 2), estimate=3 * SECOND),
            fakes.step(1, estimate=4 * SECOND),
        )
        progress = progresses.Progress(spec=spec)
        work = [progress.downstream_work(n) // SECOND for n in range(5)]
        assert work == [17, 6, 6, 0, 0]
