"""A store that carries writes out seconds later, and never answers them."""

import asyncio

from standins import batch_platform
from turmerichook._internal.http import server


class LateStore(batch_platform.StoreHost):
    """A store of which the answer to a write can be lost.

    :ivar late_key: key of the writes that are to be carried out late.
    :ivar late_count: number of them that are still to come.
    :ivar delay: seconds until they are carried out.
    :ivar done_at: when the last one was, by the loop's clock.
    :ivar outcomes: what became of each of them.
    :ivar changes: number of all writes under a condition.
    """

    def __init__(self):
        super().__init__()
        self.late_key = ""
        self.late_count = 0
        self.delay = 0.0
        self.done_at = 0.0
        self.outcomes: list[str] = []
        self.changes = 0
        self.tasks: set[asyncio.Task] = set()

    async def _call(
        self, exchange: server.Exchange, document: dict
    ) -> tuple[int, dict]:
        keys = [row["key"] for row in document.get("set-keys", ())]
        self.changes += exchange.head.path == "/v1/kv-txn"
        if not self.late_count or self.late_key not in keys:
            return await super()._call(exchange, document)
        # The channel returns nothing further; the call is carried out later
        # if its condition still holds.
        self.late_count -= 1
        task = asyncio.create_task(self._carry_out(document))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        await asyncio.sleep(batch_platform.SILENCE_S)
        raise AssertionError

    async def _carry_out(self, document: dict) -> None:
        await asyncio.sleep(self.delay)
        status, _ = await self._transaction(document)
        self.done_at = asyncio.get_running_loop().time()
        self.outcomes.append("done" if status == 200 else "condition not met")
