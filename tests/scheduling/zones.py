"""Helpers that build small zones for the tests of decisions."""

import datetime
import random

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.providers import hosts
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import decision_round
from turmerichook._internal.scheduling import explanations
from turmerichook._internal.scheduling import journal
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import state as states

ZONE = ids.ZoneId("a")
SECOND = datetime.timedelta(seconds=1)
CORE = resources.Resources(millicores=1_000, memory_mib=100)


def cores(count: int) -> resources.Resources:
    """Return an amount with a number of cores and little memory."""
    return resources.Resources(millicores=count * 1_000, memory_mib=100)


def make_zone(
    count: int = 2, *, weights: site.Weights = site.Weights(), **teams
) -> states.ZoneTasks:
    """Return an open zone of hosts with four cores, two hosts per rack."""
    zone = states.ZoneTasks(zone=ZONE, generator=random.Random(1))
    zone.configure(
        site.Configuration(
            weights=weights,
            zones={ZONE: site.Zone(zone=ZONE, region=ids.RegionId("r"))},
            teams=teams,
        )
    )
    listing = tuple(
        hosts.Host(
            host=ids.HostId(f"h{number}"),
            address="",
            zone=ZONE,
            rack=ids.RackId(f"r{number // 2}"),
            capacity=resources.Resources(millicores=4_000, memory_mib=8_000),
            state=hosts.HostState.LIVE,
        )
        for number in range(count)
    )
    zone.set_hosts(listing)
    for host in listing:
        zone.usable.add(host.host)
    zone.open = True
    return zone


def submit(
    zone: states.ZoneTasks,
    key: str,
    amount: resources.Resources = CORE,
    count: int = 1,
    urgency: site.Urgency = site.Urgency.NORMAL,
    **fields,
) -> None:
    """Submit a workload; ``key`` begins with ``job/`` or ``service/``."""
    kind = workers.TaskKind.BATCH
    if key.startswith("service/"):
        kind = workers.TaskKind.SERVICE
    fields.setdefault("team", "t")
    work = plan.Workload(
        key=key,
        kind=kind,
        resources=amount,
        urgency=urgency,
        count=count,
        **fields,
    )
    zone.submit(work, journal.JournalState(), datetime.timedelta())


def run(
    zone: states.ZoneTasks, second: int = 0, limit: int = 100
) -> decision_round.Round:
    """Run a round and report its started tasks as running at once."""
    now = second * SECOND
    result = decision_round.decide(zone, now, limit)
    for command in result.starts:
        zone.running(command.task, command.attempt, "", now)
    return result


def reason_of(zone: states.ZoneTasks, task: str) -> outcomes.Reason | None:
    """Return the reason why a task waits, None if it does not wait."""
    return explanations.explain(zone, ids.TaskId(task), SECOND).reason
