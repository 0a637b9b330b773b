"""Models how tasks on a simulated worker compete for its processors.

The module covers progress under throttling, the slowdown of services by batch
tasks, and injected task failures. Usage reports are off until a reporting lag
is set, so that tests that do not concern usage receive none.
"""

import dataclasses
import datetime
import json
import math
import pathlib
import typing

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources

ZERO_DURATION = datetime.timedelta()


@dataclasses.dataclass(kw_only=True)
class Progress:
    """Remaining work of a batch attempt that may be throttled.

    :param left: work remaining at ``since``, as run time at full speed.
    :param share: current speed relative to full speed, from 0 to 1.
    """

    left: datetime.timedelta
    since: datetime.timedelta
    share: float = 1.0

    def left_at(self, now: datetime.timedelta) -> datetime.timedelta:
        """Return the remaining work, as run time at full speed."""
        return max(ZERO_DURATION, self.left - (now - self.since) * self.share)

    def wait(self, now: datetime.timedelta) -> datetime.timedelta:
        """Return the time until the work is done at the current share."""
        if self.share <= 0.0:
            return datetime.timedelta(days=1)
        return self.left_at(now) / self.share

    def throttle(self, share: float, now: datetime.timedelta) -> None:
        """Change the share of full speed at which the attempt runs."""
        self.left = self.left_at(now)
        self.since = now
        self.share = min(1.0, max(0.0, share))


@dataclasses.dataclass(frozen=True, kw_only=True)
class Options:
    """Behaviour of the simulated workers in one process.

    :param lag: age at which a measurement is reported; None for no reports.
    :param used_share: measured usage relative to the declared resources.
    :param interference: increase of the logarithm of a service's latency
        caused by a batch job that uses all processors, by service id and job
        id prefix.
    :param fail_all: whether every task fails immediately after it starts.
    """

    lag: datetime.timedelta | None = None
    used_share: float = 1.0
    interference: typing.Mapping[str, typing.Mapping[str, float]] = (
        dataclasses.field(default_factory=dict)
    )
    fail_all: bool = False


def read_options(path: pathlib.Path | None) -> Options:
    """Return the options in a JSON file, or the defaults without a file."""
    if path is None:
        return Options()
    return from_document(json.loads(path.read_text()), Options())


def from_document(document: dict, before: Options) -> Options:
    """Return options updated with the values in a JSON document."""
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
class Neighbour:
    """A batch attempt that runs on the same host as a service.

    :param share: current speed relative to full speed, from 0 to 1.
    """

    task: ids.TaskId
    millicores: int
    share: float


def latency_factor(
    options: Options,
    service: ids.TaskId,
    neighbours: list[Neighbour],
    capacity: resources.Resources,
) -> float:
    """Return the factor by which a service's requests take longer."""
    coefficients = options.interference.get(service.split("/")[1], {})
    exponent = 0.0
    for neighbour in neighbours:
        job = neighbour.task.split("/")[1]
        for prefix, coefficient in coefficients.items():
            if job.startswith(prefix):
                cores = neighbour.millicores / max(1, capacity.millicores)
                exponent += coefficient * cores * neighbour.share
                break
    return math.exp(exponent)
