"""The ``turmerichook`` command line: parsing and exit statuses."""

import asyncio
import json
import pathlib
import sys
import typing

import cyclopts

from turmerichook._internal.commands import config_apply
from turmerichook._internal.commands import config_check
from turmerichook._internal.commands import config_show
from turmerichook._internal.commands import jobs_show
from turmerichook._internal.commands import jobs_submit
from turmerichook import exceptions

STORE_DEFAULT = "127.0.0.1:7000"
GATEWAY_DEFAULT = "127.0.0.1:8080"

app = cyclopts.App(name="turmerichook", help="Operate turmerichook.")
config = cyclopts.App(name="config", help="Check and apply configuration.")
jobs = cyclopts.App(name="jobs", help="Submit and follow batch jobs.")
app.command(config)
app.command(jobs)


@config.command(name="check")
def check(directory: pathlib.Path) -> None:
    """Check a folder and name every mistake in it."""
    _print(config_check.run(directory))


@config.command(name="apply")
def apply(
    directory: pathlib.Path,
    *,
    store: str = STORE_DEFAULT,
    author: str = "operator",
) -> None:
    """Make a folder the configuration in force."""
    _print(asyncio.run(config_apply.run(directory, store, author)))


@config.command(name="show")
def show(*, store: str = STORE_DEFAULT) -> None:
    """Show which generation is in force."""
    _print(asyncio.run(config_show.run(store)))


@jobs.command(name="submit")
def submit(file: pathlib.Path, *, gateway: str = GATEWAY_DEFAULT) -> None:
    """Submit a job from a JSON file."""
    _print(asyncio.run(jobs_submit.run(file, gateway)))


@jobs.command(name="show")
def show_job(job: str, *, gateway: str = GATEWAY_DEFAULT) -> None:
    """Show a job."""
    _print(asyncio.run(jobs_show.run(job, gateway)))


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit status."""
    try:
        app(arguments, result_action="return_value")
    except exceptions.ConfigurationError as error:
        _print_problems(error)
        return error.exit_status
    except exceptions.TurmerichookError as error:
        _print_error(error)
        return error.exit_status
    return 0


def _print(document: typing.Any) -> None:
    print(json.dumps(document, indent=2))


def _print_problems(error: exceptions.ConfigurationError) -> None:
    for problem in error.problems:
        line = (
            f"{problem.code}: {problem.file or '-'}: {problem.where}: "
            f"expected {problem.expected}"
        )
        if problem.hint:
            line += f" (hint: {problem.hint})"
        print(line, file=sys.stderr)


def _print_error(error: exceptions.TurmerichookError) -> None:
    print(f"{error.reference}: {error.message}", file=sys.stderr)
    for name in ("context", "note", "hint"):
        value = getattr(error, name)
        if value:
            print(f"{name}: {value}", file=sys.stderr)
