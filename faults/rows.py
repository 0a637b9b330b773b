"""Rows of the fault matrix: the steps at which faults are injected.

A row brings the system to its step and returns the processes that take part in
the step. If the step is a call to a stand-in, a breakpoint of the stand-in
suspends the call before or after it takes effect, so that the fault is
injected at exactly this step.
"""

import collections.abc
import dataclasses
import time

from faults import world as worlds

# Longer than ``history.DRAIN_BOUND_S``, after which no task may start in a
# zone that was taken out.
ZONE_OUT_S = 6.0
# Time for a process to begin its graceful stop after SIGTERM.
STOP_DELAY_S = 1.0
# Long enough that a task is still running when it is evicted.
LONG_RUN_S = 10
JOB = "matrix"
BACKGROUND_JOB = "plain"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """A step that the system has reached.

    :param actor: process that performs the step; empty for the operator.
    :param zone: zone in which the step takes place.
    :param suspended_at: address of the stand-in that suspends the step; empty
        if the step is not suspended.
    :param host: worker host that takes part in the step, or empty.
    """

    actor: str
    zone: str = "a"
    suspended_at: str = ""
    host: str = ""


StepFunction = collections.abc.Callable[[worlds.World], Step]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """A step in the life cycle of a subject such as a job or a request.

    :param subject: kind of object that the step belongs to.
    :param reach_step: brings the system to the step.
    :param idle: whether no process that could be killed or paused takes part
        in the step.
    """

    name: str
    subject: str
    reach_step: StepFunction
    idle: bool = False


def _suspend_store_write(world: worlds.World, pattern: str) -> None:
    world.system.hold(world.system.store, f"store PUT {pattern}")


def _wait_suspended(world: worlds.World, address: str) -> str:
    return world.wait_for(
        lambda: world.system.held(address), "step suspended at the stand-in"
    )[0]


def _submit(world: worlds.World) -> None:
    world.submit(JOB, tasks=3, zones=("a",))


def _job_submit(moment: str) -> StepFunction:
    def reach_step(world: worlds.World) -> Step:
        _suspend_store_write(world, f"jobs/{JOB} {moment}")
        world.run_in_thread(lambda: _submit(world))
        _wait_suspended(world, world.system.store)
        return Step(actor="gateway-a-0", suspended_at=world.system.store)

    return reach_step


def _job_complete(moment: str) -> StepFunction:
    def reach_step(world: worlds.World) -> Step:
        _submit(world)
        owner = world.owner("a")
        _suspend_store_write(world, f"jobs/{JOB} {moment}")
        _wait_suspended(world, world.system.store)
        return Step(actor=owner, suspended_at=world.system.store)

    return reach_step


def _task_assign(moment: str) -> StepFunction:
    def reach_step(world: worlds.World) -> Step:
        owner = world.owner("a")
        _suspend_store_write(world, f"journal/a/tail {moment}")
        _submit(world)
        _wait_suspended(world, world.system.store)
        return Step(actor=owner, suspended_at=world.system.store)

    return reach_step


def _task_start(moment: str) -> StepFunction:
    def reach_step(world: worlds.World) -> Step:
        owner = world.owner("a")
        workers = world.system.hosts[0]["address"]
        world.system.hold(workers, f"worker start job/{JOB}/* {moment}")
        _submit(world)
        _wait_suspended(world, workers)
        return Step(
            actor=owner,
            suspended_at=workers,
            host=world.system.hosts[0]["host"],
        )

    return reach_step


def _task_run(world: worlds.World) -> Step:
    world.submit(JOB, tasks=3, zones=("a",), run_time_s=LONG_RUN_S)
    started = world.wait_for(
        lambda: world.entries("start", f"job/{JOB}/"), "start of a task"
    )
    return Step(actor=world.owner("a"), host=started[0]["host"])


def _task_finish(moment: str) -> StepFunction:
    def reach_step(world: worlds.World) -> Step:
        step = _task_run(world)
        world.wait_for(
            lambda: len(world.entries("start", f"job/{JOB}/")) == 3,
            "start of all tasks",
        )
        _suspend_store_write(world, f"journal/a/tail {moment}")
        world.wait_for(
            lambda: world.entries("finish", f"job/{JOB}/"), "finish of a task"
        )
        _wait_suspended(world, world.system.store)
        return dataclasses.replace(step, suspended_at=world.system.store)

    return reach_step


def _task_evict(world: worlds.World) -> Step:
    step = _task_run(world)
    workers = world.system.hosts[0]["address"]
    world.system.hold(workers, f"worker stop job/{JOB}/* before")
    world.set_zone("a", "out")
    _wait_suspended(world, workers)
    return dataclasses.replace(step, suspended_at=workers)


def _request_run(moment: str) -> StepFunction:
    def reach_step(world: worlds.World) -> Step:
        workers = world.system.hosts[0]["address"]
        # A caller alternates between non-idempotent POST and idempotent PUT
        # requests. Guarantee I7 (at most one run) applies to POST only.
        world.system.hold(workers, f"endpoint run POST caller0-* {moment}")
        _wait_suspended(world, workers)
        return Step(
            actor="gateway-a-0",
            suspended_at=workers,
            host=world.system.hosts[0]["host"],
        )

    return reach_step


