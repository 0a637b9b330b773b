"""Dependencies between the steps of a job, and estimates along them.

A specification never changes, so that all of this is computed once for each
job. The time for it grows linearly with the number of steps and dependencies,
apart from bit operations on sets of steps.
"""

import collections.abc
import datetime

from turmerichook._internal.workflow import model

ZERO = datetime.timedelta()


class StepGraph:
    """Dependencies between the steps of a job.

    :ivar dependency_counts: number of different steps that each step depends
        on.
    :ivar successors: for each step, the steps that depend on it directly.
    :ivar critical_paths: estimated run time of the critical path from each
        step. That is the chain of dependent steps whose estimates sum up to
        the most; the step itself is the first of the chain.
    :ivar critical_path: the longest of these.
    :ivar downstream_work: estimated processor time of all steps that depend
        on each step, directly or through other steps.
    """

    def __init__(self, steps: collections.abc.Sequence[model.Step]):
        dependencies = [set(step.after) for step in steps]
        successors: list[list[int]] = [[] for _ in steps]
        for number, earlier_steps in enumerate(dependencies):
            for earlier in earlier_steps:
                successors[earlier].append(number)
        self.dependency_counts = tuple(map(len, dependencies))
        self.successors = tuple(map(tuple, successors))
        self.critical_paths = _critical_paths(steps, self.successors)
        self.critical_path = max(self.critical_paths, default=ZERO)
        self.downstream_work = _downstream_work(steps, self.successors)


def _critical_paths(
    steps: collections.abc.Sequence[model.Step],
    successors: collections.abc.Sequence[tuple[int, ...]],
) -> tuple[datetime.timedelta, ...]:
    lengths = [ZERO] * len(steps)
    for number in reversed(range(len(steps))):
        lengths[number] = steps[number].estimate + max(
            (lengths[later] for later in successors[number]), default=ZERO
        )
    return tuple(lengths)


def _downstream_work(
    steps: collections.abc.Sequence[model.Step],
    successors: collections.abc.Sequence[tuple[int, ...]],
) -> tuple[datetime.timedelta, ...]:
    own = [step.count * step.processor_time for step in steps]
    work = [ZERO] * len(steps)
    # The downstream steps of each step, as the bits of an integer.
    downstream = [0] * len(steps)
    for number in reversed(range(len(steps))):
        if not successors[number]:
            continue
        # Most of the steps are usually downstream of one successor. Only the
        # others have to be added up.
        largest = max(successors[number], key=work.__getitem__)
        counted = downstream[largest] | 1 << largest
        found = counted
        for later in successors[number]:
            found |= downstream[later] | 1 << later
        downstream[number] = found
        work[number] = sum(
            (own[later] for later in _bits(found ^ counted)),
            own[largest] + work[largest],
        )
    return tuple(work)


def _bits(number: int) -> collections.abc.Iterator[int]:
    """Return the positions of the bits that are set."""
    digits = bin(number)[:1:-1]
    position = digits.find("1")
    while position >= 0:
        yield position
        position = digits.find("1", position + 1)
