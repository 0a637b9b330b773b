"""Steps in which an operator uses the command line."""

import json

import behave

from features import environment
from features.steps import configuration
from features.steps import whole_path
from standins import launcher

FIRST_GENERATION = (
    "[zones.a]\n[teams.desks]\nweight = 1.0\n[services.s]\nteam = 'desks'\n"
)
TOO_LARGE_BYTES = 800 * 1024


def second_file(content: str):
    """Return a function that adds ``20.toml`` with a text to a folder."""
    return lambda site: (site / "20.toml").write_text(content)


def remove_files(site) -> None:
    """Remove all files of a folder."""
    for path in site.iterdir():
        path.unlink()


def remove_folder(site) -> None:
    """Remove a folder and its files."""
    remove_files(site)
    site.rmdir()


# Valid TOML with CRLF, trailing blanks, a non-ASCII character and no final
# newline, all of which apply and pull must keep byte for byte.
ODD_BYTES = (
    b"# \xc3\xa9\r\n[teams.odd]\t\r\nweight = 2.0   \n\n\n#no end of line"
)

# Changes to the operator's folder by their names in the scenarios. The last
# two are valid.
FOLDER_CHANGES = {
    "an unknown key": second_file("[teams.x]\n\nshape = 1\n"),
    "a wrong type": second_file("[teams.x]\n\nweight = 'much'\n"),
    "an id defined twice in a file": second_file("[teams.x]\n[teams.x]\n"),
    "an id defined in two files": second_file(
        "[services.s]\nteam = 'desks'\n"
    ),
    "a limit below zero": second_file("[teams.x.quota]\ncores = -1\n"),
    "an infinite number": second_file("[teams.x.quota]\ncores = inf\n"),
    "a folder named like a file": lambda site: (site / "20.toml").mkdir(),
    "a dangling link": lambda site: (site / "20.toml").symlink_to("absent"),
    "a file that is not UTF-8": lambda site: (site / "20.toml").write_bytes(
        b"[teams.x]\n# \xff\n"
    ),
    "a file that is not TOML": second_file("teams\n"),
    "a file that is too large": second_file("#" * TOO_LARGE_BYTES),
    "no files": remove_files,
    "no folder": remove_folder,
    "a damaged generation marker": lambda site: (
        site / ".turmerichook-generation"
    ).write_text("seven"),
    "a valid change": second_file("[teams.change]\n"),
    "odd but valid bytes": lambda site: (site / "20.toml").write_bytes(
        ODD_BYTES
    ),
}


@behave.given("a store with generation 1 applied")
def step_store(context):
    layout = launcher.Layout(zones=("a",), workers=0, gateways=0, schedulers=0)
    environment.start_system(context, layout)
    context.site = context.folder / "site"
    context.site.mkdir()
    (context.site / "10.toml").write_text(FIRST_GENERATION)
    configuration.apply_folder(context)
    assert context.result.returncode == 0, context.result.stderr


@behave.when("an operator applies a folder with {mistake}")
def step_mistake(context, mistake):
    FOLDER_CHANGES[mistake](context.site)
    configuration.apply_folder(context)


@behave.when("an operator changes the folder")
def step_change(context):
    FOLDER_CHANGES["a valid change"](context.site)


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
    command = words.format(folder=context.folder, site=site)
    run(context, *command.split())


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
        # The scenario lists the job while its state is still accepted, which
        # lasts until the job ends. The run time leaves room for the command
        # that lists jobs, which takes seconds to start on a busy machine.
        "run_time_s = 6\nzones = ['a']\n"
    )
    run(context, "jobs", "submit", str(file))


@behave.then('folder "{name}" holds the same bytes')
def step_same(context, name):
    assert toml_files(context.folder / name) == toml_files(context.site)


@behave.then('the same error is there as JSON with code "{code}"')
def step_json(context, code):
    configuration.apply_folder(context, "--json")
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


def toml_files(folder) -> dict[str, bytes]:
    """Return the bytes of a folder's TOML files by file name."""
    return {p.name: p.read_bytes() for p in folder.glob("*.toml")}


def run(context, *words: str) -> None:
    """Run a command with the scenario's store and first gateway as options.

    The result is kept as ``context.result``.
    """
    options = []
    if context.system is None:
        context.system = launcher.Launcher(
            layout=launcher.Layout(zones=(), workers=0), folder=context.folder
        )
    options += ["--store", context.system.store]
    if context.system.peer_addresses:
        options += ["--gateway", whole_path.gateway(context)]
    process = context.system.operator_process(*words, *options)
    configuration.wait_for_command(context, process)
