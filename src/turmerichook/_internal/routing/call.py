"""State of a service request in progress, and the error that refuses it."""

import dataclasses

from turmerichook._internal.http import server
from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal.routing import bodies
from turmerichook._internal.routing import refusals
from turmerichook._internal.routing import requests


class RefusedError(Exception):
    """The gateway refuses the request.

    :param code: kind of the refusal.
    :param retry_after: seconds after which to retry, or 0. The longer one of
        this time and that of the code is sent.
    :param detail: explanation for the caller, or an empty string.
    """

    def __init__(
        self,
        *,
        code: refusals.Code,
        retry_after: float = 0.0,
        detail: str = "",
    ):
        super().__init__(code.value.code)
        self.code = code
        self.retry_after = retry_after
        self.detail = detail


@dataclasses.dataclass(kw_only=True, slots=True)
class Call:
    """A request in progress.

    :param weight: share of the team in the queue, relative to other teams.
    :param deadline: monotonic time in seconds.
    :param body: the request body, or None if the request has none.
    :param attempts: attempts made so far by this gateway.
    :param may_have_run: whether an endpoint may have run the request.
    :param failed_tasks: tasks of the endpoints at which attempts have failed.
    """

    exchange: server.Exchange
    request: requests.ServiceRequest
    urgency: site.Urgency
    team: str
    weight: float
    deadline: float
    body: bodies.ReplayBody | None
    attempts: int = 0
    may_have_run: bool = False
    failed_tasks: frozenset[ids.TaskId] = frozenset()

    @property
    def replayable(self) -> bool:
        """Whether the whole request can be sent again."""
        return self.body is None or self.body.replayable
