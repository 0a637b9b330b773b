"""Tests of tasks that crash workers, beside changes of the leader and load."""

import pytest

from tests.dispatch import fakes
from tests.dispatch import test_crashing_tasks
from turmerichook._internal.dispatch import crashes
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import obstacles
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.workflow import model

MS = fakes.MS
SECOND = fakes.SECOND
JOB = test_crashing_tasks.JOB
SERVICE = ids.JobId("00000000000000cc")
# Time that the site guarantees for a service to wait beside room for it.
SERVICE_WAIT_MAX = 3 * SECOND


def sized(millicores, **fields):
    """Return a step whose tasks need these processors."""
    demand = resources.Resources(millicores=millicores, memory_mib=100)
    return test_crashing_tasks.step(demand=demand, **fields)


def harness(count):
    """Return a harness without any task that crashes workers."""
    result = test_crashing_tasks.CrashHarness(
        *test_crashing_tasks.workers(count)
    )
    result.crashing = set()
    return result


def pass_time(site, span):
    """Let time pass without a leader; crashed workers return meanwhile."""
    end = site.now + span
    while site.now < end:
        site.advance(100 * MS)
        for name, at in list(site.back_at.items()):
            if site.now >= at:
                del site.back_at[name]
                site.workers[name].cut_off = False


def lose(site, *names):
    """Let workers crash for good."""
    for name in names:
        site.workers[name].restart()
        site.workers[name].cut_off = True
    site.entries = tuple(n for n in site.entries if n not in names)


class TestSeveralCrashingTasks:
    """Several tasks crash workers at the same time, and leaders change."""

    @pytest.mark.parametrize("changes", [(1,), (2,), (3,), (1, 2), (2, 3)])
    @pytest.mark.parametrize(
        ("count", "size"), [(3, 20), (4, 24), (6, 40), (8, 48)]
    )
    def test_starts_are_limited(self, changes, count, size):
        """Guards against crashes that no leader counts.

        Losses of many workers at the same time did not count for a task that
        a former leader had started, so that some were started seven times.

        :param changes: starts of one of the tasks at which the leader changes.
        """
        site = harness(size)
        jobs = [ids.JobId(f"{number:016x}") for number in range(count)]
        site.crashing = {model.TaskKey(job, 0, 0, 0) for job in jobs}
        for job in jobs:
            site.submit(fakes.job(job, test_crashing_tasks.step()))
        for first in changes:
            site.play(
                30,
                until=lambda: (
                    max(site.starts(task) for task in site.crashing) >= first
                ),
            )
            pass_time(site, 2500 * MS)
            site.take_over()
        site.play(120)
        starts = [site.starts(task) for task in site.crashing]
        assert max(starts) <= test_crashing_tasks.STARTS_MAX


class TestServicesOfDeadWorkers:
    """Workers have crashed for good when the leader changes."""

    def test_old_services_are_not_suspected(self):
        """Guards against blame for tasks that have run for long.

        Only the former leader had heard that they run.
        """
        site = harness(8)
        site.submit(
            fakes.job(SERVICE, sized(2000, count=16, long_running=True))
        )
        site.play(30, until=lambda: len(site.running(SERVICE)) == 16)
        site.play(20)
        lose(site, "w0")
        site.take_over()
        site.play(40)
        records = site.dispatcher.jobs[SERVICE].progress.tasks.values()
        assert not any(record.crashes for record in records)
        assert len(site.running(SERVICE)) == 16

    def test_most_workers_stay_open_for_other_tasks(self):
        """Guards against a site that is closed while suspects prove to run.

        All 27 of 27 workers were on probation for the tasks of three others.
        """
        site = harness(30)
        site.submit(
            fakes.job(SERVICE, sized(1000, count=300, long_running=True))
        )
        site.play(30, until=lambda: len(site.running(SERVICE)) == 300)
        lost = ("w0", "w1", "w2")
        bound = [
            task
            for name in lost
            for task in site.dispatcher.workers[ids.WorkerId(name)].runs
        ]
        lose(site, *lost)
        site.advance(3 * SECOND)
        site.take_over()
        for task in bound:
            # As if the former leader had counted a crash for each of them.
            job = site.dispatcher.jobs[SERVICE]
            job.progress.tasks[task].crashes = 1
        closed = 0
        for _ in range(400):
            site.play(0.1)
            closed = max(
                closed,
                sum(
                    obstacles.worker_obstacle(worker, (), site.now)
                    is obstacles.Obstacle.ON_PROBATION
                    for worker in site.dispatcher.workers.values()
                ),
            )
        assert len(site.running(SERVICE)) == 300
        assert closed <= max(1, crashes.PROBATION_SHARE * 27 + 1)


