"""Whether a workload may start at all, and what its tasks ask of a host."""

import datetime

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal import outcomes
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import placement
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import queues
from turmerichook._internal.scheduling import state as states

# Deduction for a host on which an earlier attempt has failed; larger than any
# sensible weight, so that such a host is taken only if no other one has room.
AVOIDED_COST = 1000.0


def refuse(
    zone: states.ZoneTasks, group: queues.Group, begun: int = 0
) -> outcomes.Absent | None:
    """Return why a group may not start, whatever room hosts have now.

    :param begun: number of tasks that this round has started.
    """
    need = group.amount
    team = group.work.team
    if zone.capacities and not any(need.fits(c) for c in zone.capacities):
        most = resources.NOTHING
        for capacity in zone.capacities:
            most = most.greater(capacity)
        reason = outcomes.Reason.NEVER_FITS
        if need.accelerators and not most.accelerators:
            reason = outcomes.Reason.NO_ACCELERATORS
        return outcomes.Absent(
            reason=reason,
            detail=f"needs {need.text()}, largest is {most.text()}",
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
        if not zone.admits(group.work.name(number), begun):
            return outcomes.Absent(reason=outcomes.Reason.JOURNAL_FULL)
    return None


def preference(
    zone: states.ZoneTasks,
    group: queues.Group,
    number: int,
    now: datetime.timedelta,
) -> placement.Preference:
    """Return what is asked of a host for a task of a group."""
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
        return advice + AVOIDED_COST

    return placement.Preference(
        weights=zone.weights,
        cost=cost,
        service=service,
        spread=zone.replicas,
    )
