"""Progress of a job's tasks in a compact form."""

import dataclasses

from turmerichook._internal.models import ids

# Room of one job's entry besides its two bitmaps.
JOB_BYTES = 80


@dataclasses.dataclass(kw_only=True, slots=True)
class TaskFacts:
    """What the journal knows about a task."""

    attempt: ids.Attempt = ids.Attempt(0)
    host: ids.HostId | None = None
    checkpoint: ids.CheckpointId | None = None
    succeeded: bool | None = None


class Bits:
    """A set of small numbers, one bit each."""

    def __init__(self, packed: bytes = b""):
        self.octets = bytearray(packed)

    def __contains__(self, number: int) -> bool:
        octet, bit = divmod(number, 8)
        return octet < len(self.octets) and bool(self.octets[octet] >> bit & 1)

    def __len__(self):
        return int.from_bytes(self.octets, "little").bit_count()

    def add(self, number: int) -> None:
        """Add a number."""
        octet, bit = divmod(number, 8)
        if octet >= len(self.octets):
            self.octets.extend(bytes(octet + 1 - len(self.octets)))
        self.octets[octet] |= 1 << bit


@dataclasses.dataclass(kw_only=True, slots=True)
class JobFacts:
    """Progress of a job: bitmaps for ended tasks, rows for begun ones."""

    succeeded: Bits = dataclasses.field(default_factory=Bits)
    failed: Bits = dataclasses.field(default_factory=Bits)
    live: dict[int, TaskFacts] = dataclasses.field(default_factory=dict)

    @property
    def ended(self) -> int:
        """Number of tasks that have their result."""
        return len(self.succeeded) + len(self.failed)

    @property
    def bytes(self) -> int:
        """Room that the ended tasks take in a base."""
        return JOB_BYTES + len(self.succeeded.octets) + len(self.failed.octets)

    def get(self, number: int) -> TaskFacts | None:
        """Return the facts of one task."""
        if number in self.succeeded:
            return TaskFacts(succeeded=True)
        if number in self.failed:
            return TaskFacts(succeeded=False)
        return self.live.get(number)

    def pack(self) -> list:
        """Return the stored form without hosts, as a job record holds it."""
        return [
            bytes(self.succeeded.octets),
            bytes(self.failed.octets),
            {n: [f.attempt, f.checkpoint] for n, f in self.live.items()},
        ]


def unpack(stored: list) -> JobFacts:
    """Return the progress that a job record holds."""
    succeeded, failed, live = stored
    return JobFacts(
        succeeded=Bits(succeeded),
        failed=Bits(failed),
        live={
            number: TaskFacts(attempt=attempt, checkpoint=checkpoint)
            for number, (attempt, checkpoint) in live.items()
        },
    )
