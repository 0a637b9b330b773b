"""Steps that change the configuration while parts of the system fail."""

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

IN_FORCE_EVENT = re.compile(r"TH-3001 .*generation=(\d+)")
STATUS_TIMEOUT_S = 2.0


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
    write_file(
        context, "10-site.toml", "[teams.desks]\n" + zone_tables(context)
    )


@behave.given("generation 1 is in force in all processes")
def step_first(context):
    apply_folder(context)
    assert context.result.returncode == 0, context.result.stderr
    wait_for_generation(context, 1, 10.0)


@behave.given("an operator applied a change")
@behave.when("an operator applies a change")
def step_apply(context):
    change_folder(context)
    apply_folder(context)


@behave.when('an operator applies a change with "{option}"')
def step_apply_with(context, option):
    change_folder(context)
    apply_folder(context, option)


@behave.when(
    "an operator applies a change and waits {limit:d} s for all processes"
)
def step_apply_wait(context, limit):
    change_folder(context)
    apply_folder(context, "--wait", "--timeout", str(limit))


@behave.when(
    'the store {fault} at "{step}" while an operator applies a change'
)
def step_fault(context, fault, step):
    change_folder(context)
    context.system.hold(context.system.store, f"store {step}")
    process = start_apply(context)
    wait_for_held_calls(context, 1)
    if fault == "delivers it late":
        # The operator's held call times out, and its retry takes effect. The
        # store receives the first call only after the command has ended.
        wait_for_command(context, process)
        context.system.release(context.system.store)
    else:
        context.system.release(context.system.store, drop=True)
        wait_for_command(context, process)


@behave.when("two operators apply different changes at once")
def step_race(context):
    processes = []
    store = context.system.store
    context.system.hold(store, "store PUT config/head before", count=2)
    for name in ("first", "second"):
        folder = context.folder / name
        folder.mkdir()
        (folder / "10-site.toml").write_text(
            "[teams.desks]\n" + zone_tables(context)
        )
        (folder / "20.toml").write_text(f"[teams.{name}]\n")
        processes.append(start_apply(context, folder))
    wait_for_held_calls(context, 2)
    context.system.release(context.system.store)
    context.results = []
    for process in processes:
        wait_for_command(context, process)
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
            loser_stderr = result.stderr
    assert f"+[teams.{winner}]" in loser_stderr, loser_stderr


@behave.when(
    "the bundle of generation 2 is damaged before its head is written"
)
def step_damage(context):
    change_folder(context)
    system = context.system
    system.hold(system.store, "store PUT config/head before")
    process = start_apply(context)
    wait_for_held_calls(context, 1)
    target = f"/v1/range?prefix={bundle.bundle_prefix(2)}"
    _, answer = system.call(system.store, target)
    (entry,) = answer["entries"]
    put_key(context, entry["key"], b"damaged", entry["version"])
    system.release(system.store)
    wait_for_command(context, process)
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
    put_key(context, head.bundle_key, packed, 0)
    put_key(context, bundle.HEAD_KEY, bundle.pack_head(head), entry["version"])


@behave.when('an operator applies the same folder with "{option}"')
def step_apply_same(context, option):
    apply_folder(context, option)


@behave.then('all processes\' logs show "{code}" within {limit:d} s')
def step_logs(context, code, limit):
    names = context.system.peer_addresses
    whole_path.wait_for(
        lambda: all(code in read_log(context, name) for name in names),
        code,
        limit,
    )


@behave.then('all zones\' logs show "{code}" within {limit:d} s')
def step_zone_logs(context, code, limit):
    def zones_that_logged():
        return {
            launcher.zone_of(name)
            for name in context.system.peer_addresses
            if code in read_log(context, name)
        }

    zones = set(context.system.layout.zones)
    whole_path.wait_for(lambda: zones_that_logged() == zones, code, limit)


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
    def all_recorded():
        target = "/v1/range?prefix=members/"
        _, answer = context.system.call(context.system.store, target)
        names = {entry["key"] for entry in answer.get("entries", [])}
        return len(names) == len(context.system.peer_addresses)

    whole_path.wait_for(all_recorded, "records of all processes")


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
    set_zone_links(context, zone, True)


