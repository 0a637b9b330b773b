"""A service request in progress, and how it ends when it is refused."""

import dataclasses

from turmerichook._internal.http import server
from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal.routing import bodies
from turmerichook._internal.routing import refusals
from turmerichook._internal.routing import requests


class RefusedError(Exception):
    """Ends a request with a refusal.

    :param retry_after: seconds, where more is known than the code's advice.
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

    :param deadline: monotonic seconds.
    :param body: the request body, None where there is none.
    :param attempts: attempts made so far.
    :param may_have_run: whether an attempt may have run.
    :param tried: tasks that have failed this request.
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
    tried: frozenset[ids.TaskId] = frozenset()

    @property
    def replayable(self) -> bool:
        """Whether the request can be sent again from the start."""
        return self.body is None or self.body.replayable
