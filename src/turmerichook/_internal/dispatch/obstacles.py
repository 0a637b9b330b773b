"""Reasons why a worker does not get a task."""

import enum


class Obstacle(enum.Enum):
    """Why a worker does not get a task."""

    NOT_LISTED = "not-listed"
    NOT_APPROVED = "not-approved"
    OTHER_KIND = "other-kind"
    ZONE_CLOSED = "zone-closed"
    LEAVING = "leaving"
    OUT_OF_REACH = "out-of-reach"
    HAS_REFUSED = "has-refused"
    SUSPECTED = "suspected"
    ENOUGH_OF_STEP = "enough-of-step"
    RESERVED = "reserved"
    NO_PROCESSORS = "no-processors"
    NO_MEMORY = "no-memory"
    NO_ACCELERATORS = "no-accelerators"
    NO_IDLE_PROCESSORS = "no-idle-processors"
    SLOWS_SERVICES = "slows-services"


SHORTAGES = frozenset(
    (
        Obstacle.NO_PROCESSORS,
        Obstacle.NO_MEMORY,
        Obstacle.NO_ACCELERATORS,
    )
)
