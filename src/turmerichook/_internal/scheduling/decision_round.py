"""One round of decisions about the waiting tasks of a zone.

A round looks at a subqueue once for each start and each refusal, and never at
each waiting task. It ends at once if nothing was queued or released since the
last round, and no refusal by the adviser is due for another try.
"""

import dataclasses
import datetime
import heapq

from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.scheduling import advisers
from turmerichook._internal.scheduling import decisions
from turmerichook._internal.scheduling import eligibility
from turmerichook._internal.scheduling import journal
from turmerichook._internal.scheduling import placement
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import preemption
from turmerichook._internal.scheduling import queues
from turmerichook._internal.scheduling import state as states

# Limit of searches for preemption victims in one round, since each search may
# look at all hosts of the zone.
PREEMPTION_SEARCHES = 20


@dataclasses.dataclass(kw_only=True)
class Round:
    """Decisions of one round.

    :param entries: journal entries to write before the starts are sent.
    :param searches: number of searches for preemption victims.
    """

    entries: list[journal.Entry] = dataclasses.field(default_factory=list)
    starts: list[states.StartCommand] = dataclasses.field(default_factory=list)
    stops: list[states.StopCommand] = dataclasses.field(default_factory=list)
    placements: list[decisions.Placement] = dataclasses.field(
        default_factory=list
    )
    preemptions: list[decisions.Preemption] = dataclasses.field(
        default_factory=list
    )
    waits: list[decisions.Wait] = dataclasses.field(default_factory=list)
    searches: int = 0


def decide(
    zone: states.ZoneTasks, now: datetime.timedelta, limit: int
) -> Round:
    """Place waiting tasks in queue order.

    :param limit: largest number of starts in the round.
    """
    result = Round()
    result.stops += zone.overdue_stops(now)
    zone.fail_overdue_jobs(now)
    zone.requeue_delayed(now)
    _start_reserved(zone, now, result)
    if not zone.open:
        return result
    if zone.ledger.releases != zone.releases:
        zone.releases = zone.ledger.releases
        zone.unfit_amounts.clear()
        zone.unpreemptible.clear()
    elif _refusals_due(zone, now):
        zone.unpreemptible.clear()
    elif not zone.queue.changed:
        return result
    zone.queue.changed = False
    zone.refused_until = None
    for tier in queues.Tier:
        _start_tier(zone, tier, now, limit, result)
        if len(result.starts) >= limit:
            # More tasks may fit, so the next round continues.
            zone.queue.changed = True
            break
    return result


def _refusals_due(zone: states.ZoneTasks, now: datetime.timedelta) -> bool:
    return zone.refused_until is not None and now >= zone.refused_until


def _start_reserved(
    zone: states.ZoneTasks, now: datetime.timedelta, result: Round
) -> None:
    for name in list(zone.reserved):
        task = zone.tasks[name]
        key, number = plan.split(name)
        group = zone.groups[key]
        account = zone.ledger.hosts[task.host]
        free = account.free
        if (
            not zone.open
            or not zone.ledger.is_schedulable(task.host)
            or not resources.NOTHING.fits(free)
        ):
            zone.unreserve(task, now)
            group.requeued.appendleft(number)
            zone.queue.put(group)
        elif account.reservations[name].complete:
            choice = placement.reserved_choice(task.host)
            _start(zone, group, number, choice, now, result, "room-freed")
        elif zone.ledger.releases != zone.releases:
            _start_elsewhere(zone, group, number, now, result)


def _start_elsewhere(
    zone: states.ZoneTasks,
    group: queues.Group,
    number: int,
    now: datetime.timedelta,
    result: Round,
) -> None:
    """Start a task elsewhere if a host fits before the reservation does."""
    choice = placement.choose(
        need=group.amount,
        ledger=zone.ledger,
        generator=zone.generator,
        preference=eligibility.preference(zone, group, number, now),
    )
    if isinstance(choice, placement.Placed):
        _start(zone, group, number, choice, now, result, "best-of-drawn")


def _start_tier(
    zone: states.ZoneTasks,
    tier: queues.Tier,
    now: datetime.timedelta,
    limit: int,
    result: Round,
) -> None:
    teams = [(zone.teams.share(t), t) for t in zone.queue.tiers[tier]]
    heapq.heapify(teams)
    subqueues = {}
    while teams and len(result.starts) < limit:
        team = teams[0][1]
        if team not in subqueues:
            subqueues[team] = zone.queue.subqueues(tier, team)
        if _next_start(zone, subqueues[team], now, result):
            heapq.heapreplace(teams, (zone.teams.share(team), team))
        else:
            heapq.heappop(teams)