class TestSuspectedServiceOnFullSite:
    """Short tasks fill the worker that a suspected service needs."""

    @pytest.mark.parametrize("suspected", [False, True])
    def test_gets_room(self, suspected):
        """Guards against room that is reserved in some rounds only.

        A suspected service was not placed in 30 s.
        """
        site = harness(1)
        key = model.TaskKey(SERVICE, 0, 0, 0)
        site.submit(fakes.job(SERVICE, sized(4000, long_running=True)))
        site.play(4, until=lambda: site.running(SERVICE))
        site.play(4)
        worker = site.workers["w0"]
        worker.end(key, model.EndKind.FAILED)
        site.renew_leases("w0")
        job = site.dispatcher.jobs[SERVICE]
        site.dispatcher.waiting.remove(key)
        for number in range(600):
            site.submit(fakes.job(f"{number + 1000:016x}", sized(1000)))
        site.step()
        assert len(worker.running) == 16
        job.progress.tasks[key].crashes = int(suspected)
        site.dispatcher.waiting.add(job, key, ids.WorkerId("w0"), site.now)
        began, rounds = site.now, 0
        while not site.running(SERVICE):
            assert site.now - began < 2 * SERVICE_WAIT_MAX
            site.advance(25 * MS)
            rounds += 1
            if rounds % 4 == 0:
                worker.end(next(iter(worker.running)), model.EndKind.DONE)
            site.step()


class TestBlame:
    """Crashes count for the tasks that may have caused them only."""

    def test_task_beside_a_suspect_that_is_not_alone(self):
        """Guards against a crash that only counts for the suspect.

        A suspect may have been placed beside a task that had not begun.
        """
        site = harness(1)
        worker = fleet.Worker(
            worker=ids.WorkerId("w0"), entry=fakes.entry("w0")
        )
        worker.clock_read_at = site.now
        runs = [
            fleet.Run(
                task=model.TaskKey(ids.JobId(name), 0, 0, 0),
                run=ids.Attempt(1),
                step=test_crashing_tasks.step(),
                phase=fleet.RunPhase.RUNNING,
                incarnation=1,
                sent_at=site.now,
                last_listed_at=site.now,
            )
            for name in ("00000000000000aa", "00000000000000bb")
        ]
        for run in runs:
            worker.add(run)
        worker.probation = runs[1].task
        losses = crashes.Losses(workers={})
        losses.mark_restarted(worker, 2, site.now)
        assert [run.crash for run in runs] == [fleet.Crash.SHARED] * 2

    def test_workers_that_are_cut_off_and_return(self):
        """Guards against a job that is given up although no worker crashed."""
        site = harness(6)
        site.submit(fakes.job(JOB, test_crashing_tasks.step()))
        for _ in range(3):
            site.play(30, until=lambda: bool(site.running()))
            (name,) = (n for n, w in site.workers.items() if w.running)
            worker = site.workers[name]
            site.play(0.3)
            worker.cut_off = True
            site.dispatcher.remove_entry(ids.WorkerId(name))
            site.play(
                14,
                until=lambda: (
                    site.failed()
                    or bool(site.running() and not worker.running)
                ),
            )
            worker.cut_off = False
            site.dispatcher.set_entry(site.entry(name), site.now)
            assert not site.failed()


class TestClockSetBack:
    """A worker's clock is set back while the worker restarts."""

    def test_restarted_worker_is_heard(self):
        """Guards against a worker that is ignored for good.

        Its new incarnation has an earlier start time than the former one, and
        passes for an outdated one.
        """
        site = harness(2)
        for worker in site.workers.values():
            worker.incarnation = 1_000_000
        for name in site.workers:
            site.dispatcher.set_entry(site.entry(name), site.now)
        service = test_crashing_tasks.step(long_running=True)
        site.submit(fakes.job(SERVICE, service))
        site.play(3)
        (name,) = (n for n, w in site.workers.items() if w.running)
        site.workers[name].restart()
        site.workers[name].incarnation = 900_000
        site.dispatcher.set_entry(site.entry(name), site.now)
        site.play(40)
        assert site.running(SERVICE)

    def test_entry_of_the_former_incarnation_is_read_late(self):
        """Guards against a running worker that passes for an ended one.

        The leader calls the worker at the address that its runs have in the
        store, before it reads the registry, whose entry is still that of the
        former incarnation, which started later by its clock.
        """
        site = harness(1)
        (name,) = site.workers
        site.workers[name].incarnation = 900_000
        service = test_crashing_tasks.step(long_running=True)
        site.dispatcher.set_entry(site.entry(name), site.now)
        site.submit(fakes.job(SERVICE, service))
        site.play(3)
        site.entries = ()
        site.take_over()
        site.dispatcher.restore_entry(name, "127.0.0.1:1", draining=False)
        site.play(1)
        (service_task,) = site.running(SERVICE)
        former = fakes.entry(name, incarnation=1_000_000)
        site.dispatcher.set_entry(former, site.now)
        site.play(1)
        site.dispatcher.set_entry(site.entry(name), site.now)
        site.play(5)
        assert site.dispatcher.workers[name].incarnation == 900_000
        assert site.starts(service_task) == 1
