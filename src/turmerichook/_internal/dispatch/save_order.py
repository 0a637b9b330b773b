"""Which changed jobs go into a commit that cannot carry all of them."""

import collections.abc

from turmerichook._internal.dispatch import jobs
from turmerichook._internal.models import ids

# One in this many entries is for the changes that have waited longest, so
# that none of n changes waits for more than n / (room / 4) commits.
OLDEST_PART = 4


def oldest_room(room: int) -> int:
    """Return how many of a commit's entries the oldest changes get."""
    return max(room // OLDEST_PART, jobs.FINAL_ENTRIES)


def choose(
    changed: collections.abc.Sequence[jobs.Job],
    unreleased: collections.abc.Container[ids.JobId],
    room: int,
) -> list[jobs.Job]:
    """Return the jobs to save, the most useful saves first.

    A save that releases starts is of use at once, and placement has chosen
    which ones. The end of a job is what its caller waits for. Any other save
    only lets workers forget ends.

    :param changed: jobs in the order of their first change.
    :param unreleased: jobs with tasks that wait for a commit.
    :param room: entries that there are for saves.
    """
    if sum(job.entries for job in changed) <= room:
        return list(changed)

    def rank(job: jobs.Job) -> tuple[bool, bool, int]:
        return (
            job.spec.job not in unreleased,
            not job.progress.state.final,
            job.queue.priority,
        )

    oldest = _fitting(changed, oldest_room(room))
    chosen = set(oldest)
    others = sorted((job for job in changed if job not in chosen), key=rank)
    left = room - sum(job.entries for job in oldest)
    return oldest + _fitting(others, left)


def _fitting(
    changed: collections.abc.Iterable[jobs.Job], room: int
) -> list[jobs.Job]:
    found: list[jobs.Job] = []
    for job in changed:
        if job.entries <= room:
            found.append(job)
            room -= job.entries
        if not room:
            break
    return found
