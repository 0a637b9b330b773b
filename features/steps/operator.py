"""Steps of an operator at the command line."""

import json

import behave

from features import environment
from features.steps import configuration
from features.steps import whole_path
from standins import launcher

FIRST = (
    "[zones.a]\n[teams.desks]\nweight = 1.0\n[services.s]\nteam = 'desks'\n"
)
TOO_LARGE = 800 * 1024


def text(content: str):
    """Return a function that writes a second file."""
    return lambda site: (site / "20.toml").write_text(content)


def empty(site) -> None:
    """Remove all files."""
    for path in site.iterdir():
        path.unlink()


def remove(site) -> None:
    """Remove the folder."""
    empty(site)
    site.rmdir()


ODD = b"# \xc3\xa9\r\n[teams.odd]\t\r\nweight = 2.0   \n\n\n#no end of line"

MISTAKES = {
    "an unknown key": text("[teams.x]\n\nshape = 1\n"),
    "a wrong type": text("[teams.x]\n\nweight = 'much'\n"),
    "an id defined twice in a file": text("[teams.x]\n[teams.x]\n"),
    "an id defined in two files": text("[services.s]\nteam = 'desks'\n"),
    "a limit below zero": text("[teams.x.quota]\ncores = -1\n"),
    "an infinite number": text("[teams.x.quota]\ncores = inf\n"),
    "a folder named like a file": lambda site: (site / "20.toml").mkdir(),
    "a dangling link": lambda site: (site / "20.toml").symlink_to("absent"),
    "a file that is not UTF-8": lambda site: (site / "20.toml").write_bytes(
        b"[teams.x]\n# \xff\n"
    ),
    "a file that is not TOML": text("teams\n"),
    "a file that is too large": text("#" * TOO_LARGE),
    "no files": empty,
    "no folder": remove,
    "a damaged generation marker": lambda site: (
        site / ".turmerichook-generation"
    ).write_text("seven"),
    "a valid change": text("[teams.change]\n"),
    "odd but valid bytes": lambda site: (site / "20.toml").write_bytes(ODD),
}


@behave.given("a store with generation 1 applied")
def step_store(context):
    layout = launcher.Layout(zones=("a",), workers=0, gateways=0, schedulers=0)
    environment.start_system(context, layout)
    context.site = context.folder / "site"
    context.site.mkdir()
    (context.site / "10.toml").write_text(FIRST)
    configuration.apply(context)
    assert context.result.returncode == 0, context.result.stderr


@behave.when("an operator applies a folder with {mistake}")
def step_mistake(context, mistake):
    MISTAKES[mistake](context.site)
    configuration.apply(context)


@behave.when("an operator changes the folder")
def step_change(context):
    MISTAKES["a valid change"](context.site)


@behave.when("the store is killed")
def step_kill_store(context):
    context.system.kill("store")


@behave.when('an operator pulls into "{name}"')
def step_pull(context, name):
    run(context, "config", "pull", str(context.folder / name))


@behave.when('an operator edits a file in "{name}"')
def step_edit(context, name):
    with (context.folder / name / "10.toml").open("a") as file:
        file.write("[teams.edited]\n")


@behave.when('an operator runs "{words}"')
def step_run(context, words):
    site = getattr(context, "site", "")
    filled = words.format(folder=context.folder, site=site)
    run(context, *filled.split())


@behave.when('an operator submits service "{name}" of {replicas:d} replicas')
def step_service(context, name, replicas):
    file = context.folder / "service.toml"
    file.write_text(
        f"id = '{name}'\nteam = 'desks'\nreplicas = {replicas}\ncores = 1\n"
        "zones = ['a', 'b']\n"
    )
    run(context, "services", "submit", str(file), str(context.site))
    assert context.result.returncode == 0, context.result.stderr


@behave.when('an operator submits job "{name}" as TOML')
def step_job(context, name):
    file = context.folder / "job.toml"
    file.write_text(
        f"id = '{name}'\nteam = 'desks'\ntasks = 2\ncores = 1\n"
        # Commands take seconds to start on a busy machine, and the job is
        # listed as accepted only until it ends.
        "run_time_s = 6\nzones = ['a']\n"
    )
    run(context, "jobs", "submit", str(file))


@behave.then('folder "{name}" holds the same bytes')
def step_same(context, name):
    assert files_of(context.folder / name) == files_of(context.site)


@behave.then('the same error is there as JSON with code "{code}"')
def step_json(context, code):
    configuration.apply(context, "--json")
    error = json.loads(context.result.stderr)["error"]
    codes = [problem["code"] for problem in error.get("problems", [])]
    assert code in [error["code"], *codes], error


@behave.then("the store still holds generation 1 only")
def step_unchanged(context):
    target = "/v1/range?prefix=config/"
    _, answer = context.system.call(context.system.store, target)
    keys = [entry["key"] for entry in answer["entries"]]
    assert len(keys) == 2, keys
    assert keys[0].startswith("config/bundles/00000001-"), keys
    assert keys[1] == "config/head", keys


def files_of(folder) -> dict[str, bytes]:
    """Return the content of a folder's TOML files."""
    return {p.name: p.read_bytes() for p in folder.glob("*.toml")}


def run(context, *words: str) -> None:
    """Run a command against the scenario's store and first gateway."""
    options = []
    if context.system is None:
        context.system = launcher.Launcher(
            layout=launcher.Layout(zones=(), workers=0), folder=context.folder
        )
    options += ["--store", context.system.store]
    if context.system.peer_addresses:
        options += ["--gateway", whole_path.gateway(context)]
    process = context.system.operator_process(*words, *options)
    configuration.finish(context, process)
