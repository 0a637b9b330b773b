"""Steps that start a system and use it as a caller or operator would."""

import collections
import hashlib
import json
import time
import urllib.request

import behave

from features import environment
from standins import launcher

WAIT_TIMEOUT_S = 60.0


def wait_for(condition, what: str, timeout: float = WAIT_TIMEOUT_S):
    """Wait until a condition returns a true value, and return that value."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        result = condition()
        if result:
            return result
        time.sleep(0.1)
    raise AssertionError(f"{what} did not happen within {timeout:g} s")


def gateway(context) -> str:
    """Return the listening address of the first gateway."""
    name = next(n for n in context.system.peer_addresses if "gateway" in n)
    return context.system.listen_addresses[name]


@behave.given(
    'a system with zones "{zones}", {workers:d} workers and '
    "{schedulers:d} schedulers a zone"
)
def step_system(context, zones, workers, schedulers):
    layout = launcher.Layout(
        zones=tuple(zones.split(",")), workers=workers, schedulers=schedulers
    )
    environment.start_system(context, layout)


@behave.given('a configuration with service "{name}" of {replicas:d} replicas')
def step_configuration(context, name, replicas):
    folder = context.folder / "configuration"
    folder.mkdir()
    zones = "".join(f"[zones.{z}]\n" for z in context.system.layout.zones)
    (folder / "10-site.toml").write_text(zones + "[teams.desks]\n")
    (folder / "20-service.toml").write_text(
        f"[services.{name}]\nteam = 'desks'\nreplicas = {replicas}\n"
        "cores = 2\nmemory_gib = 4\n"
    )
    result = context.system.operator(
        "config", "apply", str(folder), "--store", context.system.store
    )
    assert result.returncode == 0, result.stderr


@behave.when(
    'a caller submits job "{job}" of {tasks:d} tasks that take {seconds:d} s'
)
def step_submit(context, job, tasks, seconds):
    document = {
        "id": job,
        "team": "desks",
        "tasks": tasks,
        "cores": 1,
        "memory_gib": 1,
        "run_time_s": seconds,
    }

    def submit():
        status, answer = context.system.call(
            gateway(context), "/v1/jobs", method="POST", document=document
        )
        return status == 202 and answer

    context.job = wait_for(submit, "acceptance of the job")


@behave.when('a caller sends a request to service "{service}"')
def step_request(context, service):
    context.body = b"passing bell " * 1000

    def send_request():
        request = urllib.request.Request(
            f"http://{gateway(context)}/services/{service}/toll",
            data=context.body,
            headers={"Request-Id": "request-1"},
        )
        try:
            with urllib.request.urlopen(request, timeout=5) as answer:
                return json.loads(answer.read())
        except OSError:
            return None

    context.answer = wait_for(send_request, "an answer of the service")


@behave.then("the whole answer to that request comes back")
def step_answer(context):
    digest = hashlib.sha256(context.body).hexdigest()
    assert context.answer["request"] == "request-1", context.answer
    assert context.answer["sha256"] == digest, context.answer


@behave.when('all tasks of job "{job}" run')
def step_running(context, job):
    tasks = context.job["tasks"]
    wait_for(
        lambda: len(recorded_tasks(context, job, "start")) == tasks,
        "the start of all tasks",
    )


@behave.when("the owner of the job's zone is killed")
def step_kill_owner(context):
    owner = context.system.owner(context.job["home"])
    assert owner is not None
    context.system.kill(owner)


@behave.then('job "{job}" completes')
def step_completes(context, job):
    def completed():
        _, answer = context.system.call(gateway(context), f"/v1/jobs/{job}")
        return answer.get("state") == "completed"

    wait_for(completed, "completion of the job")


@behave.then('each task of job "{job}" ran exactly once')
def step_once(context, job):
    starts = collections.Counter(recorded_tasks(context, job, "start"))
    finishes = collections.Counter(recorded_tasks(context, job, "finish"))
    expected = {f"job/{job}/{n}": 1 for n in range(context.job["tasks"])}
    assert starts == expected, starts
    assert finishes == expected, finishes


def recorded_tasks(context, job: str, kind: str) -> list[str]:
    """Return the tasks of a job that have a history entry of one kind.

    A task is listed once for each entry that the workers recorded.
    """
    return [
        entry["task"]
        for entry in context.system.history()
        if entry["kind"] == kind and entry["task"].startswith(f"job/{job}/")
    ]
