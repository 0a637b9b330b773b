"""Job records and cancellations, and their serialised form in the store."""

import dataclasses
import datetime
import enum

import msgpack

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook import exceptions

PREFIX = "jobs/"
CANCEL_PREFIX = "cancels/"
# How long records in a final state, and cancellations, are kept.
RETENTION = datetime.timedelta(hours=24)


class JobState(enum.Enum):
    """State of a job; the last three are final."""

    ACCEPTED = "accepted"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobRecord:
    """A job with its state.

    :param home: zone whose owner runs the job.
    :param operation: id of the write that created this version of the record.
    :param accepted: time of acceptance, ISO 8601.
    :param detail: reason of a failure; empty without one.
    :param ended: time at which the state became final, ISO 8601.
    :param finished: number of tasks that had a result when the record was
        written.
    :param progress: progress of the job in its former home zone, as
        ``progress.JobProgress.pack`` returns it; None without a former zone or
        progress.
    """

    spec: site.Job
    home: ids.ZoneId
    state: JobState
    operation: ids.OperationId
    accepted: str
    detail: str = ""
    ended: str = ""
    finished: int = 0
    progress: list | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cancellation:
    """A request to cancel a set of jobs.

    :param created: time of the request, ISO 8601.
    """

    jobs: tuple[ids.JobId, ...]
    created: str


def key_of(job: ids.JobId) -> str:
    """Return the store key of a job."""
    return PREFIX + job


def pack(record: JobRecord) -> bytes:
    """Serialise a job record for the store."""
    spec = record.spec
    amount = spec.resources
    return msgpack.packb(
        {
            "job": spec.job,
            "team": spec.team,
            "tasks": spec.tasks,
            "amount": [
                amount.millicores,
                amount.memory_mib,
                amount.accelerators,
            ],
            "run_time": spec.run_time.total_seconds(),
            "zones": list(spec.zones),
            "urgency": spec.urgency.value,
            "start_by": _seconds(spec.start_by),
            "deadline": _seconds(spec.deadline),
            "home": record.home,
            "state": record.state.value,
            "operation": record.operation,
            "accepted": record.accepted,
            "detail": record.detail,
            "ended": record.ended,
            "finished": record.finished,
            "progress": record.progress,
        }
    )


def unpack(value: bytes) -> JobRecord:
    """Parse a stored job record.

    :raises MessageError: if the record is malformed.
    """
    try:
        fields = msgpack.unpackb(value, strict_map_key=False)
        return _record_from_fields(fields)
    except (
        KeyError,
        TypeError,
        ValueError,
        msgpack.UnpackException,
    ) as error:
        raise exceptions.MessageError(
            message=f"malformed job record: {error}",
        ) from error


def pack_cancellation(cancellation: Cancellation) -> bytes:
    """Serialise a cancellation for the store."""
    return msgpack.packb(
        {"jobs": list(cancellation.jobs), "created": cancellation.created}
    )


def unpack_cancellation(value: bytes) -> Cancellation:
    """Parse a stored cancellation.

    :raises MessageError: if the cancellation is malformed.
    """
    match _unpack_value(value):
        case {"jobs": list(names), "created": str(created)}:
            return Cancellation(
                jobs=tuple(ids.JobId(name) for name in names),
                created=created,
            )
        case _:
            raise exceptions.MessageError(
                message="malformed cancellation record"
            )


def older_than(timestamp: str, age: datetime.timedelta, now) -> bool:
    """Tell whether an ISO 8601 time is more than ``age`` before ``now``."""
    try:
        return now - datetime.datetime.fromisoformat(timestamp) > age
    except (TypeError, ValueError):
        # A malformed time, or one without a time zone, cannot be compared
        # with ``now``; it never counts as old enough.
        return False


def age(timestamp: str, now: datetime.datetime) -> datetime.timedelta:
    """Return the time from an ISO 8601 time to ``now``.

    It is zero if the time is malformed or has no time zone.
    """
    try:
        return now - datetime.datetime.fromisoformat(timestamp)
    except (TypeError, ValueError):
        return datetime.timedelta()


def _unpack_value(value: bytes) -> object:
    try:
        return msgpack.unpackb(value)
    except (ValueError, msgpack.UnpackException) as error:
        raise exceptions.MessageError(
            message=f"cancellation record is not valid msgpack: {error}",
        ) from error


def _record_from_fields(fields: dict) -> JobRecord:
    millicores, memory, accelerators = fields["amount"]
    spec = site.Job(
        job=ids.JobId(fields["job"]),
        team=ids.TeamId(fields["team"]),
        tasks=fields["tasks"],
        resources=resources.Resources(
            millicores=millicores,
            memory_mib=memory,
            accelerators=accelerators,
        ),
        run_time=datetime.timedelta(seconds=fields["run_time"]),
        zones=tuple(ids.ZoneId(zone) for zone in fields["zones"]),
        urgency=site.Urgency(fields["urgency"]),
        # Records written by earlier versions lack start_by and deadline.
        start_by=_interval(fields.get("start_by")),
        deadline=_interval(fields.get("deadline")),
    )
    return JobRecord(
        spec=spec,
        home=ids.ZoneId(fields["home"]),
        state=JobState(fields["state"]),
        operation=ids.OperationId(fields["operation"]),
        accepted=fields["accepted"],
        detail=fields["detail"],
        ended=fields.get("ended", ""),
        finished=fields.get("finished", 0),
        progress=fields.get("progress"),
    )


def _seconds(interval: datetime.timedelta | None) -> float | None:
    return None if interval is None else interval.total_seconds()


def _interval(seconds: float | None) -> datetime.timedelta | None:
    return None if seconds is None else datetime.timedelta(seconds=seconds)
