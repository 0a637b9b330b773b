"""Tests of the workers that are kept free of long-running tasks."""

import dataclasses
import datetime

from tests.dispatch import fakes
from tests.dispatch import test_dispatcher
from turmerichook._internal.dispatch import headroom
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.workflow import model

SECOND = fakes.SECOND
MS = fakes.MS
SERVICE_JOB = "f" * 16


def demand(millicores):
    return resources.Resources(millicores=millicores, memory_mib=1000)


class Site(test_dispatcher.DispatcherHarness):
    """Twenty workers, of which two are kept.

    :ivar labels: labels of workers that have others than the rest.
    """

    def __init__(self, count=20, labels=None):
        self.labels = labels or {}
        self.job_count = 0
        super().__init__(*(f"w{number:02}" for number in range(count)))

    def new_dispatcher(self):
        new = super().new_dispatcher()
        for name in self.workers:
            entry = fakes.entry(name)
            labels = frozenset(self.labels.get(name, ("a",)))
            new.set_entry(dataclasses.replace(entry, labels=labels), self.now)
        return new

    def submit_step(self, step):
        """Submit a job of one step, place it, and return its id."""
        self.job_count += 1
        spec = fakes.job(f"{self.job_count:016x}", step, accepted=self.now)
        self.submit(spec)
        self.step_without_watchdog()
        return spec.job

    def step_without_watchdog(self):
        """Take reports, place and start; the fakes report no progress."""
        for name in self.workers:
            self.renew_leases(name)
        self.dispatcher.place(self.now, self.now, 1000)
        for start in self.dispatcher.committed(
            self.dispatcher.next_saves(100), self.now
        ):
            self.send(start)

    def pass_time(self, span):
        """Let time pass, with a round every half second."""
        end = self.now + span
        while self.now < end:
            self.advance(500 * MS)
            self.step_without_watchdog()

    @property
    def kept(self):
        return self.dispatcher.waiting.headroom.kept

    def running(self, job):
        """Return the workers on which tasks of a job run."""
        return [
            name
            for name, worker in self.workers.items()
            for task in worker.running
            if task.job == job
        ]


def service(count, millicores=4000, **fields):
    return fakes.step(
        count, long_running=True, demand=demand(millicores), **fields
    )


class TestFirstRuns:
    """Services that have not run yet stay off the kept workers."""

    def test_kept_workers_stay_whole(self):
        """Guards against services that take a part of each worker."""
        site = Site()
        job = site.submit_step(service(80))
        assert len(site.kept) == 2
        assert len(site.running(job)) == 72
        assert not site.kept.intersection(site.running(job))

    def test_service_that_fits_nowhere_else(self):
        """Guards against a service without a worker in an idle site."""
        site = Site()
        site.submit_step(fakes.step())
        job = site.submit_step(service(19, 9000))
        assert len(site.running(job)) == 19

    def test_wide_service_does_not_take_all_of_it(self):
        """Guards against room that one service takes as a whole.

        It may use kept workers only until room is scarce.
        """
        site = Site()
        site.submit_step(service(18, 14_000))
        job = site.submit_step(service(30, 2500))
        assert len(site.kept) == 2
        # With 14 of 16 cores taken on 18 workers, 68 cores are left. Room is
        # scarce below 64, twice what is to be kept.
        assert len(site.running(job)) == 2

    def test_only_worker_with_a_label(self):
        """Guards against a service that no other worker may ever run."""
        site = Site(labels={"w07": ("b",)})
        site.submit_step(service(80, label="a"))
        job = site.submit_step(service(1, 1000, label="b"))
        assert site.running(job) == ["w07"]

    def test_new_leader_keeps_room_at_once(self):
        """Guards against services that fill the fleet after a take-over.

        A new leader has seen no short task yet.
        """
        site = Site()
        site.take_over()
        site.step_without_watchdog()
        site.submit_step(service(80))
        assert len(site.kept) == 2

    def test_all_workers_after_a_minute_without_short_tasks(self):
        """Guards against capacity that stays idle for nothing."""
        site = Site()
        job = site.submit_step(service(80))
        site.pass_time(headroom.IDLE_TIME + 2 * SECOND)
        assert len(site.running(job)) == 80