def _configuration_write(pattern: str, moment: str) -> StepFunction:
    def reach_step(world: worlds.World) -> Step:
        _suspend_store_write(world, f"{pattern} {moment}")
        path = world.files / "40-team.toml"
        path.write_text("[teams.extra]\n")
        world.apply_in_background()
        _wait_suspended(world, world.system.store)
        return Step(actor="", suspended_at=world.system.store)

    return reach_step


def _configuration_spread(world: worlds.World) -> Step:
    (world.files / "40-team.toml").write_text("[teams.extra]\n")
    world.apply()
    world.record_generation_in_force()
    return Step(actor="scheduler-a-0")


def _ownership(pattern: str, moment: str) -> StepFunction:
    def reach_step(world: worlds.World) -> Step:
        owner = world.owner("a")
        standby = "scheduler-a-1"
        if owner == standby:
            standby = "scheduler-a-0"
        _submit(world)
        _suspend_store_write(world, f"{pattern} {moment}")
        world.system.kill(owner)
        _wait_suspended(world, world.system.store)
        world.system.start_daemon(owner)
        return Step(actor=standby, suspended_at=world.system.store)

    return reach_step


def _zone_leave(world: worlds.World) -> Step:
    step = _task_run(world)
    world.set_zone("a", "out")
    return step


def _zone_return(world: worlds.World) -> Step:
    _submit(world)
    world.set_zone("a", "out")
    world.set_zone("a", "in")
    return Step(actor=world.owner("a"))


def _job_cancel(moment: str) -> StepFunction:
    def reach_step(world: worlds.World) -> Step:
        world.submit(JOB, tasks=3, zones=("a",), run_time_s=LONG_RUN_S)
        world.wait_for(
            lambda: world.entries("start", f"job/{JOB}/"), "start of a task"
        )
        _suspend_store_write(world, f"cancels/* {moment}")
        world.run_in_thread(lambda: world.cancel(JOB))
        _wait_suspended(world, world.system.store)
        return Step(actor="gateway-a-0", suspended_at=world.system.store)

    return reach_step


def _zone_out_submit(world: worlds.World) -> Step:
    world.set_zone("a", "out")
    time.sleep(ZONE_OUT_S)
    # Several jobs, so that each open zone is the home zone of some of them.
    for number in range(6):
        world.submit(f"{JOB}-{number}", tasks=3)
    return Step(actor=world.owner("a"))


def _job_large(world: worlds.World) -> Step:
    # The tasks need more cores than the zone's three hosts of 16 cores have,
    # so not all of them can run at the same time.
    world.submit(JOB, tasks=120, zones=("a",))
    return Step(actor=world.owner("a"))


def _stop_gateway(world: worlds.World) -> Step:
    node = "gateway-a-0"
    workers = world.system.hosts[0]["address"]
    world.system.hold(workers, "endpoint run POST caller0-* before")
    _wait_suspended(world, workers)
    world.record({"kind": "planned-stop", "node": node})
    world.system.terminate(node)
    time.sleep(STOP_DELAY_S)
    return Step(actor=node, suspended_at=workers)


def _stop_scheduler(world: worlds.World) -> Step:
    _submit(world)
    owner = world.owner("a")
    world.system.terminate(owner)
    return Step(actor=owner)


def _before_and_after(
    name: str,
    subject: str,
    step_function: collections.abc.Callable[[str], StepFunction],
) -> list[Row]:
    return [
        Row(
            name=f"{name}-{moment}",
            subject=subject,
            reach_step=step_function(moment),
        )
        for moment in ("before", "after")
    ]


def _ownership_rows(name: str, pattern: str) -> list[Row]:
    return _before_and_after(
        name, "ownership change", lambda m: _ownership(pattern, m)
    )


def _configuration_rows(name: str, pattern: str) -> list[Row]:
    return _before_and_after(
        name,
        "configuration change",
        lambda m: _configuration_write(pattern, m),
    )


ROWS: tuple[Row, ...] = (
    *_before_and_after("job-submit", "job", _job_submit),
    *_before_and_after("job-complete", "job", _job_complete),
    *_before_and_after("job-cancel", "job", _job_cancel),
    Row(name="job-large", subject="job", reach_step=_job_large),
    *_before_and_after("task-assign", "task", _task_assign),
    *_before_and_after("task-start", "task", _task_start),
    Row(name="task-run", subject="task", reach_step=_task_run),
    *_before_and_after("task-finish", "task", _task_finish),
    Row(name="task-evict", subject="task", reach_step=_task_evict),
    *_before_and_after("request-run", "request", _request_run),
    *_configuration_rows("config-bundle", "config/bundles/*"),
    *_configuration_rows("config-head", "config/head"),
    Row(
        name="config-spread",
        subject="configuration change",
        reach_step=_configuration_spread,
    ),
    *_ownership_rows("owner-alive", "zones/a/alive"),
    *_ownership_rows("owner-epoch", "zones/a/owner"),
    *_ownership_rows("owner-journal", "journal/a/tail"),
    Row(name="zone-leave", subject="zone", reach_step=_zone_leave),
    Row(name="zone-out-submit", subject="zone", reach_step=_zone_out_submit),
    Row(name="zone-return", subject="zone", reach_step=_zone_return),
    Row(name="stop-gateway", subject="planned stop", reach_step=_stop_gateway),
    Row(
        name="stop-scheduler",
        subject="planned stop",
        reach_step=_stop_scheduler,
    ),
)
