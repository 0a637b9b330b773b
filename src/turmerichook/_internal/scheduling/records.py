"""Writes of job records and their results."""

import dataclasses

from turmerichook._internal.models import ids
from turmerichook._internal.scheduling import jobs


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecordWrite:
    """A write of a job record.

    :param record: new record; None deletes the record.
    :param expect: version of the record that the write replaces.
    """

    job: ids.JobId
    record: jobs.JobRecord | None
    expect: ids.Version


@dataclasses.dataclass(frozen=True, kw_only=True)
class Written:
    """A record write has taken effect.

    :param version: new version of the record; 0 after a deletion.
    """

    write: RecordWrite
    version: ids.Version


@dataclasses.dataclass(frozen=True, kw_only=True)
class Superseded:
    """A record write can no longer take effect.

    :param found: record and version in the store; None if there is none.
    """

    write: RecordWrite
    found: tuple[jobs.JobRecord, ids.Version] | None
