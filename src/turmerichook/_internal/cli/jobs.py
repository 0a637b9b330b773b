"""``turmerichook jobs``: submit, list, follow and cancel batch jobs."""

import asyncio
import pathlib
import typing

import cyclopts

from turmerichook._internal.cli import options as shared
from turmerichook._internal.cli import output
from turmerichook._internal.commands import jobs_cancel
from turmerichook._internal.commands import jobs_list
from turmerichook._internal.commands import jobs_show
from turmerichook._internal.commands import jobs_submit
from turmerichook._internal.commands import jobs_wait
from turmerichook._internal.commands import members

app = cyclopts.App(name="jobs", help="Submit and follow batch jobs.")

WAIT_DEFAULT_S = 3600.0
HEADINGS = ["job", "state", "home", "tasks", "team", "accepted (UTC)"]


@app.command(name="submit")
def submit(
    file: pathlib.Path,
    *,
    wait: typing.Annotated[bool, cyclopts.Parameter(negative=())] = False,
    timeout: float = WAIT_DEFAULT_S,
    options: shared.Options = shared.DEFAULT,
) -> None:
    """Submit a job from a TOML or JSON file.

    The file holds the id and the keys of a job; the same file may be
    submitted again, and runs once.

    Example: turmerichook jobs submit memorial.toml --wait

    Parameters
    ----------
    wait
        Wait until the job has ended.
    timeout
        Seconds to wait.
    """
    gateway = options.context().gateway
    document = asyncio.run(jobs_submit.run(file, gateway))
    if wait:
        document = asyncio.run(
            jobs_wait.run(
                document["id"], gateway, timeout, _progress_reporter(options)
            )
        )
    output.show(document, _state_line(document), as_json=options.json)


@app.command(name="list")
def list_jobs(
    *,
    state: str | None = None,
    team: str | None = None,
    options: shared.Options = shared.DEFAULT,
) -> None:
    """List jobs, the newest first; ended ones are kept for 24 hours.

    Example: turmerichook jobs list --state accepted --team desks

    Parameters
    ----------
    state
        Only jobs in this state: accepted, completed, failed or cancelled.
    team
        Only jobs of this team.
    """
    document = asyncio.run(jobs_list.run(options.context(), state, team))
    rows = [
        [
            job["id"],
            job["state"],
            job["home"],
            job["tasks"],
            job["team"],
            job["accepted"][:19],
        ]
        for job in document
    ]
    output.show(document, output.table(rows, HEADINGS), as_json=options.json)


@app.command(name="show")
def show(job: str, *, options: shared.Options = shared.DEFAULT) -> None:
    """Show a job with its history.

    Example: turmerichook jobs show memorial-17
    """
    gateway = options.context().gateway
    document = asyncio.run(jobs_show.run(job, gateway))
    output.show(
        document, output.key_value_lines(document), as_json=options.json
    )


@app.command(name="wait")
def wait_for(
    job: str,
    *,
    timeout: float = WAIT_DEFAULT_S,
    options: shared.Options = shared.DEFAULT,
) -> None:
    """Wait until a job has ended; exit status 1 if it failed.

    Example: turmerichook jobs wait memorial-17 --timeout 600

    Parameters
    ----------
    timeout
        Seconds to wait.
    """
    gateway = options.context().gateway
    document = asyncio.run(
        jobs_wait.run(job, gateway, timeout, _progress_reporter(options))
    )
    output.show(document, _state_line(document), as_json=options.json)


@app.command(name="cancel")
def cancel(*jobs: str, options: shared.Options = shared.DEFAULT) -> None:
    """Cancel jobs; the work of many jobs is one write.

    Example: turmerichook jobs cancel memorial-17 memorial-18
    """
    gateway = options.context().gateway
    document = asyncio.run(jobs_cancel.run(jobs, gateway))
    text = f"cancellation of {len(jobs)} job(s) is recorded"
    output.show(document, text, as_json=options.json)


def _progress_reporter(options: shared.Options) -> members.Report:
    return members.ignore_progress if options.json else output.progress


def _state_line(document: dict) -> str:
    return f"job {document['id']} is {document['state']}"
