"""Parsing of a service request's path, method and headers."""

import dataclasses
import re

from turmerichook._internal.http import heads
from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal import outcomes

SERVICE_PREFIX = "/services/"
DEFAULT_TIMEOUT_S = 30.0
MAX_TIMEOUT_S = 600.0
MAX_ATTEMPT_NUMBER = 1000
# Idempotent methods (RFC 9110, section 9.2.2).
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
# Request-Timeout: a decimal number of seconds.
TIMEOUT_PATTERN = re.compile(r"\d{1,9}(\.\d{1,9})?")
# Urgency in the header Priority (RFC 9218).
URGENCY_PATTERN = re.compile(r"(?:^|,)\s*u=([0-7])\s*(?:$|[,;])")

TIMEOUT_HEADER = b"request-timeout"
ATTEMPT_HEADER = b"request-attempt"
OUTCOME_HEADER = b"request-outcome"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceRequest:
    """Properties of a request that the gateway's decisions depend on.

    :param urgency: urgency that the caller set, or None.
    :param timeout: seconds from the arrival of the request to its deadline.
    :param idempotent: whether the request may be run more than once.
    :param attempt: 1, or more if the caller marked the request as a retry.
    """

    service: ids.ServiceId
    urgency: site.Urgency | None
    timeout: float
    idempotent: bool
    attempt: int


def parse(head: heads.RequestHead) -> ServiceRequest | outcomes.Absent:
    """Parse a request head; return the reason if a header is malformed."""
    service = head.path.removeprefix(SERVICE_PREFIX).partition("/")[0]
    urgency = None
    timeout = DEFAULT_TIMEOUT_S
    attempt = 1
    idempotent = head.method in IDEMPOTENT_METHODS
    for name, value in head.headers:
        if name == b"priority":
            urgency = _urgency(value.decode("latin-1"))
        elif name == TIMEOUT_HEADER:
            text = value.decode("latin-1")
            if not TIMEOUT_PATTERN.fullmatch(text):
                return _malformed(
                    "Request-Timeout is not a decimal number of seconds"
                )
            timeout = min(float(text), MAX_TIMEOUT_S)
        elif name == ATTEMPT_HEADER:
            if not value.isdigit() or not 1 <= len(value) <= 4:
                return _malformed(
                    "Request-Attempt is not a number of 1 to 4 digits"
                )
            attempt = min(max(1, int(value)), MAX_ATTEMPT_NUMBER)
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
    """Return the urgency of a Priority header; ignore a malformed one."""
    match = URGENCY_PATTERN.search(priority)
    if match is None:
        return None
    number = int(match.group(1))
    if number <= 1:
        return site.Urgency.URGENT
    if number <= 4:
        return site.Urgency.NORMAL
    return site.Urgency.DEFERRABLE


def _malformed(detail: str) -> outcomes.Absent:
    return outcomes.Absent(
        reason=outcomes.Reason.MALFORMED_HEADER, detail=detail
    )