def _next_start(
    zone: states.ZoneTasks,
    subqueues: list[tuple[tuple[float, int], queues.Subqueue]],
    now: datetime.timedelta,
    result: Round,
) -> bool:
    """Start the team's first task that fits, or reserve capacity for it.

    Return False if the team has no such task.
    """
    while subqueues:
        subqueue = subqueues[0][1]
        group = subqueue.head()
        if _already_refused(zone, group):
            heapq.heappop(subqueues)
            continue
        refusal = _start_or_reserve(zone, group, now, result)
        if refusal is not None:
            _report_refusal(group, refusal, result)
            heapq.heappop(subqueues)
            continue
        head = subqueue.head()
        if head is None:
            heapq.heappop(subqueues)
        else:
            heapq.heapreplace(subqueues, (head.order, subqueue))
        return True
    return False


def _already_refused(zone: states.ZoneTasks, group: queues.Group) -> bool:
    """Tell whether a group fits nowhere and the reason is already logged."""
    return (
        group.logged_reason is outcomes.Reason.NO_FIT
        and group.work.urgency is not site.Urgency.URGENT
        and group.amount in zone.unfit_amounts
    )


def _start_or_reserve(
    zone: states.ZoneTasks,
    group: queues.Group,
    now: datetime.timedelta,
    result: Round,
) -> outcomes.Absent | None:
    """Start a group's first task or reserve capacity; else return why not."""
    refusal = eligibility.refuse(
        zone, group, started_in_round=len(result.starts)
    )
    if refusal is not None:
        if refusal.reason is outcomes.Reason.JOURNAL_FULL:
            # Space in the journal is freed without a release on any host, so
            # the next round has to try again.
            zone.queue.changed = True
        return refusal
    need = group.amount
    if need in zone.unfit_amounts:
        choice = outcomes.Absent(reason=outcomes.Reason.NO_FIT)
    else:
        choice = placement.choose(
            need=need,
            ledger=zone.ledger,
            generator=zone.generator,
            preference=eligibility.preference(zone, group, group.peek(), now),
        )
    match choice:
        case placement.Placed():
            number = group.peek()
            group.take()
            _start(zone, group, number, choice, now, result, "best-of-drawn")
            return None
        case outcomes.Absent(reason=outcomes.Reason.NO_FIT):
            zone.unfit_amounts.add(need)
        case outcomes.Absent():
            zone.refused_until = now + advisers.REFUSAL_RETRY_INTERVAL
    if group.work.urgency is site.Urgency.URGENT:
        if _preempt(zone, group, now, result):
            return None
    return choice


def _preempt(
    zone: states.ZoneTasks,
    group: queues.Group,
    now: datetime.timedelta,
    result: Round,
) -> bool:
    if (group.amount, group.task_class) in zone.unpreemptible:
        return False
    if result.searches >= PREEMPTION_SEARCHES:
        # The search is left to the next round.
        zone.queue.changed = True
        return False
    result.searches += 1
    number = group.peek()
    spec = group.work.task(number)
    victims = preemption.find_victims(zone, group.amount, now, spec)
    if isinstance(victims, outcomes.Absent):
        zone.unpreemptible.add((group.amount, group.task_class))
        return False
    group.take()
    for name in victims.tasks:
        result.stops.append(zone.stop(zone.tasks[name], now))
    zone.reserve(group, number, victims.host, now)
    result.preemptions.append(
        decisions.Preemption(task=group.work.name(number), victims=victims)
    )
    return True


def _start(
    zone: states.ZoneTasks,
    group: queues.Group,
    number: int,
    choice: placement.Placed,
    now: datetime.timedelta,
    result: Round,
    reason: str,
) -> None:
    command = zone.assign(group, number, choice.host, now)
    result.starts.append(command)
    result.entries.append(
        journal.Assigned(
            task=command.task, attempt=command.attempt, host=command.host
        )
    )
    result.placements.append(
        decisions.Placement(
            command=command,
            reason=reason,
            team=group.work.team,
            weights=zone.weights,
            score=choice.score,
            candidates=choice.candidates,
        )
    )


def _report_refusal(
    group: queues.Group, refusal: outcomes.Absent, result: Round
) -> None:
    if group.logged_reason is refusal.reason:
        return
    group.logged_reason = refusal.reason
    result.waits.append(
        decisions.Wait(
            key=group.work.key,
            tasks=group.waiting,
            reason=refusal.reason,
            detail=refusal.detail,
        )
    )
