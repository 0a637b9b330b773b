"""What the owners of zones use of their process."""

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
    """What this process has heard from the owners of all zones."""

    tables: dict[str, messages.EndpointTable] = dataclasses.field(
        default_factory=dict
    )
    statuses: dict[str, messages.ZoneStatus] = dataclasses.field(
        default_factory=dict
    )

    def take_status(self, status: messages.ZoneStatus) -> None:
        """Keep a zone's status unless a newer one is known."""
        known = self.statuses.get(status.zone)
        version = (status.epoch, status.sequence)
        if known is None or version > (known.epoch, known.sequence):
            self.statuses[status.zone] = status


@dataclasses.dataclass(frozen=True, kw_only=True)
class Environment:
    """What an owner uses of its process.

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
