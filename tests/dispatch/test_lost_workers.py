"""Tests of workers that are lost for good, or without a leader."""

import asyncio
import time

import msgpack
import pytest

from tests.dispatch import fakes
from tests.dispatch import test_crashing_tasks
from tests.dispatch import test_lapsed_runs
from tests.dispatch import test_session
from turmerichook._internal.dispatch import crash_counts
from turmerichook._internal.dispatch import crashes
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses
from turmerichook._internal.workflow import stored

MS = fakes.MS
SECOND = fakes.SECOND
JOB = test_crashing_tasks.JOB
GONE_S = crash_counts.GONE_AFTER / SECOND


class TestUncountedCrashes:
    """Crashes of workers that nobody counts."""

    def test_no_leader_for_a_while_after_each_start(self):
        """Guards against a run that counts as begun for its age alone.

        Nobody has heard of the run: the leader has ended just after the start,
        and its successor takes over 20 s later.
        """
        site = test_crashing_tasks.CrashHarness(
            *test_crashing_tasks.workers(10)
        )
        site.submit(fakes.job(JOB, test_crashing_tasks.step()))
        for number in range(1, 9):
            site.play(60, until=lambda n=number: site.starts() >= n)
            end = site.now + 20 * SECOND
            while site.now < end:
                site.advance(100 * MS)
            for name in list(site.back_at):
                del site.back_at[name]
                site.workers[name].cut_off = False
            site.take_over()
        site.play(60)
        assert site.starts() <= test_crashing_tasks.STARTS_MAX

    def test_two_leaders_after_each_start(self):
        """Guards against a run that counts as begun as its leaders ended.

        The dead worker is no longer listed. One leader follows another 8 s
        after the start, and a third one 8 s later; none of them lasts until
        the leases on the worker have ended.
        """
        site = test_crashing_tasks.CrashHarness(
            *test_crashing_tasks.workers(12)
        )
        site.submit(fakes.job(JOB, test_crashing_tasks.step()))
        for number in range(1, 9):
            site.play(60, until=lambda n=number: site.starts() >= n)
            for name in list(site.back_at):
                del site.back_at[name]
                site.dispatcher.remove_entry(ids.WorkerId(name))
                site.entries = tuple(n for n in site.entries if n != name)
            for _ in range(2):
                site.play(8)
                site.take_over()
        site.play(60)
        assert site.starts() <= test_crashing_tasks.STARTS_MAX

    def test_services_that_were_proven_are_not_suspected(self):
        """Guards against blame for what only former leaders had heard of.

        The worker of a service is lost 5 s after its start, together with the
        leader.
        """
        site = test_lapsed_runs.CutHarness(6)
        step = test_crashing_tasks.step(long_running=True)
        site.submit(fakes.job(JOB, step))
        site.play(5)
        (name,) = site.holders()
        site.cut(name)
        site.take_over()
        site.play(40, until=lambda: site.record().worker != name)
        assert site.lapsed(name) == 1
        assert not site.record().suspected

    def test_run_of_an_earlier_version(self):
        """Guards against a time that passes for a proof.

        Earlier versions stored when the task was assigned.
        """
        spec = fakes.job(JOB, test_crashing_tasks.step())
        row = [0, 0, 0, 1, 1, "w", 0, "", 1, 0, 1_700_000_000_000]
        value = msgpack.packb([1, "running", 1, False, 0, [row]])
        progress = stored.decode_progress(spec, value)
        assert not progress.tasks[test_crashing_tasks.CRASHING].proven


class TestCost:
    """Many tasks have lost their workers."""

    @pytest.mark.parametrize("how", ("cleared", "job-ended"))
    def test_forgetting_takes_less_than_a_tick(self, how):
        """Guards against a search that holds up leases and reports.

        A third of 1,300 workers is lost with 20 tasks each; then all tasks
        have run on elsewhere, or their job has ended.
        """
        site = test_lapsed_runs.CutHarness(1)
        count = 433 * 20
        spec = fakes.job(JOB, test_crashing_tasks.step(count=count))
        progress = progresses.Progress(spec=spec)
        for number, task in enumerate(progress.open_occurrence()):
            progress.assign(task, ids.WorkerId("w0"), ids.Attempt(1))
            record = progress.return_to_queue(
                task, checkpoint="", failed=False
            )
            record.note_unconfirmed(
                progresses.LostWorker(ids.WorkerId(f"x{number % 433}"), 1)
            )
        counts = site.dispatcher.run_tracker.crash_counts
        site.dispatcher.add_job(progress, now=site.now, wall=site.now)
        if how == "cleared":
            for record in progress.tasks.values():
                record.forget_crashes()
        else:
            site.dispatcher.cancel(JOB, site.now)
        began = time.process_time()
        counts.give_up_gone(site.now)
        assert time.process_time() - began < 0.1
        assert not counts.lost_at

    def test_tasks_of_a_service_share_a_write(self, monkeypatch):
        """Guards against a write for each task that has proved to run.

        The tasks start 200 ms apart, as the workers get room one by one.
        """
        site = test_lapsed_runs.CutHarness(8)
        saved = []
        monkeypatch.setattr(site, "store", lambda saves: saved.extend(saves))
        step = test_crashing_tasks.step(
            count=8, long_running=True, max_per_worker=1
        )
        site.cut(*site.workers)
        site.submit(fakes.job(JOB, step))
        for name in site.workers:
            site.reconnect(name)
            site.play(0.2)
        assert len(site.running()) == 8
        saved.clear()
        site.play(8)
        assert all(record.proven for record in site.records())
        assert len(saved) == 1


