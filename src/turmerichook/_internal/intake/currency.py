"""Whether the configuration in force is recent enough to rely on its keys."""

import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.intake import events
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.storage import follower

# Share of the revocation time-out after which keys are no longer accepted. The
# rest covers the deviation of this host's clock from the store's.
AGE_SHARE_MAX = 0.9
# Number of watches that begin within the revocation time-out. A watch proves
# something only once it has ended, and one of them may fail.
WATCHES = 6


class Currency:
    """Age of the configuration, measured by reads that saw all changes.

    A removal of a key that this process does not know of was acknowledged
    after the last such read began.

    :param revocation_timeout: time after which a removed key must not be
        accepted any more; None if there is no such limit.
    """

    def __init__(
        self,
        *,
        revocation_timeout: datetime.timedelta | None,
        clock: clocks.Clock,
    ):
        self.revocation_timeout = revocation_timeout
        self.clock = clock
        self.confirmed_at: datetime.timedelta | None = None
        self.outdated = False

    @property
    def watch_timeout(self) -> datetime.timedelta:
        """Longest time for which a watch of operators' orders may wait."""
        if self.revocation_timeout is None:
            return follower.WATCH_TIMEOUT
        return min(follower.WATCH_TIMEOUT, self.revocation_timeout / WATCHES)

    def confirm(self, sent_at: datetime.timedelta) -> None:
        """Record that all changes made before our time are known.

        :param sent_at: reading of the clock's uptime.
        """
        self.confirmed_at = sent_at
        self.recent()

    def recent(self) -> bool:
        """Return whether keys of the configuration may be accepted now."""
        if self.revocation_timeout is None:
            return True
        recent = False
        age = None
        if self.confirmed_at is not None:
            age = self.clock.uptime() - self.confirmed_at
            recent = age < self.revocation_timeout * AGE_SHARE_MAX
        if recent is self.outdated:
            self.outdated = not recent
            logs.emit(
                events.IntakeEvent.CONFIGURATION_CURRENT
                if recent
                else events.IntakeEvent.CONFIGURATION_OUTDATED,
                age_ms=age and age // clocks.MILLISECOND,
            )
        return recent
