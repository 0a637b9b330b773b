"""Tests of what the leader reads when its term begins."""

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

FEW = 1000
MANY = 8000


class Registry:
    """A registry without workers."""

    prefix = "workers/"


class FinalJobs:
    """A store that holds nothing but the progress of final jobs."""

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
        found = self.items if prefix == keys.PROGRESS_PREFIX else ()
        return interface.Page(
            items=found, more=False, revision=ids.Revision(1)
        )


class TestRecovery:
    """Pattern: a leader takes over late in a long day."""

    def recover(self, count):
        """Return the processor time of a recovery."""
        clock = clocks.SystemClock()
        dispatcher = dispatchers.Dispatcher(
            timing=fakes.TIMING, configuration=fakes.CONFIGURATION
        )
        read = feeds.Feeds(
            storage=FinalJobs(count),
            registry_format=Registry(),
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
        asyncio.run(read.recover(term))
        assert len(dispatcher.final) == count
        return time.process_time() - began

    def test_time_grows_with_the_number_of_ended_jobs(self):
        """Guards against a recovery that grows with their square.

        12,000 ended jobs, ten minutes of traffic on a large site, took 0.6 s
        of a whole processor, in which nothing starts. Eight times the jobs
        took 40 times as long.
        """
        small = min(self.recover(FEW) for _ in range(3))
        long = min(self.recover(MANY) for _ in range(3))
        assert long < 24 * small
