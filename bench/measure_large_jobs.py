"""Processor time for which a job with many steps holds the event loop.

Real: the dispatcher and the encoding of jobs and their progress. Workers and
store are left out. The largest jobs have the largest body that the platform's
configuration accepts. ``python -m bench.measure_large_jobs`` prints a table
with fewer steps as well.
"""

import collections.abc
import contextlib
import datetime
import gc
import json
import random
import time
import typing

from bench import results
from turmerichook._internal.dispatch import dispatcher as dispatchers
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.platform import caller_calls
from turmerichook._internal.workflow import progress as progresses
from turmerichook._internal.workflow import stored
from turmerichook import exceptions

BODY_BYTES_MAX = 262_144
WORKERS = 33
PLACED_MAX = 200
JOBS_MAX = 21
# Rounds of a job that are measured; each step of a chain needs one.
ROUNDS = 60
MILLISECONDS = 1000
NOW = datetime.timedelta(seconds=1_000_000)
ROUND = datetime.timedelta(milliseconds=25)
SECOND = datetime.timedelta(seconds=1)
SERVICE = ids.ServiceId("booking")
TASK = {"count": 1, "cpu": 500, "mem-mb": 100, "estimate-ms": 300}
QUEUE = deployment.Queue(
    queue=ids.QueueId("q"),
    host="example",
    prefix="/q/",
    service=SERVICE,
    priority=0,
    max_attempts=3,
    slack_factor=1.5,
    latency_objective=SECOND,
    timeout=3 * SECOND,
)

Document = dict[str, typing.Any]


def _independent(count: int) -> Document:
    return {"steps": [TASK] * count}


def _chain(count: int) -> Document:
    return {
        "steps": [
            TASK | ({"after": [number - 1]} if number else {})
            for number in range(count)
        ]
    }


def _one_before_all(count: int) -> Document:
    return {"steps": [TASK] + [TASK | {"after": [0]}] * (count - 1)}


def _all_before_one(count: int) -> Document:
    last = TASK | {"after": list(range(count - 1))}
    return {"steps": [TASK] * (count - 1) + [last]}


def _join_before_chain(count: int) -> Document:
    """Half of the steps come before one step, and the others after it."""
    half = count // 2
    join = TASK | {"after": list(range(half))}
    return {
        "steps": [TASK] * half
        + [join]
        + [TASK | {"after": [n]} for n in range(half, count - 1)]
    }


def _dense(count: int) -> Document:
    """Each step depends on all earlier ones."""
    return {
        "steps": [
            TASK | ({"after": list(range(number))} if number else {})
            for number in range(count)
        ]
    }


