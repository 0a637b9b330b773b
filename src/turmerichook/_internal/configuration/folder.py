"""Merging the operators' files into one document.

Files are merged in the order of their names. A later file overrides single
keys of an earlier one. An id is defined by one file only: a second file that
sets a defining key (``team`` of a service or job, ``region`` of a zone) is
taken for a second definition and reported.
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

TOML_LINE = re.compile(r"\(at line (\d+)")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Source:
    """The place that set a key; line 0 where it is not known."""

    file: str
    line: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Merged:
    """A merged document.

    :param sources: file that last set each key path.
    :param lines: line of each key path by file.
    :param problems: mistakes found while merging.
    :param complete: False where a file could not be read or parsed.
    """

    document: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    sources: dict[str, str] = dataclasses.field(default_factory=dict)
    lines: dict[str, dict[str, int]] = dataclasses.field(default_factory=dict)
    problems: tuple[exceptions.ConfigurationProblem, ...] = ()
    complete: bool = True

    def source(self, where: str) -> Source:
        """Return the place that set a key path, or its table's place."""
        path = where
        while path not in self.sources and "." in path:
            path = path.rpartition(".")[0]
        file = self.sources.get(path, "")
        return Source(file=file, line=self.lines.get(file, {}).get(path, 0))


def merge(
    files: Files,
    problems: typing.Iterable[exceptions.ConfigurationProblem] = (),
) -> Merged:
    """Merge files in name order.

    :param problems: files that could not be read; they are passed on.
    """
    merging = _Merging()
    merging.problems += problems
    for name in sorted(files):
        merging.add(name, files[name])
    return Merged(
        document=merging.document,
        sources=merging.sources,
        lines=merging.lines,
        problems=tuple(merging.problems),
        complete=not merging.broken and not problems,
    )


class _Merging:
    def __init__(self):
        self.document: dict[str, typing.Any] = {}
        self.sources: dict[str, str] = {}
        self.lines: dict[str, dict[str, int]] = {}
        self.problems: list[exceptions.ConfigurationProblem] = []
        self.broken = False

    def add(self, name: str, content: bytes) -> None:
        parsed = _parse(name, content)
        if isinstance(parsed, exceptions.ConfigurationProblem):
            self.broken = True
            self.problems.append(parsed)
            return
        self.lines[name] = lines.locate(content.decode("utf-8"))
        self._into(self.document, parsed, name, ())

    def _into(
        self,
        target: dict[str, typing.Any],
        source: dict[str, typing.Any],
        file: str,
        path: tuple[str, ...],
    ) -> None:
        for key, value in source.items():
            steps = (*path, key)
            where = ".".join(steps)
            present = target.get(key)
            if key in target:
                self._check_override(present, value, file, steps)
            self.sources[where] = file
            if not isinstance(value, dict):
                target[key] = value
                continue
            if not isinstance(present, dict):
                target[key] = {}
            self._into(target[key], value, file, steps)

    def _check_override(
        self,
        present: typing.Any,
        value: typing.Any,
        file: str,
        steps: tuple[str, ...],
    ) -> None:
        where = ".".join(steps)
        earlier = self.sources[where]
        if isinstance(present, dict) != isinstance(value, dict):
            self._report(
                "wrong-type",
                file,
                where,
                f"a table or a value as in {earlier}",
                "a later file may override keys, not replace a table",
            )
        elif _is_defining(steps):
            self._report(
                "duplicate-id",
                file,
                where,
                f"one definition of {'.'.join(steps[:-1])}",
                f"{earlier} defines it; override other keys only, or rename",
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


def _is_defining(steps: tuple[str, ...]) -> bool:
    if len(steps) != 3:
        return False
    section, _, key = steps
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
        # tomllib lets these through for numbers of thousands of digits and
        # for values that are nested too deeply.
        return _not_toml(name, str(error))


def _not_toml(name: str, message: str) -> exceptions.ConfigurationProblem:
    found = TOML_LINE.search(message)
    duplicate = message.startswith(("Cannot declare", "Cannot overwrite"))
    return exceptions.ConfigurationProblem(
        code="duplicate-id" if duplicate else "not-toml",
        file=name,
        where=message,
        line=int(found.group(1)) if found else 0,
        expected="each table and key once" if duplicate else "TOML 1.0",
        hint="see https://toml.io/en/v1.0.0 for the format",
    )
