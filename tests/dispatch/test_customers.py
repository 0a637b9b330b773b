"""Tests of quotas and shares of customers at placement."""

import dataclasses
import random

import pytest

from tests.dispatch import fakes
from tests.dispatch import test_dispatcher
from turmerichook._internal.dispatch import customers
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.workflow import model

SECOND = fakes.SECOND
UNLIMITED = deployment.UNLIMITED
DONE = model.EndKind.DONE


def customer(name, cores=0, weight=1.0):
    """Return a customer with a quota of cores, 0 for none."""
    quota = resources.Resources(
        millicores=1000 * cores or UNLIMITED,
        memory_mib=UNLIMITED,
        accelerators=UNLIMITED,
    )
    return deployment.Customer(
        customer=ids.CustomerId(name),
        keys=(f"key of {name}",),
        weight=weight,
        quota=quota,
    )


def configuration(*listed, version=1):
    """Return a configuration with customers."""
    return dataclasses.replace(
        fakes.CONFIGURATION, customers=listed, version=version
    )


def job(name, owner, *steps, **fields):
    """Return a job of a customer."""
    return dataclasses.replace(
        fakes.job(name, *steps, **fields), customer=ids.CustomerId(owner)
    )


class Harness(test_dispatcher.DispatcherHarness):
    """A dispatcher of customers, with a check of what its workers run.

    :ivar terms: configuration that each new leader reads.
    """

    def __init__(self, *names, terms):
        self.terms = terms
        super().__init__(*names)

    def new_dispatcher(self):
        new = super().new_dispatcher()
        new.configure(self.terms)
        return new

    def configure(self, terms):
        self.terms = terms
        self.dispatcher.configure(terms)

    def start_all(self, lose=False):
        """Place and send all starts that are possible now."""
        starts = self.place()
        for start in starts:
            self.send(start, lose=lose)
        return len(starts)

    def replace_one(self, name):
        """End a worker's oldest run, and start what is possible then."""
        worker = self.workers[name]
        worker.end(next(iter(worker.running)), DONE)
        self.renew_leases(name)
        self.start_all()

    def running(self, owner):
        """Return the millicores that workers run for a customer."""
        return sum(
            self.specs[task.job].steps[task.step].demand.millicores
            for worker in self.workers.values()
            for task in worker.running
            if self.specs[task.job].customer == owner
        )

    def used(self, owner):
        """Return the millicores that the leader counts for a customer."""
        usage = self.dispatcher.run_tracker.customers.usage
        return usage.usage(ids.CustomerId(owner)).millicores


