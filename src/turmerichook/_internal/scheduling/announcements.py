"""What a zone's owner tells the other processes."""

import datetime

from turmerichook._internal.models import ids
from turmerichook._internal.providers import hosts
from turmerichook._internal.scheduling import messages
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import queue_lengths
from turmerichook._internal.scheduling import state as states


class Announcer:
    """Builds endpoint tables and status messages of one zone."""

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

    def inherit(self, table: messages.EndpointTable | None) -> None:
        """Use a former owner's addresses until the workers have answered.

        Without them the endpoints on workers that only this owner cannot
        reach would vanish from the gateways with its first table.
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
        """Return all endpoints with the ones that are about to stop."""
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
        """Return how much waits and runs, and for how long."""
        rows = {
            urgency.value: [
                length.waiting,
                length.begun,
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
