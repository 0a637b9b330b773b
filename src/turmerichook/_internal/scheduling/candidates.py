"""Index that finds hosts with enough room without a scan of all hosts.

The index is a binary tree over host slots. Each inner node holds, for each
resource, the largest free amount below it, so a subtree without enough of one
resource is skipped as a whole. A search for a fitting host usually visits a
number of nodes that grows with the logarithm of the number of hosts. It
degrades only where one subtree has hosts with enough of each resource but no
host with enough of all.
"""

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources

NOT_FOUND = -1
# Free amount of slots that may get nothing; below every amount that is asked.
CLOSED = -1
FIRST_SIZE = 16


class FitIndex:
    """Hosts by their free room; hosts that are closed are never found."""

    def __init__(self):
        self.size = FIRST_SIZE
        self.names: list[ids.HostId | None] = []
        self.slots: dict[ids.HostId, int] = {}
        self.unused: list[int] = []
        self._allocate()

    def __len__(self):
        return len(self.slots)

    def put(self, host: ids.HostId, free: resources.Resources) -> None:
        """Set what is free on a host."""
        slot = self.slots.get(host)
        if slot is None:
            slot = self._new_slot(host)
        self._set(slot, free.millicores, free.memory_mib, free.accelerators)

    def close(self, host: ids.HostId) -> None:
        """Keep a host from being found."""
        slot = self.slots.get(host)
        if slot is not None:
            self._set(slot, CLOSED, CLOSED, CLOSED)

    def remove(self, host: ids.HostId) -> None:
        """Forget a host; its slot is used again."""
        slot = self.slots.pop(host, None)
        if slot is not None:
            self._set(slot, CLOSED, CLOSED, CLOSED)
            self.names[slot] = None
            self.unused.append(slot)

    def find(self, need: resources.Resources, start: float) -> int:
        """Return the next slot with enough room, or ``NOT_FOUND``.

        :param start: where the search begins, as a share of all slots (at
            least 0, below 1); it wraps around at the end.
        """
        first = int(start * len(self.names))
        found = self._search(need, first)
        if found == NOT_FOUND and first:
            found = self._search(need, 0)
        return found

    def _search(self, need: resources.Resources, first: int) -> int:
        millicores = need.millicores
        memory = need.memory_mib
        accelerators = need.accelerators
        free_millicores = self.millicores
        free_memory = self.memory
        free_accelerators = self.accelerators
        size = self.size
        node = size + first
        while node:
            if (
                free_millicores[node] >= millicores
                and free_memory[node] >= memory
                and free_accelerators[node] >= accelerators
            ):
                if node >= size:
                    return node - size
                node += node
                continue
            # The next subtree to the right: up from right children, then
            # over to the sibling. The root leads to 0.
            while node & 1:
                node >>= 1
            if node:
                node += 1
        return NOT_FOUND

    def _allocate(self) -> None:
        self.millicores = [CLOSED] * (2 * self.size)
        self.memory = [CLOSED] * (2 * self.size)
        self.accelerators = [CLOSED] * (2 * self.size)

    def _new_slot(self, host: ids.HostId) -> int:
        if self.unused:
            slot = self.unused.pop()
            self.names[slot] = host
        else:
            slot = len(self.names)
            self.names.append(host)
            if slot >= self.size:
                self._grow()
        self.slots[host] = slot
        return slot

    def _grow(self) -> None:
        former = (self.millicores, self.memory, self.accelerators)
        size = self.size
        self.size *= 2
        self._allocate()
        for slot in range(size):
            self._set(slot, *(amounts[size + slot] for amounts in former))

    def _set(
        self, slot: int, millicores: int, memory: int, accelerators: int
    ) -> None:
        _raise_to(self.millicores, self.size + slot, millicores)
        _raise_to(self.memory, self.size + slot, memory)
        _raise_to(self.accelerators, self.size + slot, accelerators)


def _raise_to(largest: list[int], node: int, amount: int) -> None:
    """Set a leaf and the largest amounts on the way to the root."""
    if largest[node] == amount:
        return
    largest[node] = amount
    while node > 1:
        sibling = largest[node ^ 1]
        if sibling > amount:
            amount = sibling
        node >>= 1
        if largest[node] == amount:
            return
        largest[node] = amount
