"""The schema of the operators' configuration.

Every mistake is collected, so that one check names them all.
"""

import dataclasses
import datetime
import enum
import re
import typing

from turmerichook._internal.configuration import folder
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook import exceptions

NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
MILLICORES_PER_CORE = 1000
MIB_PER_GIB = 1024
UNLIMITED = float("inf")
LATENCY_TARGET_MS_MIN = 0.1
LATENCY_TARGET_MS_MAX = 600_000.0
INTERFERENCE_WEIGHT_MAX = 100.0

ZONE_KEYS = frozenset({"region", "state"})
TEAM_KEYS = frozenset({"quota", "weight"})
AMOUNT_KEYS = frozenset({"cores", "memory_gib", "accelerators"})
SERVICE_KEYS = AMOUNT_KEYS | {
    "team",
    "replicas",
    "zones",
    "slots",
    "connections",
    "urgency",
    "latency_target_ms",
}
JOB_KEYS = AMOUNT_KEYS | {"team", "tasks", "run_time_s", "zones", "urgency"}
SITE_KEYS = frozenset({"name", "spread", "pack", "interference"})
TOP_KEYS = frozenset({"site", "zones", "teams", "services", "jobs"})


class Checker:
    """Reads values from a merged document and collects the problems."""

    def __init__(self, *, sources: dict[str, str]):
        self.sources = sources
        self.problems: list[exceptions.ConfigurationProblem] = []

    def report(
        self, *, code: str, where: str, expected: str, hint: str = ""
    ) -> None:
        """Note one problem at a key path."""
        self.problems.append(
            exceptions.ConfigurationProblem(
                code=code,
                file=self.sources.get(where, ""),
                where=where,
                expected=expected,
                hint=hint,
            )
        )

    def keys(
        self, table: dict[str, typing.Any], known: frozenset[str], where: str
    ) -> None:
        """Report the keys that the schema does not know."""
        for key in sorted(set(table) - known):
            self.report(
                code="unknown-key",
                where=f"{where}.{key}" if where else key,
                expected="one of " + ", ".join(sorted(known)),
                hint="check the spelling",
            )

    def table(self, value: typing.Any, where: str) -> dict[str, typing.Any]:
        """Return a table, or an empty one after reporting."""
        if isinstance(value, dict):
            return value
        self.report(code="wrong-type", where=where, expected="a table")
        return {}

    def text(
        self, table: dict[str, typing.Any], key: str, where: str, default: str
    ) -> str:
        """Return a text, or its default."""
        value = table.get(key, default)
        if isinstance(value, str):
            return value
        self.report(
            code="wrong-type", where=f"{where}.{key}", expected="a text"
        )
        return default

    def number(
        self,
        table: dict[str, typing.Any],
        key: str,
        where: str,
        default: float,
        *,
        low: float = 0.0,
        high: float = UNLIMITED,
    ) -> float:
        """Return a number from ``low`` to ``high``, or its default."""
        value = table.get(key, default)
        path = f"{where}.{key}"
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            self.report(code="wrong-type", where=path, expected="a number")
            return default
        if not low <= value <= high:
            self.report(
                code="out-of-range",
                where=path,
                expected=f"a number from {low:g} to {high:g}",
            )
            return default
        return value

    def integer(
        self,
        table: dict[str, typing.Any],
        key: str,
        where: str,
        default: int,
        *,
        low: int = 0,
        high: float = UNLIMITED,
    ) -> int:
        """Return a whole number, or its default."""
        value = table.get(key, default)
        if isinstance(value, float):
            self.report(
                code="wrong-type",
                where=f"{where}.{key}",
                expected="a whole number",
            )
            return default
        return int(self.number(table, key, where, default, low=low, high=high))

    def choice(
        self,
        table: dict[str, typing.Any],
        key: str,
        where: str,
        default: enum.Enum,
    ) -> typing.Any:
        """Return a member of the default's enum."""
        kind = type(default)
        value = table.get(key, default.value)
        try:
            return kind(value)
        except ValueError:
            self.report(
                code="not-a-choice",
                where=f"{where}.{key}",
                expected="one of " + ", ".join(m.value for m in kind),
            )
            return default

    def names(
        self, table: dict[str, typing.Any], key: str, where: str
    ) -> tuple[str, ...]:
        """Return a list of names."""
        value = table.get(key, [])
        if isinstance(value, list) and all(isinstance(v, str) for v in value):
            return tuple(value)
        self.report(
            code="wrong-type",
            where=f"{where}.{key}",
            expected="a list of names",
        )
        return ()


def parse(merged: folder.Merged) -> site.Configuration:
    """Return the configuration of a merged document.

    :raises ConfigurationError: naming every problem.
    """
    checker = Checker(sources=merged.sources)
    document = merged.document
    checker.keys(document, TOP_KEYS, "")
    site_table = checker.table(document.get("site", {}), "site")
    checker.keys(site_table, SITE_KEYS, "site")
    configuration = site.Configuration(
        site=checker.text(site_table, "name", "site", ""),
        weights=site.Weights(
            spread=checker.number(site_table, "spread", "site", 1.0),
            pack=checker.number(site_table, "pack", "site", 0.0),
            interference=checker.number(
                site_table,
                "interference",
                "site",
                1.0,
                high=INTERFERENCE_WEIGHT_MAX,
            ),
        ),
        zones=_each(checker, document, "zones", _zone),
        teams=_each(checker, document, "teams", _team),
        services=_each(checker, document, "services", _service),
        jobs=_each(checker, document, "jobs", _job),
    )
    _check_references(checker, configuration)
    if checker.problems:
        raise exceptions.ConfigurationError(problems=tuple(checker.problems))
    return configuration


