"""The leader's view of each worker: its runs, clock, leases and health."""

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
from turmerichook._internal.quotas import usage as usages
from turmerichook._internal.workflow import model

ZERO = datetime.timedelta()
# Greatest relative deviation of the rate of a worker's clock from ours.
CLOCK_RATE_ERROR_MAX = 0.02
# Number of different jobs with a failed task on a worker, and no successful
# task in between, from which on the worker is suspected.
SUSPECT_FAILED_JOBS = 3
# A suspected worker gets no task for this time, and after that one task in
# each period of this length. The next task does not wait until the worker's
# runs have ended, as some of them may never end. A worker that refused a start
# as unhealthy gets no task for this time either.
SUSPENSION_TIME = datetime.timedelta(seconds=4)
# From this progress and pace on, the processor use that is measured on a
# filler task allows to compute its use at full speed. Both are in percent.
FULL_USE_MIN_PROGRESS = 15
FULL_USE_MIN_PACE = 50
# A worker that refused a start for lack of room gets no task for this time.
NO_ROOM_PAUSE = datetime.timedelta(milliseconds=500)


# Pressures of serving tasks minus those at their latency targets, by image.
Excesses = dict[ids.ImageId, list[float]]


class Crash(enum.Enum):
    """How the crash of a worker counts for a run that it may be due to."""

    # The run's task was the only suspect on the worker.
    ISOLATED = "isolated"
    # Other tasks may have crashed the worker as well.
    SHARED = "shared"
    # Many workers were lost at the same time, probably for another reason, or
    # the worker may have crashed before the run had begun.
    DOUBTFUL = "doubtful"
    # The worker may not have crashed at all.
    UNCONFIRMED = "unconfirmed"


class RunPhase(enum.Enum):
    """Phase of a run on its worker, as far as the leader can tell."""

    # The assignment is being written to the store; no start has been sent.
    ASSIGNED = "assigned"
    # A start has been sent, and its outcome has not arrived.
    STARTING = "starting"
    RUNNING = "running"
    # The worker may have executed a start, or may still do so.
    UNCERTAIN = "uncertain"
    # A stop has been sent or is to be sent.
    STOPPING = "stopping"


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Run:
    """One run of a task on a worker.

    :param demand_known: whether ``step`` states what the run takes of the
        worker's capacity; False for a run of a job that the leader lacks.
    :param last_outcome_number: sequence number of the last order's outcome. A
        report that was requested later shows for certain whether the run
        exists.
    :param fenced: whether the worker would refuse a start that is still under
        way, because a higher fencing token is in use.
    :param should_run: whether the run is to continue; False once it is to
        stop.
    :param percent: progress; -1 before the first report.
    :param progress_changed_at: our time at which ``percent`` last changed.
        Before the first change, our time at which the task was placed or its
        start accepted.
    :param last_listed_at: our time at which a report last listed the run, or
        its start was accepted; zero if neither is known.
    :param measurement: last measurement reported, see ``orders.RunningRow``.
    :param load: estimated load of the task's own, without the influence of the
        filler tasks on the same worker.
    :param pace: share of its full speed that a filler task works at, in
        percent.
    :param pace_known: whether the worker certainly has been told ``pace``, or
        has not been told any.
    :param held_back_since: our time since which a filler task has been at a
        low pace; None if it is not.
    :param incarnation: incarnation of the worker that the task was assigned
        to; 0 if unknown.
    :param placed_at: our time at which the task was assigned; None if a
        former leader assigned it.
    :param sent_at: our time at which the start was sent; None if it was not,
        or if a former leader sent it.
    :param first_listed_at: our time of the first report that listed the run;
        for a recovered run that is proven, an earlier time than its recovery.
    :param isolated: whether the task is suspected to crash workers, and had
        no other suspect and no starting task beside it when it was placed.
    :param crash: set when the worker has crashed, possibly due to the run.
    :param customer: customer that the run counts for, or empty.
    :param charge: what the run counts against the customer's quota; None for
        the demand of the step.
    """

    task: model.TaskKey
    run: ids.Attempt
    step: model.Step
    phase: RunPhase
    demand_known: bool = True
    last_outcome_number: int = 0
    fenced: bool = False
    should_run: bool = True
    percent: int = -1
    progress_changed_at: datetime.timedelta = ZERO
    last_listed_at: datetime.timedelta = ZERO
    measurement: int | None = None
    load: interference.Estimate | None = None
    pace: int = 100
    pace_known: bool = True
    held_back_since: datetime.timedelta | None = None
    stop_sent: datetime.timedelta | None = None
    stop_accepted: bool = False
    incarnation: int = 0
    placed_at: datetime.timedelta | None = None
    sent_at: datetime.timedelta | None = None
    first_listed_at: datetime.timedelta | None = None
    isolated: bool = False
    crash: Crash | None = None
    customer: ids.CustomerId = ids.CustomerId("")
    charge: resources.Resources | None = None

    @property
    def charged(self) -> resources.Resources:
        """What the run counts against its customer's quota."""
        return self.step.demand if self.charge is None else self.charge

    @property
    def begun(self) -> bool:
        """Whether the run has certainly begun."""
        return self.first_listed_at is not None

    @property
    def known_by_worker(self) -> bool:
        """Whether the worker has listed the run or accepted its start."""
        return self.last_listed_at > ZERO

    @property
    def full_use(self) -> float:
        """Millicores that a filler task uses at full speed.

        This is the demand of its step until a measurement is reliable.
        """
        demanded = self.step.demand.millicores
        if self.measurement is None or self.percent < FULL_USE_MIN_PROGRESS:
            return demanded
        if self.pace < FULL_USE_MIN_PACE:
            return demanded
        return min(demanded, self.measurement * 100 / self.pace)


