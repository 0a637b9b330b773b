"""Messages in which a zone's owner publishes endpoints and load."""

import datetime

from turmerichook._internal.models import ids
from turmerichook._internal.providers import hosts
from turmerichook._internal.scheduling import messages
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import queue_lengths
from turmerichook._internal.scheduling import state as states


class Announcer:
    """Builds the endpoint tables and status messages of one zone.

    :param epoch: epoch of the owner that publishes the messages.
    :param node: node id of the scheduler process that runs the owner.
    """

    def __init__(
        self,
        *,
        zone: ids.ZoneId,
        epoch: ids.Epoch,
        node: ids.NodeId,
        state: states.ZoneTasks,
    ):
        self.zone = zone
        self.epoch = epoch
        self.node = node
        self.state = state
        self.sequence = 0

    def adopt_addresses(self, table: messages.EndpointTable | None) -> None:
        """Copy task addresses from the previous owner's endpoint table.

        A worker reports the addresses of its tasks when it first answers
        this owner. Until then the first table of this owner would drop the
        endpoints on workers that the gateways can reach and this owner
        cannot.
        """
        if table is None:
            return
        for _, name, address, _, _, _ in table.endpoints:
            task = self.state.tasks.get(name)
            if task is None or task.address:
                continue
            if task.phase is states.Phase.ASSIGNED:
                task.address = address

    def table(self) -> messages.EndpointTable:
        """Return all endpoints, including those that are being stopped."""
        self.sequence += 1
        endpoints = []
        for name, task in self.state.services.items():
            if not task.address:
                continue
            endpoints.append(
                [
                    plan.service_of(name),
                    name,
                    task.address,
                    task.spec.slots,
                    task.spec.connections,
                    task.phase is states.Phase.STOPPING,
                ]
            )
        return messages.EndpointTable(
            zone=self.zone,
            epoch=self.epoch,
            sequence=self.sequence,
            endpoints=endpoints,
        )

    def status(self, now: datetime.timedelta) -> messages.ZoneStatus:
        """Return task counts and the longest wait for each urgency."""
        rows = {
            urgency.value: [
                length.waiting,
                length.on_host,
                round(length.oldest.total_seconds(), 1),
            ]
            for urgency, length in queue_lengths.by_urgency(
                self.state, now
            ).items()
        }
        capacity = sum(
            host.capacity.millicores
            for host in self.state.hosts.values()
            if host.state is hosts.HostState.LIVE
        )
        return messages.ZoneStatus(
            zone=self.zone,
            epoch=self.epoch,
            owner=self.node,
            waiting=sum(row[0] for row in rows.values()),
            running=sum(row[1] for row in rows.values()),
            oldest_s=max((row[2] for row in rows.values()), default=0.0),
            capacity=capacity,
            sequence=self.sequence,
            urgencies=rows,
        )
