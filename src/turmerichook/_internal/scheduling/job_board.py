"""The jobs of one zone as the zone's owner knows them.

The module does no I/O. Its inputs are job records, results of record writes
and cancellations; its outputs are the jobs to run and entries for the journal.
"""

import collections.abc
import dataclasses
import datetime

from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal.providers import store as stores
from turmerichook._internal.scheduling import homes
from turmerichook._internal.scheduling import jobs
from turmerichook._internal.scheduling import journal as journals
from turmerichook._internal.scheduling import progress
from turmerichook._internal.scheduling import records


@dataclasses.dataclass(kw_only=True)
class JobEntry:
    """A job of this zone as last read or written.

    :param version: version of the record in the store.
    :param progress_written: monotonic time of the last record write that
        updated the progress.
    """

    record: jobs.JobRecord
    version: ids.Version
    progress_written: datetime.timedelta = datetime.timedelta()


class JobBoard:
    """All jobs whose home is the owner's zone."""

    def __init__(self, *, zone: ids.ZoneId, facts: journals.JournalState):
        self.zone = zone
        self.facts = facts
        self.entries: dict[ids.JobId, JobEntry] = {}
        # Record version and end time of jobs that have ended. Whole records
        # would take 3 MB for the two thousand jobs of a zone in a day.
        self.ended: dict[ids.JobId, tuple[ids.Version, str]] = {}
        # Whether a complete listing of the records was read.
        self.listing_complete = False
        # Incremented with each change of the wanted jobs.
        self.changes = 0
        # Versions that this owner wrote. The watch of the store may still
        # deliver older versions, which would revive a job that has ended or
        # moved.
        self.min_versions: dict[ids.JobId, ids.Version] = {}
        self.writing: set[ids.JobId] = set()
        self.cancelled: set[ids.JobId] = set()
        # Jobs whose records this version of the software cannot decode.
        self.unreadable: set[ids.JobId] = set()
        # Jobs with a ``Moving`` entry that is not yet written to the journal.
        self.pending_moves: set[ids.JobId] = set()
        # Jobs of the configuration for which a record write was made.
        self.offered: set[ids.JobId] = set()

    def apply_records(
        self,
        stored_records: collections.abc.Iterable[
            tuple[jobs.JobRecord, ids.Version]
        ],
        *,
        all_jobs: bool = False,
    ) -> None:
        """Apply records that were read from the store.

        :param all_jobs: whether the records are a complete listing, so that
            jobs without a record no longer exist.
        """
        present = set()
        for record, version in stored_records:
            present.add(record.spec.job)
            self._apply_record(record, version)
        if all_jobs:
            # Own writes that the watch of the store has not delivered yet
            # may be newer than the listing.
            own_writes = self.writing | self.min_versions.keys()
            for job in self.entries.keys() - present - own_writes:
                self._drop(job)
            for job in self.ended.keys() - present - own_writes:
                del self.ended[job]
            self.listing_complete = True

    def apply_deletion(self, job: ids.JobId) -> None:
        """Apply the deletion of a job's record."""
        if job not in self.min_versions:
            self.ended.pop(job, None)
            self._drop(job)

    def cancel(self, names: collections.abc.Iterable[ids.JobId]) -> None:
        """Add cancellations; their jobs may be unknown or of other zones."""
        for job in names:
            if job not in self.cancelled:
                self.cancelled.add(job)
                self.changes += job in self.entries

    def forget_cancellations(
        self, names: collections.abc.Iterable[ids.JobId]
    ) -> None:
        """Drop cancellations that were deleted from the store."""
        self.cancelled.difference_update(names)

    def wanted(self) -> dict[ids.JobId, jobs.JobRecord]:
        """Return the jobs whose tasks should run or wait in this zone."""
        self.pending_moves -= self.facts.moving
        moving = self.facts.moving | self.pending_moves
        return {
            job: entry.record
            for job, entry in self.entries.items()
            if self.active(job) and job not in moving
        }

    def apply_written(self, result: records.Written) -> list[journals.Entry]:
        """Apply a record write that took effect.

        :returns: entries to append to the journal.
        """
        write = result.write
        job = write.job
        self.writing.discard(job)
        if write.record is None:
            self.min_versions.pop(job, None)
            self.ended.pop(job, None)
            return []
        moved_here = job in self.facts.moving
        self._apply_record(write.record, result.version)
        self.min_versions[job] = result.version
        if moved_here and write.record.home == self.zone:
            return [journals.Settled(job=job)]
        return []

    def apply_superseded(
        self, result: records.Superseded
    ) -> list[journals.Entry]:
        """Apply the record that took the place of a record write.

        :returns: entries to append to the journal.
        """
        job = result.write.job
        self.writing.discard(job)
        if result.found is None:
            self.min_versions.pop(job, None)
            self.ended.pop(job, None)
            self._drop(job)
            return []
        record, version = result.found
        self._apply_record(record, version)
        if job in self.facts.moving and record.home == self.zone:
            return [journals.Settled(job=job)]
        return []

    def entries_to_forget(self) -> list[journals.Entry]:
        """Return journal entries that drop the state of jobs not run here."""
        if not self.listing_complete:
            return []
        journal_entries: list[journals.Entry] = []
        for job, facts in self.facts.jobs.items():
            entry = self.entries.get(job)
            if entry is not None and self.active(job):
                continue
            if job in self.writing or job in self.unreadable:
                continue
            if any(f.host is not None for f in facts.live.values()):
                # An attempt may still run although its job has ended.
                continue
            journal_entries.append(journals.JobForgotten(job=job))
        for job in self.facts.moving:
            if job not in self.entries and job not in self.facts.jobs:
                journal_entries.append(journals.JobForgotten(job=job))
        return journal_entries

    def entries_to_move(
        self, *, configuration: site.Configuration, busy: set[ids.JobId]
    ) -> list[journals.Entry]:
        """Return journal entries that start the move of jobs out of the zone.

        The caller asks for them while the zone is closed.

        :param busy: jobs with tasks that run or may run in this zone.
        """
        journal_entries: list[journals.Entry] = []
        for job, entry in self.entries.items():
            if not self.active(job) or job in busy:
                continue
            if job in self.facts.moving | self.pending_moves | self.writing:
                continue
            facts = self.facts.jobs.get(job)
            if facts and any(f.host for f in facts.live.values()):
                continue
            if homes.open_zones(entry.record.spec, configuration, self.zone):
                journal_entries.append(journals.Moving(job=job))
                self.pending_moves.add(job)
                self.changes += 1
        return journal_entries

    def active(self, job: ids.JobId) -> bool:
        """Tell whether a job is not cancelled."""
        return job not in self.cancelled

    def _apply_record(
        self, record: jobs.JobRecord, version: ids.Version
    ) -> None:
        job = record.spec.job
        entry = self.entries.get(job)
        if version < self.min_versions.get(job, stores.ABSENT_VERSION):
            return
        self.min_versions.pop(job, None)
        if entry is not None and version <= entry.version:
            return
        if job in self.ended and version <= self.ended[job][0]:
            return
        if record.home != self.zone:
            self.ended.pop(job, None)
            self._drop(job)
            return
        if record.state is not jobs.JobState.ACCEPTED:
            self.ended[job] = (version, record.ended)
            self._drop(job)
            return
        if entry is None and record.progress is not None:
            self.facts.merge(job, progress.unpack(record.progress))
        self.entries[job] = JobEntry(
            record=record,
            version=version,
            progress_written=entry.progress_written
            if entry
            else datetime.timedelta(),
        )
        if entry is not None:
            # The job was wanted before, so the wanted jobs are the same.
            return
        self.changes += 1

    def _drop(self, job: ids.JobId) -> None:
        if self.entries.pop(job, None) is not None:
            self.changes += 1
