"""Columns of the fault matrix: injects each fault and then removes it."""

import collections.abc
import dataclasses
import time

from faults import rows
from faults import world as worlds

# Longer than the zone owner's lease (4 s) and shorter than the task leases, so
# that another scheduler has replaced a paused owner when the owner resumes.
PAUSE_S = 8.0
OUTAGE_S = 5.0
SLOW_CALL_S = 1.0
PARTITION_S = 8.0
HOST_OUTAGE_S = 6.0
# Longer than ``history.DRAIN_BOUND_S``, the bound for closed zones and leaving
# endpoints.
NO_FAULT_S = 7.0

Injection = collections.abc.Callable[[worlds.World, rows.Step], None]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault that is injected at a step.

    :param inject: injects the fault, and returns after removing it.
    """

    name: str
    inject: Injection


def _release(world: worlds.World, step: rows.Step) -> None:
    if step.suspended_at:
        world.system.release(step.suspended_at)


def _kill(world: worlds.World, step: rows.Step) -> None:
    if step.actor:
        world.record({"kind": "killed", "node": step.actor})
        world.system.kill(step.actor)
    else:
        world.apply_processes[-1].kill()
    _release(world, step)
    if step.actor:
        time.sleep(1.0)
        world.record({"kind": "started", "node": step.actor})
        world.system.start_daemon(step.actor)


def _pause(world: worlds.World, step: rows.Step) -> None:
    world.system.pause(step.actor)
    _release(world, step)
    time.sleep(PAUSE_S)
    world.system.resume(step.actor)


def _store_down(world: worlds.World, step: rows.Step) -> None:
    world.system.faults(down=True)
    _release(world, step)
    time.sleep(OUTAGE_S)
    world.system.faults(down=False)


def _store_slow(world: worlds.World, step: rows.Step) -> None:
    world.system.faults(delay_s=SLOW_CALL_S)
    _release(world, step)
    time.sleep(OUTAGE_S)
    world.system.faults(delay_s=0.0)


def _answer_lost(world: worlds.World, step: rows.Step) -> None:
    if step.suspended_at:
        world.system.release(step.suspended_at, drop=True)
    else:
        world.system.faults(lose_answers=3)


def _partition(*patterns: str) -> Injection:
    def inject(world: worlds.World, step: rows.Step) -> None:
        world.cut_off.add("a")
        for pattern in patterns:
            world.system.set_links(pattern, cut=True)
        _release(world, step)
        time.sleep(PARTITION_S)
        for pattern in patterns:
            world.system.set_links(pattern, cut=False)
        world.cut_off.discard("a")

    return inject


def _host_dead(world: worlds.World, step: rows.Step) -> None:
    host = _target_host(world, step)
    world.system.set_host_running(host, on=False)
    _release(world, step)
    time.sleep(HOST_OUTAGE_S)
    world.system.set_host_running(host, on=True)


def _host_failing(world: worlds.World, step: rows.Step) -> None:
    host = _target_host(world, step)
    world.system.set_start_failures(host, failing=True)
    _release(world, step)
    time.sleep(HOST_OUTAGE_S)
    world.system.set_start_failures(host, failing=False)


def _host_unreachable(world: worlds.World, step: rows.Step) -> None:
    host = _target_host(world, step)
    world.system.set_host_unreachable(host, unreachable=True)
    _release(world, step)
    time.sleep(PARTITION_S)
    world.system.set_host_unreachable(host, unreachable=False)


def _no_fault(world: worlds.World, step: rows.Step) -> None:
    time.sleep(NO_FAULT_S)
    _release(world, step)
    time.sleep(NO_FAULT_S)


def _list_stale(world: worlds.World, step: rows.Step) -> None:
    # The host list reports one live host as leaving, and one crashed host as
    # live.
    host = _target_host(world, step)
    other = next(h for h in world.system.hosts if h["host"] != host["host"])
    world.system.set_host_states({other["host"]: "leaving"})
    world.system.set_host_running(host, on=False)
    _release(world, step)
    time.sleep(HOST_OUTAGE_S)
    world.system.set_host_running(host, on=True)
    world.system.set_host_states({})


def _operators_race(world: worlds.World, step: rows.Step) -> None:
    processes = [world.apply_in_background() for _ in range(3)]
    _release(world, step)
    for process in processes:
        process.communicate(timeout=60)


def _target_host(world: worlds.World, step: rows.Step) -> dict:
    name = step.host or world.system.hosts[0]["host"]
    return next(h for h in world.system.hosts if h["host"] == name)


# Reaches the step without injecting a fault. Some defects of ``breaks`` are
# shown in these cells.
NONE = Fault(name="none", inject=_no_fault)

FAULTS: tuple[Fault, ...] = (
    Fault(name="killed", inject=_kill),
    Fault(name="paused", inject=_pause),
    Fault(name="store-down", inject=_store_down),
    Fault(name="store-slow", inject=_store_slow),
    Fault(name="answer-lost", inject=_answer_lost),
    Fault(name="cut-from-zones", inject=_partition("a->b", "b->a")),
    Fault(name="cut-from-platform", inject=_partition("a->store")),
    Fault(name="cut-from-both", inject=_partition("a->b", "b->a", "a->store")),
    Fault(name="host-dead", inject=_host_dead),
    Fault(name="host-failing", inject=_host_failing),
    Fault(name="host-unreachable", inject=_host_unreachable),
    Fault(name="list-stale", inject=_list_stale),
    Fault(name="operators-race", inject=_operators_race),
)
