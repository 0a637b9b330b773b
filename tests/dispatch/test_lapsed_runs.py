"""Tests of workers that are cut off, let their runs lapse and return."""

import pytest

from tests.dispatch import fakes
from tests.dispatch import test_crashing_tasks
from turmerichook._internal.dispatch import crash_counts
from turmerichook._internal.dispatch import crashes
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import stored

SECOND = fakes.SECOND
JOB = test_crashing_tasks.JOB
CUTS = 8


class CutHarness(test_crashing_tasks.CrashHarness):
    """Workers that never crash, but are cut off from leader and registry."""

    def __init__(self, count):
        super().__init__(*test_crashing_tasks.workers(count))
        self.crashing = set()

    def cut(self, *names):
        """Cut workers off; the registry no longer lists them."""
        for name in names:
            self.workers[name].cut_off = True
            self.dispatcher.remove_entry(ids.WorkerId(name))
        self.entries = tuple(n for n in self.entries if n not in names)

    def reconnect(self, *names):
        """Let workers be reached and listed again."""
        for name in names:
            self.workers[name].cut_off = False
            self.dispatcher.set_entry(self.entry(name), self.now)
        self.entries += names

    def holders(self, lost=()):
        """Return the names of the workers that run the first task.

        :param lost: names of workers that are left out.
        """
        return [
            name
            for name, worker in self.workers.items()
            if test_crashing_tasks.CRASHING in worker.running
            and name not in lost
        ]

    def record(self):
        """Return the leader's record of the first task."""
        tasks = self.dispatcher.jobs[JOB].progress.tasks
        return tasks[test_crashing_tasks.CRASHING]

    def records(self):
        """Return the leader's records of the job's tasks."""
        return list(self.dispatcher.jobs[JOB].progress.tasks.values())

    def lapsed(self, name):
        """Return how many of a worker's runs ended without a lease."""
        return sum(
            end.kind is model.EndKind.LEASE_EXPIRED
            for end in self.workers[name].ends
        )


class TestLapsedRuns:
    """Runs lapse on workers that live, and no run fails."""

    @pytest.mark.parametrize("leaders_change", (True, False))
    @pytest.mark.parametrize("long_running", (True, False))
    def test_no_job_fails_for_workers_that_return(
        self, long_running, leaders_change
    ):
        """Guards against lapsed runs that count as crashes of workers.

        Each worker is cut off just after the start and returns, with the
        incarnation that it had, once the run has lapsed.
        """
        site = CutHarness(6)
        step = test_crashing_tasks.step(long_running=long_running)
        site.submit(fakes.job(JOB, step))
        for _ in range(CUTS):
            site.play(30, until=lambda: bool(site.running()))
            (name,) = site.holders()
            site.play(0.3)
            site.cut(name)
            if leaders_change:
                site.play(2)
                site.take_over()
            site.play(
                40,
                until=lambda: site.lapsed(name) and len(site.running()) == 1,
            )
            site.reconnect(name)
            assert not site.failed()
        site.play(5)
        assert len(site.running()) == 1


def lose_in_turn(site, count, *, leaders_change=False):
    """Cut the worker of each start off, one after another.

    :returns: the names of the workers, all of which are still cut off.
    """
    names = []
    for _ in range(count):
        site.play(30, until=lambda: bool(site.holders(names)))
        (name,) = site.holders(names)
        site.play(0.3)
        site.cut(name)
        names.append(name)
        if leaders_change:
            site.play(2)
            site.take_over()
        site.play(40, until=lambda: site.record().worker != name)
    return names


