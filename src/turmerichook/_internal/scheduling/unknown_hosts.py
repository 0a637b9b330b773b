"""Decides when the tasks on an unreachable worker have certainly ended.

Until the worker answers a new owner, former owners may have renewed the leases
of its tasks, and may go on renewing them while they cannot reach the store. So
the new owner must know when they last did so, or wait until they have stopped.
The rules are those of section 7 of the design page.
"""

import collections.abc
import datetime

from turmerichook._internal.models import ids
from turmerichook._internal.providers import hosts
from turmerichook._internal.scheduling import authority as authorities

LEASE_DURATION = authorities.TASK_TTL_WITH_MARGIN


class UnknownHosts:
    """Evidence about workers that have not answered this owner.

    :param epoch: epoch of this owner.
    :param since: when this owner took over.
    """

    def __init__(self, *, epoch: ids.Epoch, since: datetime.timedelta):
        self.epoch = epoch
        self.since = since
        # When the host list first listed each host in the state gone.
        self.gone_since: dict[ids.HostId, datetime.timedelta] = {}
        # Latest possible time at which an owner of each epoch renewed the
        # leases of each worker.
        self.renewals_by_epoch: dict[
            ids.Epoch, dict[ids.HostId, datetime.timedelta]
        ] = {}

    def note_listing(
        self, listing: hosts.HostListing, now: datetime.timedelta
    ) -> None:
        """Record which hosts the platform has stopped.

        A host that is missing from the list does not count as stopped, since
        the list may be incomplete.
        """
        for host in listing.hosts:
            if host.state is hosts.HostState.GONE:
                self.gone_since.setdefault(host.host, now)
            else:
                self.gone_since.pop(host.host, None)

    def note_release(
        self,
        epoch: ids.Epoch,
        ages: collections.abc.Mapping[ids.HostId, float],
        now: datetime.timedelta,
    ) -> None:
        """Record a former owner's last renewals.

        :param epoch: epoch of the former owner.
        :param ages: for each worker that had answered the former owner, the
            seconds from the last lease renewal to the sending of the message.
            The message takes time to arrive, so the true ages are higher,
            which is safe.
        :param now: when the message was received.
        """
        if epoch < self.epoch:
            self.renewals_by_epoch[epoch] = {
                host: now - datetime.timedelta(seconds=age)
                for host, age in ages.items()
            }

    def stopped_by_platform(
        self, host: ids.HostId, now: datetime.timedelta
    ) -> bool:
        """Tell whether the host was stopped longer ago than a task lease."""
        since = self.gone_since.get(host)
        return since is not None and now - since > LEASE_DURATION

    def all_leases_lapsed(
        self, host: ids.HostId, now: datetime.timedelta
    ) -> bool:
        """Tell whether all leases on an unreachable worker have lapsed."""
        if self.stopped_by_platform(host, now):
            return True
        limit = authorities.UNCONFIRMED_RENEWAL_LIMIT + LEASE_DURATION
        if now - self.since > limit:
            return True
        renewed = self._last_renewal(host)
        return renewed is not None and now - renewed > LEASE_DURATION

    def _last_renewal(self, host: ids.HostId) -> datetime.timedelta | None:
        """Return the last renewal on a host, None if it is not known.

        A worker that has answered an owner refuses renewals of earlier owners.
        So the release message of the latest owner that the worker answered
        counts, provided that every later owner has sent a release message
        which does not name the worker.
        """
        epoch = ids.Epoch(self.epoch - 1)
        while epoch in self.renewals_by_epoch:
            if host in self.renewals_by_epoch[epoch]:
                return self.renewals_by_epoch[epoch][host]
            epoch = ids.Epoch(epoch - 1)
        return None
