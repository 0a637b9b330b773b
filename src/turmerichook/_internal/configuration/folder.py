"""Merge the operators' files into one document.

Files are merged in the order of their names, and a later file overrides
single keys of an earlier one. Each service, job or zone is defined by one
file only: a second file that sets its defining key (``team`` of a service or
job, ``region`` of a zone) is reported as a duplicate definition.
"""

import dataclasses
import re
import tomllib
import typing

from turmerichook._internal.configuration import fields
from turmerichook._internal.configuration import lines
from turmerichook import exceptions

SUFFIX = ".toml"

Files = dict[str, bytes]

TOML_ERROR_LINE = re.compile(r"\(at line (\d+)")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Source:
    """File and line that set a key; line 0 if the line is unknown."""

    file: str
    line: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Merged:
    """A merged document.

    :param sources: for each key path, the file that set it last.
    :param lines: for each file, the line of each key path.
    :param problems: problems found while files were read and merged.
    :param complete: False if a file could not be read or parsed.
    """

    document: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    sources: dict[str, str] = dataclasses.field(default_factory=dict)
    lines: dict[str, dict[str, int]] = dataclasses.field(default_factory=dict)
    problems: tuple[exceptions.ConfigurationProblem, ...] = ()
    complete: bool = True

    def source(self, where: str) -> Source:
        """Return the file and line that set a key path, or its table."""
        path = where
        while path not in self.sources and "." in path:
            path = path.rpartition(".")[0]
        file = self.sources.get(path, "")
        return Source(file=file, line=self.lines.get(file, {}).get(path, 0))


def merge(
    files: Files,
    problems: typing.Iterable[exceptions.ConfigurationProblem] = (),
) -> Merged:
    """Merge files in the order of their names.

    :param problems: problems of files that could not be read; they become
        part of the result.
    """
    merger = _Merger()
    merger.problems += problems
    for name in sorted(files):
        merger.add(name, files[name])
    return Merged(
        document=merger.document,
        sources=merger.sources,
        lines=merger.lines,
        problems=tuple(merger.problems),
        complete=not merger.has_unparsed_file and not problems,
    )


class _Merger:
    def __init__(self):
        self.document: dict[str, typing.Any] = {}
        self.sources: dict[str, str] = {}
        self.lines: dict[str, dict[str, int]] = {}
        self.problems: list[exceptions.ConfigurationProblem] = []
        self.has_unparsed_file = False

    def add(self, name: str, content: bytes) -> None:
        parsed = _parse(name, content)
        if isinstance(parsed, exceptions.ConfigurationProblem):
            self.has_unparsed_file = True
            self.problems.append(parsed)
            return
        self.lines[name] = lines.find_key_lines(content.decode("utf-8"))
        self._merge_table(self.document, parsed, name, ())

    def _merge_table(
        self,
        target: dict[str, typing.Any],
        source: dict[str, typing.Any],
        file: str,
        path: tuple[str, ...],
    ) -> None:
        for key, value in source.items():
            key_path = (*path, key)
            where = ".".join(key_path)
            earlier_value = target.get(key)
            if key in target:
                self._check_override(earlier_value, value, file, key_path)
            self.sources[where] = file
            if not isinstance(value, dict):
                target[key] = value
                continue
            if not isinstance(earlier_value, dict):
                target[key] = {}
            self._merge_table(target[key], value, file, key_path)

    def _check_override(
        self,
        earlier_value: typing.Any,
        value: typing.Any,
        file: str,
        key_path: tuple[str, ...],
    ) -> None:
        where = ".".join(key_path)
        earlier_file = self.sources[where]
        if isinstance(earlier_value, dict) != isinstance(value, dict):
            self._report(
                "wrong-type",
                file,
                where,
                f"a table or a value as in {earlier_file}",
                "a later file may override keys, not replace a table",
            )
        elif _is_defining(key_path):
            self._report(
                "duplicate-id",
                file,
                where,
                f"one definition of {'.'.join(key_path[:-1])}",
                f"{earlier_file} defines it; override only other keys, or"
                " rename it",
            )

    def _report(
        self, code: str, file: str, where: str, expected: str, hint: str
    ) -> None:
        self.problems.append(
            exceptions.ConfigurationProblem(
                code=code,
                file=file,
                where=where,
                line=self.lines[file].get(where, 0),
                expected=expected,
                hint=hint,
            )
        )


def _is_defining(key_path: tuple[str, ...]) -> bool:
    if len(key_path) != 3:
        return False
    section, _, key = key_path
    return any(
        field.defining and field.name == key
        for field in fields.SECTIONS.get(section, ())
    )


def _parse(
    name: str, content: bytes
) -> dict[str, typing.Any] | exceptions.ConfigurationProblem:
    try:
        return tomllib.loads(content.decode("utf-8"))
    except UnicodeDecodeError as error:
        return exceptions.ConfigurationProblem(
            code="not-utf8",
            file=name,
            where=f"byte {error.start}",
            line=content.count(b"\n", 0, error.start) + 1,
            expected="text in UTF-8",
            hint="save the file in UTF-8",
        )
    except tomllib.TOMLDecodeError as error:
        return _not_toml(name, str(error))
    except (ValueError, RecursionError) as error:
        # tomllib raises these instead of its own error for integers with
        # thousands of digits and for values that are nested too deeply.
        return _not_toml(name, str(error))


def _not_toml(name: str, message: str) -> exceptions.ConfigurationProblem:
    line_match = TOML_ERROR_LINE.search(message)
    duplicate = message.startswith(("Cannot declare", "Cannot overwrite"))
    return exceptions.ConfigurationProblem(
        code="duplicate-id" if duplicate else "not-toml",
        file=name,
        where=message,
        line=int(line_match.group(1)) if line_match else 0,
        expected="each table and key once" if duplicate else "TOML 1.0",
        hint="see https://toml.io/en/v1.0.0 for the format",
    )
