"""The links to all workers of a zone."""

import asyncio
import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.models import ids
from turmerichook._internal.providers import hosts
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import links


class LinkSet:
    """Creates, uses and ends the links of one owner."""

    def __init__(
        self,
        *,
        zone: ids.ZoneId,
        epoch: ids.Epoch,
        node: ids.NodeId,
        pool: workers.WorkerPool,
        clock: clocks.Clock,
        inbox: asyncio.Queue,
    ):
        self.zone = zone
        self.epoch = epoch
        self.node = node
        self.pool = pool
        self.clock = clock
        self.inbox = inbox
        self.links: dict[ids.HostId, links.WorkerLink] = {}
        self.tasks: dict[ids.HostId, asyncio.Task] = {}
        # Calls under way; the event loop holds only weak references.
        self.calls: set[asyncio.Task] = set()

    def open(self, host: hosts.Host) -> None:
        """Link to a host, anew where its address has changed."""
        link = self.links.get(host.host)
        if link is not None and link.host.address == host.address:
            return
        renewal = links.NEVER
        if link is not None:
            renewal = link.last_renewal
            self.close(host.host)
        link = links.WorkerLink(
            host=host,
            zone=self.zone,
            epoch=self.epoch,
            owner=self.node,
            pool=self.pool,
            clock=self.clock,
            inbox=self.inbox,
        )
        link.last_renewal = renewal
        self.links[host.host] = link
        self.tasks[host.host] = asyncio.create_task(link.run())

    def close(self, host: ids.HostId) -> None:
        """End the link to a host."""
        link = self.links.pop(host, None)
        if link is not None:
            self.tasks.pop(host).cancel()
            self.pool.forget(link.host.address)

    def stop(self) -> None:
        """End all calls and links."""
        for task in (*self.tasks.values(), *self.calls):
            task.cancel()

    def send(
        self,
        host: ids.HostId,
        operations: tuple[workers.Operation, ...],
        *,
        boot: ids.BootId,
        authority_end: datetime.timedelta | None = None,
    ) -> None:
        """Send operations without waiting for the answer."""
        link = self.links.get(host)
        if link is not None:
            self._call(
                link.sync(
                    operations=operations,
                    boot=boot,
                    authority_end=authority_end,
                )
            )

    def ask_inventory(self, host: ids.HostId) -> None:
        """Ask a worker for all its running attempts now."""
        link = self.links.get(host)
        if link is not None and link.failing_since is None:
            self._call(link.sync(operations=(), inventory=True))

    def acknowledge(
        self, host: ids.HostId, boot: ids.BootId, sequence: int
    ) -> None:
        """Let a worker drop events that are durable."""
        link = self.links.get(host)
        if link is not None:
            link.acknowledge(boot, sequence)

    def set_renewing(self, renewing: bool) -> None:
        """Let the links extend leases, or keep them from doing so."""
        for link in self.links.values():
            link.renewing = renewing

    def ages(self, now: datetime.timedelta) -> dict[str, float]:
        """Return seconds since the last renewal of each worker reached."""
        return {
            host: (now - link.last_renewal).total_seconds()
            for host, link in self.links.items()
            if link.last_renewal != links.NEVER
        }

    def _call(self, call) -> None:
        task = asyncio.create_task(call)
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)
