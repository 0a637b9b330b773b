"""Steps in which tasks on one host slow each other down or a host fails."""

import json
import time

import behave

WAIT_TIMEOUT_S = 90.0


def wait_for(condition, what: str):
    """Wait until a condition is true; fail after ``WAIT_TIMEOUT_S``."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.2)
    raise AssertionError(f"{what} did not happen within {WAIT_TIMEOUT_S:g} s")


def set_behaviour(context, worker_numbers, **changes) -> None:
    """Change how the stand-ins of some workers behave.

    :param worker_numbers: positions of the workers in ``hosts.json``.
    :param changes: fields of the stand-in's behaviour and their new values.
    """
    hosts = json.loads((context.folder / "hosts.json").read_text())["hosts"]
    for number in worker_numbers:
        address = hosts[number]["address"]

        def behaviour_changed(address=address):
            status, _ = context.system.call(
                address, "/v1/behaviour", method="PUT", document=changes
            )
            return status == 200

        # The call fails while the stand-in is still starting.
        wait_for(behaviour_changed, "the change of a worker's behaviour")


def gateway(context) -> str:
    """Return the listening address of the first gateway."""
    name = next(n for n in context.system.peer_addresses if "gateway" in n)
    return context.system.listen_addresses[name]


@behave.given('service "{name}" has a latency target of {target:g} ms')
def step_target(context, name, target):
    folder = context.folder / "configuration"
    (folder / "30-target.toml").write_text(
        f"[services.{name}]\nlatency_target_ms = {target}\n"
    )
    result = context.system.operator(
        "config", "apply", str(folder), "--store", context.system.store
    )
    assert result.returncode == 0, result.stderr


@behave.given(
    'usage is reported after {lag:g} s and "{job}" slows "{service}" down '
    "by {coefficient:g}"
)
def step_interference(context, lag, job, service, coefficient):
    set_behaviour(
        context,
        range(context.system.layout.workers),
        lag_s=lag,
        interference={service: {job: coefficient}},
    )


@behave.given("worker {number:d} fails every task")
def step_fail(context, number):
    set_behaviour(context, [number], fail_all=True)


@behave.when("worker {number:d} fails no more tasks")
def step_heal(context, number):
    set_behaviour(context, [number], fail_all=False)


@behave.when('a caller submits {count:d} jobs "{prefix}" of {seconds:g} s')
def step_jobs(context, count, prefix, seconds):
    for number in range(count):
        document = {
            "id": f"{prefix}-{number}",
            "team": "desks",
            "cores": 1,
            "memory_gib": 1,
            "run_time_s": seconds,
        }

        def submitted(body=document):
            status, _ = context.system.call(
                gateway(context), "/v1/jobs", method="POST", document=body
            )
            return status == 202

        wait_for(submitted, "acceptance of a job")
    context.job_count = count


@behave.then('all jobs "{prefix}" complete')
def step_all_complete(context, prefix):
    def completed(number):
        _, answer = context.system.call(
            gateway(context), f"/v1/jobs/{prefix}-{number}"
        )
        return answer.get("state") == "completed"

    wait_for(
        lambda: all(completed(n) for n in range(context.job_count)),
        "completion of all jobs",
    )


@behave.then('the log of a scheduler shows "{code}"')
def step_log(context, code):
    def logged():
        logs = context.folder.glob("scheduler-*.log")
        return any(code in path.read_text() for path in logs)

    wait_for(logged, code)


@behave.then('the workers record "{kind}" for job "{job}"')
def step_record(context, kind, job):
    wait_for(lambda: history_entries(context, kind, job), kind)


@behave.then('job "{job}" is stopped with a checkpoint')
def step_stopped(context, job):
    def stopped():
        stops = history_entries(context, "stop", job)
        return any(entry["checkpoint"] for entry in stops)

    wait_for(stopped, "a stop with a checkpoint")


def history_entries(context, kind: str, job: str) -> list[dict]:
    """Return the workers' history entries of one kind about a job."""
    return [
        entry
        for entry in context.system.history()
        if entry["kind"] == kind and entry["task"].startswith(f"job/{job}/")
    ]
