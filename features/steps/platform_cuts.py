"""Steps that cut workers of the users' platform off in turn."""

import asyncio

import behave

from standins import batch_platform
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model

JOB = "c" * 16
TASK = model.TaskKey(job=ids.JobId(JOB), occurrence=0, step=0, index=0)
# Time from the start of a run to the cut of its worker, below the two seconds
# in which a task is suspected of a crash of its worker.
CUT_DELAY_S = 0.3
# What happens to the leader during a cut, in turn.
LEADER_CHANGES = ("none", "stop", "none", "kill")
# Covers a change of the leader and the end of all leases on a worker.
MOVE_TIMEOUT_S = 15.0


@behave.given(
    "a platform with {workers:d} workers behind links, {entries:d} entry"
    " processes and leases of {seconds:d} s"
)
def step_linked_platform(context, workers, entries, seconds):
    context.runner = asyncio.Runner()
    context.platform = batch_platform.BatchPlatform(
        folder=context.folder,
        workers=workers,
        entries=entries,
        lease_ms=1000 * seconds,
        linked=True,
    )
    context.runner.run(context.platform.start())


@behave.when("a caller submits a service of one task")
def step_submit_service(context):
    platform = context.platform
    answer = context.runner.run(
        platform.submit_long_running(platform.entries[0], JOB, tasks=1),
    )
    assert answer.status == 200, answer


@behave.when(
    "its worker is cut off just after each of {count:d} starts while the"
    " leader is stopped or killed now and then"
)
def step_cut_in_turn(context, count):
    context.cut_workers = []
    context.states = []
    context.runner.run(cut_in_turn(context, count))


async def cut_in_turn(context, count: int) -> None:
    """Cut the worker of each start off until its run has lapsed.

    Ends early if a caller is shown that the job is final.
    """
    platform = context.platform
    for number in range(count):
        await platform.until(lambda: holder(platform), timeout=MOVE_TIMEOUT_S)
        worker = holder(platform)
        context.cut_workers.append(worker)
        await asyncio.sleep(CUT_DELAY_S)
        await platform.cut(worker)
        change = LEADER_CHANGES[number % len(LEADER_CHANGES)]
        await change_leader(platform, change)
        async with asyncio.timeout(MOVE_TIMEOUT_S):
            while TASK in worker.state.running or not holder(platform):
                await asyncio.sleep(0.1)
                if await note_state(context) == "failed":
                    return
        platform.reconnect(worker)


def holder(platform) -> batch_platform.WorkerHost | None:
    """Return the worker in reach that runs the task, or None."""
    return next(
        (
            worker
            for worker in platform.workers
            if TASK in worker.state.running and not worker.cut_off
        ),
        None,
    )


async def change_leader(platform, change: str) -> None:
    """Stop or kill the leader, and start its process again."""
    if change == "none":
        return
    await platform.until(platform.leader)
    leader = platform.leader()
    if change == "kill":
        platform.kill(leader)
    else:
        leader.process.terminate()
        await platform.until(lambda: leader.process.poll() is not None)
    platform.start_entry(leader)


async def note_state(context) -> str:
    """Ask for the job's state as a caller, and note the answer."""
    entry = next(e for e in context.platform.entries if is_ready(e))
    answer = await context.platform.call(entry, "GET", JOB)
    if answer.status == 200:
        context.states.append(answer.json())
        return answer.json()["state"]
    return str(answer.status)


def is_ready(entry) -> bool:
    """Return whether an entry process takes callers' requests."""
    if entry.process.poll() is not None:
        return False
    return bool(entry.events_since_start("configuration-in-force"))


@behave.then("the workers noted only lapsed runs of it, one on each cut")
def step_only_lapsed(context):
    platform = context.platform
    ends = [end.kind for worker in platform.workers for end in worker.ended]
    assert ends == [model.EndKind.LEASE_EXPIRED] * len(context.cut_workers), (
        ends
    )
    for worker in platform.workers:
        assert worker.state.incarnation == 1, worker.name


@behave.then("no caller was shown the service as failed")
def step_not_failed(context):
    shown = [answer["state"] for answer in context.states]
    assert set(shown) <= {"pending", "running"}, (
        context.states[-1],
        loss_lines(context.platform),
    )


def loss_lines(platform) -> list[str]:
    """Return the log lines on crashes that the leaders counted."""
    return [
        f"{entry.node}: {line}"
        for entry in platform.entries
        for name in ("task-crashed-worker", "job-ended")
        for line in entry.events(name)
    ]


@behave.then(
    "{seconds:d} s later the service runs on one worker, and never ran on two"
    " at once"
)
def step_runs_once(context, seconds):
    context.runner.run(asyncio.sleep(seconds))
    holders = [
        worker.name
        for worker in context.platform.workers
        if TASK in worker.state.running
    ]
    assert len(holders) == 1, holders
    assert not context.platform.overlaps, context.platform.overlaps
    assert context.runner.run(note_state(context)) == "running"
