"""When a task that failed is tried again, and when a job is at fault."""

import dataclasses
import datetime

from turmerichook._internal.models import ids
from turmerichook._internal import outcomes

FIRST_DELAY = datetime.timedelta(seconds=1)
LONGEST_DELAY = datetime.timedelta(minutes=5)
# A task that has failed this often on enough different hosts fails for good.
TASK_FAILURES = 10
TASK_HOSTS = 3
# A job without any success fails for good after this many failures on enough
# different hosts, so that a broken job of many tasks ends soon.
JOB_FAILURES = 10
JOB_HOSTS = 5


@dataclasses.dataclass(kw_only=True, slots=True)
class Failures:
    """Failed attempts of a task or a job since its last success."""

    count: int = 0
    hosts: set[ids.HostId] = dataclasses.field(default_factory=set)

    def add(self, host: ids.HostId) -> None:
        """Note one more failed attempt."""
        self.count += 1
        self.hosts.add(host)


def delay(failures: int) -> datetime.timedelta:
    """Return how long a task waits after its last failure."""
    doublings = min(failures - 1, 20)
    return min(FIRST_DELAY * 2**doublings, LONGEST_DELAY)


def fault(
    *,
    name: ids.TaskId,
    task: Failures,
    job: Failures,
    hosts: int,
) -> outcomes.Absent | None:
    """Return why a job fails for good, or None if it goes on.

    A zone with few hosts cannot show many different ones, so fewer are asked
    for there.

    :param hosts: number of hosts that may run tasks.
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
            "and none succeeded",
        )
    return None
