"""Reading the operators' folder into one merged document.

Files are merged in the order of their names. A later file overrides single
keys of an earlier one; a table that is defined twice in one file is an error
of TOML itself.
"""

import dataclasses
import pathlib
import tomllib
import typing

from turmerichook import exceptions

SUFFIX = ".toml"

Files = dict[str, bytes]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Merged:
    """A merged document and the file that set each key path."""

    document: dict[str, typing.Any]
    sources: dict[str, str]


def read(directory: pathlib.Path) -> Files:
    """Return the folder's files by name, byte for byte.

    :raises ConfigurationError: if the folder or a file cannot be read, or
        if it holds no ``*.toml`` file.
    """
    try:
        names = sorted(
            p.name for p in directory.iterdir() if p.name.endswith(SUFFIX)
        )
    except OSError as error:
        raise _single(
            code="folder-unreadable",
            file="",
            where=str(directory),
            expected=f"a readable folder ({error.strerror})",
            hint="check the path and its permissions",
        ) from error
    if not names:
        raise _single(
            code="folder-empty",
            file="",
            where=str(directory),
            expected=f"at least one *{SUFFIX} file",
            hint="an empty configuration is never applied",
        )
    return _read_files(directory, names)


def merge(files: Files) -> Merged:
    """Merge files in name order.

    :raises ConfigurationError: naming every file that is not UTF-8 or TOML.
    """
    problems = []
    document: dict[str, typing.Any] = {}
    sources: dict[str, str] = {}
    for name in sorted(files):
        try:
            parsed = tomllib.loads(files[name].decode("utf-8"))
        except UnicodeDecodeError as error:
            problems.append(
                exceptions.ConfigurationProblem(
                    code="not-utf8",
                    file=name,
                    where=f"byte {error.start}",
                    expected="text in UTF-8",
                    hint="save the file in UTF-8",
                )
            )
        except tomllib.TOMLDecodeError as error:
            problems.append(
                exceptions.ConfigurationProblem(
                    code="not-toml",
                    file=name,
                    where=str(error),
                    expected="a TOML document",
                )
            )
        else:
            _merge_into(document, parsed, name, "", sources)
    if problems:
        raise exceptions.ConfigurationError(problems=tuple(problems))
    return Merged(document=document, sources=sources)


def _read_files(directory: pathlib.Path, names: list[str]) -> Files:
    files = {}
    problems = []
    for name in names:
        try:
            files[name] = (directory / name).read_bytes()
        except OSError as error:
            problems.append(
                exceptions.ConfigurationProblem(
                    code="file-unreadable",
                    file=name,
                    where="",
                    expected=f"a readable file ({error.strerror})",
                    hint="check the file's permissions",
                )
            )
    if problems:
        raise exceptions.ConfigurationError(problems=tuple(problems))
    return files


def _merge_into(
    target: dict[str, typing.Any],
    source: dict[str, typing.Any],
    file: str,
    path: str,
    sources: dict[str, str],
) -> None:
    for key, value in source.items():
        where = f"{path}.{key}" if path else key
        sources[where] = file
        present = target.get(key)
        if isinstance(value, dict) and isinstance(present, dict):
            _merge_into(present, value, file, where, sources)
        elif isinstance(value, dict):
            target[key] = {}
            _merge_into(target[key], value, file, where, sources)
        else:
            target[key] = value


def _single(
    *, code: str, file: str, where: str, expected: str, hint: str
) -> exceptions.ConfigurationError:
    problem = exceptions.ConfigurationProblem(
        code=code, file=file, where=where, expected=expected, hint=hint
    )
    return exceptions.ConfigurationError(problems=(problem,))
