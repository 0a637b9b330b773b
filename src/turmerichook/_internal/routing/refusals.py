"""Refusals of requests, sent as problem documents (RFC 9457).

``docs/routing.md`` lists the codes; a test checks that the list agrees.
"""

import dataclasses
import enum
import json
import math

from turmerichook._internal.http import server
from turmerichook._internal.routing import requests

CONTENT_TYPE = "application/problem+json"
RETRY_AFTER_MAX_S = 60


class Outcome(enum.Enum):
    """Whether the refused request may have run.

    NOT_RUN is used only if it is certain that no endpoint ran the request,
    since callers may then repeat even a request that is not idempotent.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Kind:
    """Status, code and title of one kind of refusal.

    :param retry_after: least value of the header ``Retry-After`` in seconds;
        0 if the kind requires no header.
    """

    status: int
    code: str
    title: str
    retry_after: int = 0


class Code(enum.Enum):
    """All kinds of refusal of service requests."""

    NOT_FOUND = Kind(
        status=404,
        code="not-found",
        title="nothing is served at this path",
    )
    UNKNOWN_SERVICE = Kind(
        status=404,
        code="unknown-service",
        title="the configuration has no such service",
    )
    MALFORMED_HEADER = Kind(
        status=400,
        code="malformed-header",
        title="a header of the request is malformed",
    )
    METHOD_NOT_RELAYED = Kind(
        status=405,
        code="method-not-relayed",
        title="CONNECT and TRACE are not relayed",
    )
    BODY_TOO_LARGE = Kind(
        status=413,
        code="body-too-large",
        title="the request body exceeds the limit",
    )
    BODY_MALFORMED = Kind(
        status=400,
        code="malformed-body",
        title="the request body broke off or is malformed",
    )
    TEAM_RATE = Kind(
        status=429,
        code="team-rate-exceeded",
        title="the team sends more requests than its rate allows",
        retry_after=1,
    )
    NO_ENDPOINT = Kind(
        status=503,
        code="no-endpoint",
        title="the service has no endpoint that may get requests now",
        retry_after=1,
    )
    QUEUE_FULL = Kind(
        status=503,
        code="queue-full",
        title="too many requests wait for the service",
        retry_after=1,
    )
    DISPLACED = Kind(
        status=503,
        code="displaced",
        title="more urgent requests took the room in the queue",
        retry_after=2,
    )
    CANNOT_MEET_DEADLINE = Kind(
        status=503,
        code="deadline-cannot-be-met",
        title="the request would not be answered before its deadline",
        retry_after=1,
    )
    DEADLINE_PASSED = Kind(
        status=504,
        code="deadline-exceeded",
        title="the deadline passed before there was an answer",
    )
    ENDPOINT_UNREACHABLE = Kind(
        status=503,
        code="endpoint-unreachable",
        title="no connection to an endpoint could be opened",
        retry_after=1,
    )
    ENDPOINT_FAILED = Kind(
        status=502,
        code="endpoint-failed",
        title="an endpoint broke off the exchange",
    )
    INTERNAL = Kind(
        status=500,
        code="internal-error",
        title="the gateway failed",
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """A refusal of one request.

    :param code: stable, machine-readable code.
    :param outcome: whether the request may have run.
    :param retry_after: value of the header ``Retry-After`` in seconds; 0
        leaves the header out.
    :param detail: explanation for the caller, or an empty string.
    """

    status: int
    code: str
    title: str
    outcome: Outcome
    retry_after: int = 0
    detail: str = ""


def build(
    code: Code,
    *,
    outcome: Outcome = Outcome.NOT_RUN,
    retry_after: float = 0.0,
    detail: str = "",
) -> Refusal:
    """Return a refusal of the given kind.

    :param retry_after: seconds after which to retry, or 0. The longer one of
        this time and that of the kind is used, up to ``RETRY_AFTER_MAX_S``.
    """
    kind = code.value
    seconds = max(kind.retry_after, math.ceil(retry_after))
    return Refusal(
        status=kind.status,
        code=kind.code,
        title=kind.title,
        outcome=outcome,
        retry_after=min(seconds, RETRY_AFTER_MAX_S),
        detail=detail,
    )


async def send(exchange: server.Exchange, refusal: Refusal) -> None:
    """Send a refusal as the response to a request."""
    document = {
        "type": f"urn:turmerichook:problem:{refusal.code}",
        "title": refusal.title,
        "status": refusal.status,
        "code": refusal.code,
        "outcome": refusal.outcome.value,
    }
    if refusal.detail:
        document["detail"] = refusal.detail
    headers = [(requests.OUTCOME_HEADER, refusal.outcome.value.encode())]
    if refusal.retry_after:
        headers.append((b"retry-after", str(refusal.retry_after).encode()))
    await exchange.respond(
        status=refusal.status,
        body=json.dumps(document).encode(),
        content_type=CONTENT_TYPE,
        headers=headers,
    )
