"""Request rates of teams.

Each gateway grants an equal part of a team's rate, since gateways hold no
common state and the load balancer spreads callers evenly. Unused grants last
for a short burst.
"""

import dataclasses

# Seconds of a rate that may be used at once.
BURST_S = 2.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Bucket:
    """Grants left at a time in monotonic seconds."""

    left: float
    at: float


class TeamRates:
    """Token buckets by team."""

    def __init__(self):
        self.buckets: dict[str, Bucket] = {}

    def take(
        self, *, team: str, rate: float | None, gateways: int, now: float
    ) -> float:
        """Take one grant; return 0, or the seconds until there is one.

        :param rate: requests a second on all gateways; None for no limit.
        """
        if rate is None:
            return 0.0
        local = rate / max(1, gateways)
        burst = max(1.0, local * BURST_S)
        bucket = self.buckets.get(team)
        if bucket is None:
            bucket = Bucket(left=burst, at=now)
            self.buckets[team] = bucket
        refilled = bucket.left + max(0.0, now - bucket.at) * local
        bucket.left = min(burst, refilled)
        bucket.at = now
        if bucket.left >= 1.0:
            bucket.left -= 1.0
            return 0.0
        return (1.0 - bucket.left) / local

    def keep(self, teams: set[str]) -> None:
        """Forget the teams that are no longer configured."""
        for team in set(self.buckets) - teams:
            del self.buckets[team]
