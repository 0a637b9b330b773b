"""What operators have ordered, as this process knows it."""

import asyncio
import collections.abc
import dataclasses
import typing

from turmerichook._internal.intake import events
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.storage import interface
from turmerichook import exceptions


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ZoneClosed:
    """An operator has closed a zone: it gets no tasks."""

    zone: ids.ZoneId


class OperatorFormat(typing.Protocol):
    """Where operators' orders are, and how they are read."""

    prefix: str

    def decode(
        self, key: str, value: bytes
    ) -> deployment.Configuration | ZoneClosed | None:
        """Return an order, or None where the key means nothing here.

        :raises MessageError: if the value is malformed.
        """


class OperatorView:
    """Configuration and closed zones.

    The configuration never goes back to an older version.

    :param changed: called after each change.
    """

    def __init__(
        self,
        *,
        form: OperatorFormat,
        changed: collections.abc.Callable[[], None],
    ):
        self.form = form
        self.changed = changed
        self.configuration: deployment.Configuration | None = None
        # Closed zones by the key that closes each.
        self.closed: dict[str, ids.ZoneId] = {}
        # Set once there is a configuration.
        self.known = asyncio.Event()

    @property
    def closed_zones(self) -> frozenset[ids.ZoneId]:
        """Zones that get no tasks."""
        return frozenset(self.closed.values())

    def replace(self, items: list[interface.Item]) -> None:
        """Take all orders at once."""
        listed = {item.key for item in items}
        for key in [key for key in self.closed if key not in listed]:
            self._open(key)
        for item in items:
            self.apply(item)

    def apply(self, change: interface.Item | interface.Removed) -> None:
        """Take one change of the orders."""
        if isinstance(change, interface.Removed):
            if change.key in self.closed:
                self._open(change.key)
            return
        try:
            order = self.form.decode(change.key, change.value)
        except exceptions.MessageError as error:
            logs.emit(
                events.IntakeEvent.CONFIGURATION_UNREADABLE,
                key=change.key,
                revision=change.revision,
                error=str(error),
            )
            return
        match order:
            case deployment.Configuration():
                self._configure(order, change.revision)
            case ZoneClosed(zone=zone) if change.key not in self.closed:
                self.closed[change.key] = zone
                self._log_zones()
                self.changed()

    def _configure(
        self,
        configuration: deployment.Configuration,
        revision: ids.Revision,
    ) -> None:
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        self.configuration = configuration
        logs.emit(
            events.IntakeEvent.CONFIGURATION_IN_FORCE,
            version=configuration.version,
            revision=revision,
            queues=len(configuration.queues),
        )
        self.changed()
        self.known.set()

    def _open(self, key: str) -> None:
        del self.closed[key]
        self._log_zones()
        self.changed()

    def _log_zones(self) -> None:
        logs.emit(
            events.IntakeEvent.ZONES_CLOSED,
            zones=",".join(sorted(self.closed_zones)),
        )
