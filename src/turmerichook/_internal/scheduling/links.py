"""The link from a zone's owner to one worker.

It polls the worker for events, renews the leases of the worker's tasks with
each poll, and sends operations.
"""

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

# A lost poll is noticed 8 s after it was sent, and the loss of its repetition
# after 11 s. So two polls in a row may be lost before a task's lease of 15 s
# lapses. 186 workers in a zone cost 31 calls a second.
POLL_WAIT = datetime.timedelta(seconds=6)
RETRY_DELAY = datetime.timedelta(seconds=1)
# How long the next poll is delayed until the owner has acknowledged the events
# of the last one. A worker repeats unacknowledged events, so an earlier poll
# would return the same events again.
ACKNOWLEDGEMENT_TIMEOUT = datetime.timedelta(seconds=1)
# Added to the time for which a poll waits for events.
CALL_TIMEOUT_S = 2.0
# A worker's leases are no longer renewed when it has not answered for this
# long. They would otherwise never lapse on a worker that receives requests but
# whose answers are lost.
UNANSWERED_RENEWAL_LIMIT = datetime.timedelta(seconds=5)
NEVER = datetime.timedelta.min


@dataclasses.dataclass(frozen=True, kw_only=True)
class SyncAnswered:
    """A worker answered a sync.

    :param sent: when the request was sent, on this process's clock.
    :param inventory: whether the answer lists all running attempts.
    """

    host: ids.HostId
    answer: workers.SyncAnswer
    inventory: bool
    sent: datetime.timedelta


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkerUnreachable:
    """A call to a worker failed or timed out."""

    host: ids.HostId


@dataclasses.dataclass(frozen=True, kw_only=True)
class OwnerSuperseded:
    """The zone has an owner with a higher epoch.

    :param source: worker or peer from which this is known.
    """

    source: str


Report = SyncAnswered | WorkerUnreachable | OwnerSuperseded


