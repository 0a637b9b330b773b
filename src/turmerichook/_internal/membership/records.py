"""The record of one process in the store, bound to a lease."""

import dataclasses
import datetime

import msgpack

from turmerichook._internal import clock as clocks
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.membership import events
from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
from turmerichook._internal.providers import store as stores
from turmerichook import exceptions

PREFIX = "members/"
TTL = datetime.timedelta(seconds=30)
RENEW_INTERVAL = datetime.timedelta(seconds=10)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """A process as other programs find it in the store.

    :param listen: ``ip:port`` of its HTTP listener.
    :param generation: configuration in force in it, at most 10 s ago.
    """

    node: str
    role: str
    zone: str
    incarnation: int
    listen: str
    generation: int
    digest: bytes


def pack(record: Record) -> bytes:
    """Return the stored form of a record."""
    return msgpack.packb(
        [
            record.role,
            record.zone,
            record.incarnation,
            record.listen,
            record.generation,
            record.digest,
        ]
    )


def unpack(key: str, value: bytes) -> Record:
    """Return a stored record.

    :raises MessageError: if it is malformed.
    """
    try:
        fields = msgpack.unpackb(value)
    except (ValueError, msgpack.UnpackException) as error:
        raise _malformed(key) from error
    match fields:
        case [
            str(role),
            str(zone),
            int(incarnation),
            str(listen),
            int(generation),
            bytes(digest),
        ]:
            return Record(
                node=key.removeprefix(PREFIX),
                role=role,
                zone=zone,
                incarnation=incarnation,
                listen=listen,
                generation=generation,
                digest=digest,
            )
        case _:
            raise _malformed(key)


async def read_all(store: stores.Store) -> list[Record]:
    """Return the records of all processes, by node name."""
    listing = await store.list(PREFIX)
    return [unpack(entry.key, entry.value) for entry in listing.entries]


class Keeper:
    """Keeps one process's record, with a lease that it renews."""

    def __init__(self, *, store: stores.Store, clock: clocks.Clock):
        self.store = store
        self.clock = clock
        self.lease: ids.LeaseId | None = None
        self.written: Record | None = None

    async def keep(self, current) -> None:
        """Renew the lease every 10 s, and write the record if it differs.

        :param current: callable that returns the record as it is now.
        """
        failing = False
        while True:
            try:
                if not await self.round(current()):
                    logs.emit(events.MembershipEvent.SUPERSEDED)
                    return
                failing = False
            except exceptions.TurmerichookError as error:
                self.written = None
                if not failing:
                    logs.emit(events.MembershipEvent.LEASE_FAILED, error=error)
                failing = True
            await self.clock.sleep(RENEW_INTERVAL)

    async def round(self, record: Record) -> bool:
        """Renew once; False if a later process uses the same name."""
        if self.lease is not None:
            try:
                await self.store.renew_lease(self.lease)
            except exceptions.LeaseLapsedError:
                self.lease = None
                self.written = None
        if self.lease is None:
            self.lease = await self.store.grant_lease(TTL)
        if record == self.written:
            return True
        return await self._write(record)

    async def release(self) -> None:
        """Remove the record at once."""
        if self.lease is not None:
            await self.store.revoke_lease(self.lease)

    async def _write(self, record: Record) -> bool:
        key = PREFIX + record.node
        entry = await self.store.get(key)
        version = stores.ABSENT_VERSION
        if not isinstance(entry, outcomes.Absent):
            version = entry.version
            if unpack(key, entry.value).incarnation > record.incarnation:
                return False
        await self.store.put(
            key, pack(record), expect=version, lease=self.lease
        )
        self.written = record
        return True


def _malformed(key: str) -> exceptions.MessageError:
    return exceptions.MessageError(message=f"malformed record {key}")
