"""Rate limits of teams.

Each gateway allows an equal part of a team's rate, since the gateways share no
state and the load balancer distributes callers evenly. A token bucket for each
team allows short bursts after unused time.
"""

import dataclasses

# Capacity of a token bucket, in seconds at the rate of the team.
BURST_S = 2.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Bucket:
    """Tokens that were available at ``updated_at``, in monotonic seconds."""

    tokens: float
    updated_at: float


class TeamRates:
    """Token buckets of all teams in this gateway."""

    def __init__(self):
        self.buckets: dict[str, Bucket] = {}

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
            bucket = Bucket(tokens=burst, updated_at=now)
            self.buckets[team] = bucket
        refilled = (
            bucket.tokens + max(0.0, now - bucket.updated_at) * gateway_rate
        )
        bucket.tokens = min(burst, refilled)
        bucket.updated_at = now
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return 0.0
        return (1.0 - bucket.tokens) / gateway_rate

    def retain_teams(self, teams: set[str]) -> None:
        """Delete the buckets of all teams but the given ones."""
        for team in set(self.buckets) - teams:
            del self.buckets[team]
