"""What the tasks of a step ask of a worker."""

import dataclasses

from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Needs:
    """What each task of a step asks of a worker.

    :param millicores: processors that count against the capacity.
    :param idle: processors that a filler finds useful, in thousandths.
    :param serving: whether a task has a latency target.
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

    def cover(self, other: "Needs") -> bool:
        """Tell whether no resource is asked for less than by ``other``."""
        return (
            self.millicores >= other.millicores
            and self.memory_mib >= other.memory_mib
            and self.accelerators >= other.accelerators
            and self.idle >= other.idle
        )


def needs_of(step: model.Step) -> Needs:
    """Return what the tasks of a step ask for."""
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
