"""Tests of the index of free room and of the choice of a host."""

import random

from tests.scheduling import zones
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal.scheduling import candidates
from turmerichook._internal.scheduling import decisions
from turmerichook._internal.scheduling import plan


class TestFitIndex:
    """The index finds a host exactly when one has room."""

    def test_agrees_with_a_scan(self):
        # Guards against a subtree that is skipped though it has room, and
        # against stale inner nodes after growth and removal.
        generator = random.Random(3)
        index = candidates.FitIndex()
        free: dict[str, resources.Resources] = {}
        for step in range(3_000):
            name = f"h{generator.randrange(60)}"
            amount = resources.Resources(
                millicores=generator.randrange(8),
                memory_mib=generator.randrange(8),
                accelerators=generator.randrange(2),
            )
            if generator.random() < 0.2:
                index.remove(name)
                free.pop(name, None)
            else:
                index.put(name, amount)
                free[name] = amount
            need = resources.Resources(
                millicores=generator.randrange(9),
                memory_mib=generator.randrange(9),
            )
            found = index.find(need, generator.random())
            fitting = {n for n, a in free.items() if need.fits(a)}
            if found == candidates.NOT_FOUND:
                assert not fitting, step
            else:
                assert index.names[found] in fitting, step


class TestChoice:
    """Site weights, anti-affinity and replay."""

    def test_weights(self):
        # Guards against weights that are read but have no effect.
        for weights, used in (
            (site.Weights(spread=1.0, pack=0.0), 2),
            (site.Weights(spread=0.0, pack=1.0), 1),
        ):
            zone = zones.make_zone(2, weights=weights)
            zones.submit(zone, "job/j", count=2)
            done = zones.run(zone)
            assert len({c.host for c in done.starts}) == used

    def test_replicas_avoid_hosts_then_racks(self):
        # Guards against one rack failure ending all replicas of a service.
        pack = site.Weights(spread=0.0, pack=1.0)
        for count in (4, 100):
            zone = zones.make_zone(count, weights=pack)
            zones.submit(zone, "service/s/a", count=2)
            zones.submit(zone, "service/other/a", count=2)
            done = zones.run(zone)
            for service in ("s", "other"):
                placed = [
                    zone.hosts[c.host].rack
                    for c in done.starts
                    if plan.service_of(c.task) == service
                ]
                assert len(set(placed)) == 2

    def test_line_replays(self):
        # Guards against a log line that lacks an input of the choice.
        zone = zones.make_zone(6)
        zone.adviser.advise = lambda spec, amount, host, now: (
            0.3 if host < "h4" else 0.0
        )
        zones.submit(zone, "job/j", count=9)
        for placed in zones.run(zone).placements:
            fields = {k: str(v) for k, v in placed.fields().items()}
            assert decisions.replay(fields) == placed.command.host

    def test_same_state_same_decisions(self):
        # Guards against an order that depends on hashes or on time.
        def hosts_of_run():
            zone = zones.make_zone(50)
            zones.submit(zone, "job/j", count=30)
            zones.submit(zone, "service/s/a", count=30)
            return [(c.task, c.host) for c in zones.run(zone).starts]

        assert hosts_of_run() == hosts_of_run()
