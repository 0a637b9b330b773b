"""What fillers asked for in vain a moment ago.

The harm that a filler does grows with the processors it asks for, so that one
which asks for no less than another of its image fits nowhere either.
"""

import collections
import collections.abc
import datetime
import typing

from turmerichook._internal.dispatch import task_needs


class Refusal(typing.NamedTuple):
    """Needs that no worker could meet, and how long that is relied on."""

    needs: task_needs.Needs
    until: datetime.timedelta


class Refusals:
    """Refused needs, by the kind of tasks that can be compared."""

    def __init__(self):
        self.by_kind: dict[collections.abc.Hashable, list[Refusal]] = {}

    def note(
        self,
        kind: collections.abc.Hashable,
        needs: task_needs.Needs,
        *,
        now: datetime.timedelta,
        until: datetime.timedelta,
    ) -> None:
        """Note that no worker takes a task."""
        left = [r for r in self.by_kind.get(kind, ()) if now < r.until]
        self.by_kind[kind] = [*left, Refusal(needs, until)]

    def until(
        self,
        kind: collections.abc.Hashable,
        needs: task_needs.Needs,
        now: datetime.timedelta,
    ) -> datetime.timedelta | None:
        """Return how long a task need not be tried, if it need not be."""
        for refusal in self.by_kind.get(kind, ()):
            if now < refusal.until and needs.cover(refusal.needs):
                return refusal.until
        return None

    def clean(self, now: datetime.timedelta) -> None:
        """Forget what is not relied on any more."""
        self.by_kind = {
            kind: refused
            for kind, refused in self.by_kind.items()
            if now < refused[-1].until
        }
