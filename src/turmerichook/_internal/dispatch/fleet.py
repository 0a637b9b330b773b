"""What the leader believes of each worker: its runs, clock and health."""

import collections.abc
import dataclasses
import datetime
import enum
import typing

from turmerichook._internal.dispatch import interference
from turmerichook._internal.dispatch import orders
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.workflow import model

ZERO = datetime.timedelta()
# A worker's clock may run this much slower or faster than ours.
CLOCK_ERROR = 0.02
# Different jobs that must fail in a row on a worker before it is suspected.
SUSPECT_FAILURES = 3
# How long a suspected worker gets no tasks, then one in each such span. It may
# hold tasks that never end, so that the next one cannot wait for their ends.
SUSPENSION = datetime.timedelta(seconds=4)
# A filler's reading tells its full use from this progress and pace on.
SETTLED_PERCENT = 15
TRUSTED_PACE = 50
# A worker that refused for lack of room is full for this long.
FULL_PAUSE = datetime.timedelta(milliseconds=500)


class RunPhase(enum.Enum):
    """What is known of a run on its worker."""

    # Its assignment is being made durable; nothing has been sent.
    ASSIGNED = "assigned"
    # A start has been sent and not answered yet.
    STARTING = "starting"
    RUNNING = "running"
    # A start may have been carried out, or may still be.
    UNCERTAIN = "uncertain"
    # A stop has been or must be sent.
    STOPPING = "stopping"


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Run:
    """One run of a task on a worker.

    :param settled: mark of the last order's answer; a report that was asked
        for later tells for certain whether the run exists.
    :param fenced: whether a start that is still under way would be refused
        because of a later fencing token.
    :param wanted: whether the run is to go on; False once it is to stop.
    :param moved: when its percent last changed, as our own time.
    :param load: what it does of itself, without the fillers beside it.
    """

    task: model.TaskKey
    run: ids.Attempt
    step: model.Step
    phase: RunPhase
    settled: int = 0
    fenced: bool = False
    wanted: bool = True
    percent: int = -1
    moved: datetime.timedelta = ZERO
    reading: int | None = None
    load: interference.Estimate | None = None
    pace: int = 100
    stop_sent: datetime.timedelta | None = None
    stop_accepted: bool = False

    @property
    def full_use(self) -> float:
        """Thousandths of a core that a filler uses or would use unpaced."""
        asked = self.step.demand.millicores
        if self.reading is None or self.percent < SETTLED_PERCENT:
            return asked
        if self.pace < TRUSTED_PACE:
            return asked
        return min(asked, self.reading * 100 / self.pace)


class Watched:
    """An attribute of a worker that decides which tasks it may get.

    A new value raises the worker's version. Reads find the value in the
    instance at the usual cost, as there is no ``__get__``.
    """

    def __set_name__(self, owner: type, name: str):
        self.name = name

    def __set__(self, worker: "Worker", value: typing.Any):
        fields = vars(worker)
        if self.name not in fields or fields[self.name] != value:
            fields[self.name] = value
            worker.version += 1


class Worker:
    """One worker's ledger.

    :ivar version: grows with each change that matters to placement.
    """

    entry = Watched()
    listed = Watched()
    reachable = Watched()
    looked = Watched()
    suspended_until = Watched()
    full_until = Watched()
    hot_since = Watched()
    # The paces of fillers change with it.
    paced_at = Watched()

    def __init__(
        self, *, worker: ids.WorkerId, entry: deployment.WorkerEntry | None
    ):
        self.version = 0
        self.worker = worker
        self.entry = entry
        # Whether the registry lists the worker.
        self.listed = entry is not None
        self.reachable = True
        self.looked = False
        self.runs: dict[model.TaskKey, Run] = {}
        self.used = resources.NOTHING
        # Processors that fillers ask for, in thousandths.
        self.filling = 0
        self.incarnation = entry.incarnation if entry else 0
        # The worker's clock when it answered, and our time of the answer.
        self.clock: datetime.timedelta | None = None
        self.clock_read = ZERO
        # Latest end of a lease that any order named, on the worker's clock.
        self.lease_until = ZERO
        # Our time at which all leases have ended for certain, even if the
        # worker cannot be reached; None where no order has set a lease.
        self.lapsed_at: datetime.timedelta | None = None
        self.seen_end = 0
        self.unsaved: set[int] = set()
        self.failing: set[ids.JobId] = set()
        self.suspended_until = ZERO
        self.full_until = ZERO
        # Since when a tail latency has been over its target.
        self.hot_since = None
        self.paced_at = ZERO
        self.remaining_at: datetime.timedelta | None = None

    @property
    def acknowledged(self) -> int:
        """Highest end up to which all are durable."""
        return min(self.unsaved) - 1 if self.unsaved else self.seen_end

    @property
    def suspected(self) -> bool:
        """Whether it failed tasks of several jobs and none was done since."""
        return len(self.failing) >= SUSPECT_FAILURES

    def add(self, run: Run) -> None:
        """Count a run against the worker."""
        self.runs[run.task] = run
        self.version += 1
        self.reserve(run.step)
        if self.suspected:
            # The run shows whether the worker has recovered.
            end = run.moved + SUSPENSION
            self.suspended_until = max(self.suspended_until, end)

    def remove(self, task: model.TaskKey) -> Run | None:
        """Free what a run took."""
        run = self.runs.pop(task, None)
        if run is None:
            return None
        self.version += 1
        self.release(run.step)
        return run

    def serving(self) -> collections.abc.Iterator[Run]:
        """Return the runs that have a latency target."""
        return (r for r in self.runs.values() if r.step.latency_target)

    def fillers(self) -> collections.abc.Iterator[Run]:
        """Return the runs that take what processors the others leave."""
        return (r for r in self.runs.values() if r.step.filler)

    def reserve(self, step: model.Step) -> None:
        """Count what a task of a step takes."""
        self.used = self.used.plus(step.committed)
        if step.filler:
            self.filling += step.demand.millicores

    def release(self, step: model.Step) -> None:
        """Give back what a task of a step took."""
        self.used = self.used.minus(step.committed)
        if step.filler:
            self.filling -= step.demand.millicores

    def read_clock(
        self, report: orders.Report, now: datetime.timedelta
    ) -> None:
        """Take a report's reading of the worker's clock."""
        self.clock = report.clock
        self.clock_read = now

    def clock_at(self, now: datetime.timedelta) -> datetime.timedelta:
        """Return the worker's clock as it is about now."""
        return self.clock + (now - self.clock_read)

    def grant_lease(
        self, now: datetime.timedelta, length: datetime.timedelta
    ) -> datetime.timedelta:
        """Return the end of a lease on the worker's clock, and note it."""
        until = self.clock_at(now) + length
        if until > self.lease_until:
            self.lease_until = until
            left = (until - self.clock) / (1 - CLOCK_ERROR)
            lapsed_at = self.clock_read + left
            # Runs of a former incarnation or leader may last longer.
            self.lapsed_at = max(lapsed_at, self.lapsed_at or ZERO)
        return self.lease_until

    def note_end(self, kind: model.EndKind, run: Run, now) -> bool:
        """Weigh the worker's health; tell whether it became suspected."""
        if kind is model.EndKind.DONE:
            self.failing.clear()
            self.suspended_until = ZERO
            return False
        if kind is not model.EndKind.FAILED:
            return False
        self.failing.add(run.task.job)
        if not self.suspected:
            return False
        suspected = now >= self.suspended_until
        self.suspended_until = now + SUSPENSION
        return suspected
