"""Result type for an absent value, with the reason.

A function that may have no result returns ``Absent`` with a reason instead of
``None``, so that the caller can log the reason or pass it on.
"""

import dataclasses
import enum


class Reason(enum.Enum):
    """Why there is no result."""

    NO_SUCH_KEY = "no-such-key"
    NO_FIT = "no-worker-with-room"
    NEVER_FITS = "larger-than-any-worker"
    NO_ZONE_OPEN = "no-allowed-zone-open"
    NO_ENDPOINT = "no-endpoint"
    NO_ROOM = "no-endpoint-with-room"
    MALFORMED_HEADER = "malformed-header"
    NO_OWNER = "zone-has-no-owner"
    NO_START_AUTHORITY = "no-start-authority"
    NOT_YET_KNOWN = "not-yet-known"
    QUOTA_REACHED = "team-quota-reached"
    QUOTA_TOO_SMALL = "larger-than-team-quota-in-zone"
    NO_ACCELERATORS = "no-worker-with-accelerators"
    BEHIND_OTHERS = "behind-others-in-queue"
    RETRY_DELAYED = "delayed-after-failures"
    ROOM_BEING_FREED = "room-being-freed"
    FAILS_EVERYWHERE = "fails-everywhere"
    DEADLINE_PASSED = "deadline-passed"
    JOURNAL_FULL = "journal-is-full"
    PLACEMENT_UNKNOWN = "placement-unknown"
    HOST_QUARANTINED = "hosts-with-room-quarantined"
    SERVICE_AT_RISK = "would-slow-a-service"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Absent:
    """Absent result, which is false in a condition.

    :param detail: further explanation of the reason, or empty.
    """

    reason: Reason
    detail: str = ""

    def __bool__(self):
        return False