class TestQuota:
    """A customer has more work than its quota allows."""

    def test_tasks_beyond_it_wait(self):
        """Guards against starts beyond the quota, and beyond its end."""
        harness = Harness("w1", "w2", terms=configuration(customer("a", 5)))
        harness.submit(job("a" * 16, "a", fakes.step(9)))
        assert harness.start_all() == 5
        assert harness.start_all() == 0
        assert harness.dispatcher.run_tracker.customers.delays() == [
            customers.Delay("a", customers.DelayReason.QUOTA, 4)
        ]

    def test_other_customers_go_on(self):
        """Guards against a round that ends at a customer's quota."""
        harness = Harness(
            "w1", terms=configuration(customer("a", 2), customer("b"))
        )
        harness.submit(job("a" * 16, "a", fakes.step(9)))
        harness.submit(job("b" * 16, "b", fakes.step(3)))
        assert harness.start_all() == 5

    def test_ends_free_it(self):
        """Guards against use that is never given back."""
        harness = Harness("w1", terms=configuration(customer("a", 2)))
        harness.submit(job("a" * 16, "a", fakes.step(3)))
        harness.start_all()
        worker = harness.workers["w1"]
        for task in list(worker.running):
            worker.end(task, DONE)
        harness.renew_leases("w1")
        assert harness.used("a") == 0
        assert harness.start_all() == 1

    def test_unknown_outcome_counts(self):
        """Guards against starts beside one that is carried out late."""
        harness = Harness("w1", terms=configuration(customer("a", 2)))
        harness.submit(job("a" * 16, "a", fakes.step(4)))
        assert harness.start_all(lose=True) == 2
        assert harness.start_all() == 0

    def test_silent_worker_counts(self):
        """Guards against starts beside runs of a worker out of reach."""
        harness = Harness("w1", "w2", terms=configuration(customer("a", 2)))
        harness.submit(job("a" * 16, "a", fakes.step(4)))
        harness.start_all()
        for worker in harness.workers.values():
            worker.cut_off = bool(worker.running)
        for name in harness.workers:
            harness.renew_leases(name)
        assert harness.start_all() == 0
        assert harness.running("a") <= 2000

    def test_new_leader_counts(self):
        """Guards against a second quota after a change of the leader."""
        harness = Harness("w1", terms=configuration(customer("a", 2)))
        harness.submit(job("a" * 16, "a", fakes.step(4)))
        harness.start_all()
        harness.take_over()
        assert harness.used("a") == 2000
        harness.renew_leases("w1")
        assert harness.start_all() == 0
        assert harness.running("a") == 2000

    def test_cancelled_job_counts_until_it_has_stopped(self):
        """Guards against starts beside runs that a new leader stops."""
        harness = Harness("w1", terms=configuration(customer("a", 2)))
        filler = fakes.step(2, filler=True)
        harness.submit(job("a" * 16, "a", filler))
        harness.start_all()
        harness.dispatcher.cancel(ids.JobId("a" * 16), harness.now)
        harness.store(harness.dispatcher.next_saves(100))
        harness.take_over()
        assert harness.used("a") == 2000
        harness.submit(job("b" * 16, "a", fakes.step(1)))
        assert harness.start_all() == 0

    def test_lowered_and_raised(self):
        """Guards against starts while more runs than a new quota allows."""
        harness = Harness("w1", terms=configuration(customer("a", 6)))
        harness.submit(job("a" * 16, "a", fakes.step(9)))
        assert harness.start_all() == 6
        harness.configure(configuration(customer("a", 2), version=2))
        assert harness.start_all() == 0
        harness.configure(configuration(customer("a", 8), version=3))
        assert harness.start_all() == 2

    def test_gang(self):
        """Guards against a gang of which only a part may start."""
        harness = Harness("w1", terms=configuration(customer("a", 4)))
        harness.submit(job("a" * 16, "a", fakes.step(2)))
        harness.submit(job("b" * 16, "a", fakes.step(3, gang=True)))
        assert harness.start_all() == 2
        worker = harness.workers["w1"]
        worker.end(next(iter(worker.running)), DONE)
        harness.renew_leases("w1")
        assert harness.start_all() == 3

    @pytest.mark.parametrize("seed", range(20))
    def test_any_order_of_events(self, seed):
        """Guards against a path on which runs are not counted.

        Leaders change, workers fall silent and return, answers are lost, jobs
        are cancelled and quotas change. The users allow one task beyond the
        highest quota that may be in force; all tasks are of one core here.
        """
        draw = random.Random(seed)
        quotas = {"a": 6, "b": 3}
        names = ("w1", "w2", "w3")
        harness = Harness(*names, terms=_terms(quotas, 1))
        for number in range(150):
            self._play(draw, harness, quotas, number)
            for owner in quotas:
                assert harness.running(owner) <= harness.used(owner)

    def _play(self, draw, harness, quotas, number):
        before = {owner: harness.running(owner) for owner in quotas}
        match draw.randrange(8):
            case 0:
                owner = draw.choice("ab")
                step = fakes.step(draw.randint(1, 6))
                harness.submit(job(f"{number:016x}", owner, step))
            case 1:
                worker = draw.choice(list(harness.workers.values()))
                worker.cut_off = not worker.cut_off
            case 2:
                worker = draw.choice(list(harness.workers.values()))
                for task in list(worker.running)[:2]:
                    worker.end(task, DONE)
            case 3 if harness.dispatcher.jobs:
                harness.dispatcher.cancel(
                    draw.choice(list(harness.dispatcher.jobs)), harness.now
                )
            case 4:
                quotas[draw.choice("ab")] = draw.randint(1, 8)
                harness.configure(_terms(quotas, number + 2))
            case 5 if draw.random() < 0.3:
                harness.commit(harness.begin(100, 100))
                harness.take_over()
            case _:
                harness.advance(SECOND)
        for name in harness.workers:
            harness.renew_leases(name)
        harness.start_all(lose=draw.random() < 0.2)
        for order in harness.dispatcher.pop_orders():
            worker = harness.workers[order.worker]
            stopped = order.run.task
            if not worker.cut_off and stopped in worker.running:
                worker.end(stopped, model.EndKind.STOPPED)
        for owner, quota in quotas.items():
            most = max(before[owner], 1000 * quota)
            assert harness.running(owner) <= most, owner


def _terms(quotas, version):
    listed = [customer(name, cores) for name, cores in quotas.items()]
    return configuration(*listed, version=version)


def flooded():
    """Return a full worker; the customer "a" has more tasks waiting."""
    harness = Harness("w1", terms=configuration(customer("a"), customer("b")))
    harness.submit(job("a" * 16, "a", fakes.step(40)))
    harness.start_all()
    return harness


class TestShares:
    """One customer floods the queues; the workers are full."""

    def test_flood(self):
        """Guards against a customer that pushes out the others.

        The flood came first and is as urgent.
        """
        harness = flooded()
        assert harness.running("a") == 16_000
        harness.submit(job("b" * 16, "b", fakes.step(12)))
        for _ in range(20):
            harness.advance(SECOND)
            harness.replace_one("w1")
        assert harness.running("b") == 8000
        assert harness.running("a") == 8000

    def test_urgent_flood(self):
        """Guards against a priority that reaches beyond the share."""
        harness = flooded()
        harness.submit(job("b" * 16, "b", fakes.step(1)))
        queue = dataclasses.replace(fakes.QUEUE, priority=2)
        harness.dispatcher.jobs[ids.JobId("b" * 16)].queue = queue
        harness.advance(SECOND)
        harness.replace_one("w1")
        assert harness.running("b") == 1000

    def test_customers_that_are_no_longer_configured(self):
        """Guards against a customer that goes last for good."""
        harness = flooded()
        harness.submit(job("b" * 16, "b", fakes.step(1)))
        harness.advance(SECOND)
        harness.place()
        accounts = harness.dispatcher.run_tracker.customers
        assert accounts.over_share == {"a"}
        harness.configure(dataclasses.replace(harness.terms, customers=None))
        assert accounts.over_share == frozenset()

    def test_unused_room(self):
        """Guards against room that nobody may use."""
        harness = Harness(
            "w1", terms=configuration(customer("a"), customer("b"))
        )
        harness.submit(job("a" * 16, "a", fakes.step(14)))
        harness.submit(job("b" * 16, "b", fakes.step(2)))
        assert harness.start_all() == 16

    def test_shares_after_a_change_of_the_leader(self):
        """Guards against shares that are lost with the leader."""
        harness = flooded()
        harness.submit(job("b" * 16, "b", fakes.step(1)))
        harness.commit(harness.begin(100, 100))
        harness.take_over()
        harness.renew_leases("w1")
        harness.replace_one("w1")
        assert harness.running("b") == 1000
