"""Election of the leader through a lease in the store.

The key ``leader/owner`` is bound to the leader's lease, so the store removes
the key when the lease ends. The claim also writes a record of the term, which
stays until the process can certainly grant no more leases on workers.
"""

import asyncio
import collections
import datetime
import random

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import keys
from turmerichook._internal.dispatch import term_record
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal.storage import interface
from turmerichook import exceptions

# Time after the last renewal at which the store ends the lease of a leader
# that has died, so that a successor can claim the key.
LEASE_TTL = datetime.timedelta(milliseconds=2000)
# Several renewals fit into one TTL, so that a lost renewal does not end the
# lease.
RENEW_INTERVAL = datetime.timedelta(milliseconds=500)
# The leader treats its lease as ended this much before the store does.
AUTHORITY_MARGIN = datetime.timedelta(milliseconds=200)
# A watch returns after this time at the latest, which limits the delay in
# noticing that the leader key is gone on a connection that has failed
# silently.
WATCH_TIMEOUT = datetime.timedelta(milliseconds=2000)
# Longest pause after a first failure, doubled after each further one up to the
# maximum. Each pause is drawn at random between half of it and all of it, so
# that hundreds of candidates do not call a store that has just returned at the
# same moments.
RETRY_PAUSE = datetime.timedelta(milliseconds=400)
RETRY_PAUSE_MAX = datetime.timedelta(milliseconds=1600)
# Pause of a process after its term as leader, so that one whose terms end at
# once does not claim the leadership in a tight loop.
TERM_PAUSE = datetime.timedelta(milliseconds=300)
# Pause after a first term that ended with an unexpected error, doubled after
# each further one up to the maximum.
FAILURE_PAUSE = datetime.timedelta(seconds=1)
FAILURE_PAUSE_MAX = datetime.timedelta(seconds=15)
# A candidate claims after a random delay of up to this, so that few claims
# collide.
CLAIM_DELAY_MAX_S = 0.08
# Additional claim delay of a host with half a processor; other hosts are
# scaled from it. All hosts of a site start within 0.3 s, so that a larger host
# claims first.
HALF_PROCESSOR_DELAY_S = 0.5
# Lower bound of the processors in the claim delay, which limits the delay.
PROCESSORS_MIN = 0.1
# Number of revisions whose times a candidate keeps.
REVISION_TIMES_KEPT = 64
# Reason of the end of a term that an unexpected error has ended.
FAILED = "failed"


class FailurePauses:
    """Pauses between the terms of one process.

    After terms that ended with an unexpected error they grow, as the next
    term probably ends in the same way.
    """

    def __init__(self):
        self.failures = 0

    def after(self, *, failed: bool) -> datetime.timedelta:
        """Return the pause after a term.

        :param failed: whether an unexpected error ended the term.
        """
        if not failed:
            self.failures = 0
            return TERM_PAUSE
        pause = clocks.doubled_pause(
            FAILURE_PAUSE, self.failures, FAILURE_PAUSE_MAX
        )
        self.failures += 1
        return pause


class RevisionTimes:
    """When this process learned that the store had reached a revision."""

    def __init__(self):
        self.times: collections.deque[
            tuple[ids.Revision, datetime.timedelta]
        ] = collections.deque(maxlen=REVISION_TIMES_KEPT)

    def note(self, revision: ids.Revision, now: datetime.timedelta) -> None:
        """Record that the store has reached a revision."""
        if not self.times or revision > self.times[-1][0]:
            self.times.append((revision, now))

    def known_since(self, revision: ids.Revision) -> datetime.timedelta | None:
        """Return our time by which a change had certainly been made.

        :param revision: revision of the change.
        :returns: None if no later revision is known.
        """
        return next(
            (at for known, at in self.times if known >= revision), None
        )


class Term:
    """A period in which this process is the leader.

    :param token: fencing token; the store revision of the claim, which is
        higher than the revision of any earlier claim.
    :param confirmed_at: reading of ``Clock.uptime`` when the last renewal that
        the store confirmed was sent.
    :param revision_times: when this process learned of earlier revisions.
    """

    def __init__(
        self,
        *,
        lease: ids.LeaseId,
        token: ids.FencingToken,
        confirmed_at: datetime.timedelta,
        clock: clocks.Clock,
        revision_times: "RevisionTimes | None" = None,
    ):
        self.lease = lease
        self.token = token
        self.confirmed_at = confirmed_at
        self.clock = clock
        self.revision_times = revision_times or RevisionTimes()
        self.ended = asyncio.Event()
        self.end_reason = ""
        # Error of the last renewal that failed.
        self.renewal_error = ""

    def has_authority(self) -> bool:
        """Tell whether the lease is certainly valid in the store.

        Only a leader with authority may start tasks.
        """
        if self.ended.is_set():
            return False
        age = self.clock.uptime() - self.confirmed_at
        return age < LEASE_TTL - AUTHORITY_MARGIN

    def unconfirmed_for(self) -> datetime.timedelta:
        """Return the time since the last confirmed renewal was sent."""
        return self.clock.uptime() - self.confirmed_at

    def end(self, reason: str) -> None:
        """End the term; only the reason of the first call is kept."""
        if not self.ended.is_set():
            self.end_reason = reason
            self.ended.set()


