"""Which job records a zone's owner has to change, and when."""

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

# A job's record shows its progress with at most this lag.
PROGRESS_INTERVAL = datetime.timedelta(seconds=60)


Faults = collections.abc.Mapping[ids.JobId, outcomes.Absent]


class RecordPlan:
    """Finds the record writes that are due for the jobs of a board."""

    def __init__(self, *, board: job_board.JobBoard):
        self.board = board

    def due_writes(
        self,
        *,
        configuration: site.Configuration,
        statuses: homes.Statuses,
        now: datetime.datetime,
        failed: Faults,
    ) -> list[records.RecordWrite]:
        """Return record changes that are due and not under way.

        :param failed: jobs that have failed for good, and why.
        """
        found = []
        for job, entry in self.board.entries.items():
            if job in self.board.writing:
                continue
            record = self._due(
                job, entry, configuration, statuses, now, failed.get(job)
            )
            if record is not None:
                found.append(record)
        found += self._removals(configuration, now)
        found += self._offers(configuration, now)
        for write in found:
            self.board.writing.add(write.job)
        return found

    def progress_write(
        self, now: datetime.timedelta
    ) -> records.RecordWrite | None:
        """Return one write that shows how many tasks have ended.

        The caller asks once a second, which bounds the store calls.
        """
        behind = [
            (entry.reported, job)
            for job, entry in self.board.entries.items()
            if now - entry.reported >= PROGRESS_INTERVAL
            and job in self.board.facts.jobs
            and job not in self.board.writing
            and job not in self.board.facts.moving
            and self.board.active(job)
            and self.board.facts.jobs[job].ended != entry.record.finished
        ]
        if not behind:
            return None
        job = min(behind)[1]
        entry = self.board.entries[job]
        entry.reported = now
        self.board.writing.add(job)
        record = dataclasses.replace(
            entry.record,
            operation=ids.OperationId(uuid.uuid4().hex),
            finished=self.board.facts.jobs[job].ended,
        )
        return records.RecordWrite(
            job=job, record=record, expect=entry.version
        )

    def _due(
        self,
        job: ids.JobId,
        entry: job_board.JobEntry,
        configuration: site.Configuration,
        statuses: homes.Statuses,
        now: datetime.datetime,
        fault: outcomes.Absent | None,
    ) -> records.RecordWrite | None:
        record = entry.record
        facts = self.board.facts.jobs.get(job)
        ended = 0 if facts is None else facts.ended
        changes: dict[str, object] = {}
        if ended >= record.spec.tasks:
            changes = {"state": jobs.JobState.COMPLETED, "finished": ended}
        elif job in self.board.cancelled:
            changes = {"state": jobs.JobState.CANCELLED, "finished": ended}
        elif fault is not None:
            changes = {
                "state": jobs.JobState.FAILED,
                "finished": ended,
                "detail": f"{fault.reason.value}: {fault.detail}",
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

    def _removals(
        self, configuration: site.Configuration, now: datetime.datetime
    ) -> list[records.RecordWrite]:
        """Return deletions of final records that were kept long enough.

        A job that the folder still names would be created anew.
        """
        return [
            records.RecordWrite(job=job, record=None, expect=version)
            for job, (version, ended) in self.board.ended.items()
            if job not in configuration.jobs
            and job not in self.board.writing
            and jobs.older_than(ended, jobs.RETENTION, now)
        ]

    def _offers(
        self, configuration: site.Configuration, now: datetime.datetime
    ) -> list[records.RecordWrite]:
        """Return records to create for jobs of the configuration folder."""
        found = []
        for job, spec in configuration.jobs.items():
            if job in self.board.offered or job in self.board.entries:
                continue
            if job in self.board.ended:
                continue
            if (
                not self.board.known
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
            found.append(
                records.RecordWrite(
                    job=job, record=record, expect=stores.ABSENT_VERSION
                )
            )
        return found
