"""Write ``docs/configuration-keys.md``, the list of configuration keys.

``python -m tools.configuration_keys`` rewrites the page from
``fields.SECTIONS``, the list of fields that ``turmerichook config check``
validates files against.
"""

import pathlib

from turmerichook._internal.configuration import fields

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "configuration-keys.md"

HEADER = """# Configuration keys

This page is written by `python -m tools.configuration_keys` from the list
that `turmerichook config check` uses. `docs/configuration.md` explains how
files are merged and applied.
"""


def render() -> str:
    """Return the text of the page in Markdown."""
    return HEADER + "".join(
        _section(name, section) for name, section in fields.SECTIONS.items()
    )


def _section(name: str, section: tuple[fields.Field, ...]) -> str:
    title = name.replace("*", "NAME")
    if name in ("zones", "teams", "services", "jobs"):
        title += ".NAME"
    rows = "".join(_row(field) for field in section)
    return (
        f"\n## `[{title}]`\n\n"
        "| key | type | unit | allowed | default | meaning |\n"
        f"|---|---|---|---|---|---|\n{rows}"
    )


def _row(field: fields.Field) -> str:
    allowed = ", ".join(field.choices) or "-"
    if field.kind in (fields.Kind.NUMBER, fields.Kind.INTEGER):
        allowed = f"{field.low:g} to {field.high:g}"
    default = "none" if field.default is None else repr(field.default)
    if field.required:
        default = "required"
    return (
        f"| `{field.name}` | {field.kind.value} | {field.unit or '-'} "
        f"| {allowed} | {default} | {field.meaning} |\n"
    )


if __name__ == "__main__":
    PAGE.write_text(render())
