"""The last routing decisions by request id, for operators who ask.

Callers name a request with the header ``Request-Id``; requests without one
are not kept.
"""

import collections
import dataclasses

from turmerichook._internal.http import heads
from turmerichook._internal.routing import refusals

REQUEST_ID = b"request-id"
REQUESTS_KEPT = 500
DECISIONS_KEPT = 8
NAME_LENGTH = 128


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """One step of a request.

    :param kind: ``routed`` or ``refused``.
    :param reason: why the endpoint was chosen, or the refusal's code.
    :param detail: endpoint that was chosen, or the outcome claimed.
    """

    kind: str
    reason: str
    detail: str


class RecentDecisions:
    """A bounded memory of decisions; the oldest request is dropped first."""

    def __init__(self):
        self.requests: collections.OrderedDict[str, list[Decision]]
        self.requests = collections.OrderedDict()

    def add(self, request: str, decision: Decision) -> None:
        """Keep a decision about a request."""
        if not request or len(request) > NAME_LENGTH:
            return
        found = self.requests.setdefault(request, [])
        if len(found) < DECISIONS_KEPT:
            found.append(decision)
        self.requests.move_to_end(request)
        if len(self.requests) > REQUESTS_KEPT:
            self.requests.popitem(last=False)

    def routed(self, head: heads.RequestHead, reason: str, where: str) -> None:
        """Keep the choice of an endpoint."""
        decision = Decision(kind="routed", reason=reason, detail=where)
        self.add(head.header(REQUEST_ID), decision)

    def refused(
        self, head: heads.RequestHead, refusal: refusals.Refusal
    ) -> None:
        """Keep a refusal."""
        decision = Decision(
            kind="refused",
            reason=refusal.code,
            detail=f"outcome {refusal.outcome.value}",
        )
        self.add(head.header(REQUEST_ID), decision)

    def explain(self, request: str) -> dict | None:
        """Return what is known about a request, None if nothing is."""
        found = self.requests.get(request)
        if found is None:
            return None
        steps = [dataclasses.asdict(decision) for decision in found]
        return {"request": request, "decisions": steps}
