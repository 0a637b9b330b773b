"""Definitions of the keys of the operators' configuration.

The configuration checker validates values against these definitions, and
``tools/configuration_keys.py`` generates ``docs/configuration-keys.md`` from
them, so the page always matches what the checker accepts.
"""

import dataclasses
import enum


class Kind(enum.Enum):
    """Type that the value of a key must have."""

    TEXT = "text"
    NUMBER = "number"
    INTEGER = "whole number"
    CHOICE = "choice"
    NAMES = "list of names"
    TABLE = "table"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Field:
    """One key of a table.

    :param meaning: description for the generated page.
    :param unit: unit of the value, or an empty string if it has none.
    :param low: smallest allowed value.
    :param high: largest allowed value.
    :param choices: allowed values of a ``CHOICE`` key.
    :param required: True if the key has no default.
    :param defining: True if setting the key defines an entry, such as a
        service. Another file may override the entry's other keys, but a
        second setting of this key is reported as a duplicate definition.
    """

    name: str
    kind: Kind
    meaning: str
    default: str | float | None = None
    unit: str = ""
    low: float = 0
    high: float = 0
    choices: tuple[str, ...] = ()
    required: bool = False
    defining: bool = False


# Far above what any host or team has, and low enough that sums of thousandths
# of it are exact in integers.
MAX_RESOURCE_AMOUNT = 1_000_000
# One year; a longer run time or deadline is a mistake.
MAX_DURATION_S = 365 * 24 * 3600

RESOURCE_FIELDS = (
    Field(
        name="cores",
        kind=Kind.NUMBER,
        unit="cores",
        default=0.0,
        high=MAX_RESOURCE_AMOUNT,
        meaning="processor cores; thousandths are kept",
    ),
    Field(
        name="memory_gib",
        kind=Kind.NUMBER,
        unit="GiB",
        default=0.0,
        high=MAX_RESOURCE_AMOUNT,
        meaning="memory",
    ),
    Field(
        name="accelerators",
        kind=Kind.INTEGER,
        unit="devices",
        default=0,
        high=MAX_RESOURCE_AMOUNT,
        meaning="whole accelerators",
    ),
)

TEAM_FIELD = Field(
    name="team",
    kind=Kind.TEXT,
    required=True,
    defining=True,
    meaning="team that the work counts for; must be in [teams]",
)

ZONES_FIELD = Field(
    name="zones",
    kind=Kind.NAMES,
    meaning="allowed zones; an empty list allows all",
)


def _urgency_field(default: str) -> Field:
    return Field(
        name="urgency",
        kind=Kind.CHOICE,
        default=default,
        choices=("urgent", "normal", "deferrable"),
        meaning="how much delay it can stand",
    )


SECTIONS: dict[str, tuple[Field, ...]] = {
    "site": (
        Field(
            name="name",
            kind=Kind.TEXT,
            default="",
            meaning="name of the site, for people",
        ),
        Field(
            name="spread",
            kind=Kind.NUMBER,
            default=1.0,
            high=1000,
            meaning="preference for hosts with much room left",
        ),
        Field(
            name="pack",
            kind=Kind.NUMBER,
            default=0.0,
            high=1000,
            meaning="preference for hosts with little room left",
        ),
        Field(
            name="interference",
            kind=Kind.NUMBER,
            default=1.0,
            high=100,
            meaning="reluctance to place batch next to services it slows",
        ),
    ),
    "zones": (
        Field(
            name="region",
            kind=Kind.TEXT,
            default="default",
            defining=True,
            meaning="region that holds the zone",
        ),
        Field(
            name="state",
            kind=Kind.CHOICE,
            default="in",
            choices=("in", "out"),
            meaning="whether the zone may get new work",
        ),
    ),
    "teams": (
        Field(
            name="weight",
            kind=Kind.NUMBER,
            default=1.0,
            low=0.001,
            high=1000,
            meaning="share of contended room relative to other teams",
        ),
        Field(
            name="request_rate",
            kind=Kind.NUMBER,
            unit="requests a second",
            default=0.0,
            high=1_000_000,
            meaning="limit at each gateway; 0 for none",
        ),
        Field(
            name="quota",
            kind=Kind.TABLE,
            meaning="limit for the sum of commitments in all zones",
        ),
    ),
    "teams.*.quota": RESOURCE_FIELDS,
    "services": (
        TEAM_FIELD,
        Field(
            name="replicas",
            kind=Kind.INTEGER,
            unit="tasks",
            default=1,
            high=100_000,
            meaning="replicas in all zones together",
        ),
        *RESOURCE_FIELDS,
        ZONES_FIELD,
        Field(
            name="slots",
            kind=Kind.INTEGER,
            unit="requests",
            default=8,
            low=1,
            high=100_000,
            meaning="requests that one replica works on at once",
        ),
        Field(
            name="connections",
            kind=Kind.INTEGER,
            unit="connections",
            default=64,
            low=1,
            high=100_000,
            meaning="connections that one replica accepts",
        ),
        _urgency_field("urgent"),
        Field(
            name="latency_target_ms",
            kind=Kind.NUMBER,
            unit="ms",
            low=0.1,
            high=600_000,
            meaning="99th percentile to keep next to batch work",
        ),
    ),
    "jobs": (
        TEAM_FIELD,
        Field(
            name="tasks",
            kind=Kind.INTEGER,
            unit="tasks",
            default=1,
            low=1,
            high=100_000,
            meaning="number of equal tasks",
        ),
        *RESOURCE_FIELDS,
        Field(
            name="run_time_s",
            kind=Kind.NUMBER,
            unit="s",
            default=60.0,
            high=MAX_DURATION_S,
            meaning="declared run time of one task",
        ),
        ZONES_FIELD,
        _urgency_field("normal"),
        Field(
            name="start_by_s",
            kind=Kind.NUMBER,
            unit="s",
            low=1,
            high=MAX_DURATION_S,
            meaning="time after acceptance by which its tasks should start",
        ),
        Field(
            name="deadline_s",
            kind=Kind.NUMBER,
            unit="s",
            low=1,
            high=MAX_DURATION_S,
            meaning="time after acceptance at which it fails if unfinished",
        ),
    ),
}

TOP_KEYS = frozenset(name for name in SECTIONS if "." not in name)