def job(
    name: str, table: typing.Any, configuration: site.Configuration
) -> site.Job:
    """Return a job that was submitted on its own.

    :raises ConfigurationError: naming every problem.
    """
    checker = Checker(sources={})
    where = f"jobs.{name}"
    _check_name(checker, name, where)
    parsed = _job(checker, name, checker.table(table, where), where)
    single = dataclasses.replace(
        configuration, services={}, jobs={parsed.job: parsed}
    )
    _check_references(checker, single)
    if checker.problems:
        raise exceptions.ConfigurationError(problems=tuple(checker.problems))
    return parsed


def _each(
    checker: Checker,
    document: dict[str, typing.Any],
    section: str,
    parse_one: typing.Callable[..., typing.Any],
) -> dict[typing.Any, typing.Any]:
    found = {}
    for name, value in checker.table(
        document.get(section, {}), section
    ).items():
        where = f"{section}.{name}"
        _check_name(checker, name, where)
        found[name] = parse_one(
            checker, name, checker.table(value, where), where
        )
    return found


def _check_name(checker: Checker, name: str, where: str) -> None:
    if not NAME.fullmatch(name):
        checker.report(
            code="bad-name",
            where=where,
            expected="lower-case letters, digits, '.', '_' or '-', at most 63",
        )


def _zone(checker: Checker, name: str, table: dict, where: str) -> site.Zone:
    checker.keys(table, ZONE_KEYS, where)
    return site.Zone(
        zone=ids.ZoneId(name),
        region=ids.RegionId(checker.text(table, "region", where, "default")),
        state=checker.choice(table, "state", where, site.ZoneState.IN),
    )


def _team(checker: Checker, name: str, table: dict, where: str) -> site.Team:
    checker.keys(table, TEAM_KEYS, where)
    quota = None
    if "quota" in table:
        path = f"{where}.quota"
        amounts = checker.table(table["quota"], path)
        checker.keys(amounts, AMOUNT_KEYS, path)
        quota = _amount(checker, amounts, path)
    return site.Team(
        team=ids.TeamId(name),
        quota=quota,
        weight=checker.number(table, "weight", where, 1.0, low=0.001),
    )


def _service(
    checker: Checker, name: str, table: dict, where: str
) -> site.Service:
    checker.keys(table, SERVICE_KEYS, where)
    zones = checker.names(table, "zones", where)
    return site.Service(
        service=ids.ServiceId(name),
        team=ids.TeamId(checker.text(table, "team", where, "")),
        replicas=checker.integer(table, "replicas", where, 1),
        resources=_amount(checker, table, where),
        zones=tuple(ids.ZoneId(zone) for zone in zones),
        slots=checker.integer(table, "slots", where, 8, low=1),
        connections=checker.integer(table, "connections", where, 64, low=1),
        urgency=checker.choice(table, "urgency", where, site.Urgency.URGENT),
        latency_target=_latency_target(checker, table, where),
    )


def _latency_target(
    checker: Checker, table: dict, where: str
) -> datetime.timedelta | None:
    if "latency_target_ms" not in table:
        return None
    milliseconds = checker.number(
        table,
        "latency_target_ms",
        where,
        LATENCY_TARGET_MS_MIN,
        low=LATENCY_TARGET_MS_MIN,
        high=LATENCY_TARGET_MS_MAX,
    )
    return datetime.timedelta(milliseconds=milliseconds)


def _job(checker: Checker, name: str, table: dict, where: str) -> site.Job:
    checker.keys(table, JOB_KEYS, where)
    seconds = checker.number(table, "run_time_s", where, 60.0)
    zones = checker.names(table, "zones", where)
    return site.Job(
        job=ids.JobId(name),
        team=ids.TeamId(checker.text(table, "team", where, "")),
        tasks=checker.integer(table, "tasks", where, 1, low=1, high=100_000),
        resources=_amount(checker, table, where),
        run_time=datetime.timedelta(seconds=seconds),
        zones=tuple(ids.ZoneId(zone) for zone in zones),
        urgency=checker.choice(table, "urgency", where, site.Urgency.NORMAL),
    )


def _amount(checker: Checker, table: dict, where: str) -> resources.Resources:
    cores = checker.number(table, "cores", where, 0.0, high=1e6)
    gib = checker.number(table, "memory_gib", where, 0.0, high=1e6)
    return resources.Resources(
        millicores=round(cores * MILLICORES_PER_CORE),
        memory_mib=round(gib * MIB_PER_GIB),
        accelerators=checker.integer(table, "accelerators", where, 0),
    )


def _check_references(
    checker: Checker, configuration: site.Configuration
) -> None:
    users = [
        ("services", s, s.service) for s in configuration.services.values()
    ]
    users += [("jobs", j, j.job) for j in configuration.jobs.values()]
    for section, user, name in users:
        if user.team not in configuration.teams:
            checker.report(
                code="unknown-team",
                where=f"{section}.{name}.team",
                expected="the name of a team in [teams]",
                hint=f"add [teams.{user.team or 'NAME'}]",
            )
        for zone in user.zones:
            if zone not in configuration.zones:
                checker.report(
                    code="unknown-zone",
                    where=f"{section}.{name}.zones",
                    expected="names of zones in [zones]",
                    hint=f"{zone!r} is not defined",
                )