def _layers(count: int) -> Document:
    """Each step depends on three steps of the layer before it."""
    generator = random.Random(1)
    layer = max(3, count // 5)
    steps = []
    for number in range(count):
        first = (number // layer - 1) * layer
        earlier = range(first, first + layer)
        after = generator.sample(earlier, 3) if first >= 0 else []
        steps.append(TASK | ({"after": after} if after else {}))
    return {"steps": steps}


def _limited(count: int) -> Document:
    return {"steps": [TASK | {"max-per-server": 9}] * count}


def _fillers(count: int) -> Document:
    return {"steps": [TASK | {"fills": True}] * count}


def _wide(count: int) -> Document:
    return {"steps": [TASK | {"count": count}]}


def _occurrences(count: int) -> Document:
    """Occurrences of ten steps each that are all due at once."""
    chain = _chain(min(count, 10))
    return chain | {
        "repeat-count": max(1, count // 10),
        "start-time-ms": 1,
        "interval-ms": 1,
    }


SHAPES = {
    "independent": _independent,
    "chain": _chain,
    "one-before-all": _one_before_all,
    "all-before-one": _all_before_one,
    "join-before-chain": _join_before_chain,
    "dense": _dense,
    "layers": _layers,
    "limited-per-worker": _limited,
    "fillers": _fillers,
    "one-wide-step": _wide,
    "occurrences": _occurrences,
}
# The most tasks that a job may have, where the body does not limit them.
STEPS_MAX = {"one-wide-step": 20_000, "occurrences": 20_000}


def body(shape: str, steps: int) -> bytes:
    """Return the body of a submission."""
    return json.dumps(SHAPES[shape](steps), separators=(",", ":")).encode()


def largest(shape: str) -> int:
    """Return the most steps that the body of a submission may have."""
    low, high = 1, STEPS_MAX.get(shape, 10_000)
    while low < high:
        middle = (low + high + 1) // 2
        if len(body(shape, middle)) <= BODY_BYTES_MAX:
            low = middle
        else:
            high = middle - 1
    return low


class Timer:
    """Longest processor time of each kind of work, in seconds."""

    def __init__(self):
        self.longest: dict[str, float] = {}

    def call(
        self, kind: str, work: collections.abc.Callable[[], typing.Any]
    ) -> typing.Any:
        """Do some work and return its result."""
        began = time.process_time()
        result = work()
        elapsed = time.process_time() - began
        self.longest[kind] = max(self.longest.get(kind, 0.0), elapsed)
        return result


def _dispatcher() -> dispatchers.Dispatcher:
    dispatcher = dispatchers.Dispatcher(
        timing=deployment.Timing(
            lease_max=10 * SECOND,
            stop_timeout=SECOND,
            gang_timeout=3 * SECOND,
            grace=6 * SECOND,
            drain_timeout=2 * SECOND,
            contact=3 * SECOND,
            state_retention=120 * SECOND,
        ),
        configuration=deployment.Configuration(
            version=1,
            queues=(QUEUE,),
            services=(
                deployment.Service(
                    service=SERVICE, guarded=True, standby=False
                ),
            ),
            body_bytes=BODY_BYTES_MAX,
        ),
    )
    for number in range(WORKERS):
        worker_id = ids.WorkerId(f"i-{number:016x}")
        dispatcher.set_entry(
            deployment.WorkerEntry(
                worker=worker_id,
                incarnation=1_765_000_000_000,
                address="127.0.0.1:1",
                zone=ids.ZoneId("krakow"),
                service=SERVICE,
                state=deployment.WorkerState.READY,
                capacity=_CAPACITY,
                labels=frozenset(),
                rack=ids.RackId(f"r{number // 8}"),
                cold=datetime.timedelta(),
                remaining=None,
            ),
            NOW,
        )
        worker = dispatcher.workers[worker_id]
        worker.report_received = True
        worker.clock, worker.clock_read_at = NOW, NOW
    return dispatcher


_CAPACITY = caller_calls.documents.amounts({"cpu": 16_000, "mem-mb": 64_000})


@contextlib.contextmanager
def _without_collections() -> collections.abc.Iterator[None]:
    """Keep garbage collections out of the measured times.

    Their time depends on all objects of the process.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


@_without_collections()
def measure(shape: str, steps: int) -> dict[str, float]:
    """Return the longest processor time in seconds of each kind of work.

    ``value-bytes`` is the size of the stored progress in thousands.
    """
    timer = Timer()
    job_id = ids.JobId("00000000000000aa")
    document = body(shape, steps)
    spec = timer.call(
        "submission",
        lambda: caller_calls.submission(
            document, job=job_id, queue=QUEUE, accepted=NOW
        ),
    )
    value = stored.encode_spec(spec)
    dispatcher = _dispatcher()
    timer.call("take", lambda: _take(dispatcher, job_id, value, b""))
    progress = dispatcher.jobs[job_id].progress
    saved = b""
    now = NOW
    for _ in range(ROUNDS):
        now += ROUND
        timer.call(
            "round",
            lambda: dispatcher.place(now, now, PLACED_MAX, JOBS_MAX),
        )
        saves = timer.call("commit", lambda: dispatcher.next_saves(29))
        for save in saves:
            saved = save.value
        timer.call("committed", lambda: dispatcher.committed(saves, now))
        if progress.state.final:
            break
        for task in progress.assigned():
            timer.call("end", lambda: _end(dispatcher, task, now))
    timer.call("take-over", lambda: _take(_dispatcher(), job_id, value, saved))
    timer.longest["value-bytes"] = len(saved) / MILLISECONDS
    return timer.longest


def _take(
    dispatcher: dispatchers.Dispatcher,
    job_id: ids.JobId,
    value: bytes,
    saved: bytes,
) -> None:
    spec = stored.decode_spec(job_id, value)
    progress = (
        stored.decode_progress(spec, saved)
        if saved
        else progresses.Progress(spec=spec)
    )
    dispatcher.add_job(progress, now=NOW, wall=NOW)


def _end(dispatcher, task, now: datetime.timedelta) -> None:
    job = dispatcher.jobs[task.job]
    worker = dispatcher.workers[job.progress.tasks[task].worker]
    worker.remove(task)
    dispatcher.run_tracker.enqueue_next(job, job.progress.finish(task), now)
    dispatcher.run_tracker.note_change(task.job, now)


def run() -> list[results.Result]:
    """Return all rows."""
    rows = []
    for shape in SHAPES:
        steps = largest(shape)
        longest = measure(shape, steps)
        rows += [
            results.Result(
                name=f"large-job.{shape}.{kind}",
                value=longest[kind] * MILLISECONDS,
                unit="ms",
            )
            for kind in ("take", "take-over", "round", "commit", "end")
        ]
    return rows


def main() -> None:
    """Print a table of step counts, shapes and milliseconds."""
    kinds = ("submission", "take", "take-over", "end", "round", "commit")
    print("| shape | steps | " + " | ".join(kinds) + " | progress KB |")
    for shape in SHAPES:
        counts = [n for n in (100, 400, 1600) if n < largest(shape)]
        for steps in (*counts, largest(shape)):
            try:
                longest = measure(shape, steps)
            except exceptions.MessageError as error:
                print(f"| {shape} | {steps} | {error} |")
                continue
            cells = " | ".join(
                f"{longest.get(kind, 0.0) * MILLISECONDS:.1f}"
                for kind in kinds
            )
            print(
                f"| {shape} | {steps} | {cells}"
                f" | {longest['value-bytes']:.0f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
