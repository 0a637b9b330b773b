"""What a caller's head says about a service request."""

import dataclasses
import re

from turmerichook._internal.http import heads
from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal import outcomes

SERVICE_PREFIX = "/services/"
DEFAULT_TIMEOUT_S = 30.0
MAX_TIMEOUT_S = 600.0
MAX_ATTEMPT = 1000
# Methods that RFC 9110, section 9.2.2, calls idempotent.
IDEMPOTENT = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
TIMEOUT = re.compile(r"\d{1,9}(\.\d{1,9})?")
URGENCY = re.compile(r"(?:^|,)\s*u=([0-7])\s*(?:$|[,;])")

TIMEOUT_HEADER = b"request-timeout"
ATTEMPT_HEADER = b"request-attempt"
OUTCOME_HEADER = b"request-outcome"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceRequest:
    """The parts of a request that decisions depend on.

    :param timeout: seconds left until the deadline on arrival.
    :param attempt: 1, or more where the request is itself a retry.
    """

    service: ids.ServiceId
    urgency: site.Urgency | None
    timeout: float
    idempotent: bool
    attempt: int


def parse(head: heads.RequestHead) -> ServiceRequest | outcomes.Absent:
    """Return the request, or the reason why it is malformed."""
    service = head.path.removeprefix(SERVICE_PREFIX).partition("/")[0]
    urgency = None
    timeout = DEFAULT_TIMEOUT_S
    attempt = 1
    idempotent = head.method in IDEMPOTENT
    for name, value in head.headers:
        if name == b"priority":
            urgency = _urgency(value.decode("latin-1"))
        elif name == TIMEOUT_HEADER:
            text = value.decode("latin-1")
            if not TIMEOUT.fullmatch(text):
                return _malformed("Request-Timeout is not in seconds")
            timeout = min(float(text), MAX_TIMEOUT_S)
        elif name == ATTEMPT_HEADER:
            if not value.isdigit() or not 1 <= len(value) <= 4:
                return _malformed("Request-Attempt is not a number")
            attempt = min(max(1, int(value)), MAX_ATTEMPT)
        elif name == b"idempotency-key":
            idempotent = idempotent or bool(value)
    return ServiceRequest(
        service=ids.ServiceId(service),
        urgency=urgency,
        timeout=timeout,
        idempotent=idempotent,
        attempt=attempt,
    )


def _urgency(priority: str) -> site.Urgency | None:
    """Return the urgency; a field that is not understood is ignored."""
    found = URGENCY.search(priority)
    if found is None:
        return None
    number = int(found.group(1))
    if number <= 1:
        return site.Urgency.URGENT
    if number <= 4:
        return site.Urgency.NORMAL
    return site.Urgency.DEFERRABLE


def _malformed(detail: str) -> outcomes.Absent:
    return outcomes.Absent(
        reason=outcomes.Reason.MALFORMED_HEADER, detail=detail
    )