class Candidate:
    """Claims the leadership and renews its lease.

    :param address: address at which this host serves callers.
    :ivar record: the record of this host's term.
    """

    def __init__(
        self,
        *,
        node: ids.NodeId,
        storage: interface.Storage,
        clock: clocks.Clock,
        random_source: random.Random,
        processors: float = 1.0,
        address: str = "",
    ):
        self.node = node
        self.storage = storage
        self.clock = clock
        self.random_source = random_source
        self.processors = processors
        self.revision_times = RevisionTimes()
        self.record = term_record.TermRecord(
            key=keys.term(node, address), storage=storage, clock=clock
        )

    async def acquire(self) -> Term:
        """Wait until this process is the leader; return the new term."""
        failures = 0
        while True:
            try:
                await self._wait_until_no_leader()
                failures = 0
                await asyncio.sleep(self._claim_delay())
                term = await self._claim()
            except exceptions.TurmerichookError as error:
                logs.emit(events.DispatchEvent.CLAIM_FAILED, error=str(error))
                await self.clock.sleep(self._retry_pause(failures))
                failures += 1
                continue
            if term is not None:
                return term

    def _retry_pause(self, failures: int) -> datetime.timedelta:
        """Return the pause after a failure that follows other failures."""
        longest = clocks.doubled_pause(RETRY_PAUSE, failures, RETRY_PAUSE_MAX)
        return longest * (0.5 + 0.5 * self.random_source.random())

    def _claim_delay(self) -> float:
        """Return the pause before a claim in seconds.

        A leader of hundreds of workers needs a whole processor, so hosts with
        less than one claim later than hosts that have one.
        """
        processor_shortfall = max(
            0.0, 1.0 / max(self.processors, PROCESSORS_MIN) - 1.0
        )
        random_delay = self.random_source.random() * CLAIM_DELAY_MAX_S
        return random_delay + processor_shortfall * HALF_PROCESSOR_DELAY_S

    async def _wait_until_no_leader(self) -> None:
        revision, has_leader = await self._read_leader()
        while has_leader:
            try:
                changes = await self.storage.watch(
                    keys.LEADER_PREFIX, after=revision, wait=WATCH_TIMEOUT
                )
            except exceptions.HistoryLostError:
                revision, has_leader = await self._read_leader()
                continue
            revision = changes.revision
            self.revision_times.note(revision, self.clock.uptime())
            for change in changes.changes:
                if change.key == keys.LEADER:
                    has_leader = isinstance(change, interface.Item)

    async def _read_leader(self) -> tuple[ids.Revision, bool]:
        """Return the store's revision, and whether there is a leader."""
        page = await self.storage.page(keys.LEADER_PREFIX)
        self.revision_times.note(page.revision, self.clock.uptime())
        has_leader = any(item.key == keys.LEADER for item in page.items)
        return page.revision, has_leader

    async def _claim(self) -> Term | None:
        sent = self.clock.uptime()
        lease = await self.storage.grant_lease(LEASE_TTL)
        claim_value = f"{self.node} {lease}".encode()
        self.record.open(claim_value)
        term = None
        try:
            term = await self._commit_claim(lease, claim_value, sent)
        finally:
            if term is None:
                self.record.close()
        return term

    async def _commit_claim(
        self,
        lease: ids.LeaseId,
        claim_value: bytes,
        sent: datetime.timedelta,
    ) -> Term | None:
        commit = interface.Commit(
            expect={keys.LEADER: interface.ABSENT},
            writes=(
                interface.Write(
                    key=keys.LEADER, value=claim_value, lease=lease
                ),
                interface.Write(key=self.record.key, value=claim_value),
            ),
        )
        try:
            outcome = await self.storage.commit(commit)
        except exceptions.StoreOutcomeUnknownError:
            outcome = None
        match outcome:
            case interface.Committed(revision=revision):
                return self._new_term(lease, revision, sent)
            case interface.Conflict():
                await self._release_lease(lease)
                return None
        item = await self.storage.get(keys.LEADER)
        if item is not None and item.value == claim_value:
            return self._new_term(lease, item.revision, sent)
        # The claim may still be under way. It fails if it reaches the store
        # after its lease has ended.
        await self._release_lease(lease)
        return None

    def _new_term(
        self,
        lease: ids.LeaseId,
        revision: ids.Revision,
        sent: datetime.timedelta,
    ) -> Term:
        return Term(
            lease=lease,
            token=ids.FencingToken(revision),
            confirmed_at=sent,
            clock=self.clock,
            revision_times=self.revision_times,
        )

    async def renew_until_end(self, term: Term) -> None:
        """Renew the lease until the term ends.

        A renewal is sent without waiting for the previous one: if answers
        are lost, two successive call time-outs take longer than the TTL.
        """
        renewals: set[asyncio.Task[None]] = set()
        suspended = False
        try:
            while not term.ended.is_set():
                renewal = asyncio.create_task(self._renew(term))
                renewals.add(renewal)
                renewal.add_done_callback(renewals.discard)
                sent_at = self.clock.uptime()
                await self.clock.wait_event(term.ended, RENEW_INTERVAL)
                self._log_lateness(term, self.clock.uptime() - sent_at)
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
            term.confirmed_at = max(term.confirmed_at, sent)

    def _log_lateness(self, term: Term, interval: datetime.timedelta) -> None:
        """Log that two renewals are far apart."""
        if interval >= 2 * RENEW_INTERVAL:
            logs.emit(
                events.DispatchEvent.RENEWAL_LATE,
                epoch=term.token,
                interval_ms=interval // clocks.MILLISECOND,
            )

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

    async def _release_lease(self, lease: ids.LeaseId) -> None:
        try:
            await self.storage.end_lease(lease)
        except exceptions.StoreError as error:
            # The store ends the lease after its TTL in any case.
            logs.emit(events.DispatchEvent.CLAIM_FAILED, error=str(error))

    async def hand_over(self, term: Term) -> None:
        """End the term and the lease; a successor can claim at once.

        Must be called once the term's sessions with workers have ended.
        """
        term.end("handed-over")
        self.record.close()
        logs.emit(
            events.DispatchEvent.LEADERSHIP_HANDED_OVER, epoch=term.token
        )
        await self._release_lease(term.lease)
