"""Retry delays of failed tasks, and the limits after which a job fails."""

import dataclasses
import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.models import ids
from turmerichook._internal import outcomes

FIRST_DELAY = datetime.timedelta(seconds=1)
LONGEST_DELAY = datetime.timedelta(minutes=5)
# After this many failures on enough different hosts, a task is not retried.
TASK_FAILURES = 10
TASK_HOSTS = 3
# A job without a successful task fails for good after this many failures on
# enough different hosts, so that a broken job with many tasks ends soon.
JOB_FAILURES = 10
JOB_HOSTS = 5


@dataclasses.dataclass(kw_only=True, slots=True)
class Failures:
    """Failed attempts of a task or a job, and the hosts they ran on."""

    count: int = 0
    hosts: set[ids.HostId] = dataclasses.field(default_factory=set)

    def add(self, host: ids.HostId) -> None:
        """Count a failed attempt."""
        self.count += 1
        self.hosts.add(host)


def delay(failures: int) -> datetime.timedelta:
    """Return the delay before the next attempt, which doubles each time."""
    return clocks.doubled_pause(FIRST_DELAY, failures - 1, LONGEST_DELAY)


def final_failure(
    *,
    name: ids.TaskId,
    task: Failures,
    job: Failures,
    hosts: int,
) -> outcomes.Absent | None:
    """Return why a job fails for good, or None if it continues.

    In a zone with fewer hosts than a limit on different hosts, failures on
    as many hosts as the zone has are enough.

    :param name: the task that failed last.
    :param task: failed attempts of that task.
    :param job: failed attempts of all tasks of the job; empty if any has
        succeeded.
    :param hosts: number of hosts of the zone that may run tasks.
    """
    if task.count >= TASK_FAILURES:
        if len(task.hosts) >= min(TASK_HOSTS, hosts):
            return outcomes.Absent(
                reason=outcomes.Reason.FAILS_EVERYWHERE,
                detail=f"{name} failed {task.count} times on "
                f"{len(task.hosts)} hosts",
            )
    if job.count >= JOB_FAILURES and len(job.hosts) >= min(JOB_HOSTS, hosts):
        return outcomes.Absent(
            reason=outcomes.Reason.FAILS_EVERYWHERE,
            detail=f"{job.count} attempts failed on {len(job.hosts)} hosts "
            "and no task succeeded",
        )
    return None
