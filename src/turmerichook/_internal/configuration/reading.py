"""Read the operators' folder from disk.

Only regular files whose names end in ``.toml`` and do not start with a dot
are read, and symbolic links to regular files are followed. If the folder
changes while it is read, it is read once more, and a second change is an
error, so that files saved only in part are never applied.
"""

import dataclasses
import os
import pathlib
import stat
import typing

from turmerichook._internal.configuration import folder
from turmerichook import exceptions

# Limit for the sum of all files. Their bundle must fit into one store value
# and one stream frame, which are limited to 1 MiB each.
MAX_TOTAL_BYTES = 768 * 1024
MAX_READ_ATTEMPTS = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class ScanResult:
    """Files of a folder.

    :param files: content of each file that could be read.
    :param problems: one problem for each file that could not be read.
    """

    files: folder.Files
    problems: tuple[exceptions.ConfigurationProblem, ...]


def read(directory: pathlib.Path) -> folder.Files:
    """Return the folder's files by name, byte for byte.

    :raises ConfigurationError: if the folder or a file cannot be read, or
        if the folder has no ``*.toml`` file.
    """
    result = scan(directory)
    if result.problems:
        raise exceptions.ConfigurationError(problems=result.problems)
    return result.files


def scan(directory: pathlib.Path) -> ScanResult:
    """Return the readable files, and a problem for each unreadable one.

    :raises ConfigurationError: if the folder cannot be read, has no
        ``*.toml`` file, or changed during both attempts to read it.
    """
    for _ in range(MAX_READ_ATTEMPTS):
        before = _snapshot(directory)
        result = _read_files(directory, sorted(before))
        if _snapshot(directory) == before:
            return result
    raise _folder_error(
        "folder-changed",
        directory,
        "a folder that nobody changes while it is read",
        "run the command again once the files are saved",
    )


def _snapshot(directory: pathlib.Path) -> dict[str, tuple[int, ...]]:
    try:
        names = [
            name
            for name in os.listdir(directory)
            if name.endswith(folder.SUFFIX) and not name.startswith(".")
        ]
    except OSError as error:
        raise _folder_error(
            "folder-unreadable",
            directory,
            f"a readable folder ({error.strerror})",
            "check the path and its permissions",
        ) from error
    if not names:
        raise _folder_error(
            "folder-empty",
            directory,
            f"at least one *{folder.SUFFIX} file",
            "an empty configuration is never applied",
        )
    return {name: _fingerprint(directory / name) for name in names}


def _fingerprint(path: pathlib.Path) -> tuple[int, ...]:
    try:
        file_status = path.stat()
    except OSError:
        return ()
    return (file_status.st_ino, file_status.st_size, file_status.st_mtime_ns)


def _read_files(directory: pathlib.Path, names: list[str]) -> ScanResult:
    files: folder.Files = {}
    problems = []
    remaining_bytes = MAX_TOTAL_BYTES
    for name in names:
        content = _read_file(directory / name, name, remaining_bytes)
        if isinstance(content, bytes):
            files[name] = content
            remaining_bytes -= len(content)
        else:
            problems.append(content)
    return ScanResult(files=files, problems=tuple(problems))


def _read_file(
    path: pathlib.Path, name: str, limit: int
) -> bytes | exceptions.ConfigurationProblem:
    try:
        name.encode("utf-8")
    except UnicodeEncodeError:
        printable_name = name.encode("utf-8", "backslashreplace").decode(
            "utf-8"
        )
        return _problem(
            "bad-file-name", printable_name, "a file name in UTF-8"
        )
    try:
        # Without O_NONBLOCK, opening a named pipe would block until another
        # process opens its other end.
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
            f"at most {MAX_TOTAL_BYTES} bytes in all files",
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


def _folder_error(
    code: str, directory: typing.Any, expected: str, hint: str
) -> exceptions.ConfigurationError:
    problem = exceptions.ConfigurationProblem(
        code=code, file="", where=str(directory), expected=expected, hint=hint
    )
    return exceptions.ConfigurationError(problems=(problem,))
