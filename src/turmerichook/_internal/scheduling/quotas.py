"""What teams use, may use and are owed in one zone."""

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

    The quota is split evenly over the open zones. It depends on nothing but
    the configuration, so that owners of different zones agree without
    talking to each other and the parts add up to the quota. The remainder of
    the division goes to zones that differ from team to team.
    """
    zones = configuration.open_zones()
    if zone not in zones:
        return resources.NOTHING
    turn = zlib.crc32(team.encode())
    place = (zones.index(zone) + turn) % len(zones)
    parts = {}
    for name, amount in quota.to_map().items():
        each, rest = divmod(amount, len(zones))
        parts[name] = each + (1 if place < rest else 0)
    return resources.Resources(**parts)


class Teams:
    """Commitments and reservations of each team in the zone."""

    def __init__(self):
        self.used: dict[ids.TeamId, resources.Resources] = {}
        self.limits: dict[ids.TeamId, resources.Resources] = {}
        self.weights: dict[ids.TeamId, float] = {}
        self.total = resources.NOTHING

    def configure(
        self, zone: ids.ZoneId, configuration: site.Configuration
    ) -> None:
        """Take over weights and quotas."""
        self.weights = {
            name: team.weight for name, team in configuration.teams.items()
        }
        self.limits = {
            name: zone_share(team.quota, name, zone, configuration)
            for name, team in configuration.teams.items()
            if team.quota is not None
        }

    def use(self, team: ids.TeamId, amount: resources.Resources) -> None:
        """Count an amount against a team."""
        self.used[team] = self.usage(team).plus(amount)

    def give_back(self, team: ids.TeamId, amount: resources.Resources) -> None:
        """Stop counting an amount against a team."""
        left = self.usage(team).minus(amount)
        if left == resources.NOTHING:
            self.used.pop(team, None)
        else:
            self.used[team] = left

    def usage(self, team: ids.TeamId) -> resources.Resources:
        """Return what counts against a team."""
        return self.used.get(team, resources.NOTHING)

    def allows(self, team: ids.TeamId, amount: resources.Resources) -> bool:
        """Tell whether an amount stays within a team's quota."""
        limit = self.limits.get(team)
        return limit is None or self.usage(team).plus(amount).fits(limit)

    def ever_allows(
        self, team: ids.TeamId, amount: resources.Resources
    ) -> bool:
        """Tell whether the quota has room if the team uses nothing else."""
        limit = self.limits.get(team)
        return limit is None or amount.fits(limit)

    def share(self, team: ids.TeamId) -> float:
        """Return a team's dominant share of the zone over its weight.

        The team with the lowest value is owed the next start.
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
