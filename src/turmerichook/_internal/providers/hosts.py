"""Interface to the platform's list of live and leaving hosts."""

import dataclasses
import datetime
import enum
import typing

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources


class HostState(enum.Enum):
    """State of a host as the platform sees it, with a lag."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Host:
    """A worker's host.

    :param address: ``ip:port`` of the worker.
    """

    host: ids.HostId
    address: str
    zone: ids.ZoneId
    rack: ids.RackId
    capacity: resources.Resources
    state: HostState


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostListing:
    """The list and its age."""

    hosts: tuple[Host, ...]
    age: datetime.timedelta


class HostList(typing.Protocol):
    """Access to the list."""

    async def hosts(self, zone: ids.ZoneId) -> HostListing:
        """Return the hosts of a zone.

        :raises HostListUnavailableError: if the platform gave no answer.
        """
