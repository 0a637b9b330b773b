"""Election of the leader by a lease in the store."""

import asyncio
import datetime
import random

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import keys
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal.storage import interface
from turmerichook import exceptions

# A dead leader's successor starts after this time.
LEASE_TTL = datetime.timedelta(milliseconds=2000)
# Several renewals fit into one TTL, so that a lost one costs nothing.
RENEW_INTERVAL = datetime.timedelta(milliseconds=500)
# The leader's own view of its lease ends earlier than the store's.
AUTHORITY_MARGIN = datetime.timedelta(milliseconds=200)
# Bounds how long a silent connection hides the loss of the leader.
WATCH_WAIT = datetime.timedelta(milliseconds=2000)
RETRY_PAUSE = datetime.timedelta(milliseconds=400)
# Candidates claim after a random part of this, so that few collide.
CLAIM_SPREAD_S = 0.08
# Longer pause for a host that has half a processor. All hosts of a site start
# within 0.3 s.
SMALL_HOST_DELAY_S = 0.5
PROCESSORS_MIN = 0.1


class Term:
    """The time in which this process is the leader.

    :param token: revision of the claim, which is higher than that of any
        earlier one, and so serves as the fencing token.
    """

    def __init__(
        self,
        *,
        lease: ids.LeaseId,
        token: ids.FencingToken,
        confirmed: datetime.timedelta,
        clock: clocks.Clock,
    ):
        self.lease = lease
        self.token = token
        # Reading of ``Clock.uptime`` when the last confirmed renewal was sent.
        self.confirmed = confirmed
        self.clock = clock
        self.ended = asyncio.Event()
        self.end_reason = ""
        # Why the last renewal that failed did so.
        self.renewal_error = ""

    def has_authority(self) -> bool:
        """Tell whether the store certainly holds the lease."""
        if self.ended.is_set():
            return False
        age = self.clock.uptime() - self.confirmed
        return age < LEASE_TTL - AUTHORITY_MARGIN

    def unconfirmed_for(self) -> datetime.timedelta:
        """Return the time since the last confirmed renewal was sent."""
        return self.clock.uptime() - self.confirmed

    def end(self, reason: str) -> None:
        """Note that this process is no longer the leader."""
        if not self.ended.is_set():
            self.end_reason = reason
            self.ended.set()


class Candidate:
    """Waits for the leadership and keeps it."""

    def __init__(
        self,
        *,
        node: ids.NodeId,
        storage: interface.Storage,
        clock: clocks.Clock,
        draw: random.Random,
        processors: float = 1.0,
    ):
        self.node = node
        self.storage = storage
        self.clock = clock
        self.draw = draw
        self.processors = processors

    async def win(self) -> Term:
        """Return once this process is the leader."""
        while True:
            try:
                await self._wait_for_vacancy()
                await asyncio.sleep(self._claim_delay())
                term = await self._claim()
            except exceptions.TurmerichookError as error:
                logs.emit(events.DispatchEvent.CLAIM_FAILED, error=str(error))
                await self.clock.sleep(RETRY_PAUSE)
                continue
            if term is not None:
                return term

    def _claim_delay(self) -> float:
        """Return the pause before a claim in seconds.

        A leader of hundreds of workers needs a whole processor, so that
        hosts with less come after those that have one.
        """
        lacking = max(0.0, 1.0 / max(self.processors, PROCESSORS_MIN) - 1.0)
        spread = self.draw.random() * CLAIM_SPREAD_S
        return spread + lacking * SMALL_HOST_DELAY_S

    async def _wait_for_vacancy(self) -> None:
        page = await self.storage.page(keys.LEADER_PREFIX)
        revision = page.revision
        taken = bool(page.items)
        while taken:
            try:
                changes = await self.storage.watch(
                    keys.LEADER_PREFIX, after=revision, wait=WATCH_WAIT
                )
            except exceptions.HistoryLostError:
                page = await self.storage.page(keys.LEADER_PREFIX)
                revision, taken = page.revision, bool(page.items)
                continue
            revision = changes.revision
            for change in changes.changes:
                taken = isinstance(change, interface.Item)

    async def _claim(self) -> Term | None:
        sent = self.clock.uptime()
        lease = await self.storage.grant_lease(LEASE_TTL)
        mark = f"{self.node} {lease}".encode()
        commit = interface.Commit(
            expect={keys.LEADER: interface.ABSENT},
            writes=(
                interface.Write(key=keys.LEADER, value=mark, lease=lease),
            ),
        )
        try:
            outcome = await self.storage.commit(commit)
        except exceptions.StoreOutcomeUnknownError:
            outcome = None
        match outcome:
            case interface.Committed(revision=revision):
                return self._term(lease, revision, sent)
            case interface.Conflict():
                await self._give_back(lease)
                return None
        item = await self.storage.get(keys.LEADER)
        if item is not None and item.value == mark:
            return self._term(lease, item.revision, sent)
        # A claim that comes late fails once its lease has ended.
        await self._give_back(lease)
        return None

    def _term(
        self,
        lease: ids.LeaseId,
        revision: ids.Revision,
        sent: datetime.timedelta,
    ) -> Term:
        return Term(
            lease=lease,
            token=ids.FencingToken(revision),
            confirmed=sent,
            clock=self.clock,
        )

    async def keep(self, term: Term) -> None:
        """Renew the lease until the term ends.

        Renewals do not wait for each other: where answers are lost, two
        time-outs in a row are longer than the lease.
        """
        renewals: set[asyncio.Task[None]] = set()
        suspended = False
        try:
            while not term.ended.is_set():
                renewal = asyncio.create_task(self._renew(term))
                renewals.add(renewal)
                renewal.add_done_callback(renewals.discard)
                await self.clock.wait_event(term.ended, RENEW_INTERVAL)
                if suspended == term.has_authority():
                    suspended = not suspended
                    self._log_authority(term, suspended)
        finally:
            for renewal in renewals:
                renewal.cancel()

    async def _renew(self, term: Term) -> None:
        sent = self.clock.uptime()
        try:
            await self.storage.renew_lease(term.lease)
        except exceptions.LeaseLapsedError:
            term.end("lease-lapsed")
        except exceptions.TurmerichookError as error:
            term.renewal_error = str(error)
        else:
            term.confirmed = max(term.confirmed, sent)

    def _log_authority(self, term: Term, suspended: bool) -> None:
        if term.ended.is_set():
            return
        if suspended:
            logs.emit(
                events.DispatchEvent.AUTHORITY_SUSPENDED,
                error=term.renewal_error,
                epoch=term.token,
            )
        else:
            logs.emit(
                events.DispatchEvent.AUTHORITY_RESTORED, epoch=term.token
            )

    async def _give_back(self, lease: ids.LeaseId) -> None:
        try:
            await self.storage.end_lease(lease)
        except exceptions.StoreError as error:
            # It ends by itself after its TTL.
            logs.emit(events.DispatchEvent.CLAIM_FAILED, error=str(error))

    async def hand_over(self, term: Term) -> None:
        """End the lease at once, so that a successor need not wait."""
        term.end("handed-over")
        logs.emit(
            events.DispatchEvent.LEADERSHIP_HANDED_OVER, epoch=term.token
        )
        await self._give_back(term.lease)
