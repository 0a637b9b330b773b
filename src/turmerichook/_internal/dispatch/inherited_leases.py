"""The time at which leases from former leaders have certainly ended."""

import dataclasses
import datetime
import itertools

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import commits
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import keys
from turmerichook._internal.dispatch import leadership
from turmerichook._internal.dispatch import run_tracker as run_trackers
from turmerichook._internal.dispatch import sequence_value
from turmerichook._internal.dispatch import session as sessions
from turmerichook._internal.dispatch import silent_workers
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
# Shortest time between two searches for silent workers among all.
SEARCH_INTERVAL = datetime.timedelta(milliseconds=100)
# How long a lease granted to a silent worker may be extended without a further
# commit.
SILENT_EXTENSION = datetime.timedelta(milliseconds=1500)
# The stored end of the leases on a worker is corrected if it is too late by
# this much.
NAMED_SLACK = datetime.timedelta(seconds=1)
# Largest number of workers in the list, which bounds its size.
NAMED_MAX = 400


@dataclasses.dataclass(frozen=True, kw_only=True)
class Notes:
    """What the next commit tells the next leader.

    :param named: the list that is then in force, see ``InheritedLeases``.
    :param writes: writes of a list that replaces the stored one.
    :param changed: whether the commit replaces or removes the stored list.
    """

    lease_notes: sequence_value.LeaseNotes
    named: dict[ids.WorkerId, datetime.timedelta | None] = dataclasses.field(
        default_factory=dict
    )
    writes: tuple[interface.Write, ...] = ()
    changed: bool = False


