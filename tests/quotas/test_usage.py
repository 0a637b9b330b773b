"""Tests of what quotas and weights leave to each owner of work."""

import hypothesis
from hypothesis import strategies

from turmerichook._internal.models import resources
from turmerichook._internal.quotas import usage

CORE = resources.Resources(millicores=1000, memory_mib=1000)


def account(limit=None, **weights):
    """Return an account of owners whose capacity is 100 tasks."""
    owners = usage.Usage()
    owners.total = CORE.times(100)
    owners.weights = weights
    if limit is not None:
        owners.limits = {"a": CORE.times(limit)}
    return owners


class TestQuota:
    """Tasks that may start within a quota."""

    def test_remaining_tasks(self):
        """Guards against starts beyond the quota within one round."""
        owners = account(limit=5)
        owners.charge("a", CORE.times(3))
        assert owners.startable("a", CORE, 9) == 2

    def test_each_resource_counts(self):
        """Guards against a quota that only limits processors.

        Seen on dzwon-ops-now-grown: a customer ran 1.52 TB of 1.36.
        """
        owners = account(limit=5)
        wide = resources.Resources(millicores=1, memory_mib=2000)
        assert owners.startable("a", wide, 9) == 2

    def test_lowered_below_what_runs(self):
        """Guards against a negative number of starts."""
        owners = account(limit=2)
        owners.charge("a", CORE.times(8))
        assert owners.startable("a", CORE, 9) == 0

    def test_task_larger_than_the_quota(self):
        """Guards against a task that waits for good."""
        owners = account(limit=2)
        large = CORE.times(3)
        owners.charge("a", CORE)
        assert owners.startable("a", large, 2) == 1
        owners.charge("a", large)
        assert owners.startable("a", large, 2) == 0
        assert owners.startable("a", CORE, 2) == 0

    def test_task_that_needs_nothing(self):
        """Guards against an error of a task without demands."""
        owners = account(limit=2)
        assert owners.startable("a", resources.NOTHING, 3) == 3

    def test_gang_starts_as_a_whole(self):
        """Guards against a part of a gang within the quota."""
        owners = account(limit=5)
        owners.charge("a", CORE.times(2))
        assert owners.gang_startable("a", CORE, 3)
        assert not owners.gang_startable("a", CORE, 4)

    def test_gang_that_fits_but_for_one_task(self):
        """Guards against a gang that waits for good, or is refused."""
        owners = account(limit=5)
        assert owners.gang_startable("a", CORE, 6)
        assert not usage.gang_exceeds(owners.limits["a"], CORE, 6)
        assert not owners.gang_startable("a", CORE, 7)
        assert usage.gang_exceeds(owners.limits["a"], CORE, 7)

    @hypothesis.given(
        limit=strategies.integers(1, 20),
        sizes=strategies.lists(strategies.integers(1, 30), max_size=30),
    )
    @hypothesis.seed(1)
    def test_at_most_one_task_beyond(self, limit, sizes):
        """Guards against a start beyond the quota and one task more."""
        owners = account(limit=limit)
        for size in sizes:
            for _ in range(owners.startable("a", CORE.times(size), 3)):
                owners.charge("a", CORE.times(size))
                used = owners.usage("a").minus(CORE.times(size))
                assert used.fits(owners.limits["a"])


class TestParts:
    """One customer floods the queues; the workers are full."""

    def test_flood_beside_nineteen(self):
        """Guards against a customer that pushes out the others.

        Customer "a" sends ten times what its weight is worth.
        """
        names = [f"c{number}" for number in range(19)]
        owners = account(a=2.0, **dict.fromkeys(names, 1.0))
        owners.charge("a", CORE.times(62))
        for name in names:
            owners.charge(name, CORE.times(2))
        assert owners.over_part({"a", *names}) == {"a"}

    def test_weights(self):
        """Guards against equal parts for unequal weights."""
        owners = account(a=3.0, b=1.0)
        owners.charge("a", CORE.times(70))
        owners.charge("b", CORE.times(30))
        assert owners.over_part({"a", "b"}) == {"b"}

    def test_unused_parts_go_to_others(self):
        """Guards against a limit for the only customer that has work."""
        owners = account(a=1.0, b=9.0)
        owners.charge("a", CORE.times(90))
        assert owners.over_part({"a"}) == frozenset()

    def test_part_of_what_others_leave(self):
        """Guards against parts of room that a third customer occupies."""
        owners = account(a=1.0, b=1.0, idle=1.0)
        owners.charge("idle", CORE.times(60))
        owners.charge("a", CORE.times(25))
        owners.charge("b", CORE.times(15))
        assert owners.over_part({"a", "b"}) == {"a"}

    def test_room_for_all(self):
        """Guards against delays of a customer while workers have room."""
        owners = account(a=1.0, b=1.0)
        owners.charge("a", CORE.times(40))
        owners.charge("b", CORE.times(1))
        assert owners.over_part({"a", "b"}) == frozenset()

    def test_use_beyond_the_capacity(self):
        """Guards against everybody over its part, as fillers add up."""
        owners = account(a=1.0, b=1.0)
        owners.charge("a", CORE.times(150))
        owners.charge("b", CORE.times(120))
        assert owners.over_part({"a", "b"}) == {"a"}
