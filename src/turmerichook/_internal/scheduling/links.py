"""One task for each worker: renews leases and carries operations."""

import asyncio
import dataclasses
import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.models import ids
from turmerichook._internal.platform import hosts
from turmerichook._internal.platform import workers
from turmerichook._internal.scheduling import authority as authorities
from turmerichook import exceptions

POLL_WAIT = datetime.timedelta(seconds=5)
RETRY_DELAY = datetime.timedelta(seconds=1)
CALL_TIMEOUT = 2.0
# After this long without an answer the leases are no longer renewed, so
# that they lapse on a worker that still runs but cannot answer.
RENEWAL_PATIENCE = datetime.timedelta(seconds=5)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answered:
    """A worker answered a sync that was sent with an inventory or not."""

    host: ids.HostId
    answer: workers.SyncAnswer
    inventory: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unreachable:
    """A worker gave no answer."""

    host: ids.HostId
    last_renewal: datetime.timedelta


@dataclasses.dataclass(frozen=True, kw_only=True)
class Superseded:
    """A worker has seen a later owner of the zone."""

    host: ids.HostId


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
        self.acknowledged = 0
        # Reading of the worker's clock, and of ours when its request left.
        self.worker_clock: tuple[datetime.timedelta, datetime.timedelta]
        self.worker_clock = (datetime.timedelta(), datetime.timedelta())
        self.last_renewal = clock.monotonic()
        self.failing_since: datetime.timedelta | None = None

    async def run(self) -> None:
        """Poll for events until cancelled; each poll renews the leases."""
        inventory = True
        while True:
            answered = await self.sync(
                operations=(),
                wait=datetime.timedelta() if inventory else POLL_WAIT,
                inventory=inventory,
            )
            inventory = not answered
            if not answered:
                await self.clock.sleep(RETRY_DELAY)

    async def sync(
        self,
        *,
        operations: tuple[workers.Operation, ...],
        wait: datetime.timedelta = datetime.timedelta(),
        inventory: bool = False,
    ) -> bool:
        """Make one call and report its result to the owner."""
        sent = self.clock.monotonic()
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
            await self.inbox.put(Superseded(host=self.host.host))
            return False
        except exceptions.WorkerUnreachableError:
            await self._failed(sent)
            return False
        await self._answered(sent, answer, inventory)
        return True

    def acknowledge(self, boot: ids.BootId, sequence: int) -> None:
        """Let the worker drop events up to ``sequence``."""
        if boot == self.boot:
            self.acknowledged = max(self.acknowledged, sequence)

    def reading_after(self, delay: datetime.timedelta) -> datetime.timedelta:
        """Return what the worker's clock shows after ``delay``, or less."""
        worker, ours = self.worker_clock
        return worker + (self.clock.monotonic() - ours) + delay

    def _lease_until(self, now: datetime.timedelta) -> datetime.timedelta:
        failing = self.failing_since
        if not self.boot:
            return datetime.timedelta()
        if failing is not None and now - failing >= RENEWAL_PATIENCE:
            return datetime.timedelta()
        return self.reading_after(authorities.TASK_TTL)

    async def _failed(self, sent: datetime.timedelta) -> None:
        if self.failing_since is None:
            self.failing_since = sent
        report = Unreachable(
            host=self.host.host, last_renewal=self.last_renewal
        )
        await self.inbox.put(report)

    async def _answered(
        self,
        sent: datetime.timedelta,
        answer: workers.SyncAnswer,
        inventory: bool,
    ) -> None:
        self.failing_since = None
        # The worker read its clock before this moment, so a reading that is
        # derived from the pair is at most too low, never too high.
        self.worker_clock = (answer.clock, self.clock.monotonic())
        if answer.boot != self.boot:
            self.boot = answer.boot
            self.acknowledged = 0
        await self.inbox.put(
            Answered(host=self.host.host, answer=answer, inventory=inventory)
        )
