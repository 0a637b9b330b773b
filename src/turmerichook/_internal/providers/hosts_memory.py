"""In-memory host list for tests."""

import datetime

from turmerichook._internal.models import ids
from turmerichook._internal.providers import hosts
from turmerichook import exceptions


class MemoryHostList:
    """A ``hosts.HostList`` whose contents and faults a test sets.

    :ivar down: makes every call raise ``HostListUnavailableError``.
    """

    def __init__(self):
        self.entries: dict[ids.HostId, hosts.Host] = {}
        self.age = datetime.timedelta()
        self.down = False

    async def hosts(self, zone: ids.ZoneId) -> hosts.HostListing:
        if self.down:
            raise exceptions.HostListUnavailableError(message="down")
        zone_hosts = [
            host for host in self.entries.values() if host.zone == zone
        ]
        return hosts.HostListing(hosts=tuple(zone_hosts), age=self.age)
