"""Explanation of why a task waits and what change would let it start."""

import dataclasses
import datetime
import enum

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal import outcomes
from turmerichook._internal.scheduling import eligibility
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import queues
from turmerichook._internal.scheduling import state as states
from turmerichook._internal.scheduling import tasks as records


class Change(enum.Enum):
    """The change that would let a waiting task start."""

    NOTHING = "nothing-it-is-started"
    OPEN_ZONE = "the-zone-opens-or-its-owner-may-start"
    ALLOW_ZONE = "the-workload-is-allowed-in-this-zone"
    LARGER_WORKER = "a-worker-of-enough-capacity-is-added"
    LARGER_QUOTA = "the-team-quota-is-raised"
    TEAM_RELEASES = "other-tasks-of-the-team-end"
    ROOM = "one-host-has-the-missing-room"
    TURN = "the-workloads-ahead-start-or-leave"
    DELAY = "the-delay-after-failures-ends"
    VICTIMS_STOP = "the-stopped-tasks-leave-the-host"
    JOURNAL_ROOM = "begun-tasks-of-the-zone-end"
    NEW_JOB = "the-job-is-submitted-anew"


CHANGES = {
    outcomes.Reason.NO_ZONE_OPEN: Change.ALLOW_ZONE,
    outcomes.Reason.NEVER_FITS: Change.LARGER_WORKER,
    outcomes.Reason.NO_ACCELERATORS: Change.LARGER_WORKER,
    outcomes.Reason.QUOTA_TOO_SMALL: Change.LARGER_QUOTA,
    outcomes.Reason.QUOTA_REACHED: Change.TEAM_RELEASES,
    outcomes.Reason.NO_FIT: Change.ROOM,
    outcomes.Reason.JOURNAL_FULL: Change.JOURNAL_ROOM,
    outcomes.Reason.FAILS_EVERYWHERE: Change.NEW_JOB,
    outcomes.Reason.DEADLINE_PASSED: Change.NEW_JOB,
}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Explanation:
    """Phase of a task and, if it waits, the reason.

    :param change: change that would let the task start.
    :param reason: reason why the task waits, None if it does not wait.
    :param rank: number of waiting workloads that come first in queue order.
    :param detail: amounts or times to which the reason refers.
    :param missing: amount that is not free on the host with the smallest
        shortage.
    """

    task: ids.TaskId
    phase: records.Phase
    change: Change
    reason: outcomes.Reason | None = None
    rank: int = 0
    detail: str = ""
    missing: resources.Resources = resources.NOTHING


def explain(
    zone: states.ZoneTasks, name: ids.TaskId, now: datetime.timedelta
) -> Explanation | outcomes.Absent:
    """Explain a task; ``Absent`` if it is in no workload of the zone.

    The cost grows with the number of waiting workloads and hosts, so this is
    meant for operators' requests only, not for the rounds.
    """
    group = _group(zone, name)
    if group is None:
        return outcomes.Absent(reason=outcomes.Reason.NO_SUCH_KEY)
    task = zone.tasks.get(name)
    if task is None and plan.split(name)[1] < group.next_unstarted:
        return Explanation(
            task=name, phase=records.Phase.FINISHED, change=Change.NOTHING
        )
    if task is not None and task.phase is records.Phase.RESERVED:
        return Explanation(
            task=name,
            phase=task.phase,
            reason=outcomes.Reason.ROOM_BEING_FREED,
            change=Change.VICTIMS_STOP,
            detail=f"on {task.host}",
        )
    if task is not None and task.phase is not records.Phase.WAITING:
        return Explanation(task=name, phase=task.phase, change=Change.NOTHING)
    if task is not None and task.due is not None:
        seconds = (task.due - now).total_seconds()
        return Explanation(
            task=name,
            phase=task.phase,
            reason=outcomes.Reason.RETRY_DELAYED,
            change=Change.DELAY,
            detail=f"{task.failures.count} failed attempts, next one in "
            f"{max(0.0, seconds):.0f} s",
        )
    return _waiting(zone, group, name)


def _waiting(
    zone: states.ZoneTasks, group: queues.Group, name: ids.TaskId
) -> Explanation:
    refusal = group.halted
    change = None
    if refusal is None and not zone.open:
        refusal = outcomes.Absent(reason=outcomes.Reason.NO_ZONE_OPEN)
        change = Change.OPEN_ZONE
    if refusal is None:
        refusal = eligibility.refuse(zone, group)
    missing = resources.NOTHING
    if refusal is None:
        missing = _missing(zone, group.amount)
        reason = outcomes.Reason.BEHIND_OTHERS
        if missing != resources.NOTHING:
            reason = outcomes.Reason.NO_FIT
        refusal = outcomes.Absent(reason=reason)
    return Explanation(
        task=name,
        phase=records.Phase.WAITING,
        reason=refusal.reason,
        change=change or CHANGES.get(refusal.reason, Change.TURN),
        rank=_rank(zone, group),
        detail=refusal.detail,
        missing=missing,
    )


def _group(zone: states.ZoneTasks, name: ids.TaskId) -> queues.Group | None:
    key, _, number = name.rpartition("/")
    group = zone.groups.get(key)
    if group is None or not number.isdecimal():
        return None
    return group if int(number) < group.work.count else None


def _rank(zone: states.ZoneTasks, group: queues.Group) -> int:
    own = _sort_key(zone, group)
    return sum(
        1
        for other in zone.groups.values()
        if other.peek() is not None and _sort_key(zone, other) < own
    )


def _sort_key(zone: states.ZoneTasks, group: queues.Group) -> tuple:
    team = group.work.team
    tier = queues.tier_of(group.work)
    return (tier, zone.teams.share(team), team, group.order)


def _missing(
    zone: states.ZoneTasks, need: resources.Resources
) -> resources.Resources:
    """Return the shortage on the host that is closest to enough capacity.

    Shortages are compared by their largest share of the needed amount.
    """
    best = need
    best_share = float("inf")
    for host in sorted(zone.usable):
        if not zone.ledger.is_schedulable(host):
            continue
        free = zone.ledger.hosts[host].free
        shortage = need.minus(free).at_least_nothing()
        share = max(
            shortage.millicores / (need.millicores or 1),
            shortage.memory_mib / (need.memory_mib or 1),
            shortage.accelerators / (need.accelerators or 1),
        )
        if share < best_share:
            best, best_share = shortage, share
    return best