class TestIncarnations:
    """A worker restarts, and it is not known which incarnation ran a task."""

    def test_loss_is_noted_for_the_incarnation_that_ran_the_task(self):
        """Guards against a lost worker that returns and counts as crashed."""
        site = test_lapsed_runs.CutHarness(2)
        site.submit(fakes.job(JOB, test_crashing_tasks.step()))
        saves = site.begin(100, 100)
        (name,) = [n for n, w in site.dispatcher.workers.items() if w.runs]
        site.workers[name].restart()
        site.dispatcher.set_entry(site.entry(name), site.now)
        site.renew_leases(name)
        for start in site.commit(saves):
            site.send(start)
        site.play(5, until=lambda: bool(site.holders()))
        (name,) = site.holders()
        assert site.record().incarnation == site.workers[name].incarnation
        site.play(0.3)
        site.cut(name)
        site.play(40, until=lambda: site.record().worker != name)
        assert site.lapsed(name) == 1
        site.reconnect(name)
        site.step()
        assert site.record().crashes == 0

    def test_crash_that_the_next_incarnation_has_shown(self):
        """Guards against a sure crash that becomes a doubt.

        The next incarnation is listed, and is lost before it has answered.
        """
        site = test_lapsed_runs.CutHarness(3)
        site.submit(fakes.job(JOB, test_crashing_tasks.step()))
        site.play(5, until=lambda: bool(site.holders()))
        (name,) = site.holders()
        site.play(0.3)
        site.workers[name].restart()
        site.workers[name].cut_off = True
        site.dispatcher.set_entry(site.entry(name), site.now)
        site.play(1)
        site.cut(name)
        site.play(40, until=lambda: site.record().worker != name)
        record = site.record()
        assert (record.crashes, record.unconfirmed) == (1, ())

    def test_unknown_incarnation(self):
        """Guards against an unknown incarnation that passes for another.

        Earlier versions did not store the incarnation of an assignment.
        """
        site = test_lapsed_runs.CutHarness(3)
        site.submit(fakes.job(JOB, test_crashing_tasks.step()))
        site.play(5, until=lambda: bool(site.holders()))
        (name,) = site.holders()
        site.play(0.3)
        progress = site.dispatcher.jobs[JOB].progress
        progress.tasks[test_crashing_tasks.CRASHING].incarnation = 0
        site.saved[JOB] = stored.encode_progress(progress)
        site.cut(name)
        site.take_over()
        site.play(60, until=lambda: site.record().worker != name)
        assert site.lapsed(name) == 1
        site.reconnect(name)
        site.step()
        assert site.record().crashes == 0


def waiting_site():
    """Return a site whose task waits for four lost workers, and these."""
    site = test_lapsed_runs.CutHarness(8)
    site.submit(fakes.job(JOB, test_crashing_tasks.step()))
    names = test_lapsed_runs.lose_in_turn(site, crashes.CRASHES_MAX)
    site.play(1)
    return site, names


class TestSilentWorkers:
    """A task waits for workers of which nothing is heard."""

    def test_partition_of_a_minute(self):
        """Guards against a job that fails although its workers return."""
        site, names = waiting_site()
        site.play(65)
        site.reconnect(*names)
        site.play(5)
        assert not site.failed()
        assert site.running()

    def test_registry_is_outdated(self):
        """Guards against silence of the registry that counts as a crash.

        Nothing is heard of any worker while the registry is not read.
        """
        site, names = waiting_site()
        site.dispatcher.confirm_registry(site.now)
        site.play(GONE_S + 10)
        assert site.dispatcher.registry_outdated
        site.dispatcher.confirm_registry(site.now)
        site.step()
        assert not site.failed()
        site.reconnect(*names)
        site.play(2)
        assert site.running()

    @pytest.mark.parametrize("waits", (True, False))
    def test_unlisted_worker_is_asked(self, waits):
        """Guards against silence of a worker that nobody calls.

        A worker that only the store misses answers the leader.
        """

        async def scenario():
            fixture = test_session.SessionFixture(test_session.SkippingClock())
            await fixture.start()
            tracker = fixture.dispatcher.run_tracker
            worker = fixture.session.worker
            fixture.dispatcher.remove_entry(worker.worker)
            fixture.dispatcher.settlement.mark_unreachable(
                worker, fixture.clock.uptime()
            )
            for task in list(fixture.worker.running):
                fixture.worker.end(task, model.EndKind.LEASE_EXPIRED)
            lost = range(crashes.CRASHES_MAX if waits else 1)
            for run in list(worker.runs.values()):
                run.crash = fleet.Crash.UNCONFIRMED
                tracker.drop_run(worker, run, "lapsed", fixture.clock.uptime())
                record = tracker.jobs[run.task.job].progress.tasks[run.task]
                record.unconfirmed += tuple(
                    progresses.LostWorker(ids.WorkerId(f"x{number}"), 1)
                    for number in lost[1:]
                )
            fixture.dispatcher.watchdog.tick(fixture.clock.uptime())
            asked = asyncio.create_task(fixture.session.run())
            await asyncio.sleep(0.05)
            asked.cancel()
            return [
                record.has_lost(worker.worker)
                for job in tracker.jobs.values()
                for record in job.progress.tasks.values()
            ]

        assert asyncio.run(scenario()) == 2 * [not waits]

    def test_reachable_workers_are_not_gone(self):
        """Guards against a job that fails for workers that answer."""
        site, names = waiting_site()
        for name in names:
            site.workers[name].cut_off = False
        site.play(GONE_S + 10)
        assert not site.failed()
        assert site.running()

    def test_job_that_is_given_up_counts(self):
        """Guards against a job that is given up and counts nowhere."""
        site, _ = waiting_site()
        site.play(GONE_S + 5, until=site.failed)
        assert site.failed()
        counted = site.dispatcher.run_tracker.crash_counts.pop()
        assert counted[True] == 1
