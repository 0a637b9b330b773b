"""Fake workers in memory that follow the platform's rules, and test data."""

import asyncio
import dataclasses
import datetime

from standins import batch_worker
from turmerichook._internal.dispatch import orders
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.workflow import model
from turmerichook import exceptions

MS = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
SERVICE = ids.ServiceId("booking")
ZONE = ids.ZoneId("krakow")

TIMING = deployment.Timing(
    lease_max=10 * SECOND,
    stop_timeout=400 * MS,
    gang_timeout=3 * SECOND,
    grace=6 * SECOND,
    drain_timeout=2 * SECOND,
    contact=3 * SECOND,
    state_retention=120 * SECOND,
)

QUEUE = deployment.Queue(
    queue=ids.QueueId("q"),
    host="example",
    prefix="/q/",
    service=SERVICE,
    priority=0,
    max_attempts=3,
    slack_factor=1.5,
    latency_objective=300 * MS,
    timeout=3 * SECOND,
)

CONFIGURATION = deployment.Configuration(
    version=1,
    queues=(QUEUE,),
    services=(
        deployment.Service(service=SERVICE, guarded=True, standby=False),
    ),
    body_bytes=100_000,
)


def entry(
    name: str,
    *,
    incarnation: int = 1,
    millicores: int = 16_000,
    zone: ids.ZoneId = ZONE,
    state: deployment.WorkerState = deployment.WorkerState.READY,
    remaining: datetime.timedelta | None = None,
) -> deployment.WorkerEntry:
    """Return a worker's registry entry."""
    return deployment.WorkerEntry(
        worker=ids.WorkerId(name),
        incarnation=incarnation,
        address="127.0.0.1:1",
        zone=zone,
        service=SERVICE,
        state=state,
        capacity=resources.Resources(millicores=millicores, memory_mib=64_000),
        labels=frozenset(("a", "r1-1")),
        rack=ids.RackId("r1-1"),
        cold=datetime.timedelta(),
        remaining=remaining,
    )


def with_service(
    listed: deployment.WorkerEntry, service: ids.ServiceId
) -> deployment.WorkerEntry:
    """Return a registry entry as one of another service."""
    return dataclasses.replace(listed, service=service)


def step(count: int = 1, **fields) -> model.Step:
    """Return a step whose tasks demand one core by default."""
    fields.setdefault(
        "demand", resources.Resources(millicores=1000, memory_mib=1000)
    )
    fields.setdefault("estimate", SECOND)
    return model.Step(count=count, **fields)


def job(
    name: str = "00000000000000aa",
    *steps: model.Step,
    accepted: datetime.timedelta = datetime.timedelta(),
) -> model.JobSpec:
    """Return a job; by default it has one step with one task."""
    return model.JobSpec(
        job=ids.JobId(name),
        queue=QUEUE.queue,
        service=SERVICE,
        payload="text",
        steps=steps or (step(),),
        accepted=accepted,
    )


class FakeWorkers:
    """An ``orders.Workers`` that calls fake workers directly.

    A worker that is cut off does not answer.
    """

    def __init__(self, *names: str):
        self.workers = {
            ids.WorkerId(name): batch_worker.BatchWorker() for name in names
        }

    async def start(self, entry, order) -> orders.Outcome:
        worker = self.workers[entry.worker]
        if worker.cut_off:
            return orders.Unknown(detail="cut off")
        return worker.start(order)

    async def stop(self, entry, order) -> orders.Outcome:
        worker = self.workers[entry.worker]
        if worker.cut_off:
            return orders.Unknown(detail="cut off")
        return worker.stop(order)

    async def throttle(self, entry, order) -> orders.Outcome:
        return orders.Accepted()

    async def renew(self, entry, order) -> orders.Report:
        worker = self.workers[entry.worker]
        if worker.cut_off:
            raise exceptions.WorkerUnreachableError(message="cut off")
        report = worker.renew(order)
        if report.ends or not order.wait:
            return report
        await asyncio.sleep(0.02)
        return worker.renew(order)

    def forget(self, worker: ids.WorkerId) -> None:
        pass
