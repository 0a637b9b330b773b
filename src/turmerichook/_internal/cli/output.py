"""Output of the operators' commands: tables for people, JSON for programs."""

import dataclasses
import json
import os
import sys
import typing

from turmerichook import exceptions

RED = "31"
GREEN = "32"
YELLOW = "33"


def coloured(text: str, colour: str, stream: typing.TextIO) -> str:
    """Return a text in colour if the stream is a terminal.

    The environment variable ``NO_COLOR`` turns colours off.
    """
    if not stream.isatty() or os.environ.get("NO_COLOR"):
        return text
    return f"\033[{colour}m{text}\033[0m"


def show(document: typing.Any, text: str, *, as_json: bool) -> None:
    """Print a document as JSON, or else its text form."""
    if as_json:
        print(json.dumps(document, indent=2))
    elif text:
        print(text)


def table(rows: list[list[str]], headings: list[str]) -> str:
    """Return rows as text, aligned in columns below their headings."""
    if not rows:
        return "none"
    widths = [
        max(len(str(row[column])) for row in [headings, *rows])
        for column in range(len(headings))
    ]
    return "\n".join(
        "  ".join(
            str(cell).ljust(width) for cell, width in zip(row, widths)
        ).rstrip()
        for row in [headings, *rows]
    )


def key_value_lines(document: dict) -> str:
    """Return the keys and values of a document, one pair per line."""
    width = max(len(key) for key in document)
    return "\n".join(
        f"{key.replace('_', ' '):{width}}  {value}"
        for key, value in document.items()
    )


def diff(lines: typing.Iterable[str], stream: typing.TextIO) -> str:
    """Return the lines of a diff as a text, in colour on a terminal."""
    return "\n".join(_diff_line(line, stream) for line in lines)


def progress(text: str) -> None:
    """Print the progress of a long command to standard error."""
    print(text, file=sys.stderr, flush=True)


def show_error(error: exceptions.TurmerichookError, *, as_json: bool) -> None:
    """Print an error with its context, note and hint to standard error."""
    if as_json:
        print(json.dumps({"error": _error_document(error)}), file=sys.stderr)
        return
    title = coloured(error.reference, RED, sys.stderr)
    print(f"{title}: {error.message}", file=sys.stderr)
    if isinstance(error, exceptions.ConfigurationError):
        for problem in error.problems:
            print(_problem_line(problem), file=sys.stderr)
    if isinstance(error, exceptions.ConfigurationConflictError):
        print(diff(error.changes, sys.stderr), file=sys.stderr)
    for name in ("context", "note", "hint"):
        value = getattr(error, name)
        if value:
            print(f"{name}: {value}", file=sys.stderr)


def _error_document(error: exceptions.TurmerichookError) -> dict:
    document: dict[str, typing.Any] = {
        "code": error.reference,
        "message": error.message,
        "context": error.context,
        "note": error.note,
        "hint": error.hint,
        "exit_status": error.exit_status,
    }
    if isinstance(error, exceptions.ConfigurationError):
        document["problems"] = [
            dataclasses.asdict(problem) for problem in error.problems
        ]
    if isinstance(error, exceptions.ConfigurationConflictError):
        document["changes"] = list(error.changes)
    return document


def _problem_line(problem: exceptions.ConfigurationProblem) -> str:
    location = problem.file or "-"
    if problem.line:
        location += f":{problem.line}"
    line = f"{location}: {problem.code}: "
    if problem.where:
        line += f"{problem.where}: "
    line += f"expected {problem.expected}"
    if problem.hint:
        line += f" (hint: {problem.hint})"
    return line


def _diff_line(line: str, stream: typing.TextIO) -> str:
    match line[:1]:
        case "+":
            return coloured(line, GREEN, stream)
        case "-":
            return coloured(line, RED, stream)
        case _:
            return line
