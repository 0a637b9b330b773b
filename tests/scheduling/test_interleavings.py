"""Random sequences of faults against the real owner, journal and claims.

Run ``python -m tests.scheduling.test_interleavings SEED [EXAMPLES]`` for more
examples than the test suite runs.
"""

import asyncio
import sys

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import loguru

from tests.scheduling import checker
from tests.scheduling import world as worlds
from turmerichook._internal.models import site
from turmerichook._internal.scheduling import jobs

ZONES = strategies.sampled_from(("a", "b"))
HOSTS = strategies.sampled_from(("a0", "a1", "b0", "b1"))
SCHEDULERS = strategies.integers(0, 1)
SECONDS = strategies.sampled_from((0.3, 1.0, 3.0, 7.0, 18.0))


class Interleavings(stateful.RuleBasedStateMachine):
    """State machine of two schedulers, two zones and four workers."""

    @stateful.initialize()
    def begin(self):
        self.loop = asyncio.new_event_loop()
        self.loop.run_until_complete(self._begin())
        self.submitted = 0
        self.closed_zones = set()

    async def _begin(self):
        self.world = worlds.World(zones=("a", "b"), schedulers=2)
        self.world.set_service("s", 2)
        await self.world.advance(2)

    def go(self, call):
        self.loop.run_until_complete(call)

    @stateful.rule(duration=SECONDS)
    def wait(self, duration):
        self.go(self.world.advance(duration))

    @stateful.precondition(lambda self: self.submitted < 6)
    @stateful.rule(
        zone=ZONES,
        tasks=strategies.integers(1, 4),
        run_time=strategies.sampled_from((1.0, 6.0, 30.0)),
    )
    def submit(self, zone, tasks, run_time):
        self.submitted += 1
        name = f"j{self.submitted}"
        self.go(
            self.world.submit(name, tasks=tasks, run_time=run_time, home=zone)
        )
        self.go(self.world.advance(0.5))

    @stateful.rule(number=SCHEDULERS, paused=strategies.booleans())
    def pause(self, number, paused):
        gate = self.world.schedulers[number].gate
        gate.clear() if paused else gate.set()
        self.go(self.world.advance(0.2))

    @stateful.rule(number=SCHEDULERS, down=strategies.booleans())
    def outage(self, number, down):
        self.world.schedulers[number].faults.down = down
        self.go(self.world.advance(0.2))

    @stateful.rule(number=SCHEDULERS, count=strategies.integers(1, 3))
    def lose_answers(self, number, count):
        self.world.schedulers[number].faults.lose_answers = count

    @stateful.rule(
        number=SCHEDULERS,
        late_by=strategies.sampled_from((2.1, 6.0, 25.0)),
    )
    def write_late(self, number, late_by):
        faults = self.world.schedulers[number].faults
        faults.late_by = worlds.seconds(late_by)
        faults.late_writes = 1

    @stateful.rule(host=HOSTS)
    def restart(self, host):
        self.world.restart(host)

    @stateful.rule(host=HOSTS, number=strategies.integers(0, 2))
    def cut(self, host, number):
        cut_off = self.world.schedulers[number : number + 1]
        self.world.cut(host, *cut_off)

    @stateful.rule(host=HOSTS)
    def heal(self, host):
        self.world.heal(host)

    @stateful.rule(
        host=HOSTS,
        number=SCHEDULERS,
        kind=strategies.sampled_from(("lost", "late", "slow")),
    )
    def spoil_call(self, host, number, kind):
        pool = self.world.schedulers[number].pool
        match kind:
            case "lost":
                pool.lose_answers.add(host)
            case "late":
                pool.late_answers[host] = worlds.seconds(6.5)
            case "slow":
                pool.late_requests[host] = worlds.seconds(4)

    @stateful.rule(zone=ZONES)
    def turn_zone(self, zone):
        out = zone not in self.closed_zones
        (self.closed_zones.add if out else self.closed_zones.discard)(zone)
        state = site.ZoneState.OUT if out else site.ZoneState.IN
        self.world.set_zone(zone, state)

    @stateful.rule(cut=strategies.booleans())
    def cut_peers(self, cut):
        self.world.peers_cut = cut

    @stateful.rule(down=strategies.booleans())
    def host_list(self, down):
        self.world.hosts.down = down

    @stateful.invariant()
    def history_holds(self):
        if hasattr(self, "world"):
            violations = checker.check(self.world.history)
            assert not violations, violations[0]

    def teardown(self):
        if not hasattr(self, "world"):
            return
        try:
            self.go(self._heal_and_finish())
            violations = checker.check(self.world.history)
            assert not violations, violations[0]
        finally:
            self.go(self.world.close())
            self.loop.close()

    async def _heal_and_finish(self):
        """End all faults, and wait until every job has completed."""
        world = self.world
        for scheduler in world.schedulers:
            scheduler.gate.set()
            scheduler.faults.down = False
            scheduler.faults.lose_answers = 0
            scheduler.faults.late_writes = 0
        world.peers_cut = False
        world.hosts.down = False
        for host in world.network:
            world.heal(host)
        for zone in sorted(self.closed_zones):
            world.set_zone(zone, site.ZoneState.IN)
        for number in range(1, self.submitted + 1):
            await world.until_completed(f"j{number}", limit=400)
            record = await world.record(f"j{number}")
            assert record.state is jobs.JobState.COMPLETED


def settings(examples: int, **more) -> hypothesis.settings:
    return hypothesis.settings(
        max_examples=examples,
        stateful_step_count=30,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
        **more,
    )


class TestInterleavings(Interleavings.TestCase):
    """Guards against faults that break an invariant only in combination.

    The faults are paused schedulers, store outages, lost or late answers and
    writes, worker restarts, lost connections, and zones taken out.
    """

    settings = settings(25, derandomize=True)


def main(arguments: list[str]) -> None:
    """Run the state machine with the seed and number of examples given."""
    loguru.logger.remove()
    examples = int(arguments[1]) if len(arguments) > 1 else 500
    machine = hypothesis.seed(int(arguments[0]))(Interleavings)
    stateful.run_state_machine_as_test(machine, settings=settings(examples))


if __name__ == "__main__":
    main(sys.argv[1:])
