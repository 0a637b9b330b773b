"""The keys of the operators' configuration, as data.

The checker reads this list, and ``tools/configuration_keys.py`` writes
``docs/configuration-keys.md`` from it, so the page and the check agree.
"""

import dataclasses
import enum


class Kind(enum.Enum):
    """What a value must be."""

    TEXT = "text"
    NUMBER = "number"
    INTEGER = "whole number"
    CHOICE = "choice"
    NAMES = "list of names"
    TABLE = "table"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Field:
    """One key of a table.

    :param unit: unit of the value, or an empty string.
    :param low: least value that is allowed.
    :param high: greatest value that is allowed.
    :param required: True where the key has no default.
    :param defining: True where the key defines the id; a second file may
        override other keys of the id, but not this one.
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


# Far above any host or team, and low enough that sums of thousandths stay
# exact in whole numbers.
AMOUNT_MAX = 1_000_000
# A year in seconds; longer run times and deadlines are mistakes.
LONGEST_S = 365 * 24 * 3600

AMOUNTS = (
    Field(
        name="cores",
        kind=Kind.NUMBER,
        unit="cores",
        default=0.0,
        high=AMOUNT_MAX,
        meaning="processor cores; thousandths are kept",
    ),
    Field(
        name="memory_gib",
        kind=Kind.NUMBER,
        unit="GiB",
        default=0.0,
        high=AMOUNT_MAX,
        meaning="memory",
    ),
    Field(
        name="accelerators",
        kind=Kind.INTEGER,
        unit="devices",
        default=0,
        high=AMOUNT_MAX,
        meaning="whole accelerators",
    ),
)

TEAM = Field(
    name="team",
    kind=Kind.TEXT,
    required=True,
    defining=True,
    meaning="team that the work counts for; must be in [teams]",
)

ALLOWED_ZONES = Field(
    name="zones",
    kind=Kind.NAMES,
    meaning="allowed zones; an empty list allows all",
)


def _urgency(default: str) -> Field:
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
    "teams.*.quota": AMOUNTS,
    "services": (
        TEAM,
        Field(
            name="replicas",
            kind=Kind.INTEGER,
            unit="tasks",
            default=1,
            high=100_000,
            meaning="replicas in all zones together",
        ),
        *AMOUNTS,
        ALLOWED_ZONES,
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
        _urgency("urgent"),
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
        TEAM,
        Field(
            name="tasks",
            kind=Kind.INTEGER,
            unit="tasks",
            default=1,
            low=1,
            high=100_000,
            meaning="number of equal tasks",
        ),
        *AMOUNTS,
        Field(
            name="run_time_s",
            kind=Kind.NUMBER,
            unit="s",
            default=60.0,
            high=LONGEST_S,
            meaning="declared run time of one task",
        ),
        ALLOWED_ZONES,
        _urgency("normal"),
        Field(
            name="start_by_s",
            kind=Kind.NUMBER,
            unit="s",
            low=1,
            high=LONGEST_S,
            meaning="time after acceptance by which its tasks should start",
        ),
        Field(
            name="deadline_s",
            kind=Kind.NUMBER,
            unit="s",
            low=1,
            high=LONGEST_S,
            meaning="time after acceptance at which it fails if unfinished",
        ),
    ),
}

TOP_KEYS = frozenset(name for name in SECTIONS if "." not in name)
