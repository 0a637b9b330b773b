"""Rows of the matrix: the steps at which a fault strikes.

A row brings the system to its step and returns who acts there. Where the
step is a call to a stand-in, the stand-in holds it, so that the fault strikes
exactly there, before or after the call took effect.
"""

import collections.abc
import dataclasses
import time

from faults import world as worlds

# Longer than the bound after which nothing starts in a closed zone.
CLOSED_S = 6.0
# Time for a process that was asked to stop to begin with it.
STOPPING_S = 1.0
# Long enough that an eviction finds the task still running.
LONG_RUN_S = 10
JOB = "matrix"
PLAIN_JOB = "plain"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reached:
    """A step that was reached.

    :param actor: process that acts in the step; empty for the operator.
    :param zone: zone in which the step happens.
    :param held: address of the stand-in that holds the step, or empty.
    :param host: worker's host that takes part, or empty.
    """

    actor: str
    zone: str = "a"
    held: str = ""
    host: str = ""


Reach = collections.abc.Callable[[worlds.World], Reached]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """A step in the life of something.

    :param subject: what the step belongs to.
    :param idle: whether the step has no process that could die or pause.
    """

    name: str
    subject: str
    reach: Reach
    idle: bool = False


def _hold_store(world: worlds.World, pattern: str) -> None:
    world.system.hold(world.system.store, f"store PUT {pattern}")


def _wait_held(world: worlds.World, address: str) -> str:
    return world.wait_for(
        lambda: world.system.held(address), "step at the stand-in"
    )[0]


def _submit(world: worlds.World) -> None:
    world.submit(JOB, tasks=3, zones=("a",))


def _job_submit(moment: str) -> Reach:
    def reach(world: worlds.World) -> Reached:
        _hold_store(world, f"jobs/{JOB} {moment}")
        world.in_thread(lambda: _submit(world))
        _wait_held(world, world.system.store)
        return Reached(actor="gateway-a-0", held=world.system.store)

    return reach


def _job_complete(moment: str) -> Reach:
    def reach(world: worlds.World) -> Reached:
        _submit(world)
        owner = world.owner("a")
        _hold_store(world, f"jobs/{JOB} {moment}")
        _wait_held(world, world.system.store)
        return Reached(actor=owner, held=world.system.store)

    return reach


def _task_assign(moment: str) -> Reach:
    def reach(world: worlds.World) -> Reached:
        owner = world.owner("a")
        _hold_store(world, f"journal/a/tail {moment}")
        _submit(world)
        _wait_held(world, world.system.store)
        return Reached(actor=owner, held=world.system.store)

    return reach


def _task_start(moment: str) -> Reach:
    def reach(world: worlds.World) -> Reached:
        owner = world.owner("a")
        workers = world.system.hosts[0]["address"]
        world.system.hold(workers, f"worker start job/{JOB}/* {moment}")
        _submit(world)
        _wait_held(world, workers)
        return Reached(
            actor=owner, held=workers, host=world.system.hosts[0]["host"]
        )

    return reach


def _task_run(world: worlds.World) -> Reached:
    world.submit(JOB, tasks=3, zones=("a",), run_time_s=LONG_RUN_S)
    started = world.wait_for(
        lambda: world.entries("start", f"job/{JOB}/"), "start of a task"
    )
    return Reached(actor=world.owner("a"), host=started[0]["host"])


def _task_finish(moment: str) -> Reach:
    def reach(world: worlds.World) -> Reached:
        reached = _task_run(world)
        world.wait_for(
            lambda: len(world.entries("start", f"job/{JOB}/")) == 3,
            "start of all tasks",
        )
        _hold_store(world, f"journal/a/tail {moment}")
        world.wait_for(
            lambda: world.entries("finish", f"job/{JOB}/"), "finish of a task"
        )
        _wait_held(world, world.system.store)
        return dataclasses.replace(reached, held=world.system.store)

    return reach


def _task_evict(world: worlds.World) -> Reached:
    reached = _task_run(world)
    workers = world.system.hosts[0]["address"]
    world.system.hold(workers, f"worker stop job/{JOB}/* before")
    world.set_zone("a", "out")
    _wait_held(world, workers)
    return dataclasses.replace(reached, held=workers)


def _request_run(moment: str) -> Reach:
    def reach(world: worlds.World) -> Reached:
        workers = world.system.hosts[0]["address"]
        # A caller's requests are idempotent by turns; I7 binds the others.
        world.system.hold(workers, f"endpoint run POST caller0-* {moment}")
        _wait_held(world, workers)
        return Reached(
            actor="gateway-a-0",
            held=workers,
            host=world.system.hosts[0]["host"],
        )

    return reach