class WorkerLink:
    """Connection of a zone's owner to one worker.

    :param owner: node id of the scheduler process that runs the owner.
    :param inbox: queue of the owner, into which reports are put.
    """

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
        # When an answer with the boot id ``boot`` was first received.
        self.boot_first_seen = NEVER
        # Highest sequence numbers of the worker's events that the owner has
        # acknowledged and that were received.
        self.acknowledged = 0
        self.last_event = 0
        self.acknowledgement = asyncio.Event()
        # A reading of the worker's clock, and the reading of this process's
        # clock when the answer with it was received.
        self.worker_clock: tuple[datetime.timedelta, datetime.timedelta]
        self.worker_clock = (datetime.timedelta(), datetime.timedelta())
        # When the request was sent whose answer set ``worker_clock``.
        self.clock_request_sent = NEVER
        # When the last request that renews leases was sent; NEVER before the
        # worker's first answer to this owner.
        self.last_renewal = NEVER
        # When the first of the calls that failed in a row was sent; None if
        # the last call was answered.
        self.failing_since: datetime.timedelta | None = None
        self.renewing = True
        self.inventory_due = True

    async def run(self) -> None:
        """Poll for events until cancelled; each poll renews the leases."""
        # The first polls last for different times, depending on the host's
        # name, so that not all of the zone's workers are called at once every
        # 6 s.
        fraction = zlib.crc32(self.host.host.encode()) % 100 / 100
        wait = POLL_WAIT * fraction
        while True:
            inventory = self.inventory_due
            succeeded = await self.sync(
                operations=(),
                wait=datetime.timedelta() if inventory else wait,
                inventory=inventory,
            )
            if succeeded and not inventory:
                wait = POLL_WAIT
            if succeeded:
                self.inventory_due = self.inventory_due and not inventory
                if not inventory:
                    # After an inventory there is no wait, since it may follow
                    # a failed call, and then the leases must be renewed
                    # without delay.
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
        """Make one call and put its result into the inbox of the owner.

        Returns whether the worker answered.

        A call also renews the leases of the worker's tasks, unless renewals
        are suspended or the worker has not answered for too long.

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
                self.host.address, request, timeout=CALL_TIMEOUT_S
            )
        except exceptions.StaleEpochError:
            self.renewing = False
            await self.inbox.put(
                OwnerSuperseded(source=f"worker {self.host.host}")
            )
            return False
        except exceptions.WorkerUnreachableError:
            await self._report_failure(sent)
            return False
        return await self._apply_answer(sent, answer, inventory)

    def acknowledge(self, boot: ids.BootId, sequence: int) -> None:
        """Acknowledge events up to ``sequence`` with the next call."""
        if boot == self.boot:
            self.acknowledged = max(self.acknowledged, sequence)
            if self.acknowledged >= self.last_event:
                self.acknowledgement.set()

    def worker_clock_lower_bound(
        self, delay: datetime.timedelta
    ) -> datetime.timedelta:
        """Return a lower bound of the worker's clock after ``delay``."""
        worker, local = self.worker_clock
        return worker + (self.clock.monotonic() - local) + delay

    def lapsed(self, now: datetime.timedelta) -> bool:
        """Tell whether all leases that this owner granted have lapsed.

        False while the worker answers.
        """
        if self.failing_since is None or self.last_renewal == NEVER:
            return False
        return now - self.last_renewal > authorities.TASK_TTL_WITH_MARGIN

    def _limit_starts(
        self,
        operations: tuple[workers.Operation, ...],
        remaining: datetime.timedelta,
    ) -> tuple[workers.Operation, ...]:
        """Set ``not_after`` of starts; drop them if no time remains."""
        not_after = self.worker_clock_lower_bound(remaining)
        limited: list[workers.Operation] = []
        for operation in operations:
            if not isinstance(operation, workers.Start):
                limited.append(operation)
            elif remaining > datetime.timedelta():
                limited.append(
                    dataclasses.replace(operation, not_after=not_after)
                )
        return tuple(limited)

    def _lease_until(self, now: datetime.timedelta) -> datetime.timedelta:
        failing = self.failing_since
        if not self.boot or not self.renewing:
            return datetime.timedelta()
        if failing is not None and now - failing >= UNANSWERED_RENEWAL_LIMIT:
            return datetime.timedelta()
        return self.worker_clock_lower_bound(authorities.TASK_TTL)

    async def _wait_acknowledged(self) -> None:
        if self.acknowledged >= self.last_event:
            return
        self.acknowledgement.clear()
        await self.clock.wait_event(
            self.acknowledgement, ACKNOWLEDGEMENT_TIMEOUT
        )

    async def _report_failure(self, sent: datetime.timedelta) -> None:
        if self.failing_since is None:
            self.failing_since = sent
        await self.inbox.put(WorkerUnreachable(host=self.host.host))

    async def _apply_answer(
        self,
        sent: datetime.timedelta,
        answer: workers.SyncAnswer,
        inventory: bool,
    ) -> bool:
        now = self.clock.monotonic()
        if answer.boot != self.boot:
            if sent < self.boot_first_seen:
                # The request was sent before the first answer with the current
                # boot id, so this is a late answer of an earlier boot.
                return False
            self.boot = answer.boot
            self.boot_first_seen = now
            self.acknowledged = 0
            self.last_event = 0
            self.clock_request_sent = NEVER
        if self.last_renewal == NEVER:
            # Until this answer the worker may have accepted a renewal of a
            # former owner, so the leases are counted from now.
            self.last_renewal = now
        self.failing_since = None
        if sent >= self.clock_request_sent:
            # The worker read its clock before its answer arrived, so a reading
            # that is computed from this pair may be too low but never too
            # high.
            self.worker_clock = (answer.clock, now)
            self.clock_request_sent = sent
        for event in answer.events:
            self.last_event = max(self.last_event, event.sequence)
        await self.inbox.put(
            SyncAnswered(
                host=self.host.host,
                answer=answer,
                inventory=inventory,
                sent=sent,
            )
        )
        return True
