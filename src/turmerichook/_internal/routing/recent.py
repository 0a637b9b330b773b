"""Recent routing decisions by request id, for ``/v1/explain``.

The caller sets the id in the header ``Request-Id``. Decisions about requests
without this header are not recorded.
"""

import collections
import dataclasses

from turmerichook._internal.http import heads
from turmerichook._internal.routing import refusals

REQUEST_ID_HEADER = b"request-id"
MAX_REQUESTS = 500
MAX_DECISIONS_PER_REQUEST = 8
MAX_REQUEST_ID_LENGTH = 128


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """One decision about a request.

    :param kind: ``routed`` or ``refused``.
    :param reason: why the endpoint was chosen, or the code of the refusal.
    :param detail: the chosen endpoint, or the outcome that was sent to the
        caller.
    """

    kind: str
    reason: str
    detail: str


class RecentDecisions:
    """Bounded record; evicts the least recently updated request."""

    def __init__(self):
        self.requests: collections.OrderedDict[str, list[Decision]]
        self.requests = collections.OrderedDict()

    def add(self, request: str, decision: Decision) -> None:
        """Record a decision, up to a maximum number for each request."""
        if not request or len(request) > MAX_REQUEST_ID_LENGTH:
            return
        decisions = self.requests.setdefault(request, [])
        if len(decisions) < MAX_DECISIONS_PER_REQUEST:
            decisions.append(decision)
        self.requests.move_to_end(request)
        if len(self.requests) > MAX_REQUESTS:
            self.requests.popitem(last=False)

    def record_routed(
        self, head: heads.RequestHead, reason: str, endpoint: str
    ) -> None:
        """Record the choice of an endpoint."""
        decision = Decision(kind="routed", reason=reason, detail=endpoint)
        self.add(head.header(REQUEST_ID_HEADER), decision)

    def record_refused(
        self, head: heads.RequestHead, refusal: refusals.Refusal
    ) -> None:
        """Record a refusal."""
        decision = Decision(
            kind="refused",
            reason=refusal.code,
            detail=f"outcome {refusal.outcome.value}",
        )
        self.add(head.header(REQUEST_ID_HEADER), decision)

    def explain(self, request: str) -> dict | None:
        """Return the recorded decisions about a request as a JSON document.

        :returns: the document, or None if no decision is recorded.
        """
        decisions = self.requests.get(request)
        if decisions is None:
            return None
        steps = [dataclasses.asdict(decision) for decision in decisions]
        return {"request": request, "decisions": steps}
