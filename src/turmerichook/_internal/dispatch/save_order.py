"""Selection of the changed jobs for a commit that cannot hold them all."""

import collections.abc

from turmerichook._internal.dispatch import jobs
from turmerichook._internal.models import ids

# One in this many entries of a commit is for the oldest changes, so that none
# of n changes waits for more than n / (entry_limit / 4) commits.
OLDEST_SHARE_DIVISOR = 4


def oldest_entries(entry_limit: int) -> int:
    """Return the number of a commit's entries for the oldest changes."""
    return max(entry_limit // OLDEST_SHARE_DIVISOR, jobs.FINAL_ENTRIES)


def choose(
    changed: collections.abc.Sequence[jobs.Job],
    unreleased: collections.abc.Container[ids.JobId],
    entry_limit: int,
) -> list[jobs.Job]:
    """Return the jobs whose snapshots go into a commit.

    After the oldest changes, jobs with assigned tasks come first, since their
    starts are sent after the commit; placement has already chosen the most
    urgent tasks. Final jobs follow, since their callers wait for the result.
    Any other snapshot only allows to acknowledge ends to the workers.

    :param changed: jobs in the order of their first unsaved change.
    :param unreleased: jobs with assigned tasks whose starts wait for a commit.
    :param entry_limit: number of entries for snapshots in the commit.
    """
    if sum(job.entries for job in changed) <= entry_limit:
        return list(changed)

    def rank(job: jobs.Job) -> tuple[bool, bool, int]:
        return (
            job.spec.job not in unreleased,
            not job.progress.state.final,
            job.queue.priority,
        )

    oldest = _take_fitting(changed, oldest_entries(entry_limit))
    chosen = set(oldest)
    others = sorted((job for job in changed if job not in chosen), key=rank)
    remaining_entries = entry_limit - sum(job.entries for job in oldest)
    return oldest + _take_fitting(others, remaining_entries)


def _take_fitting(
    changed: collections.abc.Iterable[jobs.Job], entry_limit: int
) -> list[jobs.Job]:
    selected: list[jobs.Job] = []
    for job in changed:
        if job.entries <= entry_limit:
            selected.append(job)
            entry_limit -= job.entries
        if not entry_limit:
            break
    return selected
