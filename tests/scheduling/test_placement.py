"""Tests of the index of free capacity and of the choice of a host."""

import json
import random

from tests.scheduling import zones
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal.scheduling import candidates
from turmerichook._internal.scheduling import decisions
from turmerichook._internal.scheduling import events
from turmerichook._internal.scheduling import plan


class TestFitIndex:
    """The index finds a host if and only if one has enough capacity."""

    def test_agrees_with_a_scan(self):
        # Guards against a search that skips a subtree with a fitting host,
        # and against inner nodes that are out of date after the index has
        # grown or a host was removed.
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
                index.set_free(name, amount)
                free[name] = amount
            need = resources.Resources(
                millicores=generator.randrange(9),
                memory_mib=generator.randrange(9),
            )
            position = index.find(need, generator.random())
            fitting = {n for n, a in free.items() if need.fits(a)}
            if position == candidates.NOT_FOUND:
                assert not fitting, step
            else:
                assert index.hosts[position] in fitting, step


class TestChoice:
    """Site weights, anti-affinity, and replay from the log line."""

    def test_weights(self):
        # Guards against weights in the configuration that do not affect the
        # score: spreading must use both hosts, packing only one.
        for weights, used in (
            (site.Weights(spread=1.0, pack=0.0), 2),
            (site.Weights(spread=0.0, pack=1.0), 1),
        ):
            zone = zones.make_zone(2, weights=weights)
            zones.submit(zone, "job/j", count=2)
            result = zones.run(zone)
            assert len({c.host for c in result.starts}) == used

    def test_replicas_avoid_hosts_then_racks(self):
        # Guards against replicas of a service that share a rack, so that one
        # rack failure ends all of them, though another rack has capacity.
        pack = site.Weights(spread=0.0, pack=1.0)
        for count in (4, 100):
            zone = zones.make_zone(count, weights=pack)
            zones.submit(zone, "service/s/a", count=2)
            zones.submit(zone, "service/other/a", count=2)
            result = zones.run(zone)
            for service in ("s", "other"):
                placed = [
                    zone.hosts[c.host].rack
                    for c in result.starts
                    if plan.service_of(c.task) == service
                ]
                assert len(set(placed)) == 2

    def test_line_replays(self):
        # Guards against a log line without one of the inputs of the choice,
        # from which a replay would choose another host.
        zone = zones.make_zone(6)
        zone.adviser.advise = lambda spec, amount, host, now: (
            0.3 if host < "h4" else 0.0
        )
        zones.submit(zone, "job/j", count=9)
        for placed in zones.run(zone).placements:
            fields = {k: str(v) for k, v in placed.fields().items()}
            assert decisions.replay(fields) == placed.command.host

    def test_written_line_replays(self, capsys):
        # Guards against a line with many candidates that the log output
        # truncates, so that it cannot be replayed.
        logs.configure(node="n", style=logs.JSON, level="INFO")
        zone = zones.make_zone(64)
        zone.adviser.advise = lambda spec, amount, host, now: 0.1 + 0.2
        zones.submit(zone, "service/s/a", count=1)
        [placed] = zones.run(zone).placements
        logs.emit(events.SchedulingEvent.TASK_PLACED, **placed.fields())
        [line] = capsys.readouterr().err.splitlines()
        fields = {k: str(v) for k, v in json.loads(line).items()}
        assert len(placed.candidates) == 64
        assert decisions.replay(fields) == placed.command.host

    def test_same_state_same_decisions(self):
        # Guards against decisions that depend on the hash seed or the clock,
        # for example by the iteration order of a set.
        def hosts_of_run():
            zone = zones.make_zone(50)
            zones.submit(zone, "job/j", count=30)
            zones.submit(zone, "service/s/a", count=30)
            return [(c.task, c.host) for c in zones.run(zone).starts]

        assert hosts_of_run() == hosts_of_run()
