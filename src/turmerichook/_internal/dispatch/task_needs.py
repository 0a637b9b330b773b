"""Requirements of a step's tasks that a worker must meet."""

import dataclasses

from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Needs:
    """Requirements that each task of a step has for its worker.

    :param millicores: processors that count against the worker's capacity;
        0 for fillers, which only use idle processors.
    :param idle: processors that a filler can use if they are idle, in
        millicores.
    :param serving: whether the task has a latency target.
    """

    label: str
    rack: ids.RackId
    millicores: int
    memory_mib: int
    accelerators: int
    filler: bool
    idle: int
    serving: bool
    long_running: bool

    def at_least(self, other: "Needs") -> bool:
        """Return whether each resource is at least as high as in ``other``."""
        return (
            self.millicores >= other.millicores
            and self.memory_mib >= other.memory_mib
            and self.accelerators >= other.accelerators
            and self.idle >= other.idle
        )


def needs_of(step: model.Step) -> Needs:
    """Return the requirements of the tasks of a step."""
    committed = step.committed
    return Needs(
        label=step.label,
        rack=step.rack,
        millicores=committed.millicores,
        memory_mib=committed.memory_mib,
        accelerators=committed.accelerators,
        filler=step.filler,
        idle=step.demand.millicores,
        serving=bool(step.latency_target) and not step.filler,
        long_running=step.long_running,
    )
