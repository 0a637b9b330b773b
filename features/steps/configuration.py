"""Steps that change the configuration under faults."""

import base64
import datetime
import re
import time

import behave

from features import environment
from features.steps import whole_path
from standins import launcher
from turmerichook._internal.configuration import bundle
from turmerichook._internal.models import ids

IN_FORCE = re.compile(r"TH-3001 .*generation=(\d+)")
CALL_LIMIT_S = 2.0


@behave.given(
    'a system of zones "{zones}" with {gateways:d} gateways and '
    "{schedulers:d} scheduler a zone"
)
def step_system(context, zones, gateways, schedulers):
    layout = launcher.Layout(
        zones=tuple(zones.split(",")),
        workers=1,
        gateways=gateways,
        schedulers=schedulers,
        linked=True,
        bounded=True,
    )
    environment.start_system(context, layout)
    context.site = context.folder / "site"
    context.site.mkdir()
    context.changes = 0
    context.stopped = set()
    write(context, "10-site.toml", "[teams.desks]\n" + zones_of(context))


@behave.given("generation 1 is in force in all processes")
def step_first(context):
    apply(context)
    assert context.result.returncode == 0, context.result.stderr
    wait_in_force(context, 1, 10.0)


@behave.given("an operator applied a change")
@behave.when("an operator applies a change")
def step_apply(context):
    change(context)
    apply(context)


@behave.when('an operator applies a change with "{option}"')
def step_apply_with(context, option):
    change(context)
    apply(context, option)


@behave.when(
    "an operator applies a change and waits {limit:d} s for all processes"
)
def step_apply_wait(context, limit):
    change(context)
    apply(context, "--wait", "--timeout", str(limit))


@behave.when(
    'the store {fault} at "{step}" while an operator applies a change'
)
def step_fault(context, fault, step):
    change(context)
    context.system.hold(context.system.store, f"store {step}")
    process = start_apply(context)
    wait_held(context, 1)
    if fault == "delivers it late":
        # The operator's call times out, and its repetition takes effect.
        finish(context, process)
        context.system.release(context.system.store)
    else:
        context.system.release(context.system.store, drop=True)
        finish(context, process)


@behave.when("two operators apply different changes at once")
def step_race(context):
    processes = []
    store = context.system.store
    context.system.hold(store, "store PUT config/head before", count=2)
    for name in ("first", "second"):
        folder = context.folder / name
        folder.mkdir()
        (folder / "10-site.toml").write_text(
            "[teams.desks]\n" + zones_of(context)
        )
        (folder / "20.toml").write_text(f"[teams.{name}]\n")
        processes.append(start_apply(context, folder))
    wait_held(context, 2)
    context.system.release(context.system.store)
    context.results = []
    for process in processes:
        finish(context, process)
        context.results.append(context.result)


@behave.then("one operator's exit status is 0 and the other's is 3")
def step_race_statuses(context):
    statuses = sorted(result.returncode for result in context.results)
    assert statuses == [0, 3], [r.stderr for r in context.results]


@behave.then("the other operator reads the first one's change")
def step_race_change(context):
    names = ("first", "second")
    for name, result in zip(names, context.results):
        if result.returncode == 0:
            winner = name
        else:
            text = result.stderr
    assert f"+[teams.{winner}]" in text, text


@behave.when(
    "the bundle of generation 2 is damaged before its head is written"
)
def step_damage(context):
    change(context)
    system = context.system
    system.hold(system.store, "store PUT config/head before")
    process = start_apply(context)
    wait_held(context, 1)
    target = f"/v1/range?prefix={bundle.bundle_prefix(2)}"
    _, answer = system.call(system.store, target)
    (entry,) = answer["entries"]
    put(context, entry["key"], b"damaged", entry["version"])
    system.release(system.store)
    finish(context, process)
    assert context.result.returncode == 0, context.result.stderr


@behave.when(
    "a later version applies generation 2 with keys that nobody knows"
)
def step_later_version(context):
    packed = bundle.pack_files({"10.toml": b"[zones.a]\n[novel.x]\n"})
    head = bundle.make_head(
        generation=ids.Generation(2),
        packed=packed,
        operation=ids.OperationId("f" * 32),
        author="later",
        now=datetime.datetime.now(datetime.timezone.utc),
    )
    _, entry = context.system.call(
        context.system.store, f"/v1/kv/{bundle.HEAD_KEY}"
    )
    put(context, head.bundle_key, packed, 0)
    put(context, bundle.HEAD_KEY, bundle.pack_head(head), entry["version"])


@behave.when('an operator applies the same folder with "{option}"')
def step_apply_same(context, option):
    apply(context, option)


@behave.then('all processes\' logs show "{code}" within {limit:d} s')
def step_logs(context, code, limit):
    names = context.system.peer_addresses
    whole_path.wait_for(
        lambda: all(code in log_of(context, name) for name in names),
        code,
        limit,
    )


@behave.then('all zones\' logs show "{code}" within {limit:d} s')
def step_zone_logs(context, code, limit):
    def shown():
        return {
            launcher.zone_of(name)
            for name in context.system.peer_addresses
            if code in log_of(context, name)
        }

    zones = set(context.system.layout.zones)
    whole_path.wait_for(lambda: shown() == zones, code, limit)


@behave.when("the store goes down")
def step_down(context):
    context.system.faults(down=True)


@behave.when("the store returns")
def step_up(context):
    context.system.faults(down=False)


@behave.when("the store is replaced by an empty one")
def step_replace_store(context):
    context.system.kill("store")
    context.system.start_store()


