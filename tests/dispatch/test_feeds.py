"""Tests of what the leader reads at the beginning of its term."""

import asyncio
import time

from tests.dispatch import fakes
from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import dispatcher as dispatchers
from turmerichook._internal.dispatch import feeds
from turmerichook._internal.dispatch import keys
from turmerichook._internal.dispatch import leadership
from turmerichook._internal.models import ids
from turmerichook._internal.storage import interface
from turmerichook._internal.workflow import progress as progresses
from turmerichook._internal.workflow import stored

FEW_JOBS = 1000
MANY_JOBS = 8000


class EmptyRegistry:
    """A registry format; the registry has no entries."""

    prefix = "workers/"


class FinalJobs:
    """A store that contains the progress of final jobs only."""

    def __init__(self, count):
        progress = progresses.Progress(spec=fakes.job())
        progress.open_occurrence()
        progress.canceled = True
        value = stored.encode_progress(progress)
        self.items = tuple(
            interface.Item(
                key=keys.progress(ids.JobId(f"{number:016x}")),
                value=value,
                revision=ids.Revision(1),
            )
            for number in range(count)
        )

    async def page(self, prefix, *, after=""):
        items = self.items if prefix == keys.PROGRESS_PREFIX else ()
        return interface.Page(
            items=items, more=False, revision=ids.Revision(1)
        )


class TestRecovery:
    """A leader takes over when many jobs have ended."""

    def recover(self, count):
        """Return the processor time of a recovery in seconds."""
        clock = clocks.SystemClock()
        dispatcher = dispatchers.Dispatcher(
            timing=fakes.TIMING, configuration=fakes.CONFIGURATION
        )
        feed = feeds.Feeds(
            storage=FinalJobs(count),
            registry_format=EmptyRegistry(),
            dispatcher=dispatcher,
            clock=clock,
            changed=asyncio.Event(),
            on_worker=lambda worker: None,
        )
        term = leadership.Term(
            lease=ids.LeaseId(1),
            token=ids.FencingToken(1),
            confirmed_at=clock.uptime(),
            clock=clock,
        )
        began = time.process_time()
        asyncio.run(feed.recover(term))
        assert len(dispatcher.final) == count
        return time.process_time() - began

    def test_time_is_not_quadratic_in_ended_jobs(self):
        """Guards against a recovery time that is quadratic in ended jobs.

        12,000 ended jobs, ten minutes of traffic on a large site, took 0.6 s
        of a whole processor, during which no task starts. Eight times as many
        jobs took 40 times as long.
        """
        time_of_few = min(self.recover(FEW_JOBS) for _ in range(3))
        time_of_many = min(self.recover(MANY_JOBS) for _ in range(3))
        assert time_of_many < 24 * time_of_few
