"""Order of waiting steps by urgency, sorted again at intervals."""

import bisect
import collections.abc
import datetime
import typing

# Interval at which all steps are sorted again. Urgency changes when a latency
# objective is missed or a task starves, seconds after a step began to wait.
# Sorting thousands of steps takes longer than a placement round.
RESORT_INTERVAL = datetime.timedelta(milliseconds=100)
# Number of items from which on the interval grows with it, so that sorting
# takes a limited share of the time.
RESORT_ITEMS = 5000

Item = typing.TypeVar("Item")


class UrgencyOrder(typing.Generic[Item]):
    """Items ordered by keys that change slowly."""

    def __init__(self):
        self.sorted_items: list[Item] = []
        self.keys: dict[Item, typing.Any] = {}
        self.unsorted: list[Item] = []
        self.resort_at: datetime.timedelta | None = None

    def add(self, item: Item) -> None:
        """Add an item, which ``read`` inserts at its place in the order."""
        self.unsorted.append(item)

    def resort_due(self, now: datetime.timedelta) -> bool:
        """Return whether the next ``read`` sorts all items again."""
        return self.resort_at is None or now >= self.resort_at

    def read(
        self,
        *,
        all_items: collections.abc.Iterable[Item],
        key: collections.abc.Callable[[Item], typing.Any],
        is_live: collections.abc.Callable[[Item], typing.Any],
        now: datetime.timedelta,
    ) -> list[Item]:
        """Return the items in order.

        :param all_items: all current items, used when they are sorted again.
        :param key: returns the sort key of an item.
        :param is_live: returns whether an item is still current; others are
            dropped between two sorts.
        """
        if self.resort_due(now):
            self.keys = {item: key(item) for item in all_items}
            self.sorted_items = sorted(self.keys, key=self.keys.__getitem__)
            self.resort_at = now + RESORT_INTERVAL * max(
                1.0, len(self.keys) / RESORT_ITEMS
            )
        else:
            self.sorted_items = [
                item for item in self.sorted_items if is_live(item)
            ]
            for item in filter(is_live, self.unsorted):
                self.keys[item] = key(item)
                bisect.insort(
                    self.sorted_items, item, key=self.keys.__getitem__
                )
        self.unsorted = []
        return list(self.sorted_items)
