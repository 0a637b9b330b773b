"""Services of a scheduler process that its zone owners share."""

import collections.abc
import dataclasses

from turmerichook._internal import clock as clocks
from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal.providers import hosts
from turmerichook._internal.providers import store as stores
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import messages


@dataclasses.dataclass(kw_only=True)
class Peers:
    """Latest messages of the owners of all zones, by zone."""

    tables: dict[str, messages.EndpointTable] = dataclasses.field(
        default_factory=dict
    )
    statuses: dict[str, messages.ZoneStatus] = dataclasses.field(
        default_factory=dict
    )

    def keep_newer_status(self, status: messages.ZoneStatus) -> None:
        """Store a zone's status unless the stored one is newer."""
        current = self.statuses.get(status.zone)
        version = (status.epoch, status.sequence)
        if current is None or version > (current.epoch, current.sequence):
            self.statuses[status.zone] = status


@dataclasses.dataclass(frozen=True, kw_only=True)
class Environment:
    """Clients, clock and callbacks that a process gives to its owners.

    :param configuration: returns the configuration in force.
    :param publish: sends a message to the other processes.
    """

    node: ids.NodeId
    store: stores.Store
    pool: workers.WorkerPool
    host_list: hosts.HostList
    clock: clocks.Clock
    configuration: collections.abc.Callable[[], site.Configuration]
    publish: collections.abc.Callable[[object], None]
    peers: Peers
