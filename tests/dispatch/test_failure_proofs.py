"""Tests that no job fails without a proof.

The proofs are listed in ``docs/platform.md``, "When a job is shown as failed".
"""

import asyncio
import dataclasses

from tests.dispatch import fakes
from tests.dispatch import test_inherited_leases
from tests.dispatch import test_leader
from turmerichook._internal.dispatch import orders
from turmerichook._internal.models import deployment

DRAINING = deployment.WorkerState.DRAINING


class TestPlannedStopAtAChange:
    """A worker restarts as planned while the leader changes."""

    def test_does_not_count(self, monkeypatch):
        """Guards against a planned stop that counts as a crash.

        The former leader saw the worker drain, and stored it. The worker was
        listed again as another incarnation when its successor read the
        registry.
        """

        def decode(_, key, value):
            worker = key.removeprefix(test_leader.Registry.prefix)
            return fakes.entry(worker, incarnation=int(value or b"1"))

        async def scenario():
            async with test_inherited_leases.new_site() as site:
                first = site.start("a")
                await first.lead()
                await site.run_task(first)
                workers = site.workers.workers
                (name,) = [n for n, w in workers.items() if w.running]
                workers[name].cut_off = False
                leaving = first.leader.dispatcher.workers[name]
                leaving.entry = dataclasses.replace(
                    leaving.entry, state=DRAINING
                )
                # The stop of the task is not carried out.
                site.workers.stop = lambda *_: asyncio.sleep(
                    9, orders.Unknown(detail="lost")
                )
                inherited = first.leader.inherited_leases
                await site.until(lambda: inherited.named)
                await first.kill()
                workers[name].restart()
                site.storage.put(f"workers/{name}", b"2")
                second = site.start("b")
                await second.lead()
                await site.until(lambda: site.starts() == 2)
                jobs = second.leader.dispatcher.jobs
                task = test_inherited_leases.TASK
                return jobs[task.job].progress.tasks[task]

        monkeypatch.setattr(test_leader.Registry, "decode", decode)
        record = asyncio.run(scenario())
        assert (record.crashes, record.unconfirmed) == (0, ())
