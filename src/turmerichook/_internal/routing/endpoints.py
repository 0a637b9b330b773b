"""Directory of the endpoints of all services, announced by zone owners."""

import collections.abc
import dataclasses

from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal.routing import events
from turmerichook._internal.scheduling import messages

# Age at which a table is reported as stale. Owners confirm a table that has
# not changed every 5 s.
STALE_TABLE_S = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """A running replica of a service.

    :param address: ``ip:port``.
    :param slots: requests that it processes at once.
    :param connections: connections that it accepts from all gateways together.
    :param leaving: whether it is about to stop and gets no new requests.
    """

    service: ids.ServiceId
    task: ids.TaskId
    zone: ids.ZoneId
    address: str
    slots: int
    connections: int
    leaving: bool


class EndpointDirectory:
    """The newest endpoint table of each zone; times are monotonic seconds."""

    def __init__(self):
        self.versions: dict[str, tuple[int, int]] = {}
        self.by_zone: dict[str, tuple[Endpoint, ...]] = {}
        self.tables: dict[str, messages.EndpointTable] = {}
        self.by_service: dict[str, list[Endpoint]] = {}
        self.confirmed_at: dict[str, float] = {}
        self.reported_stale: set[str] = set()

    def update(self, table: messages.EndpointTable, now: float = 0.0) -> bool:
        """Replace the table of a zone if the given one is newer.

        :returns: whether the endpoints have changed.
        """
        version = (table.epoch, table.sequence)
        if version <= self.versions.get(table.zone, (0, 0)):
            return False
        try:
            endpoints = tuple(_table_endpoints(table))
        except (TypeError, ValueError):
            # A table of an unknown format is ignored.
            return False
        self.versions[table.zone] = version
        self.tables[table.zone] = table
        self.confirmed_at[table.zone] = now
        self.reported_stale.discard(table.zone)
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
        self._index_by_service()
        return True

    def confirm(
        self, message: messages.EndpointsConfirmed, now: float
    ) -> None:
        """Record that the owner of a zone has confirmed its table.

        A confirmation of a newer table than the known one is ignored.
        """
        version = self.versions.get(message.zone, (0, 0))
        if version >= (message.epoch, message.table):
            self.confirmed_at[message.zone] = now
            self.reported_stale.discard(message.zone)

    def ages(self, now: float) -> dict[str, float]:
        """Return the seconds since each zone's table was last confirmed."""
        return {zone: now - at for zone, at in self.confirmed_at.items()}

    def report_stale_tables(self, now: float) -> None:
        """Log each zone whose table has become stale, once.

        A stale table stays in use: endpoints that do not answer are ejected
        anyway, and a gateway that is cut off from the owner of a zone can
        still relay requests to the endpoints that it knows.
        """
        for zone, age in self.ages(now).items():
            if age >= STALE_TABLE_S and zone not in self.reported_stale:
                self.reported_stale.add(zone)
                logs.emit(
                    events.RoutingEvent.ENDPOINTS_OLD,
                    zone=zone,
                    age_s=round(age, 1),
                    count=len(self.by_zone[zone]),
                )

    def _index_by_service(self) -> None:
        index: dict[str, list[Endpoint]] = {}
        for zone in sorted(self.by_zone):
            for endpoint in self.by_zone[zone]:
                if not endpoint.leaving:
                    index.setdefault(endpoint.service, []).append(endpoint)
        self.by_service = index


def _table_endpoints(
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
