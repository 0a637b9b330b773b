"""Parse a merged document into the operators' configuration."""

import dataclasses
import datetime
import re
import typing

from turmerichook._internal.configuration import checker as checkers
from turmerichook._internal.configuration import fields
from turmerichook._internal.configuration import folder
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site

NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
MILLICORES_PER_CORE = 1000
MIB_PER_GIB = 1024

SECTIONS = fields.SECTIONS


def parse(merged: folder.Merged) -> site.Configuration:
    """Validate a merged document and return its configuration.

    :raises ConfigurationError: listing every problem, including those that
        were found while the files were read and merged.
    """
    checker = checkers.Checker(merged=merged)
    document = merged.document
    checker.keys(document, fields.TOP_KEYS, "")
    table = checker.table(document.get("site", {}), "site")
    values = checker.values(table, SECTIONS["site"], "site")
    configuration = site.Configuration(
        site=values["name"],
        weights=site.Weights(
            spread=values["spread"],
            pack=values["pack"],
            interference=values["interference"],
        ),
        zones=_parse_section(checker, document, "zones", _zone),
        teams=_parse_section(checker, document, "teams", _parse_team),
        services=_parse_section(checker, document, "services", _parse_service),
        jobs=_parse_section(checker, document, "jobs", _parse_job),
    )
    if merged.complete:
        # A file that could not be read or parsed may define teams and zones,
        # so references are checked only if all files were merged.
        _check_references(checker, configuration)
    checker.raise_problems()
    return configuration


def job(
    name: str, table: typing.Any, configuration: site.Configuration
) -> site.Job:
    """Validate and return a job that was submitted outside of the folder.

    :param configuration: configuration in force, which must define the
        job's team and zones.
    :raises ConfigurationError: listing every problem.
    """
    checker = checkers.Checker(merged=folder.Merged())
    where = f"jobs.{name}"
    _check_name(checker, name, where)
    parsed = _parse_job(checker, name, checker.table(table, where), where)
    job_only = dataclasses.replace(
        configuration, services={}, jobs={parsed.job: parsed}
    )
    _check_references(checker, job_only)
    checker.raise_problems()
    return parsed


def _parse_section(
    checker: checkers.Checker,
    document: checkers.Table,
    section: str,
    parse_one: typing.Callable[..., typing.Any],
) -> dict[typing.Any, typing.Any]:
    entries = {}
    tables = checker.table(document.get(section, {}), section)
    for name, value in tables.items():
        where = f"{section}.{name}"
        _check_name(checker, name, where)
        table = checker.table(value, where)
        entries[name] = parse_one(checker, name, table, where)
    return entries


def _check_name(checker: checkers.Checker, name: str, where: str) -> None:
    if not NAME.fullmatch(name):
        checker.report(
            code="bad-name",
            where=where,
            expected="at most 63 lower-case letters, digits, '.', '_' or '-'",
            hint="rename it; the first character is a letter or a digit",
        )


def _zone(
    checker: checkers.Checker, name: str, table: checkers.Table, where: str
) -> site.Zone:
    values = checker.values(table, SECTIONS["zones"], where)
    return site.Zone(
        zone=ids.ZoneId(name),
        region=ids.RegionId(values["region"]),
        state=site.ZoneState(values["state"]),
    )


def _parse_team(
    checker: checkers.Checker, name: str, table: checkers.Table, where: str
) -> site.Team:
    values = checker.values(table, SECTIONS["teams"], where)
    quota = None
    if "quota" in table:
        path = f"{where}.quota"
        amounts = checker.table(table["quota"], path)
        quota_fields = SECTIONS["teams.*.quota"]
        quota = _resource_amounts(checker.values(amounts, quota_fields, path))
    return site.Team(
        team=ids.TeamId(name),
        quota=quota,
        weight=values["weight"],
        request_rate=values["request_rate"] or None,
    )


def _parse_service(
    checker: checkers.Checker, name: str, table: checkers.Table, where: str
) -> site.Service:
    values = checker.values(table, SECTIONS["services"], where)
    return site.Service(
        service=ids.ServiceId(name),
        team=ids.TeamId(values["team"]),
        replicas=values["replicas"],
        resources=_resource_amounts(values),
        zones=tuple(ids.ZoneId(zone) for zone in values["zones"]),
        slots=values["slots"],
        connections=values["connections"],
        urgency=site.Urgency(values["urgency"]),
        latency_target=_optional_milliseconds(values["latency_target_ms"]),
    )


def _optional_milliseconds(
    milliseconds: float | None,
) -> datetime.timedelta | None:
    if milliseconds is None:
        return None
    return datetime.timedelta(milliseconds=milliseconds)


def _parse_job(
    checker: checkers.Checker, name: str, table: checkers.Table, where: str
) -> site.Job:
    values = checker.values(table, SECTIONS["jobs"], where)
    return site.Job(
        job=ids.JobId(name),
        team=ids.TeamId(values["team"]),
        tasks=values["tasks"],
        resources=_resource_amounts(values),
        run_time=datetime.timedelta(seconds=values["run_time_s"]),
        zones=tuple(ids.ZoneId(zone) for zone in values["zones"]),
        urgency=site.Urgency(values["urgency"]),
        start_by=_optional_seconds(values["start_by_s"]),
        deadline=_optional_seconds(values["deadline_s"]),
    )


def _optional_seconds(seconds: float | None) -> datetime.timedelta | None:
    return None if seconds is None else datetime.timedelta(seconds=seconds)


def _resource_amounts(values: checkers.Table) -> resources.Resources:
    return resources.Resources(
        millicores=round(values["cores"] * MILLICORES_PER_CORE),
        memory_mib=round(values["memory_gib"] * MIB_PER_GIB),
        accelerators=values["accelerators"],
    )


def _check_references(
    checker: checkers.Checker, configuration: site.Configuration
) -> None:
    consumers: list[tuple[str, site.Service | site.Job, str]] = [
        ("services", s, s.service) for s in configuration.services.values()
    ]
    consumers += [("jobs", j, j.job) for j in configuration.jobs.values()]
    for section, consumer, name in consumers:
        if consumer.team not in configuration.teams:
            checker.report(
                code="unknown-team",
                where=f"{section}.{name}.team",
                expected="the name of a team in [teams]",
                hint=f"add [teams.{consumer.team or 'NAME'}]",
            )
        for zone in consumer.zones:
            if zone not in configuration.zones:
                checker.report(
                    code="unknown-zone",
                    where=f"{section}.{name}.zones",
                    expected="names of zones in [zones]",
                    hint=f"{zone!r} is not defined",
                )
