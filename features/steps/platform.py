"""Steps that act as callers and operators of the users' batch platform."""

import asyncio
import collections
import json
import time

import behave

from standins import batch_platform


def run(context, coroutine):
    """Run a coroutine in the scenario's event loop."""
    return context.runner.run(coroutine)


def running_entry(context) -> batch_platform.Entry:
    """Return the first entry process that has not exited."""
    return next(
        e for e in context.platform.entries if e.process.poll() is None
    )


@behave.given(
    "a platform with {workers:d} workers and {entries:d} entry processes"
)
def step_platform(context, workers, entries):
    context.runner = asyncio.Runner()
    context.platform = batch_platform.BatchPlatform(
        folder=context.folder, workers=workers, entries=entries
    )
    context.jobs = []
    run(context, context.platform.start())


@behave.given(
    "a platform with {workers:d} workers, {entries:d} entry processes"
    " and leases of {seconds:d} s"
)
def step_platform_with_leases(context, workers, entries, seconds):
    context.runner = asyncio.Runner()
    context.platform = batch_platform.BatchPlatform(
        folder=context.folder,
        workers=workers,
        entries=entries,
        lease_ms=1000 * seconds,
    )
    run(context, context.platform.start())


@behave.given(
    "a platform with {workers:d} workers that start whatever they are told"
    " and {entries:d} entry processes"
)
def step_unguarded_platform(context, workers, entries):
    context.runner = asyncio.Runner()
    context.platform = batch_platform.BatchPlatform(
        folder=context.folder,
        workers=workers,
        entries=entries,
        enforce_limits=False,
    )
    context.jobs = []
    run(context, context.platform.start())


def submit_jobs(context, numbers):
    """Submit jobs, each at the next entry process, and note their ids."""

    async def submit():
        entries = context.platform.entries
        for number in numbers:
            job = f"{number:016x}"
            entry = entries[number % len(entries)]
            answer = await context.platform.submit(entry, job)
            assert answer.status == 200, answer
            context.jobs.append(job)

    run(context, submit())


@behave.when("callers submit {count:d} jobs at all entry processes")
def step_submit(context, count):
    submit_jobs(context, range(count))


@behave.when("callers submit {count:d} more jobs at all entry processes")
def step_submit_more(context, count):
    submit_jobs(context, range(100, 100 + count))


def odd_entries(good: bytes) -> dict[str, bytes]:
    """Return odd entries by the name of the worker that they are under."""
    document = json.loads(good)

    def changed(**members) -> bytes:
        return json.dumps(document | members).encode()

    deep = b"[" * 990 + b"]" * 990
    return {
        "": good,
        "nested": changed(labels="@").replace(b'"@"', deep),
        "very-nested": changed(zone="@").replace(b'"@"', deep * 100),
        "huge-number": changed(born="@").replace(b'"@"', b"9" * 5000),
        "large-number": changed(born=10**400),
        "infinite": changed(born="@").replace(b'"@"', b"1e400"),
        "no-port": changed(address="127.0.0.1:0"),
        "port-out-of-range": changed(address="127.0.0.1:70000"),
        "odd-port": changed(address="127.0.0.1:+80"),
        "not-json": b"\xff\xfe",
        "x" * 3000: b"{}",
        "\u0663 \n": b"[]",
    }


@behave.when(
    "another writer leaves odd entries and overwrites that of a worker"
)
def step_odd_entries(context):
    storage = context.platform.store.storage
    worker = context.platform.workers[0]
    context.odd = odd_entries(worker.entry())
    context.odd[worker.name] = b"{"
    for name, value in context.odd.items():
        storage.put(f"servers/{name}", value)

    async def restore():
        await asyncio.sleep(1.5)
        storage.put(f"servers/{worker.name}", worker.entry())

    run(context, restore())


@behave.then("no entry process has ended")
def step_none_ended(context):
    ended = [e for e in context.platform.entries if e.process.poll()]
    assert not ended, ended


@behave.then("each odd entry is named in the leader's log")
def step_odd_entries_named(context):
    leader = context.platform.leader()
    lines = leader.events("entry-unreadable")
    named = collections.Counter(line["worker"] for line in lines)
    for name in context.odd:
        # Long values are shortened in logs.
        found = [n for n in named if name[:50] == n[:50]]
        assert found, (name[:50], named)
        assert all(named[n] <= 3 for n in found), named


