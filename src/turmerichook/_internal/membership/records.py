"""Membership record of a process in the store, bound to a lease."""

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

KEY_PREFIX = "members/"
LEASE_TTL = datetime.timedelta(seconds=30)
RENEW_INTERVAL = datetime.timedelta(seconds=10)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """Description of a process that other programs read from the store.

    :param listen: ``ip:port`` of the process's HTTP listener.
    :param generation: generation of the configuration in force in the
        process; up to 10 s old, the interval of the updates.
    :param digest: first bytes of that configuration's digest.
    """

    node: str
    role: str
    zone: str
    incarnation: int
    listen: str
    generation: int
    digest: bytes


def pack(record: Record) -> bytes:
    """Encode a record for the store."""
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
    """Decode a record from the store.

    :raises MessageError: if the value is malformed.
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
                node=key.removeprefix(KEY_PREFIX),
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
    """Return the records of all processes, ordered by node name."""
    listing = await store.list(KEY_PREFIX)
    return [unpack(entry.key, entry.value) for entry in listing.entries]


class RecordPublisher:
    """Publishes one process's record under a lease and renews the lease."""

    def __init__(self, *, store: stores.Store, clock: clocks.Clock):
        self.store = store
        self.clock = clock
        self.lease: ids.LeaseId | None = None
        self.last_written: Record | None = None

    async def run(self, current) -> None:
        """Renew the lease every 10 s, and write the record if it changed.

        Returns when a process that started later uses the same node name.

        :param current: callable that returns the current record.
        """
        failing = False
        while True:
            try:
                if not await self.refresh(current()):
                    logs.emit(events.MembershipEvent.SUPERSEDED)
                    return
                failing = False
            except exceptions.TurmerichookError as error:
                self.last_written = None
                if not failing:
                    logs.emit(events.MembershipEvent.LEASE_FAILED, error=error)
                failing = True
            await self.clock.sleep(RENEW_INTERVAL)

    async def refresh(self, record: Record) -> bool:
        """Renew the lease, and write the record if it changed.

        :return: False if a process that started later uses the same node
            name.
        """
        if self.lease is not None:
            try:
                await self.store.renew_lease(self.lease)
            except exceptions.LeaseLapsedError:
                self.lease = None
                self.last_written = None
        if self.lease is None:
            self.lease = await self.store.grant_lease(LEASE_TTL)
        if record == self.last_written:
            return True
        return await self._write(record)

    async def revoke(self) -> None:
        """Revoke the lease, which removes the record at once."""
        if self.lease is not None:
            await self.store.revoke_lease(self.lease)

    async def _write(self, record: Record) -> bool:
        key = KEY_PREFIX + record.node
        entry = await self.store.get(key)
        version = stores.ABSENT_VERSION
        if not isinstance(entry, outcomes.Absent):
            version = entry.version
            if unpack(key, entry.value).incarnation > record.incarnation:
                return False
        await self.store.put(
            key, pack(record), expect=version, lease=self.lease
        )
        self.last_written = record
        return True


def _malformed(key: str) -> exceptions.MessageError:
    return exceptions.MessageError(
        message=f"malformed membership record {key}"
    )
