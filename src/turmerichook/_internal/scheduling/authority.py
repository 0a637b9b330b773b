"""How long an owner may start tasks without hearing from the store."""

import datetime


# TTL of the store lease that a zone's owner holds.
OWNER_TTL = datetime.timedelta(seconds=4)
RENEW_INTERVAL = datetime.timedelta(seconds=1)
START_AUTHORITY = datetime.timedelta(seconds=2.5)
# Share by which two monotonic clocks may drift apart.
DRIFT_MARGIN = 0.1
# A start that was sent this long ago has been refused by its ``not_after``,
# unless the worker's inventory shows it.
START_FATE_KNOWN = START_AUTHORITY * (1 + DRIFT_MARGIN)
TASK_TTL = datetime.timedelta(seconds=15)
TASK_TTL_WITH_MARGIN = TASK_TTL * (1 + DRIFT_MARGIN)
UNCONFIRMED_RENEWAL_LIMIT = datetime.timedelta(hours=2)


class Authority:
    """Authority counted from when the last confirmed renewal was sent.

    All times are readings of one monotonic clock.
    """

    def __init__(self):
        self.confirmed_sent = datetime.timedelta.min
        # Stays after the authority was revoked.
        self.last_confirmed: datetime.timedelta | None = None

    def confirm(self, sent: datetime.timedelta) -> None:
        """Note that a renewal sent at ``sent`` was confirmed."""
        self.confirmed_sent = max(self.confirmed_sent, sent)
        self.last_confirmed = self.confirmed_sent

    def revoke(self) -> None:
        """End the authority at once."""
        self.confirmed_sent = datetime.timedelta.min

    def remaining(self, now: datetime.timedelta) -> datetime.timedelta:
        """Return the time for which starts are allowed; zero if none."""
        if self.confirmed_sent == datetime.timedelta.min:
            return datetime.timedelta()
        return max(datetime.timedelta(), self.end - now)

    @property
    def end(self) -> datetime.timedelta:
        """Reading of the clock at which starts must have stopped."""
        if self.confirmed_sent == datetime.timedelta.min:
            return datetime.timedelta.min
        return self.confirmed_sent + START_AUTHORITY * (1 - DRIFT_MARGIN)
