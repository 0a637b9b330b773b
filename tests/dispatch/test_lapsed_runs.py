"""Tests of workers that are cut off, let their runs lapse and return."""

import pytest

from tests.dispatch import fakes
from tests.dispatch import test_crashing_tasks
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model

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

    def holder(self):
        """Return the name of the only worker that runs anything."""
        (name,) = (n for n, w in self.workers.items() if w.running)
        return name

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
            name = site.holder()
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
