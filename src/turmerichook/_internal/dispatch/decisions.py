"""Orders that the dispatcher has decided on and that sessions send."""

import dataclasses

from turmerichook._internal.dispatch import fleet
from turmerichook._internal.models import ids


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartOrder:
    """A start that is released for sending."""

    worker: ids.WorkerId
    run: fleet.Run
    payload: str
    checkpoint: ids.CheckpointId
    ticket: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class StopOrder:
    """A stop to send."""

    worker: ids.WorkerId
    run: fleet.Run


@dataclasses.dataclass(frozen=True, kw_only=True)
class PaceOrder:
    """Another speed for a filler task."""

    worker: ids.WorkerId
    run: fleet.Run
    percent: int


Order = StartOrder | StopOrder | PaceOrder
