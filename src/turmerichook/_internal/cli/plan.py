"""``turmerichook plan``: where work would go now, without sending it."""

import asyncio
import pathlib
import typing

import cyclopts

from turmerichook._internal.cli import output
from turmerichook._internal.commands import plan_job

app = cyclopts.App(
    name="plan", help="Tell where work would go now, without sending it."
)

STEP_HEADINGS = [
    "step",
    "tasks",
    "after",
    "place",
    "start now",
    "first workers",
    "obstacles (workers)",
]


@app.command(name="job")
def job(
    file: pathlib.Path,
    *,
    entry: list[str],
    host: str,
    path: str,
    key_file: pathlib.Path | None = None,
    json: typing.Annotated[bool, cyclopts.Parameter(negative=())] = False,
) -> None:
    """Tell where the tasks of a job would go now, and why.

    The file holds the body of the submission, in TOML or JSON. Nothing is
    submitted.

    Example: turmerichook plan job peal.json --entry 10.1.0.13:8166
    --host nony24.example --path /lohu930/

    Parameters
    ----------
    entry
        Address at which an entry process serves metrics; may be repeated.
    host
        Host name of the queue.
    path
        Path of the queue.
    key_file
        File with the customer's key.
    json
        Print data for programs.
    """
    document = asyncio.run(
        plan_job.run(
            file, entries=entry, host=host, path=path, key_file=key_file
        )
    )
    output.show(document, _text(document), as_json=json)


def _text(document: dict[str, typing.Any]) -> str:
    head = {
        "queue": document["queue"],
        "customer": document["customer"] or "-",
        "accepted": "yes" if document["accepted"] else document["refusal"],
        "priority": document["priority"],
        "waiting_steps": document["waiting_steps"],
        "critical_path_ms": document["critical_path_ms"],
        "objective_ms": document["objective_ms"],
        "told_by": document["entry"],
    }
    rows = [
        [
            str(step["step"]),
            str(step["tasks"]),
            ",".join(map(str, step["after"])) or "-",
            str(step["position"]),
            str(step["startable"]),
            ",".join(step["workers"]) or "-",
            step["obstacles"] or "-",
        ]
        for step in document["steps"]
    ]
    return f"{output.key_value_lines(head)}\n\n" + output.table(
        rows, STEP_HEADINGS
    )
