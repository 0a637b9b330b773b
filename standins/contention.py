"""How tasks on a stand-in worker share it: progress, slowdown, faults.

Reports are off until a lag is set, so that runs that do not care about usage
see none.
"""

import dataclasses
import datetime
import json
import math
import pathlib
import typing

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources

NO_TIME = datetime.timedelta()


@dataclasses.dataclass(kw_only=True)
class Progress:
    """Work of a batch attempt under throttles.

    :param left: work left at ``since``, as time at full speed.
    """

    left: datetime.timedelta
    since: datetime.timedelta
    share: float = 1.0

    def left_at(self, now: datetime.timedelta) -> datetime.timedelta:
        """Return the work left."""
        return max(NO_TIME, self.left - (now - self.since) * self.share)

    def wait(self, now: datetime.timedelta) -> datetime.timedelta:
        """Return the time until the work is done at the present share."""
        if self.share <= 0.0:
            return datetime.timedelta(days=1)
        return self.left_at(now) / self.share

    def throttle(self, share: float, now: datetime.timedelta) -> None:
        """Go on at another share."""
        self.left = self.left_at(now)
        self.since = now
        self.share = min(1.0, max(0.0, share))


@dataclasses.dataclass(frozen=True, kw_only=True)
class Options:
    """How the workers of one process behave.

    :param lag: age at which a measurement is reported; None for no reports.
    :param used_share: measured use relative to the declared size.
    :param interference: growth of a service's log latency by a batch job
        that holds all processors, by service id and job id prefix.
    :param fail_all: whether every task that starts fails at once.
    """

    lag: datetime.timedelta | None = None
    used_share: float = 1.0
    interference: typing.Mapping[str, typing.Mapping[str, float]] = (
        dataclasses.field(default_factory=dict)
    )
    fail_all: bool = False


def read_options(path: pathlib.Path | None) -> Options:
    """Return the options of a JSON file; defaults without a file."""
    if path is None:
        return Options()
    return from_document(json.loads(path.read_text()), Options())


def from_document(document: dict, before: Options) -> Options:
    """Return options with the changes of a JSON document."""
    changes: dict[str, typing.Any] = {
        key: document[key]
        for key in ("used_share", "interference", "fail_all")
        if key in document
    }
    if "lag_s" in document:
        lag = document["lag_s"]
        changes["lag"] = (
            None if lag is None else datetime.timedelta(seconds=lag)
        )
    return dataclasses.replace(before, **changes)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Share:
    """A batch attempt as a neighbour of a service."""

    task: ids.TaskId
    millicores: int
    share: float


def slowdown(
    options: Options,
    service: ids.TaskId,
    neighbours: list[Share],
    capacity: resources.Resources,
) -> float:
    """Return the factor by which a service's work takes longer."""
    pairs = options.interference.get(service.split("/")[1], {})
    exponent = 0.0
    for neighbour in neighbours:
        job = neighbour.task.split("/")[1]
        for prefix, coefficient in pairs.items():
            if job.startswith(prefix):
                cores = neighbour.millicores / max(1, capacity.millicores)
                exponent += coefficient * cores * neighbour.share
                break
    return math.exp(exponent)
