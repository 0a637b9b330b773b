"""Limit of a rate that allows short bursts after unused time."""

import dataclasses


@dataclasses.dataclass(kw_only=True, slots=True)
class TokenBucket:
    """Tokens that were available at ``updated_at``, in monotonic seconds."""

    tokens: float
    updated_at: float

    def take(self, *, rate: float, burst: float, now: float) -> float:
        """Take one token.

        :param rate: tokens that are added each second.
        :param burst: the most tokens that the bucket holds.
        :param now: monotonic time in seconds.
        :returns: 0 if a token was taken, else the seconds until one is
            available.
        """
        refilled = self.tokens + max(0.0, now - self.updated_at) * rate
        self.tokens = min(burst, refilled)
        self.updated_at = now
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / rate
