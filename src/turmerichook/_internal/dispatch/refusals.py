"""Resource needs of fillers that no worker could take recently.

The interference of a filler grows with the processors that it requests. When
no worker takes a filler, none takes another filler of the same image that
requests at least as much either.
"""

import collections
import collections.abc
import datetime
import typing

from turmerichook._internal.dispatch import task_needs


class Refusal(typing.NamedTuple):
    """Needs that no worker could meet, and when that is checked again."""

    needs: task_needs.Needs
    until: datetime.timedelta


class Refusals:
    """Refused needs, by the kind of tasks whose needs can be compared."""

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
        """Record that no worker takes a task with these needs.

        :param until: when the refusal expires.
        """
        unexpired = [r for r in self.by_kind.get(kind, ()) if now < r.until]
        self.by_kind[kind] = [*unexpired, Refusal(needs, until)]

    def until(
        self,
        kind: collections.abc.Hashable,
        needs: task_needs.Needs,
        now: datetime.timedelta,
    ) -> datetime.timedelta | None:
        """Return when a refusal that covers a task expires, or None."""
        for refusal in self.by_kind.get(kind, ()):
            if now < refusal.until and needs.at_least(refusal.needs):
                return refusal.until
        return None

    def remove_expired(self, now: datetime.timedelta) -> None:
        """Remove each kind of tasks whose latest refusal has expired."""
        self.by_kind = {
            kind: refused
            for kind, refused in self.by_kind.items()
            if now < refused[-1].until
        }
