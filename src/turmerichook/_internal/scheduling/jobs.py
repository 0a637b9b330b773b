"""Job records as kept in the store."""

import dataclasses
import datetime
import enum

import msgpack

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook import exceptions

PREFIX = "jobs/"


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
    :param operation: id of the write that made this version.
    :param accepted: time of acceptance, ISO 8601.
    """

    spec: site.Job
    home: ids.ZoneId
    state: JobState
    operation: ids.OperationId
    accepted: str
    detail: str = ""


def key_of(job: ids.JobId) -> str:
    """Return the store key of a job."""
    return PREFIX + job


def pack(record: JobRecord) -> bytes:
    """Return the stored form of a record."""
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
        }
    )


def unpack(value: bytes) -> JobRecord:
    """Return a stored record.

    :raises MessageError: if it is malformed.
    """
    try:
        fields = msgpack.unpackb(value)
        return _record(fields)
    except (
        KeyError,
        TypeError,
        ValueError,
        msgpack.UnpackException,
    ) as error:
        raise exceptions.MessageError(
            message=f"malformed job record: {error}",
        ) from error


def _record(fields: dict) -> JobRecord:
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
        # Records of earlier versions do not have the next two.
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
    )


def _seconds(interval: datetime.timedelta | None) -> float | None:
    return None if interval is None else interval.total_seconds()


def _interval(seconds: float | None) -> datetime.timedelta | None:
    return None if seconds is None else datetime.timedelta(seconds=seconds)
