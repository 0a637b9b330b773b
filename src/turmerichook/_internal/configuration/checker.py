"""Validate the values of a merged document against the field definitions.

The checker collects problems instead of raising the first one, so that one
run reports them all.
"""

import difflib
import math
import typing

from turmerichook._internal.configuration import fields
from turmerichook._internal.configuration import folder
from turmerichook import exceptions

Table = dict[str, typing.Any]


class Checker:
    """Validates one merged document and collects its problems."""

    def __init__(self, *, merged: folder.Merged):
        self.merged = merged
        self.problems = list(merged.problems)

    def report(
        self, *, code: str, where: str, expected: str, hint: str = ""
    ) -> None:
        """Record a problem at the key path ``where``."""
        source = self.merged.source(where)
        self.problems.append(
            exceptions.ConfigurationProblem(
                code=code,
                file=source.file,
                where=where,
                line=source.line,
                expected=expected,
                hint=hint,
            )
        )

    def raise_problems(self) -> None:
        """Raise one error with all recorded problems, if there are any.

        :raises ConfigurationError: listing every problem.
        """
        if self.problems:
            raise exceptions.ConfigurationError(problems=tuple(self.problems))

    def table(self, value: typing.Any, where: str) -> Table:
        """Return the value if it is a table; else report it and return {}."""
        if isinstance(value, dict):
            return value
        self.report(
            code="wrong-type",
            where=where,
            expected=f"a table, not {_describe(value)}",
            hint=f"write [{where}] on a line of its own",
        )
        return {}

    def keys(
        self, table: Table, allowed: typing.Collection[str], where: str
    ) -> None:
        """Report each key of a table that the schema does not define."""
        for key in sorted(set(table) - set(allowed)):
            close_matches = difflib.get_close_matches(key, allowed, n=1)
            self.report(
                code="unknown-key",
                where=f"{where}.{key}" if where else key,
                expected="one of " + ", ".join(sorted(allowed)),
                hint=f"did you mean {close_matches[0]!r}?"
                if close_matches
                else "remove it",
            )

    def values(
        self, table: Table, schema: tuple[fields.Field, ...], where: str
    ) -> Table:
        """Return a valid value for each field that the schema defines.

        Missing and invalid values are replaced by the field's default.
        """
        self.keys(table, [field.name for field in schema], where)
        return {
            field.name: self._value(table, field, f"{where}.{field.name}")
            for field in schema
        }

    def _value(
        self, table: Table, field: fields.Field, where: str
    ) -> typing.Any:
        default = field.default
        if field.kind is fields.Kind.NAMES:
            default = ()
        elif field.required:
            default = ""
        if field.name not in table:
            return default
        value = table[field.name]
        match field.kind:
            case fields.Kind.TEXT:
                valid = self._text(value, where)
            case fields.Kind.NUMBER | fields.Kind.INTEGER:
                valid = self._number(value, field, where)
            case fields.Kind.CHOICE:
                valid = self._choice(value, field, where)
            case fields.Kind.NAMES:
                valid = self._names(value, where)
            case _:
                # The caller validates the keys of a nested table.
                valid = True
        return value if valid else default

    def _text(self, value: typing.Any, where: str) -> bool:
        if isinstance(value, str):
            return True
        self._wrong_type(value, "a text in quotes", where)
        return False

    def _number(
        self, value: typing.Any, field: fields.Field, where: str
    ) -> bool:
        integer_only = field.kind is fields.Kind.INTEGER
        accepted_types = (int,) if integer_only else (int, float)
        if isinstance(value, bool) or not isinstance(value, accepted_types):
            self._wrong_type(value, f"a {field.kind.value}", where)
            return False
        expected = (
            f"a {field.kind.value} from {field.low:g} to {field.high:g}"
            f" {field.unit}"
        ).rstrip()
        if isinstance(value, float) and not math.isfinite(value):
            self.report(code="not-finite", where=where, expected=expected)
            return False
        if not field.low <= value <= field.high:
            self.report(
                code="out-of-range",
                where=where,
                expected=expected,
                hint=_nearest_limit_hint(value, field),
            )
            return False
        return True

    def _choice(
        self, value: typing.Any, field: fields.Field, where: str
    ) -> bool:
        if isinstance(value, str) and value in field.choices:
            return True
        self.report(
            code="not-a-choice",
            where=where,
            expected="one of " + ", ".join(field.choices),
        )
        return False

    def _names(self, value: typing.Any, where: str) -> bool:
        if not isinstance(value, list) or not all(
            isinstance(name, str) for name in value
        ):
            self._wrong_type(value, "a list of names", where)
            return False
        for name in sorted({n for n in value if value.count(n) > 1}):
            self.report(
                code="duplicate-id",
                where=where,
                expected="each name once",
                hint=f"remove the second {name!r}",
            )
        return True

    def _wrong_type(
        self, value: typing.Any, expected: str, where: str
    ) -> None:
        self.report(
            code="wrong-type",
            where=where,
            expected=f"{expected}, not {_describe(value)}",
        )


def _describe(value: typing.Any) -> str:
    names = {
        bool: "true or false",
        int: "a whole number",
        float: "a number with a fraction",
        str: "a text",
        list: "a list",
        dict: "a table",
    }
    return names.get(type(value), "a date or time")


def _nearest_limit_hint(value: float, field: fields.Field) -> str:
    limit = field.low if value < field.low else field.high
    return f"the nearest allowed value is {limit:g}"
