"""Tests of reports that do not list all ends that the worker holds."""

import asyncio
import json

import pytest

from standins import batch_worker
from tests.dispatch import fakes
from tests.dispatch import test_leader
from turmerichook._internal.http import calls
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.platform import worker_calls
from turmerichook._internal.workflow import model
from turmerichook import exceptions

JOB = ids.JobId("00000000000000aa")
TASKS = 12
LISTED_MAX = 5
SMALL = resources.Resources(millicores=10, memory_mib=10)


def end_all(worker):
    """End all runs of a worker as done."""
    for task in list(worker.running):
        worker.end(task, model.EndKind.DONE)


class TestMoreEndsThanOneReportLists:
    """Tasks end while nobody acknowledges, more than a report can list."""

    @pytest.fixture(autouse=True)
    def _few_ends_listed(self, monkeypatch):
        monkeypatch.setattr(batch_worker, "ENDS_LISTED_MAX", LISTED_MAX)

    async def _started(self):
        site = test_leader.Site("w1")
        worker = site.workers.workers[ids.WorkerId("w1")]
        site.submit(fakes.job(JOB, fakes.step(TASKS, demand=SMALL)))
        term, running = await site.lead()
        await site.until(lambda: len(worker.running) == TASKS)
        return site, worker, term, running

    async def _finish(self, site, worker):
        def completed():
            end_all(worker)
            return site.state(JOB) is model.JobState.COMPLETED

        await site.until(completed)

    def test_next_leader_starts_none_again(self):
        """Guards against tasks done twice after a kill of the leader.

        Runs whose ends a report left out were taken for never started.
        """

        async def scenario():
            site, worker, first, running = await self._started()
            first.end("killed")
            await running
            end_all(worker)
            second, running = await site.lead()
            await self._finish(site, worker)
            second.end("test")
            await running
            return len(worker.starts), len(worker.done)

        assert asyncio.run(scenario()) == (TASKS, TASKS)

    def test_same_leader_starts_none_again(self):
        """Guards against tasks done twice after a time without the store."""

        async def scenario():
            site, worker, term, running = await self._started()
            site.storage.down = True
            end_all(worker)
            await asyncio.sleep(0.7)
            site.storage.down = False
            await self._finish(site, worker)
            term.end("test")
            await running
            return len(worker.starts), len(worker.done)

        assert asyncio.run(scenario()) == (TASKS, TASKS)


def decode(document):
    """Decode the answer to a renewal."""
    return worker_calls._decode_report(
        fakes.entry("w1"),
        calls.Answer(
            status=200, headers=[], body=json.dumps(document).encode()
        ),
    )


class TestAnswerToARenewal:
    """What a worker's answer says about runs that it does not list."""

    @pytest.mark.parametrize("count", (0, 1, 499, 500))
    def test_complete_below_the_limit_only(self, count):
        """Guards against a list at the platform's limit taken for all."""
        rows = [
            [number, f"{JOB}.0.0.{number}", 1, "done", ""]
            for number in range(1, count + 1)
        ]
        report = decode({"clock-ms": 5, "running": [], "finished": rows})
        assert report.ends_complete == (count < 500)

    @pytest.mark.parametrize("field", ("running", "finished"))
    def test_missing_list_is_no_empty_list(self, field):
        """Guards against runs taken for ended as the answer lacks a list."""
        document = {"clock-ms": 5, "running": [], "finished": []}
        del document[field]
        with pytest.raises(exceptions.WorkerUnreachableError):
            decode(document)
