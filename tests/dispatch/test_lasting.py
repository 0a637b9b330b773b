"""Tests of long-running tasks, which are called services here."""

import datetime
import random

import pytest

from tests.dispatch import fakes
from tests.dispatch import test_dispatcher
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.models import resources
from turmerichook._internal.workflow import model

MS = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
ROUND_INTERVAL = 100 * MS
CAPACITY = 16_000
# Longest time that the site guarantees for an ended service to wait while a
# worker has room for it.
SERVICE_WAIT_MAX = 3 * SECOND


def _demand(millicores: int) -> resources.Resources:
    return resources.Resources(millicores=millicores, memory_mib=100)


class Site(test_dispatcher.DispatcherHarness):
    """Workers full of services, except for some room for short tasks."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        super().__init__(*"abcdefghijkl"[: self.random.randint(8, 12)])
        self.job_count = 0
        self.end_times = {}
        self.service_millicores = self.random.randrange(3000, 3150, 10)
        # One more task than fits on the workers, so that one always waits.
        fitting = len(self.workers) * (CAPACITY // self.service_millicores)
        service = fakes.step(
            fitting + 1,
            long_running=True,
            demand=_demand(self.service_millicores),
        )
        self.services = self.submit_job(service)
        self.step()

    def place(self):
        """Place tasks and save; return the starts.

        This skips the watchdog, which would stop all runs, as the fake workers
        report no progress.
        """
        self.dispatcher.place(self.now, self.now, 100)
        return self.dispatcher.committed(
            self.dispatcher.next_saves(100), self.now
        )

    def submit_job(self, step):
        self.job_count += 1
        spec = fakes.job(f"{self.job_count:016x}", step, accepted=self.now)
        self.submit(spec)
        return spec

    def running_services(self):
        """Return the service's tasks that run on a worker."""
        return {
            task
            for worker in self.workers.values()
            for task in worker.running
            if task.job == self.services.job
        }

    def run_round(self):
        """End due short tasks, submit others, and place the waiting tasks.

        :returns: whether a worker had room for a service before the placement.
        """
        self.advance(ROUND_INTERVAL)
        for worker in self.workers.values():
            for task in list(worker.running):
                if (
                    task.job != self.services.job
                    and self.now >= self.end_times[task]
                ):
                    worker.end(task, model.EndKind.DONE)
        while len(self.dispatcher.waiting) < 30:
            self.submit_job(
                fakes.step(2, demand=_demand(self.random.randint(300, 2500)))
            )
        room = self.has_room()
        self.step()
        for worker in self.workers.values():
            for task in worker.running:
                span = self.random.randint(300, 1500) * MS
                self.end_times.setdefault(task, self.now + span)
        return room

    def has_room(self):
        """Tell whether any worker has room for a service."""
        return any(
            self.used(worker) + self.service_millicores <= CAPACITY
            for worker in self.workers.values()
        )

    def used(self, worker):
        return sum(
            self.dispatcher.jobs[task.job]
            .spec.steps[task.step]
            .demand.millicores
            for task in worker.running
        )


class TestEndedService:
    """Services use more than nine tenths of the processors."""

    @pytest.mark.parametrize("seed", range(12))
    def test_starts_again_once_there_is_room(self, seed):
        """Guards against a service that waits while short tasks use its room.

        Two services that had failed waited for 27 s. In 8 of 10 checks a
        worker had room for them, which short tasks got in each round.
        """
        site = Site(seed)
        for _ in range(20):
            site.run_round()
        ended_task = site.random.choice(sorted(site.running_services()))
        for worker in site.workers.values():
            if ended_task in worker.running:
                worker.end(ended_task, model.EndKind.FAILED)
        ended_at = site.now
        room = False
        while ended_task not in site.running_services():
            # An observer of the workers between two rounds sees this room.
            assert not (room and site.now - ended_at > SERVICE_WAIT_MAX)
            assert site.now - ended_at < 60 * SECOND
            room = site.run_round()


class TestSuspectedWorker:
    """All short tasks fail on a worker for a while; its service runs on."""

    def suspect(self):
        """Return a dispatcher whose only worker is suspected.

        The worker also runs a service.
        """
        harness = test_dispatcher.DispatcherHarness("a")
        harness.submit(fakes.job("f" * 16, fakes.step(long_running=True)))
        harness.step()
        for number in range(fleet.SUSPECT_FAILED_JOBS):
            harness.submit(fakes.job(f"{number:016x}", fakes.step()))
            harness.step()
            self.end_short(harness, model.EndKind.FAILED)
        harness.renew_leases("a")
        return harness

    def end_short(self, harness, kind):
        worker = harness.workers["a"]
        for task in list(worker.running):
            if task.job != "f" * 16:
                worker.end(task, kind)

    def short_tasks(self, harness):
        return sum(
            task.job != "f" * 16 for task in harness.workers["a"].running
        )

    def test_is_tried_again_beside_a_service(self):
        """Guards against a worker that gets no task until its services end.

        On six workers, tasks failed until 18 s. These workers got no task
        until the next leader took over at 35 s, while services waited for
        room.
        """
        harness = self.suspect()
        harness.step()
        assert not self.short_tasks(harness)
        harness.advance(fleet.SUSPENSION_TIME + MS)
        harness.step()
        assert self.short_tasks(harness)

    def test_gets_one_task_at_a_time(self):
        """Guards against many tasks on a worker on which tasks still fail.

        A suspected worker gets one task to test whether it has recovered.
        """
        harness = self.suspect()
        harness.submit(fakes.job("e" * 16, fakes.step(8)))
        harness.advance(fleet.SUSPENSION_TIME + MS)
        harness.step()
        harness.advance(ROUND_INTERVAL)
        harness.step()
        assert self.short_tasks(harness) == 1
        self.end_short(harness, model.EndKind.DONE)
        harness.step()
        assert self.short_tasks(harness) > 1
