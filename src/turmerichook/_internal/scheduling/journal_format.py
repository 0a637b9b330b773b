"""Stored form of a journal's entries and of its base."""

import typing

import msgpack

from turmerichook._internal.models import ids
from turmerichook._internal.scheduling import journal
from turmerichook._internal.scheduling import progress
from turmerichook import exceptions

BASE_FORMAT = 1


def pack_facts(facts: journal.Facts) -> bytes:
    """Return the stored form of a base."""
    hosts: dict[ids.HostId | None, int] = {}

    def row(fact: progress.TaskFacts) -> list:
        # Hosts are numbered, since their names repeat.
        number = hosts.setdefault(fact.host, len(hosts))
        return [fact.attempt, number, fact.checkpoint, fact.succeeded]

    found = {
        job: [
            bytes(own.succeeded.octets),
            bytes(own.failed.octets),
            {number: row(fact) for number, fact in own.live.items()},
        ]
        for job, own in facts.jobs.items()
    }
    others = {task: row(fact) for task, fact in facts.others.items()}
    moving = sorted(facts.moving)
    return msgpack.packb(
        [
            BASE_FORMAT,
            list(hosts),
            found,
            others,
            moving,
            facts.last_attempt,
        ]
    )


def unpack_facts(value: bytes) -> journal.Facts:
    """Return the facts of a stored base.

    :raises JournalUnreadableError: if it is not understood.
    """
    facts = journal.Facts()
    try:
        form, *rest = msgpack.unpackb(value, strict_map_key=False)
        if form != BASE_FORMAT:
            raise ValueError(f"format {form}")
        hosts, found, others, moving, facts.last_attempt = rest
        facts.moving = set(moving)
        for job, (succeeded, failed, live) in found.items():
            facts.load(
                job,
                progress.JobFacts(
                    succeeded=progress.Bits(succeeded),
                    failed=progress.Bits(failed),
                    live={
                        number: _unpack_row(row, hosts)
                        for number, row in live.items()
                    },
                ),
            )
        for task, row in others.items():
            facts.others[task] = _unpack_row(row, hosts)
            facts.live += 1
    except (
        ValueError,
        TypeError,
        IndexError,
        msgpack.UnpackException,
    ) as error:
        raise exceptions.JournalUnreadableError(
            message=f"the journal's base is not understood: {error}",
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
    """Return a stored entry.

    :raises JournalUnreadableError: if it is not understood.
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
                message="a journal entry is not understood",
                context=repr(row)[:80],
            )


def _unpack_row(row: list, hosts: list) -> progress.TaskFacts:
    attempt, number, checkpoint, succeeded = row
    return progress.TaskFacts(
        attempt=attempt,
        host=hosts[number],
        checkpoint=checkpoint,
        succeeded=succeeded,
    )
