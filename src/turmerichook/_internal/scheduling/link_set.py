"""The links from a zone's owner to all workers of the zone."""

import asyncio
import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.models import ids
from turmerichook._internal.providers import hosts
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import links


class LinkSet:
    """Opens, uses and closes the links of one owner.

    :param inbox: queue of the owner, into which the links put their reports.
    """

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
        self.by_host: dict[ids.HostId, links.WorkerLink] = {}
        self.poll_tasks: dict[ids.HostId, asyncio.Task] = {}
        # Calls in progress. The event loop has only weak references to its
        # tasks, so one that is not kept here could be garbage collected.
        self.calls: set[asyncio.Task] = set()

    def open(self, host: hosts.Host) -> None:
        """Open the link to a host's worker.

        A link to an earlier address of the host is replaced. The new link
        takes over the time of its last renewal, since the leases may still
        hold.
        """
        link = self.by_host.get(host.host)
        if link is not None and link.host.address == host.address:
            return
        last_renewal = links.NEVER
        if link is not None:
            last_renewal = link.last_renewal
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
        link.last_renewal = last_renewal
        self.by_host[host.host] = link
        self.poll_tasks[host.host] = asyncio.create_task(link.run())

    def close(self, host: ids.HostId) -> None:
        """Close the link to a host."""
        link = self.by_host.pop(host, None)
        if link is not None:
            self.poll_tasks.pop(host).cancel()
            self.pool.forget(link.host.address)

    def stop(self) -> None:
        """Cancel all polls and calls in progress."""
        for task in (*self.poll_tasks.values(), *self.calls):
            task.cancel()

    def send(
        self,
        host: ids.HostId,
        operations: tuple[workers.Operation, ...],
        *,
        boot: ids.BootId,
        authority_end: datetime.timedelta | None = None,
    ) -> None:
        """Send operations to a host without waiting for the answer.

        :param boot: boot id of the worker for which the operations were
            decided.
        :param authority_end: time up to which the worker may carry out the
            starts among the operations.
        """
        link = self.by_host.get(host)
        if link is not None:
            self._start_call(
                link.sync(
                    operations=operations,
                    boot=boot,
                    authority_end=authority_end,
                )
            )

    def request_inventory(self, host: ids.HostId) -> None:
        """Ask a reachable worker at once for all its running attempts."""
        link = self.by_host.get(host)
        if link is not None and link.failing_since is None:
            self._start_call(link.sync(operations=(), inventory=True))

    def acknowledge(
        self, host: ids.HostId, boot: ids.BootId, sequence: int
    ) -> None:
        """Let a worker drop its events up to ``sequence``.

        The journal holds the entries of these events.
        """
        link = self.by_host.get(host)
        if link is not None:
            link.acknowledge(boot, sequence)

    def set_renewing(self, renewing: bool) -> None:
        """Set whether the links renew the leases of tasks."""
        for link in self.by_host.values():
            link.renewing = renewing

    def renewal_ages(self, now: datetime.timedelta) -> dict[str, float]:
        """Return the seconds since the last lease renewal of each worker.

        Workers that never answered this owner are left out.
        """
        return {
            host: (now - link.last_renewal).total_seconds()
            for host, link in self.by_host.items()
            if link.last_renewal != links.NEVER
        }

    def _start_call(self, call) -> None:
        task = asyncio.create_task(call)
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)
