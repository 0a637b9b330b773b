"""Changes of job records and their results."""

import dataclasses

from turmerichook._internal.models import ids
from turmerichook._internal.scheduling import jobs


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecordWrite:
    """A change of a job record.

    :param record: new content; None deletes the record.
    :param expect: version that the change replaces.
    """

    job: ids.JobId
    record: jobs.JobRecord | None
    expect: ids.Version


@dataclasses.dataclass(frozen=True, kw_only=True)
class Written:
    """A record write has taken effect.

    :param version: new version; 0 after a deletion.
    """

    write: RecordWrite
    version: ids.Version


@dataclasses.dataclass(frozen=True, kw_only=True)
class Superseded:
    """A record write cannot take effect any more.

    :param found: what the store holds instead; None if nothing.
    """

    write: RecordWrite
    found: tuple[jobs.JobRecord, ids.Version] | None
