"""The endpoints of all services, as announced by the zones' owners."""

import collections.abc
import dataclasses

from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal.routing import events
from turmerichook._internal.scheduling import messages

# Owners confirm a table without changes every 5 s.
OLD_S = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """A running replica of a service.

    :param address: ``ip:port``.
    :param slots: requests that it works on at once.
    :param connections: connections that it accepts from all gateways.
    """

    service: ids.ServiceId
    task: ids.TaskId
    zone: ids.ZoneId
    address: str
    slots: int
    connections: int
    leaving: bool


class EndpointDirectory:
    """Newest table of each zone; times are monotonic seconds."""

    def __init__(self):
        self.versions: dict[str, tuple[int, int]] = {}
        self.by_zone: dict[str, tuple[Endpoint, ...]] = {}
        self.tables: dict[str, messages.EndpointTable] = {}
        self.by_service: dict[str, list[Endpoint]] = {}
        self.confirmed: dict[str, float] = {}
        self.old: set[str] = set()

    def update(self, table: messages.EndpointTable, now: float = 0.0) -> bool:
        """Take a table if it is newer than the zone's present one.

        :returns: whether the endpoints have changed.
        """
        version = (table.epoch, table.sequence)
        if version <= self.versions.get(table.zone, (0, 0)):
            return False
        try:
            endpoints = tuple(_endpoints(table))
        except (TypeError, ValueError):
            # A table of another format is as good as none.
            return False
        self.versions[table.zone] = version
        self.tables[table.zone] = table
        self.confirmed[table.zone] = now
        self.old.discard(table.zone)
        if endpoints == self.by_zone.get(table.zone, ()):
            self.by_zone[table.zone] = endpoints
            return False
        logs.emit(
            events.RoutingEvent.ENDPOINTS_CHANGED,
            zone=table.zone,
            epoch=table.epoch,
            count=len(endpoints),
        )
        self.by_zone[table.zone] = endpoints
        self._index()
        return True

    def confirm(
        self, message: messages.EndpointsConfirmed, now: float
    ) -> None:
        """Note that a zone's table is still the newest one."""
        version = self.versions.get(message.zone, (0, 0))
        if version >= (message.epoch, message.table):
            self.confirmed[message.zone] = now
            self.old.discard(message.zone)

    def ages(self, now: float) -> dict[str, float]:
        """Return the age of each zone's table in seconds."""
        return {zone: now - at for zone, at in self.confirmed.items()}

    def report_old(self, now: float) -> None:
        """Write a line for each zone whose table has become old.

        An old table stays in use: endpoints that do not answer are ejected,
        and a zone that is cut off goes on with what it knows.
        """
        for zone, age in self.ages(now).items():
            if age >= OLD_S and zone not in self.old:
                self.old.add(zone)
                logs.emit(
                    events.RoutingEvent.ENDPOINTS_OLD,
                    zone=zone,
                    age_s=round(age, 1),
                    count=len(self.by_zone[zone]),
                )

    def _index(self) -> None:
        index: dict[str, list[Endpoint]] = {}
        for zone in sorted(self.by_zone):
            for endpoint in self.by_zone[zone]:
                if not endpoint.leaving:
                    index.setdefault(endpoint.service, []).append(endpoint)
        self.by_service = index


def _endpoints(
    table: messages.EndpointTable,
) -> collections.abc.Iterator[Endpoint]:
    for service, task, address, slots, connections, leaving in table.endpoints:
        yield Endpoint(
            service=ids.ServiceId(service),
            task=ids.TaskId(task),
            zone=ids.ZoneId(table.zone),
            address=address,
            slots=slots,
            connections=connections,
            leaving=leaving,
        )