@behave.when(
    "callers submit jobs while all workers shrink to {cores:d} cores and grow"
)
def step_shrink(context, cores):
    platform = context.platform
    sizes = {3: cores, 24: 16, 31: 2 * cores, 50: 16}

    async def submit():
        for number in range(55):
            for worker in platform.workers:
                if number in sizes:
                    platform.resize(worker, sizes[number] * 1000)
            job = f"{number:016x}"
            entry = platform.entries[number % len(platform.entries)]
            answer = await platform.submit(entry, job, tasks=12, seconds=0.5)
            assert answer.status == 200, answer
            context.jobs.append(job)
            await asyncio.sleep(0.25)

    run(context, submit())


@behave.then("no start exceeded a worker's capacity")
def step_within_capacity(context):
    for worker in context.platform.workers:
        assert not worker.excesses, worker.excesses


@behave.then("tasks started on workers that were full")
def step_were_full(context):
    for worker in context.platform.workers:
        (_, (shrunk_at, small), (grown_at, _), *_) = worker.capacities
        uses = [used for at, used in worker.uses if shrunk_at < at < grown_at]
        assert small in uses, uses


@behave.when("the leader is killed")
def step_kill(context):
    context.platform.kill(context.platform.leader())


@behave.when("the leader is told to stop")
def step_stop(context):
    context.stopped = context.platform.leader()
    context.stopped.process.terminate()
    context.stopped_at = time.monotonic()


@behave.then("it exits with status {status:d} within {seconds:d} s")
def step_exit(context, status, seconds):
    process = context.stopped.process

    async def wait():
        await context.platform.until(
            lambda: process.poll() is not None, timeout=seconds
        )

    run(context, wait())
    assert process.returncode == status, process.returncode


@behave.then("another process leads within {seconds:d} s of that order")
def step_successor(context, seconds):
    others = [e for e in context.platform.entries if e is not context.stopped]
    gained = others[0].events("leadership-gained")
    stopping = context.stopped.events("stopping")
    assert gained[-1]["time"] > stopping[0]["time"]
    assert seconds_between(stopping[0], gained[-1]) <= seconds


def seconds_between(earlier, later) -> float:
    """Return the seconds between the times of two log lines."""
    parse_time = batch_platform.datetime.datetime.fromisoformat
    return (
        parse_time(later["time"]) - parse_time(earlier["time"])
    ).total_seconds()


@behave.then("all jobs complete")
def step_complete(context):
    async def wait():
        for job in context.jobs:
            await context.platform.wait_for(
                running_entry(context), job, "completed"
            )

    run(context, wait())


@behave.then("each task was done exactly once")
def step_once(context):
    counts = collections.Counter(context.platform.done())
    assert len(counts) == 4 * len(context.jobs), len(counts)
    assert set(counts.values()) == {1}, counts


@behave.then("a repeated submission is accepted and runs nothing")
def step_repeat(context):
    async def repeat():
        starts_before = len(context.platform.starts())
        answer = await context.platform.submit(
            running_entry(context), context.jobs[0]
        )
        assert answer.status == 200
        await asyncio.sleep(1)
        assert len(context.platform.starts()) == starts_before

    run(context, repeat())


@behave.then("a job that nobody submitted is unknown")
def step_unknown(context):
    state = context.platform.state(running_entry(context), "f" * 16)
    assert run(context, state) == "410"


@behave.when("the store is away")
def step_away(context):
    context.platform.store.storage.down = True
    # Once an entry process has detected the loss of the store, it refuses
    # submissions at once; give it time for that.
    run(context, asyncio.sleep(2))


@behave.when("the store is back")
def step_back(context):
    context.platform.store.storage.down = False


@behave.then("a submission is refused at once with a time to come back")
def step_refused(context):
    context.refused_job = "e" * 16
    began = time.monotonic()
    answer = run(
        context,
        context.platform.submit(running_entry(context), context.refused_job),
    )
    assert answer.status == 503, answer
    assert (b"retry-after", b"1") in list(answer.headers)
    assert time.monotonic() - began < 0.5


@behave.then("the refused job never ran")
def step_never_ran(context):
    run(context, asyncio.sleep(1))
    started_jobs = {task.job for task, _ in context.platform.starts()}
    assert context.refused_job not in started_jobs


