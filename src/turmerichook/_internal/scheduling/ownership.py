"""Claiming the ownership of a zone and keeping it.

An owner holds a lease in the store. The zone's key ``alive`` exists as long as
the lease is renewed, and the zone's owner record holds the owner's epoch,
which is higher than that of all owners before.
"""

import asyncio
import dataclasses
import datetime
import typing

import msgpack

from turmerichook._internal import clock as clocks
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
from turmerichook._internal.providers import store as stores
from turmerichook._internal.scheduling import authority as authorities
from turmerichook._internal.scheduling import events
from turmerichook import exceptions

# A scheduler of another zone claims a zone only when the zone has had no owner
# for this long, so that schedulers of the zone itself come first.
FOREIGN_DELAY = datetime.timedelta(seconds=20)
# How long one call waits for the owner's key to change.
WATCH_WAIT = datetime.timedelta(seconds=30)
RETRY_DELAY = datetime.timedelta(milliseconds=500)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OwnerRecord:
    """The stored record of a zone's owner.

    :param epoch: number of the tenure, raised by one with each claim.
    :param address: address at which the owner's process accepts streams.
    """

    epoch: ids.Epoch
    node: ids.NodeId
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tenure:
    """The ownership of a zone that one claim has gained.

    :param lease: the store lease on which the ownership depends.
    """

    zone: ids.ZoneId
    epoch: ids.Epoch
    lease: ids.LeaseId
    authority: authorities.Authority


def owner_key(zone: ids.ZoneId) -> str:
    """Return the key of a zone's owner record."""
    return f"zones/{zone}/owner"


def alive_key(zone: ids.ZoneId) -> str:
    """Return the key that exists while a zone's owner renews its lease."""
    return f"zones/{zone}/alive"


def pack(record: OwnerRecord) -> bytes:
    """Encode an owner record for the store."""
    return msgpack.packb([record.epoch, record.node, record.address])


def unpack(value: bytes) -> OwnerRecord:
    """Decode an owner record from the store.

    :raises MessageError: if the record is malformed.
    """
    try:
        epoch, node, address = msgpack.unpackb(value)
        return OwnerRecord(
            epoch=ids.Epoch(int(epoch)),
            node=ids.NodeId(node),
            address=address,
        )
    except (TypeError, ValueError, msgpack.UnpackException) as error:
        raise exceptions.MessageError(
            message=f"malformed owner record: {error}",
        ) from error


class Candidate:
    """Claims one zone for one scheduler.

    :param in_other_zone: whether the scheduler belongs to another zone.
    :param confirm: awaited at the claim and after each lease renewal, before
        the renewal extends the authority. It reads the newest configuration,
        so that an owner with authority has seen the newest generation.
    """

    def __init__(
        self,
        *,
        zone: ids.ZoneId,
        node: ids.NodeId,
        address: str,
        in_other_zone: bool,
        store: stores.Store,
        clock: clocks.Clock,
        confirm: typing.Callable[[], typing.Awaitable[None]],
    ):
        self.zone = zone
        self.node = node
        self.address = address
        self.in_other_zone = in_other_zone
        self.store = store
        self.clock = clock
        self.confirm = confirm

    async def acquire(self) -> Tenure:
        """Wait until the zone has no owner, then claim it."""
        while True:
            try:
                await self._wait_vacant()
                tenure = await self._claim()
            except exceptions.VersionConflictError:
                # Another candidate claimed the zone first.
                continue
            except exceptions.TurmerichookError:
                await self.clock.sleep(RETRY_DELAY)
                continue
            logs.emit(
                events.SchedulingEvent.OWNERSHIP_GAINED,
                zone=self.zone,
                epoch=tenure.epoch,
            )
            return tenure

    async def keep_renewed(self, tenure: Tenure) -> None:
        """Renew the owner's lease until it is lost.

        While the store does not answer, the renewal is repeated. Meanwhile the
        authority to start tasks runs out, and the leases of running tasks are
        still renewed.

        :raises LeaseLapsedError: if the store no longer holds the lease.
        """
        while True:
            sent = self.clock.monotonic()
            try:
                await self.store.renew_lease(tenure.lease)
                await self.confirm()
            except exceptions.LeaseLapsedError:
                tenure.authority.revoke()
                raise
            except exceptions.TurmerichookError:
                await self.clock.sleep(RETRY_DELAY)
                continue
            tenure.authority.confirm(sent)
            await self.clock.sleep(authorities.RENEW_INTERVAL)

    async def release(self, tenure: Tenure) -> None:
        """Give up the ownership, so that another candidate can claim it."""
        tenure.authority.revoke()
        await self.store.revoke_lease(tenure.lease)

    async def _wait_vacant(self) -> None:
        key = alive_key(self.zone)
        listing = await self.store.list(key)
        if not listing.entries and not self.in_other_zone:
            return
        after = listing.revision
        vacant = not listing.entries
        while True:
            wait = FOREIGN_DELAY if vacant else WATCH_WAIT
            changes = await self.store.watch(key, after=after, wait=wait)
            after = changes.revision
            listing = await self.store.list(key)
            if listing.entries:
                vacant = False
            elif vacant or not self.in_other_zone:
                return
            else:
                vacant = True

    async def _claim(self) -> Tenure:
        sent = self.clock.monotonic()
        lease = await self.store.grant_lease(authorities.OWNER_TTL)
        try:
            await self.store.put(
                alive_key(self.zone),
                self.node.encode(),
                expect=stores.ABSENT_VERSION,
                lease=lease,
            )
            epoch = await self._increment_epoch()
            await self.confirm()
        except BaseException:
            await self._revoke_lease(lease)
            raise
        authority = authorities.Authority()
        authority.confirm(sent)
        return Tenure(
            zone=self.zone, epoch=epoch, lease=lease, authority=authority
        )

    async def _increment_epoch(self) -> ids.Epoch:
        key = owner_key(self.zone)
        entry = await self.store.get(key)
        version = stores.ABSENT_VERSION
        epoch = 0
        if not isinstance(entry, outcomes.Absent):
            version = entry.version
            epoch = unpack(entry.value).epoch
        record = OwnerRecord(
            epoch=ids.Epoch(epoch + 1), node=self.node, address=self.address
        )
        await self.store.put(key, pack(record), expect=version)
        return record.epoch

    async def _revoke_lease(self, lease: ids.LeaseId) -> None:
        try:
            async with asyncio.timeout(1):
                await self.store.revoke_lease(lease)
        except (exceptions.TurmerichookError, TimeoutError):
            # The lease lapses by itself after its TTL.
            pass
