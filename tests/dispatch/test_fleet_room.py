"""Tests of the figures on the workers' room that the leader logs."""

from tests.dispatch import fakes
from tests.dispatch import test_dispatcher
from turmerichook._internal.models import resources


def demand(millicores):
    return resources.Resources(millicores=millicores, memory_mib=1000)


class TestScatteredRoom:
    """Each worker has some room left, and no worker has much of it."""

    def test_blocked_steps_are_told_from_full_workers(self):
        """Guards against logs that do not tell scattered from missing room."""
        site = test_dispatcher.DispatcherHarness("a", "b")
        site.submit(
            fakes.job(
                "0" * 16,
                fakes.step(2, long_running=True, demand=demand(12_000)),
            )
        )
        site.step()
        site.submit(fakes.job("1" * 16, fakes.step(3, demand=demand(5000))))
        site.submit(fakes.job("2" * 16, fakes.step(1, demand=demand(3000))))
        site.step()
        room = site.dispatcher.fleet_room(site.now)
        assert (room.capacity, room.long_running, room.short) == (
            32_000,
            24_000,
            3000,
        )
        assert room.free == 5000
        assert room.largest_free.millicores == 4000
        assert (room.blocked_steps, room.blocked) == (1, 15_000)

    def test_closed_zone_offers_no_room(self):
        """Guards against room in a closed zone that no task can get."""
        site = test_dispatcher.DispatcherHarness("a", "b")
        site.dispatcher.closed_zones = {fakes.ZONE}
        room = site.dispatcher.fleet_room(site.now)
        assert (room.workers, room.free) == (0, 0)
