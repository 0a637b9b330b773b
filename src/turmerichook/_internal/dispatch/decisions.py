"""Orders that the dispatcher issues and that worker sessions send."""

import dataclasses

from turmerichook._internal.dispatch import fleet
from turmerichook._internal.models import ids


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartOrder:
    """Order to start a run, whose assignment is durable."""

    worker: ids.WorkerId
    run: fleet.Run
    payload: str
    checkpoint: ids.CheckpointId
    ticket: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class StopOrder:
    """Order to stop a run."""

    worker: ids.WorkerId
    run: fleet.Run


@dataclasses.dataclass(frozen=True, kw_only=True)
class PaceOrder:
    """Order to change the pace of a filler, in percent of full speed."""

    worker: ids.WorkerId
    run: fleet.Run
    percent: int


Order = StartOrder | StopOrder | PaceOrder
