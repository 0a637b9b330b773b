"""Encoding of a placement journal's entries and of its base."""

import typing

import msgpack

from turmerichook._internal.models import ids
from turmerichook._internal.scheduling import journal
from turmerichook._internal.scheduling import progress
from turmerichook import exceptions

BASE_FORMAT = 1


def pack_facts(facts: journal.JournalState) -> bytes:
    """Return the encoded base."""
    hosts: dict[ids.HostId | None, int] = {}

    def row(task_facts: progress.TaskProgress) -> list:
        # Rows refer to hosts by index, since many rows have the same host.
        index = hosts.setdefault(task_facts.host, len(hosts))
        return [
            task_facts.attempt,
            index,
            task_facts.checkpoint,
            task_facts.succeeded,
        ]

    job_rows = {
        job: [
            bytes(job_facts.succeeded.octets),
            bytes(job_facts.failed.octets),
            {
                number: row(task_facts)
                for number, task_facts in job_facts.live.items()
            },
        ]
        for job, job_facts in facts.jobs.items()
    }
    other_rows = {
        task: row(task_facts) for task, task_facts in facts.other_tasks.items()
    }
    moving = sorted(facts.moving)
    return msgpack.packb(
        [
            BASE_FORMAT,
            list(hosts),
            job_rows,
            other_rows,
            moving,
            facts.last_attempt,
        ]
    )


def unpack_facts(value: bytes) -> journal.JournalState:
    """Return the state in an encoded base.

    :raises JournalUnreadableError: if the base cannot be decoded.
    """
    facts = journal.JournalState()
    try:
        base_format, *rest = msgpack.unpackb(value, strict_map_key=False)
        if base_format != BASE_FORMAT:
            raise ValueError(f"unsupported base format {base_format}")
        hosts, job_rows, other_rows, moving, facts.last_attempt = rest
        facts.moving = set(moving)
        for job, (succeeded, failed, live) in job_rows.items():
            facts.load(
                job,
                progress.JobProgress(
                    succeeded=progress.Bitmap(succeeded),
                    failed=progress.Bitmap(failed),
                    live={
                        number: _unpack_row(row, hosts)
                        for number, row in live.items()
                    },
                ),
            )
        for task, row in other_rows.items():
            facts.other_tasks[task] = _unpack_row(row, hosts)
            facts.live_rows += 1
    except (
        ValueError,
        TypeError,
        IndexError,
        msgpack.UnpackException,
    ) as error:
        raise exceptions.JournalUnreadableError(
            message=f"cannot decode the placement journal's base: {error}",
        ) from error
    return facts


def pack_entry(entry: journal.Entry) -> list:
    """Return the stored form of an entry."""
    match entry:
        case journal.Assigned():
            return ["a", entry.task, entry.attempt, entry.host]
        case journal.Returned():
            return ["r", entry.task, entry.attempt, entry.checkpoint]
        case journal.Finished():
            return ["f", entry.task, entry.attempt, entry.succeeded]
        case journal.Forgotten():
            return ["x", entry.task]
        case journal.JobForgotten():
            return ["j", entry.job]
        case journal.Moving():
            return ["m", entry.job]
        case journal.Settled():
            return ["s", entry.job]


def unpack_entry(row: typing.Any) -> journal.Entry:
    """Return the entry that a stored row holds.

    :raises JournalUnreadableError: if the entry cannot be decoded.
    """
    match row:
        case ["a", str(task), int(attempt), str(host)]:
            return journal.Assigned(task=task, attempt=attempt, host=host)
        case ["r", str(task), int(attempt), checkpoint]:
            return journal.Returned(
                task=task, attempt=attempt, checkpoint=checkpoint
            )
        case ["f", str(task), int(attempt), bool(succeeded)]:
            return journal.Finished(
                task=task, attempt=attempt, succeeded=succeeded
            )
        case ["x", str(task)]:
            return journal.Forgotten(task=task)
        case ["j", str(job)]:
            return journal.JobForgotten(job=job)
        case ["m", str(job)]:
            return journal.Moving(job=job)
        case ["s", str(job)]:
            return journal.Settled(job=job)
        case _:
            raise exceptions.JournalUnreadableError(
                message="cannot decode an entry of the placement journal",
                context=repr(row)[:80],
            )


def _unpack_row(row: list, hosts: list) -> progress.TaskProgress:
    attempt, index, checkpoint, succeeded = row
    return progress.TaskProgress(
        attempt=attempt,
        host=hosts[index],
        checkpoint=checkpoint,
        succeeded=succeeded,
    )
