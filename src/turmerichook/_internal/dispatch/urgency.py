"""Waiting steps in the order of their urgency, sorted anew now and then."""

import bisect
import collections.abc
import datetime
import typing

# Urgency changes when an objective is missed or a task starves, seconds after
# a step began to wait; sorting thousands of steps takes longer than a round.
SORTED_FOR = datetime.timedelta(milliseconds=100)

Item = typing.TypeVar("Item")


class Urgency(typing.Generic[Item]):
    """Items in the order of keys that change slowly."""

    def __init__(self):
        self.items: list[Item] = []
        self.keys: dict[Item, typing.Any] = {}
        self.fresh: list[Item] = []
        self.expires: datetime.timedelta | None = None

    def add(self, item: Item) -> None:
        """Add an item, which is put in its place when the order is read."""
        self.fresh.append(item)

    def expired(self, now: datetime.timedelta) -> bool:
        """Tell whether the items are about to be sorted anew."""
        return self.expires is None or now >= self.expires

    def read(
        self,
        *,
        items: collections.abc.Iterable[Item],
        key: collections.abc.Callable[[Item], typing.Any],
        live: collections.abc.Callable[[Item], typing.Any],
        now: datetime.timedelta,
    ) -> list[Item]:
        """Return the items in their order.

        :param items: all that are live, to sort them anew.
        :param live: tells whether an item is still to be kept.
        """
        if self.expired(now):
            self.keys = {item: key(item) for item in items}
            self.items = sorted(self.keys, key=self.keys.__getitem__)
            self.expires = now + SORTED_FOR
        else:
            self.items = [item for item in self.items if live(item)]
            for item in filter(live, self.fresh):
                self.keys[item] = key(item)
                bisect.insort(self.items, item, key=self.keys.__getitem__)
        self.fresh = []
        return list(self.items)
