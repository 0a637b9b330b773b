"""Planning of the job record writes that a zone's owner has to make."""

import collections.abc
import dataclasses
import datetime
import uuid

from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.providers import store as stores
from turmerichook._internal.scheduling import homes
from turmerichook._internal.scheduling import job_board
from turmerichook._internal.scheduling import jobs
from turmerichook._internal.scheduling import records

# Minimum time between two record writes that update a job's progress.
PROGRESS_INTERVAL = datetime.timedelta(seconds=60)


JobFailures = collections.abc.Mapping[ids.JobId, outcomes.Absent]


class RecordPlan:
    """Determines the record writes that are due for the jobs of a board."""

    def __init__(self, *, board: job_board.JobBoard):
        self.board = board

    def due_writes(
        self,
        *,
        configuration: site.Configuration,
        statuses: homes.Statuses,
        now: datetime.datetime,
        failed: JobFailures,
    ) -> list[records.RecordWrite]:
        """Return the record writes that are due and not yet under way.

        :param failed: jobs that have failed for good, with the reason.
        """
        writes = []
        for job, entry in self.board.entries.items():
            if job in self.board.writing:
                continue
            due = self._due_write(
                job, entry, configuration, statuses, now, failed.get(job)
            )
            if due is not None:
                writes.append(due)
        writes += self._expired_records(configuration, now)
        writes += self._new_records(configuration, now)
        for write in writes:
            self.board.writing.add(write.job)
        return writes

    def progress_write(
        self, now: datetime.timedelta
    ) -> records.RecordWrite | None:
        """Return a write that updates a job's number of ended tasks.

        It is for the job whose last update is oldest. The caller asks for one
        write a second, which bounds the calls of the store.

        :returns: None if no record is due for an update.
        """
        outdated = [
            (entry.progress_written, job)
            for job, entry in self.board.entries.items()
            if now - entry.progress_written >= PROGRESS_INTERVAL
            and job in self.board.facts.jobs
            and job not in self.board.writing
            and job not in self.board.facts.moving
            and self.board.active(job)
            and self.board.facts.jobs[job].ended != entry.record.finished
        ]
        if not outdated:
            return None
        job = min(outdated)[1]
        entry = self.board.entries[job]
        entry.progress_written = now
        self.board.writing.add(job)
        record = dataclasses.replace(
            entry.record,
            operation=ids.OperationId(uuid.uuid4().hex),
            finished=self.board.facts.jobs[job].ended,
        )
        return records.RecordWrite(
            job=job, record=record, expect=entry.version
        )

    def _due_write(
        self,
        job: ids.JobId,
        entry: job_board.JobEntry,
        configuration: site.Configuration,
        statuses: homes.Statuses,
        now: datetime.datetime,
        failure: outcomes.Absent | None,
    ) -> records.RecordWrite | None:
        record = entry.record
        facts = self.board.facts.jobs.get(job)
        ended = 0 if facts is None else facts.ended
        changes: dict[str, object] = {}
        if ended >= record.spec.tasks:
            changes = {"state": jobs.JobState.COMPLETED, "finished": ended}
        elif job in self.board.cancelled:
            changes = {"state": jobs.JobState.CANCELLED, "finished": ended}
        elif failure is not None:
            changes = {
                "state": jobs.JobState.FAILED,
                "finished": ended,
                "detail": f"{failure.reason.value}: {failure.detail}",
            }
        elif job in self.board.facts.moving:
            zones = homes.open_zones(
                record.spec, configuration, self.board.zone
            )
            changes = {
                "home": homes.least_loaded(job, zones, statuses)
                or self.board.zone,
                "progress": None if facts is None else facts.pack(),
                "finished": ended,
            }
        if not changes:
            return None
        if "state" in changes:
            changes.update(ended=now.isoformat(), progress=None)
        changed = dataclasses.replace(
            record, operation=ids.OperationId(uuid.uuid4().hex), **changes
        )
        return records.RecordWrite(
            job=job, record=changed, expect=entry.version
        )

    def _expired_records(
        self, configuration: site.Configuration, now: datetime.datetime
    ) -> list[records.RecordWrite]:
        """Return deletions of records whose jobs ended ``RETENTION`` ago.

        The record of a job that is still in the configuration folder is
        kept, since the job would otherwise be created again.
        """
        return [
            records.RecordWrite(job=job, record=None, expect=version)
            for job, (version, ended) in self.board.ended.items()
            if job not in configuration.jobs
            and job not in self.board.writing
            and jobs.older_than(ended, jobs.RETENTION, now)
        ]

    def _new_records(
        self, configuration: site.Configuration, now: datetime.datetime
    ) -> list[records.RecordWrite]:
        """Return writes of records for new jobs in the configuration."""
        writes = []
        for job, spec in configuration.jobs.items():
            if job in self.board.offered or job in self.board.entries:
                continue
            if job in self.board.ended:
                continue
            if (
                not self.board.listing_complete
                or homes.home_zone(spec, configuration) != self.board.zone
            ):
                continue
            self.board.offered.add(job)
            record = jobs.JobRecord(
                spec=spec,
                home=self.board.zone,
                state=jobs.JobState.ACCEPTED,
                operation=ids.OperationId(uuid.uuid4().hex),
                accepted=now.isoformat(),
            )
            writes.append(
                records.RecordWrite(
                    job=job, record=record, expect=stores.ABSENT_VERSION
                )
            )
        return writes
