"""Tests of plans of jobs that are not submitted."""

import copy

import pytest

from tests.dispatch import fakes
from tests.dispatch import test_customers
from turmerichook._internal.dispatch import planning
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources

SECOND = fakes.SECOND
JOB = "e" * 16


class Harness(test_customers.Harness):
    """A dispatcher whose state can be compared."""

    def __init__(self, *names, quota=0):
        terms = test_customers.configuration(
            test_customers.customer("a", quota), test_customers.customer("b")
        )
        super().__init__(*names, terms=terms)

    def plan(self, *steps, owner="a"):
        """Return the plan of a job."""
        spec = test_customers.job(JOB, owner, *steps, accepted=self.now)
        return planning.plan_job(
            self.dispatcher, spec, now=self.now, wall=self.now
        )

    def state(self):
        """Return all that later decisions depend on, as plain values."""
        dispatcher = self.dispatcher
        tracker, waiting = dispatcher.run_tracker, dispatcher.waiting
        return copy.deepcopy(
            (
                {
                    name: (worker.used, worker.version, list(worker.runs))
                    for name, worker in dispatcher.workers.items()
                },
                list(dispatcher.jobs),
                dict(tracker.unsaved_jobs),
                list(tracker.orders),
                set(tracker.unreleased),
                {
                    key: (list(step.tasks), step.checked_position)
                    for key, step in waiting.steps.items()
                },
                len(waiting.urgency.unsorted),
                waiting.refusals.by_kind,
                waiting.room.reserved,
                waiting.room.position,
                waiting.headroom.left,
                tracker.customers.usage.used,
                tracker.customers.delayed,
            )
        )


class TestNothingChanges:
    """An operator asks where a job would go."""

    @pytest.mark.parametrize(
        "steps",
        [
            [fakes.step(3)],
            [fakes.step(40)],
            [fakes.step(3, gang=True)],
            [fakes.step(3, filler=True)],
            [fakes.step(2, long_running=True)],
            [fakes.step(1), fakes.step(2, after=(0,))],
        ],
    )
    def test_state_stays(self, steps):
        """Guards against a question that starts or delays anything."""
        harness = Harness("w1", "w2", quota=9)
        harness.submit(test_customers.job("a" * 16, "a", fakes.step(4)))
        harness.submit(test_customers.job("b" * 16, "b", fakes.step(60)))
        harness.start_all()
        before = harness.state()
        harness.plan(*steps)
        assert harness.state() == before

    def test_next_placement_is_the_same(self):
        """Guards against a plan that changes a later decision."""
        plain, asked = Harness("w1", "w2"), Harness("w1", "w2")
        for harness in (plain, asked):
            harness.submit(test_customers.job("a" * 16, "a", fakes.step(9)))
        for _ in range(3):
            asked.plan(fakes.step(20), owner="b")
        chosen = [
            [(s.worker, s.run.task) for s in harness.place()]
            for harness in (plain, asked)
        ]
        assert chosen[0] == chosen[1]


class TestPlan:
    """What a plan tells."""

    def test_same_workers_as_the_placement(self):
        """Guards against a plan by other rules than the placement's."""
        harness = Harness("w1", "w2", "w3")
        harness.submit(test_customers.job("a" * 16, "a", fakes.step(5)))
        harness.start_all()
        (step,) = harness.plan(fakes.step(4), owner="b").steps
        harness.submit(test_customers.job(JOB, "b", fakes.step(4)))
        assert step.workers == tuple(s.worker for s in harness.place())
        assert (step.startable, step.obstacles) == (4, "")

    def test_quota(self):
        """Guards against a wait whose reason is not told."""
        harness = Harness("w1", quota=2)
        (step,) = harness.plan(fakes.step(5)).steps
        assert (step.startable, step.obstacles) == (2, "customer-quota")

    def test_obstacles(self):
        """Guards against a wait without the workers' reasons."""
        harness = Harness("w1", "w2")
        large = resources.Resources(millicores=99_000)
        (step,) = harness.plan(fakes.step(1, demand=large)).steps
        assert (step.startable, step.workers) == (0, ())
        assert step.obstacles == "no-processors:2"

    def test_room_for_some(self):
        """Guards against tasks that seem to start all at once."""
        harness = Harness("w1")
        (step,) = harness.plan(fakes.step(20)).steps
        assert (step.startable, step.obstacles) == (16, planning.ROOM_TAKEN)

    def test_gang_that_does_not_fit(self):
        """Guards against a gang of which a part seems to start."""
        harness = Harness("w1")
        (step,) = harness.plan(fakes.step(17, gang=True)).steps
        assert step.startable == 0

    def test_place_in_the_order(self):
        """Guards against a place that the order does not give."""
        harness = Harness("w1")
        harness.submit(test_customers.job("a" * 16, "a", fakes.step(30)))
        harness.start_all()
        plan = harness.plan(fakes.step(1), owner="b")
        # The customer "a" uses more than its share.
        assert (plan.waiting_steps, plan.steps[0].position) == (1, 1)
        plan = harness.plan(fakes.step(9))
        assert plan.steps[0].position in (1, 2)

    def test_later_steps(self):
        """Guards against a later step that seems to start now."""
        harness = Harness("w1")
        first, second = harness.plan(
            fakes.step(1), fakes.step(2, after=(0,))
        ).steps
        assert (first.after, second.after) == ((), (0,))
        assert second.workers == (ids.WorkerId("w1"),) * 2
