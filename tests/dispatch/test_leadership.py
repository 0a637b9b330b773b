"""Tests of the competition for the leader's lease."""

import asyncio
import random

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import leadership
from turmerichook._internal.models import ids
from turmerichook._internal.storage import memory


class TestUnequalHosts:
    """Pattern: entry hosts of half a processor beside large ones."""

    def test_small_host_leaves_the_lease_to_a_large_one(self):
        """Guards against a leader that cannot keep up with its workers.

        Seen on dzwon-ops-grown quiet-1: the leader ran on a host with 0.516
        processors, jobs waited for 5 s, and rules were broken.
        """

        async def scenario(draw):
            clock = clocks.SystemClock()
            storage = memory.MemoryStorage(clock=clock)

            async def win(node, processors):
                await leadership.Candidate(
                    node=ids.NodeId(node),
                    storage=storage,
                    clock=clock,
                    draw=random.Random(draw),
                    processors=processors,
                ).win()
                return node

            small = asyncio.create_task(win("small", 0.516))
            # The large one starts last.
            await asyncio.sleep(0.3)
            large = asyncio.create_task(win("large", 2.15))
            done, under_way = await asyncio.wait(
                (small, large), return_when=asyncio.FIRST_COMPLETED
            )
            for task in under_way:
                task.cancel()
            return [task.result() for task in done]

        for draw in range(3):
            assert asyncio.run(scenario(draw)) == ["large"]