def _configuration_write(pattern: str, moment: str) -> Reach:
    def reach(world: worlds.World) -> Reached:
        _hold_store(world, f"{pattern} {moment}")
        path = world.files / "40-team.toml"
        path.write_text("[teams.extra]\n")
        world.apply_in_background()
        _wait_held(world, world.system.store)
        return Reached(actor="", held=world.system.store)

    return reach


def _configuration_spread(world: worlds.World) -> Reached:
    (world.files / "40-team.toml").write_text("[teams.extra]\n")
    world.apply()
    world.note_applied()
    return Reached(actor="scheduler-a-0")


def _ownership(pattern: str, moment: str) -> Reach:
    def reach(world: worlds.World) -> Reached:
        owner = world.owner("a")
        standby = "scheduler-a-1"
        if owner == standby:
            standby = "scheduler-a-0"
        _submit(world)
        _hold_store(world, f"{pattern} {moment}")
        world.system.kill(owner)
        _wait_held(world, world.system.store)
        world.system.start_daemon(owner)
        return Reached(actor=standby, held=world.system.store)

    return reach


def _zone_leave(world: worlds.World) -> Reached:
    reached = _task_run(world)
    world.set_zone("a", "out")
    return reached


def _zone_return(world: worlds.World) -> Reached:
    _submit(world)
    world.set_zone("a", "out")
    world.set_zone("a", "in")
    return Reached(actor=world.owner("a"))


def _job_cancel(moment: str) -> Reach:
    def reach(world: worlds.World) -> Reached:
        world.submit(JOB, tasks=3, zones=("a",), run_time_s=LONG_RUN_S)
        world.wait_for(
            lambda: world.entries("start", f"job/{JOB}/"), "start of a task"
        )
        _hold_store(world, f"cancels/* {moment}")
        world.in_thread(lambda: world.cancel(JOB))
        _wait_held(world, world.system.store)
        return Reached(actor="gateway-a-0", held=world.system.store)

    return reach


def _zone_out_submit(world: worlds.World) -> Reached:
    world.set_zone("a", "out")
    time.sleep(CLOSED_S)
    # Several, so that some would have their home in each open zone.
    for number in range(6):
        world.submit(f"{JOB}-{number}", tasks=3)
    return Reached(actor=world.owner("a"))


def _job_large(world: worlds.World) -> Reached:
    # More than the zone's three hosts of 16 cores can run at once.
    world.submit(JOB, tasks=120, zones=("a",))
    return Reached(actor=world.owner("a"))


def _stop_gateway(world: worlds.World) -> Reached:
    node = "gateway-a-0"
    workers = world.system.hosts[0]["address"]
    world.system.hold(workers, "endpoint run POST caller0-* before")
    _wait_held(world, workers)
    world.record({"kind": "planned-stop", "node": node})
    world.system.terminate(node)
    time.sleep(STOPPING_S)
    return Reached(actor=node, held=workers)


def _stop_scheduler(world: worlds.World) -> Reached:
    _submit(world)
    owner = world.owner("a")
    world.system.terminate(owner)
    return Reached(actor=owner)


def _moments(
    name: str, subject: str, make: collections.abc.Callable[[str], Reach]
) -> list[Row]:
    return [
        Row(name=f"{name}-{moment}", subject=subject, reach=make(moment))
        for moment in ("before", "after")
    ]


def _stores(name: str, pattern: str) -> list[Row]:
    return _moments(name, "ownership change", lambda m: _ownership(pattern, m))


def _writes(name: str, pattern: str) -> list[Row]:
    return _moments(
        name,
        "configuration change",
        lambda m: _configuration_write(pattern, m),
    )


ROWS: tuple[Row, ...] = (
    *_moments("job-submit", "job", _job_submit),
    *_moments("job-complete", "job", _job_complete),
    *_moments("job-cancel", "job", _job_cancel),
    Row(name="job-large", subject="job", reach=_job_large),
    *_moments("task-assign", "task", _task_assign),
    *_moments("task-start", "task", _task_start),
    Row(name="task-run", subject="task", reach=_task_run),
    *_moments("task-finish", "task", _task_finish),
    Row(name="task-evict", subject="task", reach=_task_evict),
    *_moments("request-run", "request", _request_run),
    *_writes("config-bundle", "config/bundles/*"),
    *_writes("config-head", "config/head"),
    Row(
        name="config-spread",
        subject="configuration change",
        reach=_configuration_spread,
    ),
    *_stores("owner-alive", "zones/a/alive"),
    *_stores("owner-epoch", "zones/a/owner"),
    *_stores("owner-journal", "journal/a/tail"),
    Row(name="zone-leave", subject="zone", reach=_zone_leave),
    Row(name="zone-out-submit", subject="zone", reach=_zone_out_submit),
    Row(name="zone-return", subject="zone", reach=_zone_return),
    Row(name="stop-gateway", subject="planned stop", reach=_stop_gateway),
    Row(name="stop-scheduler", subject="planned stop", reach=_stop_scheduler),
)
