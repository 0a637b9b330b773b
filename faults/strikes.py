"""Columns of the matrix: faults, and how each is undone."""

import collections.abc
import dataclasses
import time

from faults import rows
from faults import world as worlds

# Longer than the owner's lease (4 s) and shorter than the task leases, so
# that a paused owner has been replaced when it resumes.
PAUSE_S = 8.0
OUTAGE_S = 5.0
SLOW_CALL_S = 1.0
CUT_S = 8.0
DEAD_S = 6.0
# Longer than the bounds of the promises on zones and leaving endpoints.
QUIET_S = 7.0

Strike = collections.abc.Callable[[worlds.World, rows.Reached], None]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault.

    :param strike: brings the fault about and returns when it is undone.
    """

    name: str
    strike: Strike


def _release(world: worlds.World, reached: rows.Reached) -> None:
    if reached.held:
        world.system.release(reached.held)


def _kill(world: worlds.World, reached: rows.Reached) -> None:
    if reached.actor:
        world.record({"kind": "killed", "node": reached.actor})
        world.system.kill(reached.actor)
    else:
        world.background[-1].kill()
    _release(world, reached)
    if reached.actor:
        time.sleep(1.0)
        world.record({"kind": "started", "node": reached.actor})
        world.system.start_daemon(reached.actor)


def _pause(world: worlds.World, reached: rows.Reached) -> None:
    world.system.pause(reached.actor)
    _release(world, reached)
    time.sleep(PAUSE_S)
    world.system.resume(reached.actor)


def _store_down(world: worlds.World, reached: rows.Reached) -> None:
    world.system.faults(down=True)
    _release(world, reached)
    time.sleep(OUTAGE_S)
    world.system.faults(down=False)


def _store_slow(world: worlds.World, reached: rows.Reached) -> None:
    world.system.faults(delay_s=SLOW_CALL_S)
    _release(world, reached)
    time.sleep(OUTAGE_S)
    world.system.faults(delay_s=0.0)


def _answer_lost(world: worlds.World, reached: rows.Reached) -> None:
    if reached.held:
        world.system.release(reached.held, drop=True)
    else:
        world.system.faults(lose_answers=3)


def _cut(*patterns: str) -> Strike:
    def strike(world: worlds.World, reached: rows.Reached) -> None:
        world.cut_off.add("a")
        for pattern in patterns:
            world.system.set_links(pattern, cut=True)
        _release(world, reached)
        time.sleep(CUT_S)
        for pattern in patterns:
            world.system.set_links(pattern, cut=False)
        world.cut_off.discard("a")

    return strike


def _host_dead(world: worlds.World, reached: rows.Reached) -> None:
    host = _host(world, reached)
    world.system.set_host_running(host, on=False)
    _release(world, reached)
    time.sleep(DEAD_S)
    world.system.set_host_running(host, on=True)


def _host_failing(world: worlds.World, reached: rows.Reached) -> None:
    host = _host(world, reached)
    world.system.set_start_failures(host, failing=True)
    _release(world, reached)
    time.sleep(DEAD_S)
    world.system.set_start_failures(host, failing=False)


def _host_unreachable(world: worlds.World, reached: rows.Reached) -> None:
    host = _host(world, reached)
    world.system.set_host_unreachable(host, unreachable=True)
    _release(world, reached)
    time.sleep(CUT_S)
    world.system.set_host_unreachable(host, unreachable=False)


def _nothing(world: worlds.World, reached: rows.Reached) -> None:
    time.sleep(QUIET_S)
    _release(world, reached)
    time.sleep(QUIET_S)


def _list_stale(world: worlds.World, reached: rows.Reached) -> None:
    # The list reports a live host as leaving and a dead one as live.
    host = _host(world, reached)
    other = next(h for h in world.system.hosts if h["host"] != host["host"])
    world.system.set_host_states({other["host"]: "leaving"})
    world.system.set_host_running(host, on=False)
    _release(world, reached)
    time.sleep(DEAD_S)
    world.system.set_host_running(host, on=True)
    world.system.set_host_states({})


def _operators_race(world: worlds.World, reached: rows.Reached) -> None:
    processes = [world.apply_in_background() for _ in range(3)]
    _release(world, reached)
    for process in processes:
        process.communicate(timeout=60)


def _host(world: worlds.World, reached: rows.Reached) -> dict:
    name = reached.host or world.system.hosts[0]["host"]
    return next(h for h in world.system.hosts if h["host"] == name)


# The step without a fault: what the breaks of ``breaks`` are shown in.
NONE = Fault(name="none", strike=_nothing)

FAULTS: tuple[Fault, ...] = (
    Fault(name="killed", strike=_kill),
    Fault(name="paused", strike=_pause),
    Fault(name="store-down", strike=_store_down),
    Fault(name="store-slow", strike=_store_slow),
    Fault(name="answer-lost", strike=_answer_lost),
    Fault(name="cut-from-zones", strike=_cut("a->b", "b->a")),
    Fault(name="cut-from-platform", strike=_cut("a->store")),
    Fault(name="cut-from-both", strike=_cut("a->b", "b->a", "a->store")),
    Fault(name="host-dead", strike=_host_dead),
    Fault(name="host-failing", strike=_host_failing),
    Fault(name="host-unreachable", strike=_host_unreachable),
    Fault(name="list-stale", strike=_list_stale),
    Fault(name="operators-race", strike=_operators_race),
)
