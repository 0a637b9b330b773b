"""Rate limits of teams.

Each gateway allows an equal part of a team's rate, since the gateways share no
state and the load balancer distributes callers evenly. A token bucket for each
team allows short bursts after unused time.
"""

from turmerichook._internal import token_bucket

# Capacity of a token bucket, in seconds at the rate of the team.
BURST_S = 2.0


class TeamRates:
    """Token buckets of all teams in this gateway."""

    def __init__(self):
        self.buckets: dict[str, token_bucket.TokenBucket] = {}

    def take_token(
        self, *, team: str, rate: float | None, gateways: int, now: float
    ) -> float:
        """Take the token for one request.

        :param rate: requests per second over all gateways, or None if
            unlimited.
        :param gateways: number of gateways that share the rate.
        :param now: monotonic time in seconds.
        :returns: 0 if a token was taken, else the seconds until one is
            available.
        """
        if rate is None:
            return 0.0
        gateway_rate = rate / max(1, gateways)
        burst = max(1.0, gateway_rate * BURST_S)
        bucket = self.buckets.get(team)
        if bucket is None:
            bucket = token_bucket.TokenBucket(tokens=burst, updated_at=now)
            self.buckets[team] = bucket
        return bucket.take(rate=gateway_rate, burst=burst, now=now)

    def retain_teams(self, teams: set[str]) -> None:
        """Delete the buckets of all teams but the given ones."""
        for team in set(self.buckets) - teams:
            del self.buckets[team]
