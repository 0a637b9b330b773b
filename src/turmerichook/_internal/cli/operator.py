"""The ``turmerichook`` command line: assembly and exit statuses."""

import asyncio
import json
import pathlib
import sys

import cyclopts

from turmerichook._internal.cli import config
from turmerichook._internal.cli import options as shared
from turmerichook._internal.cli import output
from turmerichook._internal.commands import jobs_show
from turmerichook._internal.commands import jobs_submit
from turmerichook import exceptions

app = cyclopts.App(name="turmerichook", help="Operate turmerichook.")
app.command(config.app)
jobs = cyclopts.App(name="jobs", help="Submit and follow batch jobs.")
app.command(jobs)


@jobs.command(name="submit")
def submit(
    file: pathlib.Path, *, options: shared.Options = shared.DEFAULT
) -> None:
    """Submit a job from a JSON file."""
    gateway = options.context().gateway
    print(json.dumps(asyncio.run(jobs_submit.run(file, gateway)), indent=2))


@jobs.command(name="show")
def show_job(job: str, *, options: shared.Options = shared.DEFAULT) -> None:
    """Show a job."""
    gateway = options.context().gateway
    print(json.dumps(asyncio.run(jobs_show.run(job, gateway)), indent=2))


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit status."""
    words = sys.argv[1:] if arguments is None else arguments
    try:
        app(words, result_action="return_value")
    except exceptions.TurmerichookError as error:
        output.show_error(error, as_json="--json" in words)
        return error.exit_status
    except KeyboardInterrupt:
        print("interrupted", file=sys.stderr)
        return exceptions.EXIT_FAILURE
    return 0
