"""Usage reports of a stand-in worker, which arrive with a lag."""

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
    """Keeps measurements until they are as old as the lag."""

    def __init__(self):
        self.taken: list[tuple[datetime.timedelta, workers.TaskUsage]] = []

    def take(
        self, now: datetime.timedelta, usage: list[workers.TaskUsage]
    ) -> None:
        """Add measurements made now."""
        self.taken += [(now, item) for item in usage]

    def due(
        self, now: datetime.timedelta, lag: datetime.timedelta | None
    ) -> tuple[workers.TaskUsage, ...]:
        """Remove and return the newest measurement due of each attempt."""
        if lag is None:
            self.taken.clear()
            return ()
        found: dict[ids.TaskId, workers.TaskUsage] = {}
        kept = []
        for time, item in self.taken:
            if now - time < lag:
                kept.append((time, item))
            else:
                found[item.task] = dataclasses.replace(item, age=now - time)
        self.taken = kept
        return tuple(found.values())


async def run(worker: typing.Any) -> None:
    """Measure use and slow services down by their neighbours for ever.

    :param worker: a ``standins.worker.Worker``.
    """
    while True:
        await worker.clock.sleep(INTERVAL)
        neighbours = [
            contention.Share(
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
            worker.meter.take(worker.clock.monotonic(), usage)


def _measure(
    worker: typing.Any,
    name: ids.TaskId,
    attempt: typing.Any,
    neighbours: list[contention.Share],
) -> workers.TaskUsage:
    latency = datetime.timedelta()
    if attempt.replica is not None:
        factor = contention.slowdown(
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
