"""The time at which leases from former leaders have certainly ended."""

import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import commits
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import keys
from turmerichook._internal.dispatch import leadership
from turmerichook._internal.dispatch import run_tracker as run_trackers
from turmerichook._internal.dispatch import sequence_value
from turmerichook._internal.dispatch import session as sessions
from turmerichook._internal.dispatch import term_record
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal.storage import interface
from turmerichook import exceptions

# How long leaders of versions that keep no record renew leases while the store
# does not confirm their own lease. Each of these leases has the full length.
UNRECORDED_RENEWAL_TIME = datetime.timedelta(seconds=8)
# Added to the time at which leases from a former leader have ended.
LEASE_MARGIN = datetime.timedelta(seconds=1)
# Time after the claim from which on a worker that has not answered is named in
# commits. Most workers answer a new leader at once.
SILENT_AFTER = datetime.timedelta(seconds=2)
# Time between two readings of the records of former terms.
CHECK_INTERVAL = datetime.timedelta(seconds=1)


class InheritedLeases:
    """Determines until when a new leader must expect leases of former ones.

    A former leader that the store does not reach goes on granting leases for a
    while. Once no record of an earlier term is left, no former leader grants
    leases any more.

    Each commit names the workers that have not answered this leader. It grants
    no lease on them before a commit that does not name them, so that its
    successor need not wait for such a lease.

    :ivar earlier_terms_recorded: see ``sequence_value.LeaseNotes``.
    :ivar named: workers that the last durable commit names.
    :ivar open_terms: number of earlier terms with a record; None until the
        records have been read.
    """

    def __init__(
        self,
        *,
        storage: interface.Storage,
        term: leadership.Term,
        commit_log: commits.CommitLog,
        run_tracker: run_trackers.RunTracker,
        lease_max: datetime.timedelta,
        clock: clocks.Clock,
    ):
        self.storage = storage
        self.term = term
        self.commit_log = commit_log
        self.run_tracker = run_tracker
        self.clock = clock
        self.earlier_terms_recorded = False
        self.named: frozenset[ids.WorkerId] = frozenset()
        self.open_terms: int | None = None
        self.settled = False
        # Times for which leases can last from a moment on: one lease, the
        # leases of a leader that has lost the store, and those of one of an
        # older version.
        self.lease = _by_our_clock(lease_max)
        self.unconfirmed = _by_our_clock(
            sessions.unconfirmed_lease_time(lease_max)
        )
        self.unrecorded = UNRECORDED_RENEWAL_TIME + self.lease
        self.began_at = clock.uptime()
        run_tracker.inherited_leases_until = (
            self.began_at + self.unrecorded + LEASE_MARGIN
        )

    def remaining(self) -> datetime.timedelta:
        """Return the time until all inherited leases have ended."""
        return self.run_tracker.inherited_leases_until - self.clock.uptime()

    def open(self) -> None:
        """Take over what the last commit of a former leader says.

        Must be called once the commit log is open.
        """
        previous = self.commit_log.previous_value
        if previous is None:
            # Without any commit, no leader has started a run yet.
            notes = sequence_value.LeaseNotes(earlier_terms_recorded=True)
        else:
            notes = sequence_value.decode(previous)
        self.earlier_terms_recorded = notes.earlier_terms_recorded
        if notes.earlier_terms_recorded:
            self._limit(self.began_at + self.unconfirmed + LEASE_MARGIN)
        self.named = frozenset(notes.silent)
        self.run_tracker.withheld = self.named
        self.run_tracker.inherited_until_by_worker = {
            worker: self.began_at + remaining
            for worker, remaining in notes.silent.items()
        }

    def next_notes(self) -> sequence_value.LeaseNotes:
        """Return the notes for the next commit.

        No leases are granted on the workers that it names from now on.
        """
        silent = self._silent_workers(self.clock.uptime())
        self.run_tracker.withheld = self.named.union(silent)
        return sequence_value.LeaseNotes(
            earlier_terms_recorded=self.earlier_terms_recorded, silent=silent
        )

    def noted(self, notes: sequence_value.LeaseNotes) -> None:
        """Record that a commit with these notes is durable."""
        self.named = self.run_tracker.withheld = frozenset(notes.silent)

    def _silent_workers(
        self, now: datetime.timedelta
    ) -> dict[ids.WorkerId, datetime.timedelta]:
        tracker = self.run_tracker
        if not self.earlier_terms_recorded:
            return {}
        if now > tracker.inherited_leases_until:
            return {}
        return {
            worker.worker: max(tracker.leases_until(worker) - now, fleet.ZERO)
            for worker in tracker.workers.values()
            if worker.may_hold_inherited_leases
            and worker.runs
            and worker.clock_read_at == fleet.ZERO
            and (
                now - self.began_at >= SILENT_AFTER
                or worker.worker in self.named
            )
        }

    async def run(self) -> None:
        """Read the records until the time can no longer become shorter."""
        while not self.settled:
            try:
                await self._check()
            except exceptions.TurmerichookError as error:
                logs.emit(
                    events.DispatchEvent.TERM_RECORD_KEPT,
                    key=keys.TERM_PREFIX,
                    error=str(error),
                )
            if not self.settled:
                await self.clock.sleep(CHECK_INTERVAL)

    async def _check(self) -> None:
        items, _ = await interface.read_all(self.storage, keys.TERM_PREFIX)
        # Our claim wrote our own record, so that its revision is our token. A
        # later leader's record has a higher revision.
        records = [item for item in items if item.revision < self.term.token]
        self.open_terms = len(records)
        if self.remaining() < fleet.ZERO:
            # Former leaders without a record have ended as well.
            self.earlier_terms_recorded = True
            for record in records:
                await term_record.remove(self.storage, record)
            self.settled = True
        elif not records and self.earlier_terms_recorded:
            self._shorten()
            self.settled = True

    def _shorten(self) -> None:
        self._limit(self.clock.uptime() + self.lease + LEASE_MARGIN)
        logs.emit(
            events.DispatchEvent.INHERITED_LEASES_SHORTENED,
            epoch=self.term.token,
            inherited_until_ms=round(self.remaining() / clocks.MILLISECOND),
        )

    def _limit(self, until: datetime.timedelta) -> None:
        tracker = self.run_tracker
        tracker.inherited_leases_until = min(
            tracker.inherited_leases_until, until
        )


def _by_our_clock(duration: datetime.timedelta) -> datetime.timedelta:
    """Return a duration on a worker's clock by ours, at the most."""
    return duration / (1 - fleet.CLOCK_RATE_ERROR_MAX)