@behave.when('zone "{zone}" is joined again')
def step_join(context, zone):
    set_zone_links(context, zone, False)


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
    wait_for_generation(context, generation, limit)


@behave.then("a later change becomes generation {generation:d}")
def step_later(context, generation):
    change_folder(context)
    apply_folder(context)
    assert context.result.returncode == 0, context.result.stderr
    wait_for_generation(context, generation, 10.0)


@behave.then("no process went back to an older generation")
def step_monotonic(context):
    for name in context.system.peer_addresses:
        generations = [
            int(n) for n in IN_FORCE_EVENT.findall(read_log(context, name))
        ]
        assert generations, name
        # A restarted process logs the generation that it had before the
        # restart once more, so equal neighbours are allowed.
        assert generations == sorted(generations), (name, generations)


def read_log(context, name: str) -> str:
    """Return the log of a process so far."""
    return (context.folder / f"{name}.log").read_text()


def put_key(context, key: str, value: bytes, version: int) -> None:
    """Write a key of the store without the operator's command.

    :param version: the version that the key must have; 0 if it must be new.
    """
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


def zone_tables(context) -> str:
    """Return the TOML tables of the system's zones."""
    return "".join(f"[zones.{z}]\n" for z in context.system.layout.zones)


def write_file(context, name: str, text: str) -> None:
    """Write a file in the operator's configuration folder."""
    (context.site / name).write_text(text)


def change_folder(context) -> None:
    """Add a team to the operator's configuration folder.

    The team has another name at each call.
    """
    context.changes += 1
    write_file(context, "20-change.toml", f"[teams.t{context.changes}]\n")


def start_apply(context, folder=None, *options: str):
    """Start ``config apply`` on a folder and return its process.

    :param folder: the folder to apply; the operator's if it is None.
    """
    return context.system.operator_process(
        "config",
        "apply",
        str(folder or context.site),
        "--store",
        context.system.store,
        *options,
    )


def apply_folder(context, *options: str) -> None:
    """Run ``config apply`` on the operator's folder.

    The result is kept as ``context.result``.
    """
    wait_for_command(context, start_apply(context, None, *options))


def wait_for_command(context, process) -> None:
    """Wait until a command ends; keep its result as ``context.result``."""
    process.stdout_text, process.stderr_text = process.communicate(timeout=60)
    context.result = Result(process)


class Result:
    """The exit status and the output of a command that has ended."""

    def __init__(self, process):
        self.returncode = process.returncode
        self.stdout = process.stdout_text
        self.stderr = process.stderr_text


def set_zone_links(context, zone: str, cut: bool) -> None:
    """Cut or restore a zone's links to the store and to the other zones.

    The links between zones are cut in both directions.
    """
    zones = [z for z in context.system.layout.zones if z != zone]
    context.system.set_links(f"{zone}->store", cut=cut)
    for other in zones:
        context.system.set_links(f"{zone}->{other}", cut=cut)
        context.system.set_links(f"{other}->{zone}", cut=cut)


def wait_for_held_calls(context, count: int) -> None:
    """Wait until the store holds back at least ``count`` calls."""
    system = context.system
    whole_path.wait_for(
        lambda: len(system.held(system.store)) >= count,
        "a held call to the store",
    )


def wait_for_generation(context, generation: int, limit: float) -> None:
    """Wait until all processes that run have a generation in force.

    Processes in ``context.stopped`` are killed or paused and don't count.
    """
    names = set(context.system.peer_addresses) - context.stopped

    def in_force_everywhere():
        context.generations = {}
        for name in names:
            address = context.system.listen_addresses[name]
            _, answer = context.system.call(
                address, "/v1/status", timeout=STATUS_TIMEOUT_S
            )
            context.generations[name] = answer.get("generation")
        return all(
            current == generation for current in context.generations.values()
        )

    started_at = time.monotonic()
    try:
        whole_path.wait_for(
            in_force_everywhere, "the change of generation", limit
        )
    except AssertionError as error:
        raise AssertionError(
            f"generations in force by process: {context.generations}"
        ) from error
    context.elapsed_s = time.monotonic() - started_at