class TestRestarts:
    """A service that has lost its run may use kept workers."""

    def test_ended_service_starts_on_a_kept_worker(self):
        """Guards against a service that stays down beside free workers."""
        site = Site()
        job = site.submit_step(service(80))
        site.submit_step(fakes.step(18, demand=demand(4000)))
        fake = site.workers[site.running(job)[0]]
        fake.end(
            next(t for t in fake.running if t.job == job), model.EndKind.FAILED
        )
        for worker in site.dispatcher.workers.values():
            if worker.worker not in site.kept:
                worker.no_room_until = site.now + 60 * SECOND
        site.pass_time(SECOND)
        assert site.kept.intersection(site.running(job))


class TestSmallSite:
    """One worker is a large part of a small site."""

    def test_no_more_than_a_quarter_is_kept(self):
        """Guards against a third of a site that services cannot use."""
        site = Site(3)
        job = site.submit_step(service(12))
        assert not site.kept
        assert len(site.running(job)) == 12


class TestDemand:
    """The room that is kept follows the demand of short tasks."""

    def test_grows_with_tasks_that_find_no_room(self):
        """Guards against room that is kept for fewer tasks than wait."""
        site = Site()
        site.submit_step(fakes.step(20, demand=demand(4000)))
        site.pass_time(SECOND)
        # 80 of 320 cores are a quarter, which is the most that is kept.
        assert len(site.kept) == 5

    def test_tasks_that_wait_for_a_commit_do_not_count(self):
        """Guards against room kept for a backlog of a slow store."""
        site = Site()
        for number in range(40):
            site.submit(
                fakes.job(
                    f"{number + 100:016x}",
                    fakes.step(demand=demand(8000)),
                    accepted=site.now,
                )
            )
        site.dispatcher.place(site.now, site.now, 1)
        site.advance(SECOND)
        site.dispatcher.place(site.now, site.now, 1)
        assert len(site.kept) == 2

    def test_falls_again(self):
        """Guards against room that is kept for a burst long ago."""
        site = Site()
        job = site.submit_step(fakes.step(20, demand=demand(4000)))
        for worker in site.workers.values():
            for task in list(worker.running):
                worker.end(task, model.EndKind.DONE)
        site.pass_time(headroom.DEMAND_WINDOW + 2 * SECOND)
        assert not site.running(job)
        assert len(site.kept) == 2


class TestAccelerators:
    """Few workers have accelerators."""

    def site(self, count):
        """Return a site of which ``count`` workers have four accelerators."""
        site = Site()
        for name in list(site.workers)[:count]:
            worker = site.dispatcher.workers[ids.WorkerId(name)]
            capacity = dataclasses.replace(
                worker.entry.capacity, accelerators=4
            )
            entry = dataclasses.replace(worker.entry, capacity=capacity)
            site.dispatcher.set_entry(entry, site.now)
        return site

    def test_services_get_all_that_short_tasks_do_not_use(self):
        """Guards against accelerators that are kept for nothing."""
        site = self.site(10)
        amount = resources.Resources(
            millicores=1000, memory_mib=1000, accelerators=1
        )
        job = site.submit_step(
            fakes.step(40, long_running=True, demand=amount)
        )
        minutes = datetime.timedelta(minutes=10)
        site.submit_step(fakes.step(estimate=minutes))
        site.pass_time(headroom.IDLE_TIME + 2 * SECOND)
        assert len(site.running(job)) == 40

    def test_other_workers_are_not_kept_in_their_place(self):
        """Guards against a quarter of a site that is kept in vain."""
        site = self.site(1)
        amount = resources.Resources(
            millicores=1000, memory_mib=1000, accelerators=4
        )
        site.submit_step(fakes.step(8, demand=amount))
        site.pass_time(SECOND)
        assert len(site.kept) == 2


class TestLostWorker:
    """A kept worker does not answer."""

    def test_another_one_is_kept(self):
        """Guards against room that is kept on a worker that has crashed."""
        site = Site()
        site.submit_step(fakes.step())
        lost = min(site.kept)
        site.workers[lost].cut_off = True
        site.pass_time(SECOND)
        assert lost not in site.kept
        assert len(site.kept) == 2


class TestZones:
    """A zone may be lost or closed."""

    def test_kept_workers_are_in_different_zones(self):
        """Guards against room that is lost with one zone."""
        site = Site()
        for number, name in enumerate(site.workers):
            entry = site.dispatcher.workers[ids.WorkerId(name)].entry
            zone = ids.ZoneId(f"z{number // 10}")
            site.dispatcher.set_entry(
                dataclasses.replace(entry, zone=zone), site.now
            )
        site.submit_step(service(80))
        zones = {
            site.dispatcher.workers[worker].entry.zone for worker in site.kept
        }
        assert len(zones) == 2