class InheritedLeases:
    """Determines until when a new leader must expect leases of former ones.

    A former leader that the store does not reach goes on granting leases for a
    while. Once no record of an earlier term is left, no former leader grants
    leases any more.

    Commits name the workers with runs that do not answer this leader, or that
    are about to shut down, with the time at which all leases on them have
    ended. Leases that end later are granted after a further commit only. So a
    successor need not reckon with more, although the registry may no longer
    list such a worker and nobody may ever hear of it again.

    Commits also name the workers with runs that answer although the registry
    does not list them, as a successor would have no address to renew the
    leases at. These leases need no further commit.

    :ivar earlier_terms_recorded: see ``sequence_value.LeaseNotes``.
    :ivar named: our time at which the leases have ended, for each worker in
        the stored list; None for a worker that answers.
    :ivar inherited: the list that former leaders have stored.
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
        self.inherited: dict[ids.WorkerId, silent_workers.SilentWorker] = {}
        self.named: dict[ids.WorkerId, datetime.timedelta | None] = {}
        # Id of the commit that wrote the stored list.
        self.silent_commit = ""
        self.next_search = fleet.ZERO
        # Limits of leases while no commit is under way.
        self.limits: dict[ids.WorkerId, datetime.timedelta] = {}
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
        silent_since = self.began_at
        item = self.commit_log.previous_silent
        if notes.silent:
            try:
                if item is None:
                    raise exceptions.StoredValueError(
                        message="the list of silent workers is missing"
                    )
                self.inherited = silent_workers.decode(
                    notes.silent, item.value
                )
            except exceptions.StoredValueError as error:
                logs.emit(
                    events.DispatchEvent.SILENT_WORKERS_UNREADABLE,
                    error=str(error),
                )
                notes = sequence_value.LeaseNotes()
            else:
                silent_since = self._known_since(item.revision)
        self.earlier_terms_recorded = notes.earlier_terms_recorded
        self.silent_commit = notes.silent
        if notes.earlier_terms_recorded:
            self._limit(self.began_at + self.unconfirmed + LEASE_MARGIN)
        self.named = {
            worker: (
                None
                if silent.remaining is None
                else silent_since + silent.remaining
            )
            for worker, silent in self.inherited.items()
        }
        ends = _known_ends(self.named)
        self.run_tracker.inherited_until_by_worker = ends
        # Another process may have learned of the list sooner, and so reckon
        # with leases that end sooner: none is granted by this list.
        self._set_limits(dict.fromkeys(ends, self.began_at))

    def _known_since(self, revision: ids.Revision) -> datetime.timedelta:
        """Return our time by which a change had been made, before the claim.

        The time from then on is a part of what the change states as remaining.
        """
        known_since = self.term.revision_times.known_since(revision)
        return min(known_since or self.began_at, self.began_at)

    def _set_limits(
        self, limits: dict[ids.WorkerId, datetime.timedelta]
    ) -> None:
        self.limits = self.run_tracker.lease_limits = limits

    def next_notes(self) -> Notes:
        """Return the notes for the next commit.

        Until it is known whether the commit is durable, leases comply with
        both the stored list and the one that it writes.
        """
        now = self.clock.uptime()
        named = self.named
        if now >= self.next_search or self._any_answers_again():
            self.next_search = now + SEARCH_INTERVAL
            named = self._workers_to_name(now)
        if named == self.named:
            return Notes(
                lease_notes=self._lease_notes(self.silent_commit), named=named
            )
        commit = self.commit_log.next_id
        self.run_tracker.lease_limits = _stricter(
            self.limits, _known_ends(named)
        )
        return Notes(
            lease_notes=self._lease_notes(commit if named else ""),
            named=named,
            writes=self._list_writes(commit, named, now) if named else (),
            changed=True,
        )

    def _any_answers_again(self) -> bool:
        """Return whether a worker without leases may have them again.

        The commit may place tasks on it, and no start can be sent to it while
        the list names it.
        """
        workers = (
            self.run_tracker.workers.get(worker_id)
            for worker_id in self.limits
        )
        return any(
            worker is not None
            and worker.clock_read_at
            and not _may_be_lost(worker)
            for worker in workers
        )

    def _lease_notes(self, silent: str) -> sequence_value.LeaseNotes:
        return sequence_value.LeaseNotes(
            earlier_terms_recorded=self.earlier_terms_recorded, silent=silent
        )

    def _list_writes(
        self,
        commit: str,
        named: dict[ids.WorkerId, datetime.timedelta | None],
        now: datetime.timedelta,
    ) -> tuple[interface.Write, ...]:
        silent = {}
        for worker_id, until in named.items():
            worker = self.run_tracker.workers[worker_id]
            silent[worker_id] = silent_workers.SilentWorker(
                remaining=(
                    None if until is None else max(until - now, fleet.ZERO)
                ),
                address=worker.entry.address if worker.entry else "",
                draining=worker.draining,
            )
        return (
            interface.Write(
                key=keys.SILENT_WORKERS,
                value=silent_workers.encode(commit, silent),
            ),
            interface.Write(
                key=keys.SILENT_MARK, value=b"", lease=self.term.lease
            ),
        )

    def noted(self, notes: Notes) -> None:
        """Record that a commit with these notes is durable."""
        if notes.changed:
            self.named = notes.named
            self.silent_commit = notes.lease_notes.silent
            self._set_limits(_known_ends(notes.named))

    def _workers_to_name(
        self, now: datetime.timedelta
    ) -> dict[ids.WorkerId, datetime.timedelta | None]:
        """Return the list to store, see ``named``."""
        if not self.earlier_terms_recorded:
            return {}
        busy = [w for w in self.run_tracker.workers.values() if w.runs]
        silent = (
            (worker.worker, self._ended_at(worker, now))
            for worker in busy
            if self._silent(worker, now)
        )
        unlisted = (
            (worker.worker, None)
            for worker in busy
            if not worker.listed
            and worker.entry is not None
            and not self._silent(worker, now)
        )
        return dict(
            itertools.islice(itertools.chain(silent, unlisted), NAMED_MAX)
        )

    def _silent(self, worker: fleet.Worker, now: datetime.timedelta) -> bool:
        if worker.clock_read_at:
            return _may_be_lost(worker)
        return self._not_reached(worker, now)

    def _not_reached(
        self, worker: fleet.Worker, now: datetime.timedelta
    ) -> bool:
        """Return whether a worker that has not answered is to be named."""
        return (
            worker.may_hold_inherited_leases
            and now <= self.run_tracker.inherited_leases_until
            and (
                now - self.began_at >= SILENT_AFTER
                or self.named.get(worker.worker) is not None
            )
        )

    def _ended_at(
        self, worker: fleet.Worker, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Return our time at which all leases on a worker have ended.

        It leaves room for leases to a listed worker that may only be slow.
        """
        ended_at = self.run_tracker.leases_until(worker) or self.began_at
        named = self.named.get(worker.worker)
        if sessions.renewed_while_silent(worker, now):
            latest = max(ended_at, named or ended_at)
            if latest < now + sessions.SILENT_LEASE:
                return now + sessions.SILENT_LEASE + SILENT_EXTENSION
            return latest
        if named is not None and fleet.ZERO <= named - ended_at < NAMED_SLACK:
            return named
        return ended_at

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


def _may_be_lost(worker: fleet.Worker) -> bool:
    """Return whether a worker that has answered may not do so any more."""
    return not worker.reachable or worker.draining


def _known_ends(
    named: dict[ids.WorkerId, datetime.timedelta | None],
) -> dict[ids.WorkerId, datetime.timedelta]:
    return {
        worker: until for worker, until in named.items() if until is not None
    }


def _stricter(
    limits: dict[ids.WorkerId, datetime.timedelta],
    others: dict[ids.WorkerId, datetime.timedelta],
) -> dict[ids.WorkerId, datetime.timedelta]:
    """Return the earlier limit for each worker that has any."""
    stricter = {**limits, **others}
    for worker in limits.keys() & others.keys():
        stricter[worker] = min(limits[worker], others[worker])
    return stricter
