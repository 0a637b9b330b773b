"""Eligibility of a workload to start, and its placement preferences."""

import datetime

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal import outcomes
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import placement
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import queues
from turmerichook._internal.scheduling import state as states

# Score penalty for a host on which an earlier attempt of the task has failed.
# It is larger than any sensible weight, so that such a host is chosen only if
# no other compared host has enough free capacity.
AVOIDED_HOST_PENALTY = 1000.0


def refuse(
    zone: states.ZoneTasks, group: queues.Group, started_in_round: int = 0
) -> outcomes.Absent | None:
    """Return why a group may not start, whatever capacity is free now.

    :param started_in_round: number of tasks that the current round has
        started already; the journal needs space for them too.
    """
    need = group.amount
    team = group.work.team
    if zone.capacities and not any(need.fits(c) for c in zone.capacities):
        largest = resources.NOTHING
        for capacity in zone.capacities:
            largest = largest.greater(capacity)
        reason = outcomes.Reason.NEVER_FITS
        if need.accelerators and not largest.accelerators:
            reason = outcomes.Reason.NO_ACCELERATORS
        return outcomes.Absent(
            reason=reason,
            detail=f"needs {need.text()}, largest host has {largest.text()}",
        )
    if not zone.teams.ever_allows(team, need):
        return outcomes.Absent(
            reason=outcomes.Reason.QUOTA_TOO_SMALL,
            detail=f"needs {need.text()}, quota in this zone is "
            f"{zone.teams.limits[team].text()}",
        )
    if not zone.teams.allows(team, need):
        return outcomes.Absent(
            reason=outcomes.Reason.QUOTA_REACHED,
            detail=f"uses {zone.teams.usage(team).text()} of "
            f"{zone.teams.limits[team].text()}",
        )
    number = group.peek()
    if number is not None:
        if not zone.admits(group.work.name(number), started_in_round):
            return outcomes.Absent(reason=outcomes.Reason.JOURNAL_FULL)
    return None


def preference(
    zone: states.ZoneTasks,
    group: queues.Group,
    number: int,
    now: datetime.timedelta,
) -> placement.Preference:
    """Return the preferences for the placement of a task of a group."""
    work = group.work
    service = None
    if work.kind is workers.TaskKind.SERVICE:
        service = plan.service_of(ids.TaskId(work.key))
    task = zone.tasks.get(work.name(number))
    avoid = task.avoid if task is not None else frozenset()
    spec = work.task(number)

    def cost(host: ids.HostId) -> float | outcomes.Absent:
        advice = zone.adviser.advise(spec, group.amount, host, now)
        if isinstance(advice, outcomes.Absent) or host not in avoid:
            return advice
        return advice + AVOIDED_HOST_PENALTY

    return placement.Preference(
        weights=zone.weights,
        penalty=cost,
        service=service,
        spread=zone.replicas,
    )
