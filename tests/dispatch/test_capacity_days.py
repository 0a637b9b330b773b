"""Seeded series of changed capacities, seen from the workers' side."""

import collections
import dataclasses
import random

import pytest

from tests.dispatch import fakes
from tests.dispatch import test_dispatcher
from turmerichook._internal.dispatch import orders
from turmerichook._internal.models import resources
from turmerichook._internal.workflow import model

SECOND = fakes.SECOND
NAMES = "abc"
CONFIGURATION = dataclasses.replace(
    fakes.CONFIGURATION,
    services=(
        dataclasses.replace(fakes.CONFIGURATION.services[0], guarded=False),
    ),
)


class Harness(test_dispatcher.DispatcherHarness):
    """A dispatcher with workers that start whatever they are told.

    :ivar registry: the worker entries in the store, which the dispatcher reads
        only now and then.
    :ivar sizes: millicores that each worker had, and since when.
    """

    def __init__(self, *names):
        self.registry = {name: fakes.entry(name) for name in names}
        self.sizes = {
            name: [(0 * SECOND, entry.capacity.millicores)]
            for name, entry in self.registry.items()
        }
        super().__init__(*names)

    def new_dispatcher(self):
        new = super().new_dispatcher()
        new.configure(CONFIGURATION)
        self.read_registry(new)
        return new

    def read_registry(self, dispatcher):
        """Let a dispatcher read all entries, as the registry feed does."""
        for entry in self.registry.values():
            dispatcher.set_entry(entry, self.now)
        dispatcher.confirm_registry(self.now)

    def write_entry(self, name, millicores):
        """Write a worker's entry with its present incarnation."""
        self.sizes[name].append((self.now, millicores))
        self.registry[name] = fakes.entry(
            name,
            incarnation=self.workers[name].incarnation,
            millicores=millicores,
        )

    def largest_recent_size(self, name):
        """Return the most millicores a worker had within the contact time."""
        begin = self.now - fakes.TIMING.contact
        ends = [since for since, _ in self.sizes[name][1:]]
        ends.append(self.now + SECOND)
        return max(
            millicores
            for (_, millicores), end in zip(
                self.sizes[name], ends, strict=True
            )
            if end >= begin
        )

    def used(self, name):
        """Return the millicores of all tasks that run on a worker."""
        demands = (
            self.specs[task.job].steps[task.step].demand.millicores
            for task in self.workers[name].running
        )
        return sum(demands)

    def send(self, start, lose=False):
        count = len(self.workers[start.worker].starts)
        super().send(start, lose)
        if len(self.workers[start.worker].starts) > count:
            used = self.used(start.worker)
            assert used <= self.largest_recent_size(start.worker), start


