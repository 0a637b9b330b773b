"""When tasks on a worker that a new owner cannot reach are known to be gone.

A former owner may have renewed the worker's leases until later than anything
that the new owner has sent, and may go on doing so while the store gives it
no answer. The rules are those of section 7 of the design page.
"""

import collections.abc
import datetime

from turmerichook._internal.models import ids
from turmerichook._internal.providers import hosts
from turmerichook._internal.scheduling import authority as authorities

LEASES = authorities.TASK_TTL_WITH_MARGIN


class UnknownHosts:
    """What is known about workers that have not answered this owner.

    :param epoch: epoch of this owner.
    :param since: when this owner took over.
    """

    def __init__(self, *, epoch: ids.Epoch, since: datetime.timedelta):
        self.epoch = epoch
        self.since = since
        self.gone_since: dict[ids.HostId, datetime.timedelta] = {}
        # Latest possible renewal of each worker, by the epoch that sent it.
        self.released: dict[
            ids.Epoch, dict[ids.HostId, datetime.timedelta]
        ] = {}

    def note_listing(
        self, listing: hosts.HostListing, now: datetime.timedelta
    ) -> None:
        """Note which hosts the platform has stopped.

        A host that is missing from the list is not taken for gone, since
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
        """Note a former owner's last renewals.

        :param ages: seconds since the last renewal of each worker that the
            former owner had reached, when it sent the message. The delay of
            the message makes the true ages higher, which is safe.
        """
        if epoch < self.epoch:
            self.released[epoch] = {
                host: now - datetime.timedelta(seconds=age)
                for host, age in ages.items()
            }

    def gone(self, host: ids.HostId, now: datetime.timedelta) -> bool:
        """Tell whether the platform stopped the host long enough ago."""
        since = self.gone_since.get(host)
        return since is not None and now - since > LEASES

    def settled(self, host: ids.HostId, now: datetime.timedelta) -> bool:
        """Tell whether no lease on an unreachable worker can hold."""
        if self.gone(host, now):
            return True
        limit = authorities.UNCONFIRMED_RENEWAL_LIMIT + LEASES
        if now - self.since > limit:
            return True
        renewed = self._last_renewal(host)
        return renewed is not None and now - renewed > LEASES

    def _last_renewal(self, host: ids.HostId) -> datetime.timedelta | None:
        """Return the last renewal if all owners since have reported.

        An owner that reached the worker has fenced its predecessors there,
        so the latest report that names the worker counts, provided that
        every later owner has reported that it never reached it.
        """
        epoch = ids.Epoch(self.epoch - 1)
        while epoch in self.released:
            if host in self.released[epoch]:
                return self.released[epoch][host]
            epoch = ids.Epoch(epoch - 1)
        return None
