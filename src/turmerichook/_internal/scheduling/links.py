"""One task for each worker: renews leases and carries operations."""

import asyncio
import dataclasses
import datetime
import zlib

from turmerichook._internal import clock as clocks
from turmerichook._internal.models import ids
from turmerichook._internal.providers import hosts
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import authority as authorities
from turmerichook import exceptions

# A lost poll is noticed after 8 s and a second one after 11 s, so that both
# may be lost before a lease of 15 s lapses. 186 workers a zone cost 31 calls
# a second.
POLL_WAIT = datetime.timedelta(seconds=6)
RETRY_DELAY = datetime.timedelta(seconds=1)
# How long a poll waits for the acknowledgement of what the last one brought.
# A worker repeats events until they are acknowledged, so that polling before
# that brings nothing new.
ACKNOWLEDGEMENT_PATIENCE = datetime.timedelta(seconds=1)
CALL_TIMEOUT = 2.0
# After this long without an answer the leases are no longer renewed, so
# that they lapse on a worker that still runs but cannot answer.
RENEWAL_PATIENCE = datetime.timedelta(seconds=5)
NEVER = datetime.timedelta.min


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answered:
    """A worker answered a sync.

    :param sent: when the request was sent, on this process's clock.
    :param inventory: whether the answer lists all running attempts.
    """

    host: ids.HostId
    answer: workers.SyncAnswer
    inventory: bool
    sent: datetime.timedelta


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unreachable:
    """A worker gave no answer."""

    host: ids.HostId


@dataclasses.dataclass(frozen=True, kw_only=True)
class Superseded:
    """A later owner of the zone exists.

    :param source: who told so.
    """

    source: str


Report = Answered | Unreachable | Superseded


