"""Choices of a deployment that the platform's settings have no field for."""

import dataclasses
import enum


class OverloadOrder(enum.Enum):
    """Order of waiting tasks when there is too little room for all."""

    # By priority, then by deadline.
    DEADLINE = "deadline"
    # Jobs are postponed by priority, deadline and work, so that the fewest
    # are late.
    LEAST_COST = "least-cost"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Policy:
    """Policy of the entry processes; the defaults apply without a file."""

    overload_order: OverloadOrder = OverloadOrder.DEADLINE


DEFAULT = Policy()
