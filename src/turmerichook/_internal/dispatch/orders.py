"""What the leader tells workers and what they answer."""

import dataclasses
import datetime
import enum
import typing

from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Start:
    """Start one run of a task.

    :param valid_until: reading of the worker's clock after which it must
        refuse the start; the task's lease ends then too.
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
    """Stop one run; a run that has not arrived yet is refused later."""

    task: model.TaskKey
    run: ids.Attempt
    token: ids.FencingToken


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Throttle:
    """Let a filler task work at a share of its speed, in percent."""

    task: model.TaskKey
    run: ids.Attempt
    percent: int
    token: ids.FencingToken


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Renewal:
    """Renew the leases on a worker and ask for its tasks.

    :param lease_until: reading of the worker's clock; None to only look.
    :param acknowledged: highest end that is durable.
    :param wait: how long the worker may wait for an end.
    """

    token: ids.FencingToken
    acknowledged: int
    lease_until: datetime.timedelta | None = None
    wait: datetime.timedelta = datetime.timedelta()


class RefusalReason(enum.Enum):
    """Why a worker did not start a task; it has then done nothing."""

    STALE_TOKEN = "stale-token"
    # The run, or a later one, has been stopped or has ended there.
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
    """The worker has carried the order out."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The worker has not carried the order out and never will."""

    reason: RefusalReason


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """No answer: the worker may have acted, or may still act."""

    detail: str


Outcome = Accepted | Refused | Unknown


class RunningRow(typing.NamedTuple):
    """A run that is on the worker.

    :param percent: how much of its work is done; 100 for a long-running
        task that is at work.
    :param reading: recent tail latency in milliseconds of a task with a
        latency target, millicores in use of any other; None if not told.
    """

    task: model.TaskKey
    run: ids.Attempt
    checkpoint: ids.CheckpointId
    percent: int
    reading: int | None


class EndRow(typing.NamedTuple):
    """A run that has ended on the worker.

    :param number: counts the worker's ends from 1 in each incarnation.
    """

    number: int
    task: model.TaskKey
    run: ids.Attempt
    kind: model.EndKind
    checkpoint: ids.CheckpointId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """A worker's answer to a renewal.

    :param clock: the worker's own clock when it answered.
    :param incarnation: Unix time in milliseconds of its start; 0 if untold.
    """

    clock: datetime.timedelta
    incarnation: int
    running: tuple[RunningRow, ...]
    ends: tuple[EndRow, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Question:
    """What the advisor is asked.

    :param workers: with the incarnation that the answer will hold for.
    """

    step: model.StepKey
    workers: dict[ids.WorkerId, int]
    terms: deployment.AdvisorTerms


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Advice:
    """The advisor's answer.

    :param tickets: of the workers that may run the step; the others that
        were asked about may not.
    """

    tickets: dict[ids.WorkerId, str]
    validity: datetime.timedelta


class Advisor(typing.Protocol):
    """Tells which workers may run a step."""

    async def advise(self, question: Question) -> Advice:
        """Return the advice.

        :raises AdvisorUnavailableError: if no usable answer came.
        """

    def close(self) -> None:
        """Close the connection."""


class Workers(typing.Protocol):
    """Calls to workers."""

    async def start(
        self, entry: deployment.WorkerEntry, order: Start
    ) -> Outcome:
        """Order a start."""

    async def stop(
        self, entry: deployment.WorkerEntry, order: Stop
    ) -> Outcome:
        """Order a stop."""

    async def throttle(
        self, entry: deployment.WorkerEntry, order: Throttle
    ) -> Outcome:
        """Order another speed."""

    async def renew(
        self, entry: deployment.WorkerEntry, order: Renewal
    ) -> Report:
        """Renew leases and return what runs and what has ended.

        :raises IncarnationEndedError: if another incarnation answered.
        :raises StaleTokenError: if the worker has seen a higher token.
        :raises WorkerUnreachableError: if no usable answer came.
        """

    def forget(self, worker: ids.WorkerId) -> None:
        """Close the connections to a worker."""
