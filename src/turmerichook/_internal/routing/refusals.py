"""Refusals as problem documents (RFC 9457)."""

import dataclasses
import enum
import json

from turmerichook._internal.http import server

CONTENT_TYPE = "application/problem+json"


class Outcome(enum.Enum):
    """Whether the refused request may have run.

    NOT_RUN is claimed only when it is certain.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """A typed refusal.

    :param code: stable code for programs.
    :param retry_after: seconds, 0 for no advice.
    """

    status: int
    code: str
    title: str
    outcome: Outcome
    retry_after: int = 0


async def send(exchange: server.Exchange, refusal: Refusal) -> None:
    """Answer a request with a refusal."""
    document = {
        "type": f"urn:turmerichook:problem:{refusal.code}",
        "title": refusal.title,
        "status": refusal.status,
        "code": refusal.code,
        "outcome": refusal.outcome.value,
    }
    headers = []
    if refusal.retry_after:
        headers.append((b"retry-after", str(refusal.retry_after).encode()))
    await exchange.respond(
        status=refusal.status,
        body=json.dumps(document).encode(),
        content_type=CONTENT_TYPE,
        headers=headers,
    )