@behave.when('an operator closes zone "{zone}"')
def step_close(context, zone):
    storage = context.platform.store.storage
    storage.put(f"op/evacuate/{zone}", b"{}")
    run(context, asyncio.sleep(0.5))


@behave.then('no task started in zone "{zone}"')
def step_none_started(context, zone):
    for worker in context.platform.workers:
        if worker.zone == zone:
            assert not worker.state.starts, worker.state.starts


@behave.when("a caller submits a job that takes {seconds:d} s")
def step_long(context, seconds):
    context.jobs.append("a" * 16)
    answer = run(
        context,
        context.platform.submit(
            running_entry(context), context.jobs[-1], seconds=seconds
        ),
    )
    assert answer.status == 200


@behave.when("the caller cancels it once it runs")
def step_cancel(context):
    async def cancel():
        await context.platform.until(lambda: context.platform.starts())
        answer = await context.platform.call(
            running_entry(context), "DELETE", context.jobs[-1]
        )
        assert answer.status == 200

    run(context, cancel())


@behave.then("nothing of it runs after {seconds:d} s")
def step_gone(context, seconds):
    run(context, asyncio.sleep(seconds))
    for worker in context.platform.workers:
        assert not worker.state.running


@behave.then('its state is "{state}"')
def step_state(context, state):
    actual_state = run(
        context,
        context.platform.state(running_entry(context), context.jobs[-1]),
    )
    assert actual_state == state, actual_state


@behave.when("{tasks:d} long-running tasks run on the workers")
def step_long_running(context, tasks):
    async def begin():
        platform = context.platform
        answer = await platform.submit_long_running(
            running_entry(context), "b" * 16, tasks=tasks
        )
        assert answer.status == 200, answer
        await platform.until(lambda: len(platform.starts()) == tasks)

    run(context, begin())


@behave.when("a worker falls silent for good and the leader is restarted")
def step_silent_and_restart(context):
    platform = context.platform
    context.silent = next(w for w in platform.workers if w.state.running)
    context.bound_tasks = list(context.silent.state.running)
    context.silent.silent = True
    platform.store.storage.remove(f"servers/{context.silent.name}")
    leader = platform.leader()
    platform.kill(leader)
    context.killed_at = time.monotonic()
    run(context, asyncio.sleep(0.5))
    leader.start(platform.store_port)


@behave.then("the tasks of that worker run elsewhere within {seconds:d} s")
def step_run_elsewhere(context, seconds):
    others = [w for w in context.platform.workers if w is not context.silent]

    def run_elsewhere():
        running = {task for w in others for task in w.state.running}
        begun = running.intersection(context.bound_tasks)
        # No task runs on two workers at the same time.
        assert not begun.intersection(context.silent.state.running)
        return len(begun) == len(context.bound_tasks)

    remaining = context.killed_at + seconds - time.monotonic()
    run(context, context.platform.until(run_elsewhere, timeout=remaining))


@behave.then("each other task was started once")
def step_others_once(context):
    counts = collections.Counter(
        task
        for task, _ in context.platform.starts()
        if task not in context.bound_tasks
    )
    assert set(counts.values()) <= {1}, counts


@behave.when("a caller submits a job whose task crashes its workers")
def step_crashing(context):
    context.crashing_job = "d" * 16
    answer = run(
        context,
        context.platform.submit(
            running_entry(context), context.crashing_job, tasks=1, crash=True
        ),
    )
    assert answer.status == 200


@behave.when("the leader is killed once a worker has crashed")
def step_kill_after_crash(context):
    run(context, context.platform.until(lambda: crash_starts(context)))
    context.platform.kill(context.platform.leader())


@behave.then("the job of that task is shown as failed, as it crashed workers")
def step_crashing_failed(context):
    async def wait():
        entry = running_entry(context)
        await context.platform.wait_for(entry, context.crashing_job, "failed")
        return await context.platform.call(entry, "GET", context.crashing_job)

    answer = run(context, wait())
    expected = {"state": "failed", "reason": "workers-crashed"}
    assert answer.json() == expected, answer


@behave.then("the workers counted at most {count:d} starts of that task")
def step_crash_starts(context, count):
    starts = crash_starts(context)
    assert 2 <= len(starts) <= count, starts


def crash_starts(context) -> list:
    """Return the starts of the tasks of the job that crashes workers."""
    return [
        start
        for start in context.platform.starts()
        if start[0].job == context.crashing_job
    ]
