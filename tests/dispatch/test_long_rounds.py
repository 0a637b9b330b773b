"""Tests of placement rounds that cannot check all waiting steps in time."""

import itertools

from tests.dispatch import fakes
from tests.dispatch import test_backlog
from turmerichook._internal.dispatch import urgency
from turmerichook._internal.dispatch import waiting
from turmerichook._internal.models import resources

# Number of steps that fit nowhere.
BLOCKED = 3 * waiting.ALWAYS_CHECKED
# Steps not checked before that a round checks in its time.
ROUND_STEPS = waiting.ALWAYS_CHECKED
# Age of a job that goes before them, and is not late.
URGENT_AGE = test_backlog.SECOND / 2
SMALL = resources.Resources(millicores=500, memory_mib=100)


class BusySite(test_backlog.BackloggedSite):
    """Full workers, and rounds that only have time for some of the steps."""

    def __init__(self):
        super().__init__(workers=4)
        for number in range(BLOCKED):
            self.add_waiting_job(number, fakes.step(label="no-such-label"))

    def add_last_step(self):
        """Add a step that fits, and that all others go before."""
        step = fakes.step(demand=SMALL, estimate=5 * test_backlog.SECOND)
        self.add_waiting_job(BLOCKED, step)

    def place_round(self, limit=200):
        """Run a round whose time is exhausted after some steps."""
        checks = itertools.count(1)
        super().place_round(limit, exhausted=lambda: next(checks) > 1)


class TestExhaustedRounds:
    """The time of a round is exhausted before all steps are checked."""

    def test_last_step_is_reached(self):
        """Guards against a step that no round reaches, with room for it."""
        site = BusySite()
        site.end_one_task(0)
        site.add_last_step()
        rounds = 0
        while not site.placed:
            site.place_round()
            rounds += 1
            assert rounds < 20
        assert rounds == 1 + BLOCKED // ROUND_STEPS

    def test_urgent_step_is_not_delayed(self):
        """Guards against an urgent step that waits for a pass to end."""
        site = BusySite()
        site.end_one_task(0)
        site.place_round()
        site.add_waiting_job(BLOCKED, fakes.step(demand=SMALL), age=URGENT_AGE)
        site.place_round()
        assert len(site.placed) == 1

    def test_room_that_becomes_free_is_used(self):
        """Guards against a step that is not checked again after a pass."""
        site = BusySite()
        site.add_last_step()
        for _ in range(20):
            site.place_round()
        assert not site.placed
        site.end_one_task(0)
        for _ in range(20):
            site.place_round()
        assert len(site.placed) == 1


class TestLimitedRounds:
    """A round that ends at its limit of tasks."""

    def test_next_round_begins_with_the_most_urgent_step(self):
        """Guards against steps that are passed over after such a round."""
        site = BusySite()
        for number in range(4):
            site.end_one_task(number)
        for number in range(4):
            site.add_waiting_job(
                BLOCKED + number,
                fakes.step(demand=SMALL),
                age=URGENT_AGE,
            )
        for expected in range(1, 5):
            site.place_round(limit=1)
            assert len(site.placed) == expected


class TestSorting:
    """Many steps wait."""

    def test_share_of_time(self):
        """Guards against a leader that does little but sort.

        200,000 steps take a second or more, and were sorted each 0.1 s.
        """
        order = urgency.UrgencyOrder()
        items = range(40 * urgency.RESORT_ITEMS)
        now = test_backlog.SECOND
        order.read(
            all_items=items, key=lambda n: n, is_live=lambda n: True, now=now
        )
        assert not order.resort_due(now + 39 * urgency.RESORT_INTERVAL)
        assert order.resort_due(now + 40 * urgency.RESORT_INTERVAL)
