"""Time limits on starts and lease renewals of a zone's owner.

An owner that cannot reach the store may have been replaced by another one
without its knowledge. So it may start tasks only for a short time after the
store last confirmed its lease.
"""

import datetime


# TTL of the store lease by which an owner holds its zone.
OWNER_TTL = datetime.timedelta(seconds=4)
RENEW_INTERVAL = datetime.timedelta(seconds=1)
# For how long after a renewal was sent the owner may start tasks. Shorter than
# the lease, so that starts have stopped before another owner can claim the
# zone.
START_AUTHORITY = datetime.timedelta(seconds=2.5)
# Fraction by which the rates of two monotonic clocks may differ.
DRIFT_MARGIN = 0.1
# Each start carries the time ``not_after``, after which a worker refuses it.
# A start that was sent this long ago can no longer be carried out, so it took
# effect only if the worker's inventory lists the attempt.
START_EXPIRY = START_AUTHORITY * (1 + DRIFT_MARGIN)
# TTL of the leases that an owner grants to the tasks on a worker.
TASK_TTL = datetime.timedelta(seconds=15)
TASK_TTL_WITH_MARGIN = TASK_TTL * (1 + DRIFT_MARGIN)
# An owner stops renewing task leases when the store has not confirmed its own
# lease for this long.
UNCONFIRMED_RENEWAL_LIMIT = datetime.timedelta(hours=2)


class Authority:
    """An owner's permission to start tasks.

    The permission lasts for a fixed time after the sending of the last lease
    renewal that the store confirmed. All times are readings of one monotonic
    clock.
    """

    def __init__(self):
        self.confirmed_sent = datetime.timedelta.min
        # Unlike ``confirmed_sent``, this is kept when authority is revoked.
        self.last_confirmed: datetime.timedelta | None = None

    def confirm(self, sent: datetime.timedelta) -> None:
        """Record that the store confirmed a renewal sent at ``sent``."""
        self.confirmed_sent = max(self.confirmed_sent, sent)
        self.last_confirmed = self.confirmed_sent

    def revoke(self) -> None:
        """Forbid starts from now on."""
        self.confirmed_sent = datetime.timedelta.min

    def remaining(self, now: datetime.timedelta) -> datetime.timedelta:
        """Return for how long starts are still allowed, zero if not at all."""
        if self.confirmed_sent == datetime.timedelta.min:
            return datetime.timedelta()
        return max(datetime.timedelta(), self.end - now)

    @property
    def end(self) -> datetime.timedelta:
        """Clock reading after which no task may be started."""
        if self.confirmed_sent == datetime.timedelta.min:
            return datetime.timedelta.min
        return self.confirmed_sent + START_AUTHORITY * (1 - DRIFT_MARGIN)
