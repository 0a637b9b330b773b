"""``turmerichook zone in`` and ``zone out``: set the state of a zone."""

import pathlib

from turmerichook._internal.commands import config_check
from turmerichook._internal.commands import services
from turmerichook._internal.configuration import folder
from turmerichook._internal.configuration import schema
from turmerichook._internal.models import site
from turmerichook import exceptions


def run(directory: pathlib.Path, zone: str, state: site.ZoneState) -> dict:
    """Set a zone's state in a file of the folder.

    :raises ZoneUnknownError: if the folder does not define the zone, or if a
        file whose name sorts later sets another state.
    """
    _require_zone(directory, zone)
    path = directory / f"90-zone-{zone}.toml"
    written = services.write_checked(
        path, f'[zones.{zone}]\nstate = "{state.value}"\n'
    )
    merged = folder.merge(config_check.load(directory))
    if schema.parse(merged).zones[zone].state is not state:
        source = merged.source(f"zones.{zone}.state")
        raise exceptions.ZoneUnknownError(
            message=f"{source.file} sets another state for {zone}",
            hint=f"remove line {source.line} of {source.file}",
        )
    return {"zone": zone, "state": state.value, **written}


def _require_zone(directory: pathlib.Path, zone: str) -> None:
    configuration = schema.parse(folder.merge(config_check.load(directory)))
    if zone not in configuration.zones:
        zone_names = ", ".join(sorted(configuration.zones))
        raise exceptions.ZoneUnknownError(
            message=f"the folder defines no zone {zone}",
            hint=f"known zones: {zone_names}",
        )
