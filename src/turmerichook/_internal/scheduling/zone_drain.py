"""Draining a zone that is taken out, and filling it when brought back."""

import collections
import collections.abc
import datetime

from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import messages
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import state as states

# Batch tasks are stopped at a limited rate, since tasks that are stopped at
# the same time all write their checkpoints to the same storage. At this rate,
# the stops of a zone with 1,100 batch tasks take 11 s.
EVICTIONS_PER_SECOND = 100
# Replicas in a closed zone run on for at most this long while the open zones
# have too few replicas.
HANDOVER_LIMIT = datetime.timedelta(seconds=60)
# After a zone was brought back, the number of starts in a round is limited
# for this long.
RAMP_DURATION = datetime.timedelta(seconds=60)
# Starts in a round at the beginning of the ramp, as a share of the hosts.
RAMP_INITIAL_SHARE = 0.1

Tables = collections.abc.Mapping[str, messages.EndpointTable]


class ZoneDrain:
    """Progress of taking one zone out or bringing it back, for its owner."""

    def __init__(self, *, zone: ids.ZoneId):
        self.zone = zone
        self.closed_since: datetime.timedelta | None = None
        self.opened_at: datetime.timedelta | None = None
        self.tokens = 0.0
        self.refilled = datetime.timedelta()

    @property
    def closed(self) -> bool:
        """Whether the zone is taken out."""
        return self.closed_since is not None

    def update(
        self, configuration: site.Configuration, now: datetime.timedelta
    ) -> bool:
        """Apply the zone's configured state; return whether it has changed.

        A zone that is missing in the configuration counts as taken out.
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

        After a zone was brought back, the limit grows linearly from 10% of
        the number of hosts to the number of hosts, so that its hosts are not
        all filled at once.
        """
        if self.closed:
            return 0
        if self.opened_at is None or now - self.opened_at >= RAMP_DURATION:
            return limit
        share = (
            RAMP_INITIAL_SHARE
            + (1 - RAMP_INITIAL_SHARE) * (now - self.opened_at) / RAMP_DURATION
        )
        return min(limit, max(1, int(share * hosts)))

    def evictions(
        self, tasks: states.ZoneTasks, now: datetime.timedelta
    ) -> list[states.StopCommand]:
        """Stop as many batch tasks of a closed zone as the rate allows."""
        if not self.closed:
            return []
        elapsed = (now - self.refilled).total_seconds()
        self.refilled = now
        self.tokens = min(
            EVICTIONS_PER_SECOND,
            self.tokens + elapsed * EVICTIONS_PER_SECOND,
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
        """Return the services whose replicas run on in the closed zone.

        They run on until the open zones run enough replicas, or the handover
        limit has passed.
        """
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
        running: collections.Counter[str] = collections.Counter()
        for zone in configuration.open_zones():
            table = tables.get(zone)
            if table is None or zone == self.zone:
                continue
            for service, _, _, _, _, leaving in table.endpoints:
                running[service] += not leaving
        return running