class TestUnconfirmedCrashes:
    """Workers are lost in turn, and are out of reach at the same time."""

    @pytest.mark.parametrize("leaders_change", (True, False))
    def test_task_waits_and_starts_when_one_returns(self, leaders_change):
        """Guards against a job that fails before a crash is sure.

        It also guards against starts beyond the limit meanwhile.
        """
        site = CutHarness(8)
        site.submit(fakes.job(JOB, test_crashing_tasks.step()))
        names = lose_in_turn(
            site, crashes.CRASHES_MAX, leaders_change=leaders_change
        )
        site.play(10)
        assert not site.failed()
        assert site.starts() == crashes.CRASHES_MAX
        assert not site.running()
        site.reconnect(names[0])
        site.play(10)
        assert not site.failed()
        assert len(site.running()) == 1
        assert site.starts() == crashes.CRASHES_MAX + 1

    def test_gang_waits(self):
        """Guards against a gang that is started with a member that waits."""
        site = CutHarness(8)
        step = test_crashing_tasks.step(count=2, gang=True)
        site.submit(fakes.job(JOB, step))
        names = lose_in_turn(site, crashes.CRASHES_MAX)
        site.play(10)
        assert not site.running()
        site.reconnect(names[0])
        site.play(10)
        assert len(site.running()) == 2

    def test_workers_that_restart_count(self):
        """Guards against starts of a task that each lost worker crashed of."""
        site = CutHarness(8)
        site.submit(fakes.job(JOB, test_crashing_tasks.step()))
        names = lose_in_turn(site, crashes.CRASHES_MAX)
        for name in names:
            assert not site.failed()
            site.workers[name].restart()
            site.reconnect(name)
            site.play(2)
        assert site.failed()
        assert site.starts() == crashes.CRASHES_MAX

    def test_workers_that_do_not_return_count_at_last(self):
        """Guards against a job that waits for ever for dead workers."""
        site = CutHarness(8)
        site.submit(fakes.job(JOB, test_crashing_tasks.step()))
        lose_in_turn(site, crashes.CRASHES_MAX)
        site.play(crash_counts.GONE_AFTER / SECOND - 5)
        assert not site.failed()
        site.play(10)
        assert site.failed()
        assert site.starts() == crashes.CRASHES_MAX

    def test_entry_shows_that_a_worker_lives(self):
        """Guards against a worker that only the leader cannot reach.

        The worker has written its registry entry again, so that it is alive.
        """
        site = CutHarness(8)
        site.submit(fakes.job(JOB, test_crashing_tasks.step()))
        names = lose_in_turn(site, crashes.CRASHES_MAX)
        site.dispatcher.set_entry(site.entry(names[0]), site.now)
        site.play(10)
        assert len(site.running()) == 1

    def test_entry_of_an_earlier_incarnation(self):
        """Guards against an outdated entry that passes for a sign of life."""
        site = CutHarness(8)
        site.submit(fakes.job(JOB, test_crashing_tasks.step()))
        (name,) = lose_in_turn(site, 1)
        former = fakes.entry(name, incarnation=1)
        site.workers[name].restart()
        site.dispatcher.set_entry(site.entry(name), site.now)
        site.dispatcher.set_entry(former, site.now)
        record = site.record()
        assert (record.crashes, record.unconfirmed) == (1, ())

    def test_worker_restarts_while_the_task_runs_elsewhere(self):
        """Guards against a job that fails while its task proves to run."""
        site = CutHarness(8)
        site.submit(fakes.job(JOB, test_crashing_tasks.step()))
        names = lose_in_turn(site, crashes.CRASHES_MAX - 1)
        site.play(10, until=lambda: bool(site.holders(names)))
        for name in names:
            site.workers[name].restart()
            site.reconnect(name)
        site.step()
        record = site.record()
        assert record.crashes == crashes.CRASHES_MAX - 1
        site.play(4)
        assert not site.failed()
        assert not record.suspected

    def test_is_stored(self):
        """Guards against a lost worker that the next leader does not know."""
        site = CutHarness(8)
        site.submit(fakes.job(JOB, test_crashing_tasks.step()))
        names = lose_in_turn(site, 2)
        site.step()
        progress = stored.decode_progress(site.specs[JOB], site.saved[JOB])
        assert progress.tasks[test_crashing_tasks.CRASHING].unconfirmed == (
            (names[0], 1),
            (names[1], 1),
        )