class VersionedAttribute:
    """Attribute of a worker on which placement depends.

    Setting a different value increments the worker's version. The value is
    stored in the instance's ``__dict__``, and without ``__get__`` it is read
    at the cost of an ordinary attribute.
    """

    def __set_name__(self, owner: type, name: str):
        self.name = name

    def __set__(self, worker: "Worker", value: typing.Any):
        fields = vars(worker)
        if self.name not in fields or fields[self.name] != value:
            fields[self.name] = value
            worker.version += 1


class Worker:
    """One worker as the leader sees it.

    :param customer_usage: account to which the runs of customers are charged.
    :ivar version: incremented by each change that placement depends on.
    :ivar report_received: whether a report has arrived from this incarnation.
    """

    entry = VersionedAttribute()
    listed = VersionedAttribute()
    entry_unconfirmed = VersionedAttribute()
    incarnation = VersionedAttribute()
    reachable = VersionedAttribute()
    report_received = VersionedAttribute()
    suspended_until = VersionedAttribute()
    no_room_until = VersionedAttribute()
    over_target_since = VersionedAttribute()
    # The task that is suspected to crash workers and has the worker for itself
    # until it has run on for some time; None if there is none.
    probation = VersionedAttribute()
    # Set when the filler tasks' paces change, on which placement depends too.
    paced_at = VersionedAttribute()

    def __init__(
        self,
        *,
        worker: ids.WorkerId,
        entry: deployment.WorkerEntry | None,
        customer_usage: usages.Usage[ids.CustomerId] | None = None,
    ):
        self.version = 0
        self.worker = worker
        self.customer_usage = customer_usage or usages.Usage()
        self.entry = entry
        # Whether the worker does not enforce its capacity, and its entry was
        # read too long ago to rely on.
        self.entry_unconfirmed = False
        # Whether the registry lists the worker.
        self.listed = entry is not None
        self.reachable = True
        self.report_received = False
        self.runs: dict[model.TaskKey, Run] = {}
        self.used = resources.NOTHING
        # The part of it that long-running tasks use.
        self.long_running_use = resources.NOTHING
        # The part of it that tasks use that end and are no fillers.
        self.short_use = resources.NOTHING
        # Number of runs that are not included in ``used``.
        self.unknown_demands = 0
        # Millicores that the filler tasks on the worker request.
        self.filler_millicores = 0
        self.incarnation = entry.incarnation if entry else 0
        # Latest sequence number of the settlement when the leader learned of
        # this incarnation: reports that were requested up to it may be older.
        self.incarnation_known_at = 0
        # Incarnations that this one has replaced without a report since, and
        # those that have certainly ended.
        self.replaced_incarnations: set[int] = set()
        self.former_incarnations: set[int] = set()
        # Reading of the worker's clock in its last report, and our time at
        # which the report arrived; None before the first report.
        self.clock: datetime.timedelta | None = None
        self.clock_read_at = ZERO
        # Latest end of a lease in any order, on the worker's clock.
        self.lease_until = ZERO
        # Our time at which all leases that this leader granted have certainly
        # ended, even if the worker is unreachable; None if there are none.
        self.lapsed_at: datetime.timedelta | None = None
        # Whether the worker may hold leases from former leaders.
        self.may_hold_inherited_leases = False
        # Number of the last end that the worker reported.
        self.last_end_number = 0
        # Numbers of the reported ends that no commit has made durable yet.
        self.unsaved: set[int] = set()
        # Jobs with a task that failed since the last successful task.
        self.failed_jobs: set[ids.JobId] = set()
        self.suspended_until = ZERO
        self.no_room_until = ZERO
        # Our time since which a tail latency has been above its target; None
        # if none is.
        self.over_target_since = None
        self.probation: model.TaskKey | None = None
        self.paced_at = ZERO
        # Excesses of the serving tasks, with the version they belong to; None
        # if they have to be computed.
        self.serving_excesses: tuple[int, Excesses] | None = None
        # Our time at which the worker will shut down, if it announced one.
        self.shutdown_at: datetime.timedelta | None = None

    @property
    def acknowledged(self) -> int:
        """Highest end number up to which all ends are durable."""
        return min(self.unsaved) - 1 if self.unsaved else self.last_end_number

    @property
    def entry_outdated(self) -> bool:
        """Whether the worker may differ from its registry entry.

        Another incarnation may be another kind of worker. Incarnation 0 is
        one that was not reported.
        """
        if self.entry_unconfirmed:
            return True
        return 0 != self.entry.incarnation != self.incarnation

    @property
    def draining(self) -> bool:
        """Whether the worker has announced its shutdown."""
        return self.entry is not None and (
            self.entry.state is deployment.WorkerState.DRAINING
        )

    @property
    def suspected(self) -> bool:
        """Whether tasks of several jobs failed and none succeeded since."""
        return len(self.failed_jobs) >= SUSPECT_FAILED_JOBS

    def add(self, run: Run) -> None:
        """Add a run and reserve its resources."""
        self.runs[run.task] = run
        self.version += 1
        self.reserve(run.step)
        if run.customer:
            self.customer_usage.charge(run.customer, run.charged)
        self.unknown_demands += not run.demand_known
        if self.suspected:
            # This run tests whether the worker has recovered; until it has
            # had time to end, the worker gets no other task.
            end = run.progress_changed_at + SUSPENSION_TIME
            self.suspended_until = max(self.suspended_until, end)

    def remove(self, task: model.TaskKey) -> Run | None:
        """Remove a task's run, if there is one, and release its resources."""
        run = self.runs.pop(task, None)
        if run is None:
            return None
        self.version += 1
        if self.probation == task:
            self.probation = None
        self.release(run.step)
        if run.customer:
            self.customer_usage.refund(run.customer, run.charged)
        self.unknown_demands -= not run.demand_known
        return run

    def serving(self) -> collections.abc.Iterator[Run]:
        """Return the runs that have a latency target."""
        return (r for r in self.runs.values() if r.step.latency_target)

    def fillers(self) -> collections.abc.Iterator[Run]:
        """Return the runs that use only processor time the others leave."""
        return (r for r in self.runs.values() if r.step.filler)

    def reserve(self, step: model.Step) -> None:
        """Reserve the resources of a task of this step."""
        self.used = self.used.plus(step.committed)
        if step.long_running:
            self.long_running_use = self.long_running_use.plus(step.committed)
        elif not step.filler:
            self.short_use = self.short_use.plus(step.committed)
        if step.filler:
            self.filler_millicores += step.demand.millicores

    def release(self, step: model.Step) -> None:
        """Release the resources of a task of this step."""
        self.used = self.used.minus(step.committed)
        if step.long_running:
            self.long_running_use = self.long_running_use.minus(step.committed)
        elif not step.filler:
            self.short_use = self.short_use.minus(step.committed)
        if step.filler:
            self.filler_millicores -= step.demand.millicores

    def record_clock(
        self, report: orders.Report, now: datetime.timedelta
    ) -> None:
        """Store the reading of the worker's clock in a report."""
        self.clock = report.clock
        self.clock_read_at = now

    def clock_at(self, now: datetime.timedelta) -> datetime.timedelta:
        """Return the estimated reading of the worker's clock at our time."""
        return self.clock + (now - self.clock_read_at)

    def longest_lease(
        self, now: datetime.timedelta, limit: datetime.timedelta
    ) -> datetime.timedelta:
        """Return how long a lease may last to have ended by ``limit``.

        :param limit: our time.
        """
        span = (limit - self.clock_read_at) * (1 - CLOCK_RATE_ERROR_MAX)
        return span - (now - self.clock_read_at)

    def grant_lease(
        self, now: datetime.timedelta, length: datetime.timedelta
    ) -> datetime.timedelta:
        """Grant a lease; return the latest end of all leases.

        The end is a reading of the worker's clock.
        """
        until = self.clock_at(now) + length
        if until > self.lease_until:
            self.lease_until = until
            left = (until - self.clock) / (1 - CLOCK_RATE_ERROR_MAX)
            lapsed_at = self.clock_read_at + left
            # Leases from a former incarnation may end later.
            self.lapsed_at = max(lapsed_at, self.lapsed_at or ZERO)
        return self.lease_until

    def update_health(self, kind: model.EndKind, run: Run, now) -> bool:
        """Update the worker's health after the end of a run.

        Return True if the worker has just become suspected, or has failed
        again after its suspension.
        """
        if kind is model.EndKind.DONE:
            self.failed_jobs.clear()
            self.suspended_until = ZERO
            return False
        if kind is not model.EndKind.FAILED:
            return False
        if run.step.long_running and run.begun:
            if now - run.first_listed_at >= SUSPENSION_TIME:
                # Such a task may fail at any time. A worker that fails what
                # it starts ends it sooner.
                return False
        self.failed_jobs.add(run.task.job)
        if not self.suspected:
            return False
        suspected = now >= self.suspended_until
        self.suspended_until = now + SUSPENSION_TIME
        return suspected
