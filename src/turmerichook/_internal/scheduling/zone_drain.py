"""Taking a zone out and bringing it back: how fast, and what goes first."""

import collections
import collections.abc
import datetime

from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import messages
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import state as states

# Batch tasks that are asked for a checkpoint at once would all write it to
# the same storage; a zone of 1,100 is empty in 11 s at this rate.
EVICTIONS_PER_SECOND = 100
# Replicas stay for at most this long when the open zones start none.
HANDOVER_LIMIT = datetime.timedelta(seconds=60)
RAMP = datetime.timedelta(seconds=60)
RAMP_SHARE = 0.1

Tables = collections.abc.Mapping[str, messages.EndpointTable]


class ZoneDrain:
    """State of one zone's way out or back in, as its owner sees it."""

    def __init__(self, *, zone: ids.ZoneId):
        self.zone = zone
        self.closed_since: datetime.timedelta | None = None
        self.opened_at: datetime.timedelta | None = None
        self.tokens = 0.0
        self.refilled = datetime.timedelta()

    @property
    def closed(self) -> bool:
        """Whether the zone is out."""
        return self.closed_since is not None

    def note(
        self, configuration: site.Configuration, now: datetime.timedelta
    ) -> bool:
        """Note the zone's configured state; True if it has changed.

        A zone that is no longer configured is out.
        """
        zone = configuration.zones.get(self.zone)
        out = zone is None or zone.state is site.ZoneState.OUT
        if out == self.closed:
            return False
        if out:
            self.closed_since = now
            self.opened_at = None
        else:
            self.closed_since = None
            self.opened_at = now
        self.tokens = 0.0
        self.refilled = now
        return True

    def start_limit(
        self, limit: int, hosts: int, now: datetime.timedelta
    ) -> int:
        """Return how many tasks may start in this round.

        While a zone comes back, the share of its hosts that get a start in
        one round grows from 10% to all.
        """
        if self.closed:
            return 0
        if self.opened_at is None or now - self.opened_at >= RAMP:
            return limit
        share = RAMP_SHARE + (1 - RAMP_SHARE) * (now - self.opened_at) / RAMP
        return min(limit, max(1, int(share * hosts)))

    def evictions(
        self, tasks: states.ZoneTasks, now: datetime.timedelta
    ) -> list[states.StopCommand]:
        """Begin to stop as many batch tasks as the rate allows."""
        if not self.closed:
            return []
        passed = (now - self.refilled).total_seconds()
        self.refilled = now
        self.tokens = min(
            EVICTIONS_PER_SECOND,
            self.tokens + passed * EVICTIONS_PER_SECOND,
        )
        commands = []
        for name, task in tasks.tasks.items():
            if self.tokens < 1:
                break
            if task.spec.kind is not workers.TaskKind.BATCH:
                continue
            if task.phase in (states.Phase.ASSIGNED, states.Phase.RUNNING):
                commands.append(tasks.stop(task, now))
                self.tokens -= 1
        return commands

    def kept_services(
        self,
        tasks: states.ZoneTasks,
        configuration: site.Configuration,
        tables: Tables,
        now: datetime.timedelta,
    ) -> frozenset[ids.ServiceId]:
        """Return the services whose replicas stay until others started."""
        if self.closed_since is None:
            return frozenset()
        if now - self.closed_since > HANDOVER_LIMIT:
            return frozenset()
        elsewhere = self._running_elsewhere(configuration, tables)
        kept = set()
        for name, task in tasks.services.items():
            if task.phase is not states.Phase.RUNNING:
                continue
            service = configuration.services.get(plan.service_of(name))
            if service is None:
                continue
            if elsewhere[service.service] < max(1, service.replicas):
                kept.add(service.service)
        return frozenset(kept)

    def _running_elsewhere(
        self, configuration: site.Configuration, tables: Tables
    ) -> collections.Counter[str]:
        found: collections.Counter[str] = collections.Counter()
        for zone in configuration.open_zones():
            table = tables.get(zone)
            if table is None or zone == self.zone:
                continue
            for service, _, _, _, _, leaving in table.endpoints:
                found[service] += not leaving
        return found
