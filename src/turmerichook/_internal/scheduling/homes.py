"""Choice of the home zone, in which a job's tasks run."""

import collections.abc
import zlib

from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal.scheduling import messages

Statuses = collections.abc.Mapping[str, messages.ZoneStatus]


def open_zones(
    spec: site.Job,
    configuration: site.Configuration,
    except_zone: ids.ZoneId | None = None,
) -> list[ids.ZoneId]:
    """Return the open zones that a job may run in, ordered by name."""
    return [
        zone
        for zone in configuration.open_zones()
        if zone != except_zone and (not spec.zones or zone in spec.zones)
    ]


def home_zone(
    spec: site.Job, configuration: site.Configuration
) -> ids.ZoneId | None:
    """Return the initial home zone of a job.

    :returns: None while no zone that the job may run in is open.
    """
    return _by_hash(spec.job, open_zones(spec, configuration))


def _by_hash(
    job: ids.JobId, zones: collections.abc.Sequence[ids.ZoneId]
) -> ids.ZoneId | None:
    if not zones:
        return None
    return zones[zlib.crc32(job.encode()) % len(zones)]


def least_loaded(
    job: ids.JobId,
    zones: list[ids.ZoneId],
    statuses: Statuses,
) -> ids.ZoneId | None:
    """Return the zone with the least waiting work per capacity.

    A hash of the job id decides between equal zones, and between all zones if
    none has reported its status.
    """
    reporting = [zone for zone in zones if zone in statuses]
    if not reporting:
        return _by_hash(job, zones)

    def load(zone: ids.ZoneId) -> float:
        status = statuses[zone]
        return status.waiting / max(1, status.capacity)

    least = min(load(zone) for zone in reporting)
    return _by_hash(job, [zone for zone in reporting if load(zone) <= least])
