"""Interface to the platform's list of hosts and their states."""

import dataclasses
import datetime
import enum
import typing

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources


class HostState(enum.Enum):
    """State of a host as the platform reports it, with a delay."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Host:
    """The host of one worker.

    :param address: ``ip:port`` on which the worker listens.
    """

    host: ids.HostId
    address: str
    zone: ids.ZoneId
    rack: ids.RackId
    capacity: resources.Resources
    state: HostState


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostListing:
    """Hosts of one availability zone, and the age of these data."""

    hosts: tuple[Host, ...]
    age: datetime.timedelta


class HostList(typing.Protocol):
    """Access to the platform's host list."""

    async def hosts(self, zone: ids.ZoneId) -> HostListing:
        """Return the hosts of an availability zone.

        :raises HostListUnavailableError: if the platform did not respond or
            sent a malformed list.
        """
