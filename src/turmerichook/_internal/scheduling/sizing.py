"""Sizes and run times corrected from measured use.

Usage is kept as its ratio to the declared amount, so that tasks of one class
that declare different amounts share what was learned. An amount of zero is
not corrected, and accelerators are not, since they are whole and exclusive.
"""

import array
import collections
import dataclasses
import datetime
import math

from turmerichook._internal.models import resources
from turmerichook._internal.scheduling import classes

CLASS_SAMPLES = 64
ATTEMPT_SAMPLES = 8
MAX_CLASSES = 512
HEADROOM = 1.2
# Bounds of a corrected amount relative to the declared one.
LOWEST_SHARE = 0.5
HIGHEST_SHARE = 4.0
# A few reports of one start-up phase must not shrink a class.
SAMPLES_TO_SHRINK = 20
SAMPLES_TO_GROW = 3
PERCENTILE = 0.95


class Window:
    """The most recent ratios, in a fixed amount of memory.

    :param size: number of ratios kept.
    """

    # One is kept for each resource of each task.
    __slots__ = ("size", "ratios", "next")

    def __init__(self, *, size: int):
        self.size = size
        self.ratios = array.array("d")
        self.next = 0

    def add(self, ratio: float) -> None:
        """Add a ratio; the oldest one is dropped when the window is full."""
        if len(self.ratios) < self.size:
            self.ratios.append(ratio)
            return
        self.ratios[self.next] = ratio
        self.next = (self.next + 1) % self.size

    def p95(self) -> float:
        """Return the 95th percentile by nearest rank; zero if empty."""
        if not self.ratios:
            return 0.0
        rank = math.ceil(PERCENTILE * len(self.ratios))
        return sorted(self.ratios)[rank - 1]


@dataclasses.dataclass(kw_only=True, slots=True)
class Usage:
    """Recent use of processor and memory relative to the declared size."""

    millicores: Window
    memory: Window

    def add(
        self, declared: resources.Resources, used: resources.Resources
    ) -> None:
        """Add one measurement."""
        if declared.millicores > 0:
            self.millicores.add(used.millicores / declared.millicores)
        if declared.memory_mib > 0:
            self.memory.add(used.memory_mib / declared.memory_mib)


def attempt_usage() -> Usage:
    """Return an empty record for one attempt."""
    return Usage(
        millicores=Window(size=ATTEMPT_SAMPLES),
        memory=Window(size=ATTEMPT_SAMPLES),
    )


@dataclasses.dataclass(kw_only=True, slots=True)
class ClassRecord:
    """What is known of a class."""

    usage: Usage
    run_time: Window


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Grow:
    """Raise a task's commitment to an amount that fits."""

    amount: resources.Resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Outgrown:
    """The task uses more than its host can commit to it."""

    wanted: resources.Resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Keep:
    """The commitment stays."""


Correction = Grow | Outgrown | Keep


class Sizes:
    """Learned sizes of the most recently used classes."""

    def __init__(self):
        self.records: collections.OrderedDict[
            classes.TaskClass, ClassRecord
        ] = collections.OrderedDict()

    def measured(
        self,
        task_class: classes.TaskClass,
        declared: resources.Resources,
        used: resources.Resources,
    ) -> None:
        """Learn from one usage report."""
        self._record(task_class).usage.add(declared, used)

    def finished(
        self,
        task_class: classes.TaskClass,
        declared: datetime.timedelta,
        elapsed: datetime.timedelta,
    ) -> None:
        """Learn from the run time of a task that ran in one piece."""
        if declared > datetime.timedelta():
            self._record(task_class).run_time.add(elapsed / declared)

    def size(
        self,
        task_class: classes.TaskClass,
        declared: resources.Resources,
        largest: resources.Resources,
    ) -> resources.Resources:
        """Return the size for a new attempt.

        :param largest: largest amounts that any host has. A correction does
            not make a task too large for every host.
        """
        record = self.records.get(task_class)
        if record is None:
            return declared
        usage = record.usage
        return resources.Resources(
            millicores=_corrected(
                declared.millicores, usage.millicores, largest.millicores
            ),
            memory_mib=_corrected(
                declared.memory_mib, usage.memory, largest.memory_mib
            ),
            accelerators=declared.accelerators,
        )

    def run_time(
        self, task_class: classes.TaskClass, declared: datetime.timedelta
    ) -> datetime.timedelta:
        """Return the expected run time of a task from its beginning."""
        record = self.records.get(task_class)
        if record is None:
            return declared
        return declared * _share(record.run_time)

    def _record(self, task_class: classes.TaskClass) -> ClassRecord:
        record = self.records.get(task_class)
        if record is None:
            record = ClassRecord(
                usage=Usage(
                    millicores=Window(size=CLASS_SAMPLES),
                    memory=Window(size=CLASS_SAMPLES),
                ),
                run_time=Window(size=CLASS_SAMPLES),
            )
            self.records[task_class] = record
            if len(self.records) > MAX_CLASSES:
                self.records.popitem(last=False)
        self.records.move_to_end(task_class)
        return record


def correct(
    *,
    declared: resources.Resources,
    committed: resources.Resources,
    free: resources.Resources,
    usage: Usage,
) -> Correction:
    """Return what to do with the commitment of a running attempt.

    A task whose use is within its commitment is never evicted for the sake
    of the headroom; it then takes as much headroom as the host has.

    :param free: what the host may still commit.
    """
    cores = _Dimension.of(
        declared.millicores,
        committed.millicores,
        free.millicores,
        usage.millicores,
    )
    memory = _Dimension.of(
        declared.memory_mib,
        committed.memory_mib,
        free.memory_mib,
        usage.memory,
    )
    if not (cores.covers_use and memory.covers_use):
        return Outgrown(wanted=_amount(committed, cores.wanted, memory.wanted))
    amount = _amount(committed, cores.granted, memory.granted)
    return Keep() if amount == committed else Grow(amount=amount)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Dimension:
    """One resource of a running attempt."""

    wanted: int
    granted: int
    covers_use: bool

    @classmethod
    def of(
        cls, declared: int, committed: int, free: int, window: Window
    ) -> "_Dimension":
        if len(window.ratios) < SAMPLES_TO_GROW:
            return cls(wanted=committed, granted=committed, covers_use=True)
        ceiling = max(committed, math.floor(declared * HIGHEST_SHARE))
        used = math.ceil(declared * window.p95())
        wanted = math.ceil(used * HEADROOM)
        wanted = max(committed, min(wanted, ceiling))
        granted = min(wanted, committed + max(0, free))
        return cls(
            wanted=wanted,
            granted=granted,
            covers_use=min(used, ceiling) <= granted,
        )


def _amount(
    committed: resources.Resources, millicores: int, memory_mib: int
) -> resources.Resources:
    return dataclasses.replace(
        committed, millicores=millicores, memory_mib=memory_mib
    )


def _share(window: Window) -> float:
    samples = len(window.ratios)
    if samples < SAMPLES_TO_GROW:
        return 1.0
    share = min(window.p95() * HEADROOM, HIGHEST_SHARE)
    if samples < SAMPLES_TO_SHRINK:
        return max(1.0, share)
    return max(LOWEST_SHARE, share)


def _corrected(declared: int, window: Window, largest: int) -> int:
    share = _share(window)
    if share <= 1.0:
        return math.ceil(declared * share)
    return max(declared, min(math.floor(declared * share), largest))
