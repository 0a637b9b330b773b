"""Amounts of processor time, memory and accelerators."""

import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Resources:
    """An amount of each resource.

    :param millicores: thousandths of a processor core.
    :param memory_mib: memory in MiB.
    :param accelerators: number of whole accelerators.
    """

    millicores: int = 0
    memory_mib: int = 0
    accelerators: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum for each resource."""
        return Resources(
            millicores=self.millicores + other.millicores,
            memory_mib=self.memory_mib + other.memory_mib,
            accelerators=self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference for each resource, which may be negative."""
        return Resources(
            millicores=self.millicores - other.millicores,
            memory_mib=self.memory_mib - other.memory_mib,
            accelerators=self.accelerators - other.accelerators,
        )

    def times(self, factor: float) -> "Resources":
        """Return a multiple of each resource, in whole units."""
        return Resources(
            millicores=round(self.millicores * factor),
            memory_mib=round(self.memory_mib * factor),
            accelerators=round(self.accelerators * factor),
        )

    def lesser(self, other: "Resources") -> "Resources":
        """Return the smaller of the two amounts of each resource."""
        return Resources(
            millicores=min(self.millicores, other.millicores),
            memory_mib=min(self.memory_mib, other.memory_mib),
            accelerators=min(self.accelerators, other.accelerators),
        )

    def greater(self, other: "Resources") -> "Resources":
        """Return the larger of the two amounts of each resource."""
        return Resources(
            millicores=max(self.millicores, other.millicores),
            memory_mib=max(self.memory_mib, other.memory_mib),
            accelerators=max(self.accelerators, other.accelerators),
        )

    def at_least_nothing(self) -> "Resources":
        """Return the amounts, with zero in place of each negative one."""
        return self.greater(NOTHING)

    def fits(self, capacity: "Resources") -> bool:
        """Return whether no amount exceeds the one in ``capacity``."""
        return (
            self.millicores <= capacity.millicores
            and self.memory_mib <= capacity.memory_mib
            and self.accelerators <= capacity.accelerators
        )

    def multiples_of(self, amount: "Resources") -> int:
        """Return how often an amount that is not nothing fits in this one.

        The result is negative if this amount has a negative part that the
        other one needs.
        """
        pairs = (
            (self.millicores, amount.millicores),
            (self.memory_mib, amount.memory_mib),
            (self.accelerators, amount.accelerators),
        )
        return min(have // need for have, need in pairs if need)

    def text(self) -> str:
        """Return a short human-readable form."""
        parts = [f"{self.millicores}m", f"{self.memory_mib}MiB"]
        if self.accelerators:
            parts.append(f"{self.accelerators}acc")
        return "/".join(parts)

    def to_map(self) -> dict[str, int]:
        """Return the serialized form for stored values and messages."""
        return {
            "millicores": self.millicores,
            "memory_mib": self.memory_mib,
            "accelerators": self.accelerators,
        }


NOTHING = Resources()


def total(amounts: collections.abc.Iterable[Resources]) -> Resources:
    """Return the sum of amounts for each resource."""
    millicores = memory_mib = accelerators = 0
    for amount in amounts:
        millicores += amount.millicores
        memory_mib += amount.memory_mib
        accelerators += amount.accelerators
    return Resources(
        millicores=millicores,
        memory_mib=memory_mib,
        accelerators=accelerators,
    )
