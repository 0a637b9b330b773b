"""Operators' orders in the store: the configuration and closed zones."""

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
    """Order that closes a zone, so that no tasks are placed in it."""

    zone: ids.ZoneId


class OperatorFormat(typing.Protocol):
    """Decoder of operators' orders.

    :ivar prefix: prefix of the orders' keys in the store.
    """

    prefix: str

    def decode(
        self, key: str, value: bytes
    ) -> deployment.Configuration | ZoneClosed | None:
        """Return an order, or None if the key is not one of an order.

        :raises MessageError: if the value is malformed.
        """


class OperatorView:
    """Configuration in force and closed zones, as last read from the store.

    A configuration only replaces one of a lower version.

    :param on_change: called after each change.
    :ivar closed_zone_by_key: zone that each order in the store closes, by the
        order's key.
    :ivar configured: set once there is a configuration.
    """

    def __init__(
        self,
        *,
        operator_format: OperatorFormat,
        on_change: collections.abc.Callable[[], None],
    ):
        self.operator_format = operator_format
        self.on_change = on_change
        self.configuration: deployment.Configuration | None = None
        self.closed_zone_by_key: dict[str, ids.ZoneId] = {}
        self.configured = asyncio.Event()

    @property
    def closed_zones(self) -> frozenset[ids.ZoneId]:
        """Zones in which no tasks are placed."""
        return frozenset(self.closed_zone_by_key.values())

    def replace(self, items: list[interface.Item]) -> list[interface.Item]:
        """Open the closed zones whose orders are not listed in the store.

        :returns: all listed orders, which are still to be applied. The
            configuration stays if none is listed.
        """
        listed_keys = {item.key for item in items}
        for key in [
            key for key in self.closed_zone_by_key if key not in listed_keys
        ]:
            self._open_zone(key)
        return items

    def apply(self, change: interface.Item | interface.Removed) -> None:
        """Apply one change of an order.

        A malformed order is logged and ignored.
        """
        if isinstance(change, interface.Removed):
            if change.key in self.closed_zone_by_key:
                self._open_zone(change.key)
            return
        try:
            order = self.operator_format.decode(change.key, change.value)
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
            case ZoneClosed(zone=zone) if (
                change.key not in self.closed_zone_by_key
            ):
                self.closed_zone_by_key[change.key] = zone
                self._log_zones()
                self.on_change()

    def _configure(
        self,
        configuration: deployment.Configuration,
        revision: ids.Revision,
    ) -> None:
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.configuration = configuration
        logs.emit(
            events.IntakeEvent.CONFIGURATION_IN_FORCE,
            version=configuration.version,
            revision=revision,
            queues=len(configuration.queues),
        )
        self.on_change()
        self.configured.set()

    def _open_zone(self, key: str) -> None:
        del self.closed_zone_by_key[key]
        self._log_zones()
        self.on_change()

    def _log_zones(self) -> None:
        logs.emit(
            events.IntakeEvent.ZONES_CLOSED,
            zones=",".join(sorted(self.closed_zones)),
        )