class Day:
    """A seeded series of jobs, changed capacities, restarts and faults."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.harness = Harness(*NAMES)
        self.count = 0
        # Starts that are under way, each with its worker, and the snapshots
        # of the commit in progress.
        self.late = []
        self.saves = []
        # When workers restarted whose entries are still the former ones.
        self.restarts = {}

    def run(self, steps):
        """Carry out a number of actions, drawn by their weights."""
        actions = {
            self.submit: 4,
            self.advance: 6,
            self.report: 6,
            self.end: 3,
            self.begin: 5,
            self.answer: 6,
            self.read_registry: 3,
            self.resize: 3,
            self.cancel: 1,
            self.cut: 1,
            self.restart: 0.3,
            self.deliver_late: 1,
            self.take_over: 0.5,
        }
        for _ in range(steps):
            (action,) = self.random.choices(
                tuple(actions), tuple(actions.values())
            )
            action()

    def name(self):
        return self.random.choice(NAMES)

    def submit(self):
        self.count += 1
        cores = self.random.choice((1, 2, 4, 7, 10))
        step = fakes.step(
            self.random.randint(1, 3),
            gang=self.random.random() < 0.3,
            long_running=self.random.random() < 0.1,
            demand=resources.Resources(
                millicores=cores * 1000, memory_mib=100
            ),
            estimate=60 * SECOND,
        )
        self.harness.submit(fakes.job(f"{self.count:016x}", step))

    def advance(self):
        milliseconds = self.random.choice((50, 100, 200, 400, 1000, 3500))
        self.harness.advance(milliseconds * fakes.MS)
        self.write_late_entries()
        if self.random.random() < 0.7:
            self.read_registry()

    def report(self):
        """Take a report of each worker, and send stops."""
        for name in NAMES:
            if self.random.random() < 0.8:
                self.harness.renew_leases(name)
        self.harness.send_stops()

    def end(self):
        """End a task; a gang ends on all of its workers."""
        fake = self.harness.workers[self.name()]
        if not fake.running:
            return
        ended = self.random.choice(tuple(fake.running))
        kind = self.random.choice(
            (model.EndKind.DONE, model.EndKind.DONE, model.EndKind.FAILED)
        )
        fake.end(ended, kind)

    def begin(self):
        """Begin a commit that may be answered much later."""
        if not self.saves:
            self.saves = self.harness.begin(20, 20)

    def answer(self):
        """Complete the commit in progress, and send the released starts."""
        saves, self.saves = self.saves, []
        for start in self.harness.commit(saves):
            chance = self.random.random()
            if chance < 0.1:
                self.hold(start)
            else:
                self.harness.send(start, lose=chance < 0.2)

    def hold(self, start):
        """Delay a start; the leader gets no answer."""
        worker = self.harness.dispatcher.workers[start.worker]
        order = self.harness.order(worker, start)
        self.late.append((start.worker, order))
        self.harness.dispatcher.settlement.apply_start_outcome(
            worker,
            start.run,
            orders.Unknown(detail="late"),
            self.harness.now,
        )

    def deliver_late(self):
        """Deliver the delayed starts, whose workers may be full by now."""
        for name, order in self.late:
            if not self.harness.workers[name].cut_off:
                self.harness.workers[name].start(order)
        self.late = []

    def read_registry(self):
        self.harness.read_registry(self.harness.dispatcher)

    def resize(self):
        self.harness.write_entry(self.name(), self.random.randint(0, 16_000))

    def cancel(self):
        running = self.harness.workers[self.name()].running
        for task in list(running)[:1]:
            self.harness.dispatcher.cancel(task.job, self.harness.now)

    def cut(self):
        fake = self.harness.workers[self.name()]
        fake.cut_off = not fake.cut_off and self.random.random() < 0.5

    def restart(self):
        """Restart a worker as another kind; its entry follows later."""
        name = self.name()
        # Delayed starts are lost with the connections of the worker.
        self.late = [late for late in self.late if late[0] != name]
        self.harness.workers[name].restart()
        self.restarts[name] = self.harness.now

    def write_late_entries(self):
        """Write the entries of workers that restarted a heartbeat ago."""
        for name, since in list(self.restarts.items()):
            if self.harness.now - since >= SECOND:
                del self.restarts[name]
                millicores = self.random.choice((2000, 16_000))
                self.harness.write_entry(name, millicores)

    def take_over(self):
        """Replace the leader; its last commit may have taken effect."""
        saves, self.saves = self.saves, []
        if self.random.random() < 0.5:
            self.harness.store(saves)
        self.harness.take_over()

    def calm_down(self):
        """Restore all capacities, and run until all jobs have ended."""
        self.answer()
        for name in NAMES:
            self.harness.workers[name].cut_off = False
            self.harness.write_entry(name, 16_000)
        for _ in range(400):
            self.harness.advance(100 * fakes.MS)
            self.read_registry()
            self.harness.step()
            self._end_whole_steps()
        return self.harness.dispatcher.jobs

    def _end_whole_steps(self):
        """End tasks as done, and those of gangs that lack a member."""
        running = [
            (name, task)
            for name, worker in self.harness.workers.items()
            for task in worker.running
        ]
        counts = collections.Counter(task.step_key for _, task in running)
        for name, task in running:
            step = self.harness.specs[task.job].steps[task.step]
            whole = not step.gang or counts[task.step_key] == step.count
            kind = (
                model.EndKind.DONE
                if whole
                else model.EndKind.GANG_MEMBER_ENDED
            )
            self.harness.workers[name].end(task, kind)
            if step.long_running:
                self.harness.dispatcher.cancel(task.job, self.harness.now)


class TestUnguardedWorkers:
    """Workers that start whatever they are told, seen from their side."""

    @pytest.mark.parametrize("seed", range(40))
    def test_no_start_exceeds_the_capacity(self, seed):
        """Guards against starts beyond a capacity that has changed.

        What is being stopped counts, and a capacity that has shrunk counts
        after the contact time. Once the faults are over, all jobs end.
        """
        day = Day(seed)
        day.run(1000)
        assert sum(len(w.starts) for w in day.harness.workers.values()) > 20
        assert not day.calm_down()
