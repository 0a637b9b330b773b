"""Index that finds hosts with enough free capacity without a full scan.

The index is a segment tree of maxima, with one leaf for each host position.
Each inner node stores, for each resource, the largest free amount below it,
so a subtree without enough of one resource is skipped as a whole. A search
usually visits a number of nodes that grows with the logarithm of the number
of hosts. It visits more nodes only where a subtree has enough of each
resource on different hosts, but no single host with enough of all resources.
"""

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources

NOT_FOUND = -1
# Free amount at positions that no search may return. It is less than every
# amount that a search asks for, since these are at least 0.
EXCLUDED = -1
INITIAL_SIZE = 16


class FitIndex:
    """Hosts by free capacity; a search never returns an excluded host."""

    def __init__(self):
        self.size = INITIAL_SIZE
        self.hosts: list[ids.HostId | None] = []
        self.positions: dict[ids.HostId, int] = {}
        self.free_positions: list[int] = []
        self._allocate()

    def __len__(self):
        return len(self.positions)

    def set_free(self, host: ids.HostId, free: resources.Resources) -> None:
        """Set the free capacity of a host and include the host in searches."""
        position = self.positions.get(host)
        if position is None:
            position = self._assign_position(host)
        self._set(
            position, free.millicores, free.memory_mib, free.accelerators
        )

    def exclude(self, host: ids.HostId) -> None:
        """Exclude a host from searches until its free capacity is set."""
        position = self.positions.get(host)
        if position is not None:
            self._set(position, EXCLUDED, EXCLUDED, EXCLUDED)

    def remove(self, host: ids.HostId) -> None:
        """Remove a host; its position is reused for another one."""
        position = self.positions.pop(host, None)
        if position is not None:
            self._set(position, EXCLUDED, EXCLUDED, EXCLUDED)
            self.hosts[position] = None
            self.free_positions.append(position)

    def find(self, need: resources.Resources, start: float) -> int:
        """Return the next position with enough capacity, or ``NOT_FOUND``.

        :param start: where the search begins, as a share of all positions
            (at least 0, below 1). A search that reaches the end without a
            result goes on from the first position.
        """
        first = int(start * len(self.hosts))
        position = self._search(need, first)
        if position == NOT_FOUND and first:
            position = self._search(need, 0)
        return position

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
            # Go to the next subtree on the right: up while the node is a
            # right child, then to the sibling on the right. At the right
            # edge of the tree the node becomes 0, which ends the search.
            while node & 1:
                node >>= 1
            if node:
                node += 1
        return NOT_FOUND

    def _allocate(self) -> None:
        self.millicores = [EXCLUDED] * (2 * self.size)
        self.memory = [EXCLUDED] * (2 * self.size)
        self.accelerators = [EXCLUDED] * (2 * self.size)

    def _assign_position(self, host: ids.HostId) -> int:
        if self.free_positions:
            position = self.free_positions.pop()
            self.hosts[position] = host
        else:
            position = len(self.hosts)
            self.hosts.append(host)
            if position >= self.size:
                self._grow()
        self.positions[host] = position
        return position

    def _grow(self) -> None:
        former = (self.millicores, self.memory, self.accelerators)
        size = self.size
        self.size *= 2
        self._allocate()
        for position in range(size):
            self._set(
                position, *(amounts[size + position] for amounts in former)
            )

    def _set(
        self, position: int, millicores: int, memory: int, accelerators: int
    ) -> None:
        _set_leaf(self.millicores, self.size + position, millicores)
        _set_leaf(self.memory, self.size + position, memory)
        _set_leaf(self.accelerators, self.size + position, accelerators)


def _set_leaf(largest: list[int], node: int, amount: int) -> None:
    """Set a leaf and update the maxima of its ancestors."""
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
