"""Steps with large jobs, and with submissions that take effect late."""

import asyncio
import datetime
import json

import behave

from turmerichook._internal.dispatch import keys

TASK = {"count": 1, "cpu": 500, "mem-mb": 100, "estimate-ms": 300}
LATE_JOB = "b" * 16


@behave.when(
    "callers submit {count:d} jobs of {size:d} steps that no worker may run"
)
def step_submit_large(context, count, size):
    document = {
        "spec": json.dumps({"s": 0.2, "cpu": 500}),
        "steps": [TASK | {"requires": "gold"}] * size,
    }

    async def submit():
        entries = context.platform.entries
        answers = await asyncio.gather(
            *(
                context.platform.call(
                    entries[number % len(entries)],
                    "POST",
                    f"{0xF000 + number:016x}",
                    document,
                )
                for number in range(count)
            )
        )
        assert all(answer.status == 200 for answer in answers), answers

    context.runner.run(submit())


@behave.then("there was one leader before the kill and one after it")
def step_two_leaders(context):
    terms = [
        line
        for entry in context.platform.entries
        for line in entry.events("leadership-gained")
    ]
    assert len(terms) == 2, terms


@behave.when("the store carries a submission out {seconds:d} s late")
def step_late_submission(context, seconds):
    storage = context.platform.store.storage
    context.late = []

    def delay(commit):
        written = [write.key for write in commit.writes]
        if keys.job(LATE_JOB) not in written or len(context.late) > 1:
            return datetime.timedelta()
        context.late.append(commit)
        return datetime.timedelta(seconds=seconds)

    storage.delay = delay


@behave.when("its caller gets no answer and cancels the job at another host")
def step_cancel_early(context):
    async def submit_and_cancel():
        first, second, *_ = context.platform.entries
        submission = asyncio.create_task(
            context.platform.submit(first, LATE_JOB)
        )
        # The caller leaves before the process sends its write again.
        await context.platform.until(lambda: context.late)
        context.platform.kill(first)
        await asyncio.gather(submission, return_exceptions=True)
        context.jobs.append(LATE_JOB)
        context.answer = await context.platform.call(
            second, "DELETE", LATE_JOB
        )

    context.runner.run(submit_and_cancel())


@behave.then("the cancel is answered, and nothing of the job ever starts")
def step_never_starts(context):
    assert context.answer.status == 410, context.answer
    storage = context.platform.store.storage

    async def wait():
        await context.platform.until(
            lambda: keys.progress(LATE_JOB) in storage.items
        )
        await asyncio.sleep(1)

    context.runner.run(wait())
    starts = context.platform.starts()
    assert not starts, starts


@behave.then("no queue counts the job")
def step_not_counted(context):
    async def pending():
        entry = context.platform.entries[-1]
        answer = await context.platform.call(entry, "GET", "")
        return answer.json()["pending"]

    async def wait():
        async with asyncio.timeout(5):
            while await pending():
                await asyncio.sleep(0.1)

    context.runner.run(wait())