class WorkerLink:
    """Connection of a zone's owner to one worker."""

    def __init__(
        self,
        *,
        host: hosts.Host,
        zone: ids.ZoneId,
        epoch: ids.Epoch,
        owner: ids.NodeId,
        pool: workers.WorkerPool,
        clock: clocks.Clock,
        inbox: asyncio.Queue,
    ):
        self.host = host
        self.zone = zone
        self.epoch = epoch
        self.owner = owner
        self.pool = pool
        self.clock = clock
        self.inbox = inbox
        self.boot = ids.BootId("")
        # When the present boot id was first received.
        self.boot_since = NEVER
        self.acknowledged = 0
        self.reported = 0
        self.acknowledgement = asyncio.Event()
        # Reading of the worker's clock, and of ours when its request left.
        self.worker_clock: tuple[datetime.timedelta, datetime.timedelta]
        self.worker_clock = (datetime.timedelta(), datetime.timedelta())
        self.clock_sent = NEVER
        # When the last request that extends leases was sent; NEVER before
        # the worker's first answer to this owner.
        self.last_renewal = NEVER
        self.failing_since: datetime.timedelta | None = None
        self.renewing = True
        self.inventory_due = True

    async def run(self) -> None:
        """Poll for events until cancelled; each poll renews the leases."""
        # The first polls end at different times, so that the zone's workers
        # are not called all at once every 6 s.
        share = zlib.crc32(self.host.host.encode()) % 100 / 100
        wait = POLL_WAIT * share
        while True:
            inventory = self.inventory_due
            answered = await self.sync(
                operations=(),
                wait=datetime.timedelta() if inventory else wait,
                inventory=inventory,
            )
            if answered and not inventory:
                wait = POLL_WAIT
            if answered:
                self.inventory_due = self.inventory_due and not inventory
                if not inventory:
                    # An inventory may come after a failure, when the leases
                    # have to be renewed without delay.
                    await self._wait_acknowledged()
            else:
                self.inventory_due = True
                await self.clock.sleep(RETRY_DELAY)

    async def sync(
        self,
        *,
        operations: tuple[workers.Operation, ...],
        boot: ids.BootId | None = None,
        authority_end: datetime.timedelta | None = None,
        wait: datetime.timedelta = datetime.timedelta(),
        inventory: bool = False,
    ) -> bool:
        """Make one call and report its result to the owner.

        :param boot: boot id for which the operations were decided; they are
            dropped if the worker has restarted since.
        :param authority_end: time on this process's clock up to which the
            worker may carry out the starts among the operations.
        """
        sent = self.clock.monotonic()
        if boot is not None and boot != self.boot:
            return False
        if authority_end is not None:
            operations = self._limit_starts(operations, authority_end - sent)
            if not operations:
                return False
        lease_until = self._lease_until(sent)
        if lease_until:
            self.last_renewal = sent
        request = workers.SyncRequest(
            zone=self.zone,
            epoch=self.epoch,
            owner=self.owner,
            lease_until=lease_until,
            boot=self.boot,
            acknowledged=self.acknowledged,
            operations=operations,
            inventory=inventory,
            wait=wait,
        )
        try:
            answer = await self.pool.sync(
                self.host.address, request, timeout=CALL_TIMEOUT
            )
        except exceptions.StaleEpochError:
            self.renewing = False
            await self.inbox.put(Superseded(source=f"worker {self.host.host}"))
            return False
        except exceptions.WorkerUnreachableError:
            await self._failed(sent)
            return False
        return await self._answered(sent, answer, inventory)

    def acknowledge(self, boot: ids.BootId, sequence: int) -> None:
        """Let the worker drop events up to ``sequence``."""
        if boot == self.boot:
            self.acknowledged = max(self.acknowledged, sequence)
            if self.acknowledged >= self.reported:
                self.acknowledgement.set()

    def reading_after(self, delay: datetime.timedelta) -> datetime.timedelta:
        """Return what the worker's clock shows after ``delay``, or less."""
        worker, ours = self.worker_clock
        return worker + (self.clock.monotonic() - ours) + delay

    def lapsed(self, now: datetime.timedelta) -> bool:
        """Tell whether all leases that this owner granted have lapsed."""
        if self.failing_since is None or self.last_renewal == NEVER:
            return False
        return now - self.last_renewal > authorities.TASK_TTL_WITH_MARGIN

    def _limit_starts(
        self,
        operations: tuple[workers.Operation, ...],
        left: datetime.timedelta,
    ) -> tuple[workers.Operation, ...]:
        """Give starts the authority that is left; drop them if none is."""
        not_after = self.reading_after(left)
        limited: list[workers.Operation] = []
        for operation in operations:
            if not isinstance(operation, workers.Start):
                limited.append(operation)
            elif left > datetime.timedelta():
                limited.append(
                    dataclasses.replace(operation, not_after=not_after)
                )
        return tuple(limited)

    def _lease_until(self, now: datetime.timedelta) -> datetime.timedelta:
        failing = self.failing_since
        if not self.boot or not self.renewing:
            return datetime.timedelta()
        if failing is not None and now - failing >= RENEWAL_PATIENCE:
            return datetime.timedelta()
        return self.reading_after(authorities.TASK_TTL)

    async def _wait_acknowledged(self) -> None:
        if self.acknowledged >= self.reported:
            return
        self.acknowledgement.clear()
        await self.clock.wait_event(
            self.acknowledgement, ACKNOWLEDGEMENT_PATIENCE
        )

    async def _failed(self, sent: datetime.timedelta) -> None:
        if self.failing_since is None:
            self.failing_since = sent
        await self.inbox.put(Unreachable(host=self.host.host))

    async def _answered(
        self,
        sent: datetime.timedelta,
        answer: workers.SyncAnswer,
        inventory: bool,
    ) -> bool:
        now = self.clock.monotonic()
        if answer.boot != self.boot:
            if sent < self.boot_since:
                # The request left before the present boot answered, so this
                # answer is a late one from an earlier boot.
                return False
            self.boot = answer.boot
            self.boot_since = now
            self.acknowledged = 0
            self.reported = 0
            self.clock_sent = NEVER
        if self.last_renewal == NEVER:
            # A former owner's renewal may have arrived until this answer.
            self.last_renewal = now
        self.failing_since = None
        if sent >= self.clock_sent:
            # The worker read its clock before this moment, so a reading that
            # is derived from the pair is at most too low, never too high.
            self.worker_clock = (answer.clock, now)
            self.clock_sent = sent
        for event in answer.events:
            self.reported = max(self.reported, event.sequence)
        await self.inbox.put(
            Answered(
                host=self.host.host,
                answer=answer,
                inventory=inventory,
                sent=sent,
            )
        )
        return True
