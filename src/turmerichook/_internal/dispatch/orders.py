"""Orders and questions of the leader, and the answers to them."""

import dataclasses
import datetime
import enum
import typing

from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Start:
    """Order to start one run of a task.

    :param valid_until: reading of the worker's clock after which the worker
        must refuse the start; the task's lease ends at the same time.
    :param checkpoint: checkpoint to resume from; empty for none.
    :param ticket: the advisor's permission for the worker; empty if the queue
        has no advisor.
    """

    task: model.TaskKey
    run: ids.Attempt
    payload: str
    token: ids.FencingToken
    valid_until: datetime.timedelta
    checkpoint: ids.CheckpointId = ids.CheckpointId("")
    ticket: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stop:
    """Order to stop one run.

    If the run's start arrives after the stop, the worker refuses the start.
    """

    task: model.TaskKey
    run: ids.Attempt
    token: ids.FencingToken


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Throttle:
    """Order to run a filler task at a percentage of its full speed."""

    task: model.TaskKey
    run: ids.Attempt
    percent: int
    token: ids.FencingToken


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Renewal:
    """Order to renew the leases on a worker and to report its runs.

    :param acknowledged: highest end number up to which all ends are durable.
        The worker need not report these ends again.
    :param lease_until: reading of the worker's clock at which the leases end;
        None to request a report without renewing the leases.
    :param wait: how long the worker may delay its report until a run ends.
    """

    token: ids.FencingToken
    acknowledged: int
    lease_until: datetime.timedelta | None = None
    wait: datetime.timedelta = datetime.timedelta()


class RefusalReason(enum.Enum):
    """Why a worker refused an order; a refused order has no effect."""

    STALE_TOKEN = "stale-token"
    # The run, or a later run of the task, was stopped or ended on the worker.
    OLD_RUN = "old-run"
    EXPIRED = "expired"
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    OTHER_INCARNATION = "other-incarnation"
    NOT_CONNECTED = "not-connected"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """The worker has executed the order."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The worker has not executed the order and will not execute it."""

    reason: RefusalReason


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """No answer: the worker may have executed the order, or still may."""

    detail: str


Outcome = Accepted | Refused | Unknown


class RunningRow(typing.NamedTuple):
    """A run that exists on the worker.

    :param percent: progress of the run; 100 for a long-running task that is
        in operation.
    :param measurement: recent tail latency in milliseconds for a task with a
        latency target, millicores in use for any other task; None if the
        worker did not report it.
    """

    task: model.TaskKey
    run: ids.Attempt
    checkpoint: ids.CheckpointId
    percent: int
    measurement: int | None


class EndRow(typing.NamedTuple):
    """A run that has ended on the worker.

    :param number: sequence number of the end, from 1 in each incarnation of
        the worker.
    """

    number: int
    task: model.TaskKey
    run: ids.Attempt
    kind: model.EndKind
    checkpoint: ids.CheckpointId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """A worker's answer to a renewal.

    :param clock: reading of the worker's clock when it sent the report.
    :param incarnation: Unix time in milliseconds at which the worker started;
        0 if not reported.
    :param running: the runs that exist on the worker.
    :param ends: ends that the leader has not acknowledged, lowest numbers
        first.
    :param ends_complete: whether there are certainly no others. If not, a run
        that is not listed may have ended.
    """

    clock: datetime.timedelta
    incarnation: int
    running: tuple[RunningRow, ...]
    ends: tuple[EndRow, ...]
    ends_complete: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Question:
    """A question to the advisor: which of these workers may run a step?

    :param workers: incarnation of each worker; the answer is valid for this
        incarnation only.
    """

    step: model.StepKey
    workers: dict[ids.WorkerId, int]
    terms: deployment.AdvisorTerms


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Advice:
    """The advisor's answer.

    :param tickets: permissions of the workers that may run the step. Other
        workers in the question may not run it.
    :param validity: how long the answer is valid.
    """

    tickets: dict[ids.WorkerId, str]
    validity: datetime.timedelta


class Advisor(typing.Protocol):
    """The advisor, which decides which workers may run a step."""

    async def advise(self, question: Question) -> Advice:
        """Return the advisor's answer.

        :raises AdvisorUnavailableError: if no valid answer was received.
        """

    def close(self) -> None:
        """Close the connection."""


class Workers(typing.Protocol):
    """Connections to the workers."""

    async def start(
        self, entry: deployment.WorkerEntry, order: Start
    ) -> Outcome:
        """Send a start order and return its outcome."""

    async def stop(
        self, entry: deployment.WorkerEntry, order: Stop
    ) -> Outcome:
        """Send a stop order and return its outcome."""

    async def throttle(
        self, entry: deployment.WorkerEntry, order: Throttle
    ) -> Outcome:
        """Send a throttle order and return its outcome."""

    async def renew(
        self, entry: deployment.WorkerEntry, order: Renewal
    ) -> Report:
        """Send a renewal and return the worker's report.

        :raises IncarnationEndedError: if another incarnation answered.
        :raises StaleTokenError: if the worker has seen a higher token.
        :raises WorkerUnreachableError: if no valid answer was received.
        """

    def forget(self, worker: ids.WorkerId) -> None:
        """Close the connections to a worker."""
