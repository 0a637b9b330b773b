"""Reading the operators' folder from disk.

Only regular files whose names end in ``.toml`` and do not start with a dot
count; symbolic links to such files are followed. The folder is read twice if
it changes meanwhile, so that a half-saved change is not applied.
"""

import dataclasses
import os
import pathlib
import stat
import typing

from turmerichook._internal.configuration import folder
from turmerichook import exceptions

# Sum of all files, below the store's value limit and the frame limit.
TOTAL_BYTES = 768 * 1024
ATTEMPTS = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reading:
    """What a folder held.

    :param problems: files that could not be read.
    """

    files: folder.Files
    problems: tuple[exceptions.ConfigurationProblem, ...]


def read(directory: pathlib.Path) -> folder.Files:
    """Return the folder's files by name, byte for byte.

    :raises ConfigurationError: if the folder or a file cannot be read, or
        if it holds no ``*.toml`` file.
    """
    reading = scan(directory)
    if reading.problems:
        raise exceptions.ConfigurationError(problems=reading.problems)
    return reading.files


def scan(directory: pathlib.Path) -> Reading:
    """Return the files that can be read, and the problems of the others.

    :raises ConfigurationError: if the folder cannot be read, is empty, or
        goes on changing while it is read.
    """
    for _ in range(ATTEMPTS):
        before = _state(directory)
        reading = _scan(directory, sorted(before))
        if _state(directory) == before:
            return reading
    raise _single(
        "folder-changed",
        directory,
        "a folder that nobody changes while it is read",
        "run the command again once the files are saved",
    )


def _state(directory: pathlib.Path) -> dict[str, tuple[int, ...]]:
    try:
        names = [
            name
            for name in os.listdir(directory)
            if name.endswith(folder.SUFFIX) and not name.startswith(".")
        ]
    except OSError as error:
        raise _single(
            "folder-unreadable",
            directory,
            f"a readable folder ({error.strerror})",
            "check the path and its permissions",
        ) from error
    if not names:
        raise _single(
            "folder-empty",
            directory,
            f"at least one *{folder.SUFFIX} file",
            "an empty configuration is never applied",
        )
    return {name: _fingerprint(directory / name) for name in names}


def _fingerprint(path: pathlib.Path) -> tuple[int, ...]:
    try:
        found = path.stat()
    except OSError:
        return ()
    return (found.st_ino, found.st_size, found.st_mtime_ns)


def _scan(directory: pathlib.Path, names: list[str]) -> Reading:
    files: folder.Files = {}
    problems = []
    left = TOTAL_BYTES
    for name in names:
        content = _read_file(directory / name, name, left)
        if isinstance(content, bytes):
            files[name] = content
            left -= len(content)
        else:
            problems.append(content)
    return Reading(files=files, problems=tuple(problems))


def _read_file(
    path: pathlib.Path, name: str, limit: int
) -> bytes | exceptions.ConfigurationProblem:
    try:
        name.encode("utf-8")
    except UnicodeEncodeError:
        shown = name.encode("utf-8", "backslashreplace").decode("utf-8")
        return _problem("bad-file-name", shown, "a file name in UTF-8")
    try:
        # A pipe named like a file would block a plain open for ever.
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
        with os.fdopen(descriptor, "rb") as file:
            mode = os.fstat(descriptor).st_mode
            if not stat.S_ISREG(mode):
                return _problem(
                    "not-a-file", name, "a regular file or a link to one"
                )
            content = file.read(limit + 1)
    except FileNotFoundError:
        return _missing(path, name)
    except IsADirectoryError:
        return _problem("not-a-file", name, "a regular file or a link to one")
    except OSError as error:
        return _problem(
            "file-unreadable",
            name,
            f"a readable file ({error.strerror})",
            "check the file's permissions",
        )
    if len(content) > limit:
        return _problem(
            "too-large",
            name,
            f"at most {TOTAL_BYTES} bytes in all files",
            "move job submissions out of the folder",
        )
    return content


def _missing(path: pathlib.Path, name: str) -> exceptions.ConfigurationProblem:
    if path.is_symlink():
        return _problem(
            "link-dangling",
            name,
            "a link to a file that exists",
            "correct or remove the link",
        )
    return _problem(
        "file-vanished",
        name,
        "a file that stays while the folder is read",
        "run the command again",
    )


def _problem(
    code: str, name: str, expected: str, hint: str = "rename or remove it"
) -> exceptions.ConfigurationProblem:
    return exceptions.ConfigurationProblem(
        code=code, file=name, where="", expected=expected, hint=hint
    )


def _single(
    code: str, directory: typing.Any, expected: str, hint: str
) -> exceptions.ConfigurationError:
    problem = exceptions.ConfigurationProblem(
        code=code, file="", where=str(directory), expected=expected, hint=hint
    )
    return exceptions.ConfigurationError(problems=(problem,))
