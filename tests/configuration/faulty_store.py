"""A store whose writes fail in the ways that a network can make them fail."""

import collections
import enum

from turmerichook._internal.providers import store_memory
from turmerichook import exceptions


class Fault(enum.Enum):
    """What happens to one write."""

    REFUSED = "refused"
    REQUEST_LOST = "request lost"
    ANSWER_LOST = "answer lost"
    # The write takes effect just before the store's next call.
    LATE = "late"
    # The write takes effect just after the store's next write.
    VERY_LATE = "very late"


class FaultyStore(store_memory.MemoryStore):
    """Fails the writes of keys with given prefixes, one fault each."""

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
        due = [write for kind, write in self.pending if kind is fault]
        self.pending = [item for item in self.pending if item[0] is not fault]
        for key, value, expect, lease in due:
            try:
                await super().put(key, value, expect=expect, lease=lease)
            except exceptions.VersionConflictError:
                # The store refuses a late write whose version has passed.
                continue
