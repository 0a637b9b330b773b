"""Compact representation of the progress of a job's tasks."""

import dataclasses

from turmerichook._internal.models import ids

# Size of a job's entry in a base without its two bitmaps.
JOB_OVERHEAD_BYTES = 80


@dataclasses.dataclass(kw_only=True, slots=True)
class TaskProgress:
    """State of a task according to the journal.

    :param succeeded: result of the task; None while it has no result.
    """

    attempt: ids.Attempt = ids.Attempt(0)
    host: ids.HostId | None = None
    checkpoint: ids.CheckpointId | None = None
    succeeded: bool | None = None


class Bitmap:
    """A set of small numbers, stored as one bit each."""

    def __init__(self, packed: bytes = b""):
        self.octets = bytearray(packed)

    def __contains__(self, number: int) -> bool:
        octet, bit = divmod(number, 8)
        return octet < len(self.octets) and bool(self.octets[octet] >> bit & 1)

    def __len__(self):
        return int.from_bytes(self.octets, "little").bit_count()

    def add(self, number: int) -> None:
        """Add a number to the set."""
        octet, bit = divmod(number, 8)
        if octet >= len(self.octets):
            self.octets.extend(bytes(octet + 1 - len(self.octets)))
        self.octets[octet] |= 1 << bit


@dataclasses.dataclass(kw_only=True, slots=True)
class JobProgress:
    """Progress of a job's tasks.

    :param succeeded: numbers of tasks that have succeeded.
    :param failed: numbers of tasks that have failed.
    :param live: rows of tasks that have started before and have no result.
    """

    succeeded: Bitmap = dataclasses.field(default_factory=Bitmap)
    failed: Bitmap = dataclasses.field(default_factory=Bitmap)
    live: dict[int, TaskProgress] = dataclasses.field(default_factory=dict)

    @property
    def ended(self) -> int:
        """Number of tasks that have a result."""
        return len(self.succeeded) + len(self.failed)

    @property
    def bytes(self) -> int:
        """Size of the job's entry in a base without the rows."""
        return (
            JOB_OVERHEAD_BYTES
            + len(self.succeeded.octets)
            + len(self.failed.octets)
        )

    def get(self, number: int) -> TaskProgress | None:
        """Return the state of one task; None if it has not started."""
        if number in self.succeeded:
            return TaskProgress(succeeded=True)
        if number in self.failed:
            return TaskProgress(succeeded=False)
        return self.live.get(number)

    def pack(self) -> list:
        """Return the form stored in a job record, which has no hosts."""
        return [
            bytes(self.succeeded.octets),
            bytes(self.failed.octets),
            {n: [f.attempt, f.checkpoint] for n, f in self.live.items()},
        ]


def unpack(stored: list) -> JobProgress:
    """Return the progress stored in a job record."""
    succeeded, failed, live = stored
    return JobProgress(
        succeeded=Bitmap(succeeded),
        failed=Bitmap(failed),
        live={
            number: TaskProgress(attempt=attempt, checkpoint=checkpoint)
            for number, (attempt, checkpoint) in live.items()
        },
    )
