"""Usage, quotas and fair shares of the teams in one zone."""

import zlib

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site


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


class Teams:
    """Commitments and reservations of each team in one zone.

    The owner sets ``total`` to the capacity of the zone's hosts.
    """

    def __init__(self):
        self.used: dict[ids.TeamId, resources.Resources] = {}
        self.limits: dict[ids.TeamId, resources.Resources] = {}
        self.weights: dict[ids.TeamId, float] = {}
        self.total = resources.NOTHING

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

    def charge(self, team: ids.TeamId, amount: resources.Resources) -> None:
        """Add an amount to a team's usage."""
        self.used[team] = self.usage(team).plus(amount)

    def refund(self, team: ids.TeamId, amount: resources.Resources) -> None:
        """Subtract an amount from a team's usage."""
        left = self.usage(team).minus(amount)
        if left == resources.NOTHING:
            self.used.pop(team, None)
        else:
            self.used[team] = left

    def usage(self, team: ids.TeamId) -> resources.Resources:
        """Return the sum of a team's commitments and reservations."""
        return self.used.get(team, resources.NOTHING)

    def allows(self, team: ids.TeamId, amount: resources.Resources) -> bool:
        """Tell whether a further amount stays within a team's quota."""
        limit = self.limits.get(team)
        return limit is None or self.usage(team).plus(amount).fits(limit)

    def ever_allows(
        self, team: ids.TeamId, amount: resources.Resources
    ) -> bool:
        """Tell whether a quota allows an amount if nothing else is used."""
        limit = self.limits.get(team)
        return limit is None or amount.fits(limit)

    def share(self, team: ids.TeamId) -> float:
        """Return a team's dominant share of the zone divided by its weight.

        This is weighted dominant resource fairness: the team with the lowest
        value gets the next start.
        """
        used = self.used.get(team)
        if used is None:
            return 0.0
        total = self.total
        dominant = max(
            used.millicores / (total.millicores or 1),
            used.memory_mib / (total.memory_mib or 1),
            used.accelerators / (total.accelerators or 1),
        )
        return dominant / self.weights.get(team, 1.0)
