"""What a job's record has to say next."""

import dataclasses
import datetime
import uuid

from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.platform import store as stores
from turmerichook._internal.scheduling import homes
from turmerichook._internal.scheduling import jobs
from turmerichook._internal.scheduling import journal as journals
from turmerichook._internal.scheduling import records

UNCHANGED = outcomes.Absent(reason=outcomes.Reason.NOTHING_DUE)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """The next content of a record; None deletes it."""

    record: jobs.JobRecord | None


def offers(
    *,
    configuration: site.Configuration,
    zone: ids.ZoneId,
    known: set[ids.JobId],
    now: datetime.datetime,
) -> list[records.RecordWrite]:
    """Return first records of jobs of the configuration folder."""
    return [
        records.RecordWrite(
            job=job,
            record=jobs.JobRecord(
                spec=spec,
                home=zone,
                state=jobs.JobState.ACCEPTED,
                operation=ids.OperationId(uuid.uuid4().hex),
                accepted=now.isoformat(),
            ),
            expect=stores.ABSENT_VERSION,
        )
        for job, spec in configuration.jobs.items()
        if job not in known and homes.home_zone(spec, configuration) == zone
    ]


def due(
    *,
    zone: ids.ZoneId,
    record: jobs.JobRecord,
    facts: journals.Facts,
    cancelled: bool,
    fault: outcomes.Absent | None,
    configuration: site.Configuration,
    statuses: homes.Statuses,
    now: datetime.datetime,
) -> Change | outcomes.Absent:
    """Return the change of a record that is due.

    :param zone: home zone of the job, whose owner asks.
    :param facts: what the zone's journal holds.
    :param fault: why the job has failed for good, if it has.
    """
    job = record.spec.job
    if record.state is not jobs.JobState.ACCEPTED:
        kept = job in configuration.jobs
        if kept or not jobs.older_than(record.ended, jobs.RETENTION, now):
            return UNCHANGED
        return Change(record=None)
    progress = facts.jobs.get(job)
    ended = 0 if progress is None else progress.ended
    changes: dict[str, object] = {}
    if ended >= record.spec.tasks:
        changes = {"state": jobs.JobState.COMPLETED, "finished": ended}
    elif cancelled:
        changes = {"state": jobs.JobState.CANCELLED, "finished": ended}
    elif fault is not None:
        changes = {
            "state": jobs.JobState.FAILED,
            "finished": ended,
            "detail": f"{fault.reason.value}: {fault.detail}",
        }
    elif job in facts.moving:
        zones = homes.open_zones(record.spec, configuration, zone)
        changes = {
            "home": homes.least_loaded(job, zones, statuses) or zone,
            "progress": None if progress is None else progress.pack(),
            "finished": ended,
        }
    if not changes:
        return UNCHANGED
    if "state" in changes:
        changes.update(ended=now.isoformat(), progress=None)
    operation = ids.OperationId(uuid.uuid4().hex)
    return Change(
        record=dataclasses.replace(record, operation=operation, **changes)
    )
