"""What a round decided, in the form in which it is logged.

The line of a placement holds everything that the choice was made from, so
that ``replay`` finds the same host from the line alone.
"""

import collections.abc
import dataclasses

from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.scheduling import placement
from turmerichook._internal.scheduling import preemption
from turmerichook._internal.scheduling import tasks as records
from turmerichook import exceptions


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """A task was given a host.

    :param reason: ``best-of-drawn``, or ``room-freed`` for a task whose room
        was reserved.
    """

    command: records.StartCommand
    reason: str
    team: ids.TeamId
    weights: site.Weights
    score: float
    candidates: tuple[placement.Candidate, ...]

    def fields(self) -> dict[str, str | int]:
        """Return the fields of the log line."""
        command = self.command
        return {
            "task": command.task,
            "attempt": command.attempt,
            "host": command.host,
            "reason": self.reason,
            "team": self.team,
            "need": command.amount.text(),
            "score": f"{self.score:.4f}",
            "weights": f"{self.weights.spread!r}:{self.weights.pack!r}",
            "candidates": ",".join(
                f"{c.host}:{c.room}:{c.on_host}:{c.on_rack}:{c.cost!r}"
                for c in self.candidates
            ),
        }


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Preemption:
    """Tasks are stopped to make room for an urgent one."""

    task: ids.TaskId
    victims: preemption.Victims

    def fields(self) -> dict[str, str | int]:
        """Return the fields of the log line."""
        return {
            "task": self.task,
            "host": self.victims.host,
            "victims": ",".join(self.victims.tasks),
            "lost_core_s": f"{self.victims.cost:.1f}",
        }


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Wait:
    """The reason for which tasks of a workload wait has changed."""

    key: str
    tasks: int
    reason: outcomes.Reason
    detail: str

    def fields(self) -> dict[str, str | int]:
        """Return the fields of the log line."""
        return {
            "work": self.key,
            "tasks": self.tasks,
            "reason": self.reason.value,
            "detail": repr(self.detail),
        }


def replay(fields: collections.abc.Mapping[str, str]) -> ids.HostId:
    """Return the host that the choice gives for a logged placement.

    :raises MessageError: if the fields are malformed.
    """
    try:
        spread, pack = fields["weights"].split(":")
        weights = site.Weights(spread=float(spread), pack=float(pack))
        found = [_candidate(c) for c in fields["candidates"].split(",")]
    except (KeyError, ValueError) as error:
        raise exceptions.MessageError(
            message="malformed placement line", context=repr(error)
        ) from error
    return placement.select(found, weights).host


def _candidate(text: str) -> placement.Candidate:
    # Host names may hold colons, the other parts never do.
    host, room, on_host, on_rack, cost = text.rsplit(":", 4)
    return placement.Candidate(
        host=ids.HostId(host),
        room=int(room),
        on_host=int(on_host),
        on_rack=int(on_rack),
        cost=float(cost),
    )
