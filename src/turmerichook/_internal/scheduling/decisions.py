"""Decisions of a round, in the form in which they are logged.

The log line of a placement contains all inputs of the choice, so that
``replay`` computes the same host from the line alone.
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
    """A task was assigned to a host.

    :param reason: ``best-of-drawn`` for the best of the compared hosts, or
        ``room-freed`` for the host on which capacity was reserved.
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
                f"{c.host}:{c.room}:{c.on_host}:{c.on_rack}:{c.penalty!r}"
                for c in self.candidates
            ),
        }


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Preemption:
    """Tasks are stopped to free capacity for an urgent task."""

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
    """The reason why the tasks of a workload wait has changed.

    :param key: key of the workload.
    :param tasks: number of its tasks that wait.
    """

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
    """Repeat the choice of a logged placement and return its host.

    :raises MessageError: if a field is missing or malformed.
    """
    try:
        spread, pack = fields["weights"].split(":")
        weights = site.Weights(spread=float(spread), pack=float(pack))
        candidates = [
            _parse_candidate(c) for c in fields["candidates"].split(",")
        ]
    except (KeyError, ValueError) as error:
        raise exceptions.MessageError(
            message="malformed log line of a placement", context=repr(error)
        ) from error
    return placement.select(candidates, weights).host


def _parse_candidate(text: str) -> placement.Candidate:
    # Host names may contain colons, the other parts never do.
    host, room, on_host, on_rack, cost = text.rsplit(":", 4)
    return placement.Candidate(
        host=ids.HostId(host),
        room=int(room),
        on_host=int(on_host),
        on_rack=int(on_rack),
        penalty=float(cost),
    )
