"""Quotas and weights of the teams in one zone."""

import zlib

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal.quotas import usage


def zone_share(
    quota: resources.Resources,
    team: ids.TeamId,
    zone: ids.ZoneId,
    configuration: site.Configuration,
) -> resources.Resources:
    """Return the part of a team's quota that counts in a zone.

    The quota is split evenly over the open zones. The result depends on the
    configuration only, so that the owners of different zones agree without
    communication and the parts add up to the quota. The remainder of the
    division goes to zones that differ from team to team, so that no zone
    gets the remainders of all teams.
    """
    zones = configuration.open_zones()
    if zone not in zones:
        return resources.NOTHING
    offset = zlib.crc32(team.encode())
    position = (zones.index(zone) + offset) % len(zones)
    parts = {}
    for name, amount in quota.to_map().items():
        base, remainder = divmod(amount, len(zones))
        parts[name] = base + (1 if position < remainder else 0)
    return resources.Resources(**parts)


class Teams(usage.Usage[ids.TeamId]):
    """Commitments and reservations of each team in one zone.

    The owner sets ``total`` to the capacity of the zone's hosts.
    """

    def configure(
        self, zone: ids.ZoneId, configuration: site.Configuration
    ) -> None:
        """Apply the weights and quotas of a configuration."""
        self.weights = {
            name: team.weight for name, team in configuration.teams.items()
        }
        self.limits = {
            name: zone_share(team.quota, name, zone, configuration)
            for name, team in configuration.teams.items()
            if team.quota is not None
        }
