"""Sizes and run times corrected by measured use.

Use is stored as a ratio to the declared amount, so that what was learned
applies to all tasks of a class even if they declare different amounts. A
declared amount of zero is not corrected. Neither are accelerators, since a
task has whole ones to itself.
"""

import array
import collections
import dataclasses
import datetime
import math

from turmerichook._internal.models import resources
from turmerichook._internal.scheduling import classes

# Ratios kept for each resource of a class, and of an attempt.
CLASS_SAMPLES = 64
ATTEMPT_SAMPLES = 8
MAX_CLASSES = 512
# Factor from the 95th percentile of measured use to the size.
HEADROOM = 1.2
# Bounds of a corrected amount relative to the declared one.
MIN_SIZE_RATIO = 0.5
MAX_SIZE_RATIO = 4.0
# The reports of a single start-up phase, in which use is low, must not shrink
# the size of a class.
SAMPLES_TO_SHRINK = 20
SAMPLES_TO_GROW = 3
PERCENTILE = 0.95


class Window:
    """The most recent ratios, in a bounded amount of memory.

    :param size: maximum number of ratios.
    """

    # One window exists for each resource of each task, hence the slots.
    __slots__ = ("size", "ratios", "oldest")

    def __init__(self, *, size: int):
        self.size = size
        self.ratios = array.array("d")
        self.oldest = 0

    def add(self, ratio: float) -> None:
        """Add a ratio; a full window drops its oldest one."""
        if len(self.ratios) < self.size:
            self.ratios.append(ratio)
            return
        self.ratios[self.oldest] = ratio
        self.oldest = (self.oldest + 1) % self.size

    def p95(self) -> float:
        """Return the 95th percentile by nearest rank; zero for no ratios."""
        if not self.ratios:
            return 0.0
        rank = math.ceil(PERCENTILE * len(self.ratios))
        return sorted(self.ratios)[rank - 1]


@dataclasses.dataclass(kw_only=True, slots=True)
class Usage:
    """Recent use of processors and memory, relative to the declared size."""

    millicores: Window
    memory: Window

    def add(
        self, declared: resources.Resources, used: resources.Resources
    ) -> None:
        """Add one measurement of the resources used."""
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
    """Measured use and run time of a class, relative to the declared ones."""

    usage: Usage
    run_time: Window


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Grow:
    """Raise a task's commitment to an amount that its host can commit."""

    amount: resources.Resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Outgrown:
    """The task uses more than its host can commit to it.

    :param wanted: measured use with headroom.
    """

    wanted: resources.Resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Keep:
    """Leave the commitment unchanged."""


Correction = Grow | Outgrown | Keep


class Sizes:
    """Learned sizes and run times of the most recently used classes."""

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
        """Add the use from one usage report."""
        self._record(task_class).usage.add(declared, used)

    def finished(
        self,
        task_class: classes.TaskClass,
        declared: datetime.timedelta,
        elapsed: datetime.timedelta,
    ) -> None:
        """Add the run time of a task that ran without interruption."""
        if declared > datetime.timedelta():
            self._record(task_class).run_time.add(elapsed / declared)

    def size(
        self,
        task_class: classes.TaskClass,
        declared: resources.Resources,
        largest: resources.Resources,
    ) -> resources.Resources:
        """Return the size for a new attempt.

        :param largest: for each resource the largest amount that any host
            has. A correction does not raise a size above that amount.
        """
        record = self.records.get(task_class)
        if record is None:
            return declared
        usage = record.usage
        return resources.Resources(
            millicores=_corrected_amount(
                declared.millicores, usage.millicores, largest.millicores
            ),
            memory_mib=_corrected_amount(
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
        return declared * _size_ratio(record.run_time)

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
    """Return the correction of a running attempt's commitment.

    A task whose use fits its commitment is never evicted only for lack of
    headroom; it gets as much headroom as its host can commit.

    :param free: resources that the host may still commit.
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
    """Correction of one resource of a running attempt.

    :param wanted: measured use with headroom, at least the commitment.
    :param granted: the part of ``wanted`` that the host can commit.
    :param covers_use: whether ``granted`` covers the measured use.
    """

    wanted: int
    granted: int
    covers_use: bool

    @classmethod
    def of(
        cls, declared: int, committed: int, free: int, window: Window
    ) -> "_Dimension":
        if len(window.ratios) < SAMPLES_TO_GROW:
            return cls(wanted=committed, granted=committed, covers_use=True)
        ceiling = max(committed, math.floor(declared * MAX_SIZE_RATIO))
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


def _size_ratio(window: Window) -> float:
    samples = len(window.ratios)
    if samples < SAMPLES_TO_GROW:
        return 1.0
    ratio = min(window.p95() * HEADROOM, MAX_SIZE_RATIO)
    if samples < SAMPLES_TO_SHRINK:
        return max(1.0, ratio)
    return max(MIN_SIZE_RATIO, ratio)


def _corrected_amount(declared: int, window: Window, largest: int) -> int:
    ratio = _size_ratio(window)
    if ratio <= 1.0:
        return math.ceil(declared * ratio)
    return max(declared, min(math.floor(declared * ratio), largest))
