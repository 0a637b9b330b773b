"""The jobs of one zone, and which of their records have to change.

The module does no I/O: record changes and cancellations come in, wanted tasks
and record writes go out.
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

    :param reported: when its record was last written to show progress.
    """

    record: jobs.JobRecord
    version: ids.Version
    reported: datetime.timedelta = datetime.timedelta()


class JobBoard:
    """All jobs whose home is one zone."""

    def __init__(self, *, zone: ids.ZoneId, facts: journals.Facts):
        self.zone = zone
        self.facts = facts
        self.entries: dict[ids.JobId, JobEntry] = {}
        # Version and end of jobs with a final record. Two thousand jobs of a
        # day and zone would take 3 MB as whole records.
        self.ended: dict[ids.JobId, tuple[ids.Version, str]] = {}
        self.known = False
        # Rises with each change of the wanted tasks.
        self.changes = 0
        # Versions that this owner wrote. The watch may still bring older
        # ones, which would revive a job that has ended or moved.
        self.floors: dict[ids.JobId, ids.Version] = {}
        self.writing: set[ids.JobId] = set()
        self.cancelled: set[ids.JobId] = set()
        # Jobs whose records this version does not understand.
        self.unreadable: set[ids.JobId] = set()
        # Jobs whose move begins with the next journal write.
        self.leaving: set[ids.JobId] = set()
        # Jobs of the configuration that were offered to the store.
        self.offered: set[ids.JobId] = set()

    def read(
        self,
        found: collections.abc.Iterable[tuple[jobs.JobRecord, ids.Version]],
        *,
        all_jobs: bool = False,
    ) -> None:
        """Take over records as read from the store.

        :param all_jobs: whether jobs that are missing no longer exist.
        """
        present = set()
        for record, version in found:
            present.add(record.spec.job)
            self._take(record, version)
        if all_jobs:
            # Own writes that the watch has not brought yet may be newer
            # than the listing.
            own = self.writing | self.floors.keys()
            for job in self.entries.keys() - present - own:
                self._drop(job)
            for job in self.ended.keys() - present - own:
                del self.ended[job]
            self.known = True

    def removed(self, job: ids.JobId) -> None:
        """Note that a record no longer exists."""
        if job not in self.floors:
            self.ended.pop(job, None)
            self._drop(job)

    def cancel(self, names: collections.abc.Iterable[ids.JobId]) -> None:
        """Note cancellations; the jobs may be unknown or of other zones."""
        for job in names:
            if job not in self.cancelled:
                self.cancelled.add(job)
                self.changes += job in self.entries

    def forget_cancellations(
        self, names: collections.abc.Iterable[ids.JobId]
    ) -> None:
        """Drop cancellations that the store no longer holds."""
        self.cancelled.difference_update(names)

    def wanted(self) -> dict[ids.JobId, jobs.JobRecord]:
        """Return the jobs whose tasks should run or wait here."""
        self.leaving -= self.facts.moving
        held = self.facts.moving | self.leaving
        return {
            job: entry.record
            for job, entry in self.entries.items()
            if self.active(job) and job not in held
        }

    def written(self, result: records.Written) -> list[journals.Entry]:
        """Apply a write that took effect."""
        write = result.write
        job = write.job
        self.writing.discard(job)
        if write.record is None:
            self.floors.pop(job, None)
            self.ended.pop(job, None)
            return []
        moved_here = job in self.facts.moving
        self._take(write.record, result.version)
        self.floors[job] = result.version
        if moved_here and write.record.home == self.zone:
            return [journals.Settled(job=job)]
        return []

    def superseded(self, result: records.Superseded) -> list[journals.Entry]:
        """Apply what the store holds in place of a write."""
        job = result.write.job
        self.writing.discard(job)
        if result.found is None:
            self.floors.pop(job, None)
            self.ended.pop(job, None)
            self._drop(job)
            return []
        record, version = result.found
        self._take(record, version)
        if job in self.facts.moving and record.home == self.zone:
            return [journals.Settled(job=job)]
        return []

    def forgettable(self) -> list[journals.Entry]:
        """Return entries that drop facts of jobs that are not run here."""
        if not self.known:
            return []
        found: list[journals.Entry] = []
        for job, facts in self.facts.jobs.items():
            entry = self.entries.get(job)
            if entry is not None and self.active(job):
                continue
            if job in self.writing or job in self.unreadable:
                continue
            if any(f.host is not None for f in facts.live.values()):
                # An attempt of a job that has ended may still run.
                continue
            found.append(journals.JobForgotten(job=job))
        for job in self.facts.moving:
            if job not in self.entries and job not in self.facts.jobs:
                found.append(journals.JobForgotten(job=job))
        return found

    def movable(
        self, *, configuration: site.Configuration, busy: set[ids.JobId]
    ) -> list[journals.Entry]:
        """Return the entries that begin to move jobs out of a closed zone.

        :param busy: jobs with tasks that run or may run here.
        """
        found: list[journals.Entry] = []
        for job, entry in self.entries.items():
            if not self.active(job) or job in busy:
                continue
            if job in self.facts.moving | self.leaving | self.writing:
                continue
            facts = self.facts.jobs.get(job)
            if facts and any(f.host for f in facts.live.values()):
                continue
            if homes.open_zones(entry.record.spec, configuration, self.zone):
                found.append(journals.Moving(job=job))
                self.leaving.add(job)
                self.changes += 1
        return found

    def active(self, job: ids.JobId) -> bool:
        """Tell whether a job is not cancelled."""
        return job not in self.cancelled

    def _take(self, record: jobs.JobRecord, version: ids.Version) -> None:
        job = record.spec.job
        entry = self.entries.get(job)
        if version < self.floors.get(job, stores.ABSENT_VERSION):
            return
        self.floors.pop(job, None)
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
            self.facts.adopt(job, progress.unpack(record.progress))
        self.entries[job] = JobEntry(
            record=record,
            version=version,
            reported=entry.reported if entry else datetime.timedelta(),
        )
        if entry is not None:
            # Only what the record tells has changed.
            return
        self.changes += 1

    def _drop(self, job: ids.JobId) -> None:
        if self.entries.pop(job, None) is not None:
            self.changes += 1
