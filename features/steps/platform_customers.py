"""Steps with customers of the users' batch platform."""

import asyncio
import json
import sys
import time

import behave

from standins import batch_platform
from turmerichook._internal.http import addresses
from turmerichook._internal.http import calls

# Tasks of one core that each customer may run at the same time.
QUOTA = 2
JOB = "d" * 16


def key_of(name: str) -> bytes:
    """Return the key of a customer."""
    return f"secret-of-{name}".encode()


def customer(name: str) -> dict:
    """Return a customer in the platform's format."""
    return {
        "name": name,
        "api-keys": [key_of(name).decode()],
        "weight": 1,
        "max-count": {"cpu": 1000 * QUOTA, "mem-mb": 0, "gpu": 0},
    }


@behave.given(
    "a platform with {workers:d} workers, {entries:d} entry processes and"
    ' customers "{first}" and "{second}"'
)
def step_platform_with_customers(context, workers, entries, first, second):
    context.runner = asyncio.Runner()
    context.platform = batch_platform.BatchPlatform(
        folder=context.folder,
        workers=workers,
        entries=entries,
        linked=True,
        customers=[customer(first), customer(second)],
    )
    context.jobs = []
    context.runner.run(context.platform.start())


@behave.when("the store turns the first entry process away")
def step_turn_away(context):
    platform = context.platform
    platform.store_links[platform.entries[0].node].passing.clear()


@behave.when("the store serves the first entry process again")
def step_serve_again(context):
    platform = context.platform
    platform.store_links[platform.entries[0].node].passing.set()


@behave.when('the key of "{name}" is removed')
def step_remove_key(context, name):
    platform = context.platform
    for listed in platform.customers:
        if listed["name"] == name:
            listed["api-keys"] = []
    platform.configure(version=2)
    context.removed_at = time.monotonic()


@behave.then(
    'the other entry process refuses the key of "{name}" with {status:d}'
    " within {seconds:d} s"
)
def step_other_refuses(context, name, status, seconds):
    entry = context.platform.entries[1]
    context.runner.run(refused(context, entry, name, status, seconds))


@behave.then(
    'the first one refuses the key of "{name}" with {status:d} within'
    " {seconds:d} s of the removal"
)
def step_first_refuses_in_time(context, name, status, seconds):
    seconds -= time.monotonic() - context.removed_at
    entry = context.platform.entries[0]
    context.runner.run(refused(context, entry, name, status, seconds))


@behave.then(
    'the first one refuses the key of "{name}" with {status:d} within'
    " {seconds:d} s"
)
def step_first_refuses(context, name, status, seconds):
    entry = context.platform.entries[0]
    context.runner.run(refused(context, entry, name, status, seconds))


async def refused(context, entry, name, status, seconds):
    """Wait until an entry process refuses a customer's key."""
    context.platform.key = key_of(name)
    async with asyncio.timeout(seconds):
        while True:
            answer = await context.platform.call(entry, "GET", JOB)
            if answer.status == status:
                return
            await asyncio.sleep(0.05)


@behave.then("it is not ready")
def step_not_ready(context):
    async def ready():
        host, port = addresses.split(context.platform.entries[0].ready)
        pool = calls.CallPool(
            host=host, port=port, connections=1, authority="entry"
        )
        try:
            return await pool.call(
                method="GET", target="/v1/ready", timeout=2.0
            )
        finally:
            pool.close()

    assert context.runner.run(ready()).status == 503


@behave.then('all entry processes accept jobs of "{name}"')
def step_accept(context, name):
    platform = context.platform
    platform.key = key_of(name)

    async def submit():
        for number, entry in enumerate(platform.entries):
            job = f"{number:016x}"
            answer = await platform.submit(entry, job)
            assert answer.status == 200, answer

    context.runner.run(submit())


@behave.then("no key is in the logs")
def step_no_key(context):
    for entry in context.platform.entries:
        assert b"secret-of" not in entry.log.read_bytes(), entry.node


@behave.when('"{name}" submits {count:d} jobs of {tasks:d} tasks')
def step_submit(context, name, count, tasks):
    platform = context.platform
    platform.key = key_of(name)

    async def submit():
        for number in range(count):
            job = f"{number:016x}"
            entry = platform.entries[number % len(platform.entries)]
            answer = await platform.submit(
                entry, job, tasks=tasks, seconds=0.5
            )
            assert answer.status == 200, answer
            context.jobs.append(job)

    context.runner.run(submit())


@behave.then("at most {count:d} tasks ran at the same time")
def step_most_running(context, count):
    assert 0 < context.platform.most_running <= count


def kept(platform) -> tuple:
    """Return the keys in the store and the number of starts."""
    # The claim of the leadership and the registry are written all the time,
    # but their keys stay.
    return sorted(platform.store.storage.items), len(platform.starts())


async def plan(context, name: str, path: str, tasks: int) -> None:
    """Run the command; keep its exit status and output."""
    job, key = context.folder / "job.json", context.folder / "key"
    task = {"cpu": 1000, "mem-mb": 500, "estimate-ms": 300}
    job.write_text(json.dumps({"steps": [{"count": tasks, **task}]}))
    key.write_bytes(key_of(name))
    arguments = ["plan", "job", str(job), "--host", batch_platform.HOST]
    arguments += ["--path", path, "--key-file", str(key)]
    for entry in context.platform.entries:
        arguments += ["--entry", entry.admin]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "turmerichook",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    context.status, context.output = process.returncode, output.decode()


@behave.when('an operator plans a job of {tasks:d} tasks for "{name}"')
def step_plan(context, tasks, name):
    async def compare():
        platform = context.platform
        # Workers' ends are acknowledged and final jobs are cleared by now.
        await asyncio.sleep(1.0)
        context.kept = kept(platform)
        await plan(context, name, batch_platform.PREFIX, tasks)
        await asyncio.sleep(1.0)

    context.runner.run(compare())


@behave.then("the plan names {workers:d} workers and the quota")
def step_plan_names(context, workers):
    assert context.status == 0, context.output
    row = context.output.splitlines()[-1].split()
    assert len(row[-2].split(",")) == workers, context.output
    assert row[-1] == "customer-quota", context.output


@behave.then("nothing was stored or started for it")
def step_nothing_changed(context):
    assert kept(context.platform) == context.kept


@behave.when("an operator plans a job for a queue that is not there")
def step_plan_wrongly(context):
    context.runner.run(plan(context, "parish", "/none/", 1))


@behave.then('the command ends with status {status:d} and "{text}"')
def step_command_ends(context, status, text):
    assert context.status == status, context.output
    assert text in context.output
