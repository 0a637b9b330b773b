"""Usage reports of a simulated worker, which are delivered with a lag."""

import dataclasses
import datetime
import typing

from standins import contention
from standins import endpoint
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.providers import workers

INTERVAL = datetime.timedelta(seconds=1)


class Meter:
    """Buffers usage measurements until they reach the reporting lag."""

    def __init__(self):
        self.measurements: list[
            tuple[datetime.timedelta, workers.TaskUsage]
        ] = []

    def add(
        self, now: datetime.timedelta, usage: list[workers.TaskUsage]
    ) -> None:
        """Add measurements taken at the time ``now``."""
        self.measurements += [(now, item) for item in usage]

    def pop_due(
        self, now: datetime.timedelta, lag: datetime.timedelta | None
    ) -> tuple[workers.TaskUsage, ...]:
        """Remove all due measurements and return the newest for each task.

        :param lag: age at which a measurement is due; None discards all.
        """
        if lag is None:
            self.measurements.clear()
            return ()
        newest: dict[ids.TaskId, workers.TaskUsage] = {}
        pending = []
        for time, item in self.measurements:
            if now - time < lag:
                pending.append((time, item))
            else:
                newest[item.task] = dataclasses.replace(item, age=now - time)
        self.measurements = pending
        return tuple(newest.values())


async def run(worker: typing.Any) -> None:
    """Periodically measure usage and apply the slowdown of services.

    The slowdown depends on the batch tasks on the same host. The function
    runs until it is cancelled.

    :param worker: a ``standins.worker.Worker``.
    """
    while True:
        await worker.clock.sleep(INTERVAL)
        neighbours = [
            contention.Neighbour(
                task=name,
                millicores=attempt.start.resources.millicores,
                share=attempt.progress.share,
            )
            for name, attempt in worker.running.items()
            if attempt.start.kind is workers.TaskKind.BATCH
        ]
        usage = [
            _measure(worker, name, attempt, neighbours)
            for name, attempt in worker.running.items()
        ]
        if worker.options.lag is not None:
            worker.meter.add(worker.clock.monotonic(), usage)


def _measure(
    worker: typing.Any,
    name: ids.TaskId,
    attempt: typing.Any,
    neighbours: list[contention.Neighbour],
) -> workers.TaskUsage:
    latency = datetime.timedelta()
    if attempt.replica is not None:
        factor = contention.latency_factor(
            worker.options, name, neighbours, worker.capacity
        )
        attempt.replica.work_s = endpoint.WORK_S * factor
        latency = datetime.timedelta(seconds=attempt.replica.work_s)
    declared = attempt.start.resources
    share = worker.options.used_share
    return workers.TaskUsage(
        task=name,
        attempt=attempt.start.attempt,
        used=resources.Resources(
            millicores=round(
                declared.millicores * share * attempt.progress.share
            ),
            memory_mib=round(declared.memory_mib * share),
        ),
        age=datetime.timedelta(),
        latency=latency,
    )
