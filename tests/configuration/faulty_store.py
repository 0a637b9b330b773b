"""In-memory store whose writes fail as they can fail over a network."""

import collections
import enum

from turmerichook._internal.providers import store_memory
from turmerichook import exceptions


class Fault(enum.Enum):
    """Way in which one write fails."""

    # The store answers that it is unavailable and does not write.
    REFUSED = "refused"
    REQUEST_LOST = "request lost"
    ANSWER_LOST = "answer lost"
    # The caller gets no answer. The write takes effect just before the next
    # call of the store.
    LATE = "late"
    # The caller gets no answer. The write takes effect just after the next
    # write that succeeds.
    VERY_LATE = "very late"


class FaultyStore(store_memory.MemoryStore):
    """Store that applies a list of faults to writes under a key prefix.

    ``faults`` maps a key prefix to its faults; each write of a key with that
    prefix uses up the first one.
    """

    def __init__(self, *, clock):
        super().__init__(clock=clock)
        self.faults = collections.defaultdict(list)
        self.pending = []
        self.calls = []

    async def get(self, key):
        await self._deliver(Fault.LATE)
        self.calls.append(("get", key))
        return await super().get(key)

    async def put(self, key, value, *, expect, lease=None):
        await self._deliver(Fault.LATE)
        self.calls.append(("put", key))
        fault = self._fault(key)
        write = (key, value, expect, lease)
        if fault is None:
            version = await super().put(key, value, expect=expect, lease=lease)
            await self._deliver(Fault.VERY_LATE)
            return version
        if fault is Fault.REFUSED:
            raise exceptions.StoreUnavailableError(message="refused")
        if fault is Fault.ANSWER_LOST:
            await super().put(key, value, expect=expect, lease=lease)
        elif fault is not Fault.REQUEST_LOST:
            self.pending.append((fault, write))
        raise exceptions.StoreOutcomeUnknownError(message=fault.value)

    def _fault(self, key):
        for prefix, faults in self.faults.items():
            if key.startswith(prefix) and faults:
                return faults.pop(0)
        return None

    async def _deliver(self, fault):
        due_writes = [
            write
            for pending_fault, write in self.pending
            if pending_fault is fault
        ]
        self.pending = [
            pending_write
            for pending_write in self.pending
            if pending_write[0] is not fault
        ]
        for key, value, expect, lease in due_writes:
            try:
                await super().put(key, value, expect=expect, lease=lease)
            except exceptions.VersionConflictError:
                # The key has a newer version by now, so the store refuses the
                # late write.
                continue