@behave.when("all processes are recorded in the store again")
def step_recorded(context):
    def recorded():
        target = "/v1/range?prefix=members/"
        _, answer = context.system.call(context.system.store, target)
        names = {entry["key"] for entry in answer.get("entries", [])}
        return len(names) == len(context.system.peer_addresses)

    whole_path.wait_for(recorded, "records of all processes")


@behave.when('process "{name}" is killed')
def step_kill(context, name):
    context.system.kill(name)
    context.stopped.add(name)


@behave.when('process "{name}" is killed and started again')
def step_restart(context, name):
    context.system.kill(name)
    context.system.start_daemon(name)


@behave.when('process "{name}" is paused')
def step_pause(context, name):
    context.system.pause(name)
    context.stopped.add(name)


@behave.when('process "{name}" is resumed')
def step_resume(context, name):
    context.system.resume(name)
    context.stopped.discard(name)


@behave.when('zone "{zone}" is cut off from the other zones and the store')
def step_cut(context, zone):
    set_zone(context, zone, True)


@behave.when('zone "{zone}" is joined again')
def step_join(context, zone):
    set_zone(context, zone, False)


@behave.when('zone "{zone}" is cut off from the store')
def step_cut_store(context, zone):
    context.system.set_links(f"{zone}->store", cut=True)


@behave.then("the operator's exit status is {status:d}")
def step_status(context, status):
    result = context.result
    assert result.returncode == status, (result.returncode, result.stderr)


@behave.then('the operator reads "{text}"')
def step_reads(context, text):
    output = context.result.stdout + context.result.stderr
    assert text in output, output


@behave.given(
    "generation {generation:d} is in force in all processes within {limit:d} s"
)
@behave.then(
    "generation {generation:d} is in force in all processes within {limit:d} s"
)
@behave.then(
    "generation {generation:d} is in force in all live processes "
    "within {limit:d} s"
)
def step_in_force(context, generation, limit):
    wait_in_force(context, generation, limit)


@behave.then("a later change becomes generation {generation:d}")
def step_later(context, generation):
    change(context)
    apply(context)
    assert context.result.returncode == 0, context.result.stderr
    wait_in_force(context, generation, 10.0)


@behave.then("no process went back to an older generation")
def step_monotonic(context):
    for name in context.system.peer_addresses:
        found = [int(n) for n in IN_FORCE.findall(log_of(context, name))]
        assert found, name
        # A restarted process takes the generation that it had before.
        assert found == sorted(found), (name, found)


def log_of(context, name: str) -> str:
    """Return the log of a process."""
    return (context.folder / f"{name}.log").read_text()


def put(context, key: str, value: bytes, version: int) -> None:
    """Write a key of the store directly."""
    status, _ = context.system.call(
        context.system.store,
        f"/v1/kv/{key}",
        method="PUT",
        document={
            "value": base64.b64encode(value).decode("ascii"),
            "expect": version,
            "lease": None,
        },
    )
    assert status == 200, status


def zones_of(context) -> str:
    """Return the definitions of the system's zones."""
    return "".join(f"[zones.{z}]\n" for z in context.system.layout.zones)


def write(context, name: str, text: str) -> None:
    """Write a file of the operator's folder."""
    (context.site / name).write_text(text)


def change(context) -> None:
    """Change the operator's folder."""
    context.changes += 1
    write(context, "20-change.toml", f"[teams.t{context.changes}]\n")


def start_apply(context, folder=None, *options: str):
    """Start an apply of the operator's folder."""
    return context.system.operator_process(
        "config",
        "apply",
        str(folder or context.site),
        "--store",
        context.system.store,
        *options,
    )


def apply(context, *options: str) -> None:
    """Apply the operator's folder and keep the result."""
    finish(context, start_apply(context, None, *options))


def finish(context, process) -> None:
    """Wait for a command and keep its result as ``context.result``."""
    process.stdout_text, process.stderr_text = process.communicate(timeout=60)
    context.result = Result(process)


class Result:
    """Exit status and output of a command."""

    def __init__(self, process):
        self.returncode = process.returncode
        self.stdout = process.stdout_text
        self.stderr = process.stderr_text


def set_zone(context, zone: str, cut: bool) -> None:
    """Cut or join all links between a zone and others, and to the store."""
    zones = [z for z in context.system.layout.zones if z != zone]
    context.system.set_links(f"{zone}->store", cut=cut)
    for other in zones:
        context.system.set_links(f"{zone}->{other}", cut=cut)
        context.system.set_links(f"{other}->{zone}", cut=cut)


def wait_held(context, count: int) -> None:
    """Wait until so many calls to the store are held."""
    system = context.system
    whole_path.wait_for(
        lambda: len(system.held(system.store)) >= count, "a held call"
    )


def wait_in_force(context, generation: int, limit: float) -> None:
    """Wait until all processes that are not stopped have a generation."""
    names = set(context.system.peer_addresses) - context.stopped

    def everywhere():
        context.seen = {}
        for name in names:
            address = context.system.listen_addresses[name]
            _, answer = context.system.call(
                address, "/v1/status", timeout=CALL_LIMIT_S
            )
            context.seen[name] = answer.get("generation")
        return all(seen == generation for seen in context.seen.values())

    began = time.monotonic()
    try:
        whole_path.wait_for(everywhere, "the generation", limit)
    except AssertionError as error:
        raise AssertionError(f"{context.seen}") from error
    context.took = time.monotonic() - began
