"""One round of decisions about the waiting tasks of a zone.

A round looks at each lane of the queue once per start and refusal, never at
each waiting task, and ends at once if nothing was queued or released since.
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

# Searches for victims in one round; each may look at all hosts of the zone.
PREEMPTION_SEARCHES = 20


@dataclasses.dataclass(kw_only=True)
class Round:
    """What a round decided."""

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
    """Place waiting tasks in their order.

    :param limit: most starts in one round.
    """
    done = Round()
    done.stops += zone.overdue_stops(now)
    zone.expire(now)
    zone.end_delays(now)
    _start_reserved(zone, now, done)
    if not zone.open:
        return done
    if zone.ledger.releases != zone.releases:
        zone.releases = zone.ledger.releases
        zone.blocked.clear()
        zone.unfreeable.clear()
    elif _refusals_due(zone, now):
        zone.unfreeable.clear()
    elif not zone.queue.changed:
        return done
    zone.queue.changed = False
    zone.refused_until = None
    for tier in queues.Tier:
        _fill(zone, tier, now, limit, done)
        if len(done.starts) >= limit:
            # More may fit, so the next round goes on.
            zone.queue.changed = True
            break
    return done


def _refusals_due(zone: states.ZoneTasks, now: datetime.timedelta) -> bool:
    return zone.refused_until is not None and now >= zone.refused_until


def _start_reserved(
    zone: states.ZoneTasks, now: datetime.timedelta, done: Round
) -> None:
    for name in list(zone.reserved):
        task = zone.tasks[name]
        key, number = plan.split(name)
        group = zone.groups[key]
        account = zone.ledger.hosts[task.host]
        free = account.free
        if (
            not zone.open
            or not zone.ledger.open(task.host)
            or not resources.NOTHING.fits(free)
        ):
            zone.unreserve(task, now)
            group.again.appendleft(number)
            zone.queue.put(group)
        elif account.holds[name].complete:
            choice = placement.kept(task.host)
            _start(zone, group, number, choice, now, done, "room-freed")
        elif zone.ledger.releases != zone.releases:
            _start_elsewhere(zone, group, number, now, done)


def _start_elsewhere(
    zone: states.ZoneTasks,
    group: queues.Group,
    number: int,
    now: datetime.timedelta,
    done: Round,
) -> None:
    """Use room that another host has before the reserved room is free."""
    choice = placement.choose(
        need=group.amount,
        ledger=zone.ledger,
        generator=zone.generator,
        preference=eligibility.preference(zone, group, number, now),
    )
    if isinstance(choice, placement.Placed):
        _start(zone, group, number, choice, now, done, "best-of-drawn")


def _fill(
    zone: states.ZoneTasks,
    tier: queues.Tier,
    now: datetime.timedelta,
    limit: int,
    done: Round,
) -> None:
    teams = [(zone.teams.share(t), t) for t in zone.queue.tiers[tier]]
    heapq.heapify(teams)
    lanes = {}
    while teams and len(done.starts) < limit:
        team = teams[0][1]
        if team not in lanes:
            lanes[team] = zone.queue.lanes(tier, team)
        if _next_start(zone, lanes[team], now, done):
            heapq.heapreplace(teams, (zone.teams.share(team), team))
        else:
            heapq.heappop(teams)


def _next_start(
    zone: states.ZoneTasks,
    lanes: list[tuple[tuple[float, int], queues.Lane]],
    now: datetime.timedelta,
    done: Round,
) -> bool:
    """Start or reserve the team's first task that can be; False if none."""
    while lanes:
        lane = lanes[0][1]
        group = lane.head()
        if _known_refused(zone, group):
            heapq.heappop(lanes)
            continue
        refusal = _try(zone, group, now, done)
        if refusal is not None:
            _tell(group, refusal, done)
            heapq.heappop(lanes)
            continue
        head = lane.head()
        if head is None:
            heapq.heappop(lanes)
        else:
            heapq.heapreplace(lanes, (head.order, lane))
        return True
    return False


def _known_refused(zone: states.ZoneTasks, group: queues.Group) -> bool:
    """Tell whether nothing can start and the reason is logged already."""
    return (
        group.told is outcomes.Reason.NO_FIT
        and group.work.urgency is not site.Urgency.URGENT
        and group.amount in zone.blocked
    )


def _try(
    zone: states.ZoneTasks,
    group: queues.Group,
    now: datetime.timedelta,
    done: Round,
) -> outcomes.Absent | None:
    """Start or reserve the first task of a group; else return why not."""
    refusal = eligibility.refuse(zone, group, begun=len(done.starts))
    if refusal is not None:
        if refusal.reason is outcomes.Reason.JOURNAL_FULL:
            # The journal gains room without a release on any host.
            zone.queue.changed = True
        return refusal
    need = group.amount
    if need in zone.blocked:
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
            _start(zone, group, number, choice, now, done, "best-of-drawn")
            return None
        case outcomes.Absent(reason=outcomes.Reason.NO_FIT):
            zone.blocked.add(need)
        case outcomes.Absent():
            zone.refused_until = now + advisers.INTERVAL
    if group.work.urgency is site.Urgency.URGENT:
        if _preempt(zone, group, now, done):
            return None
    return choice


def _preempt(
    zone: states.ZoneTasks,
    group: queues.Group,
    now: datetime.timedelta,
    done: Round,
) -> bool:
    if (group.amount, group.kin) in zone.unfreeable:
        return False
    if done.searches >= PREEMPTION_SEARCHES:
        # The next round goes on.
        zone.queue.changed = True
        return False
    done.searches += 1
    number = group.peek()
    spec = group.work.task(number)
    victims = preemption.find(zone, group.amount, now, spec)
    if isinstance(victims, outcomes.Absent):
        zone.unfreeable.add((group.amount, group.kin))
        return False
    group.take()
    for name in victims.tasks:
        done.stops.append(zone.stop(zone.tasks[name], now))
    zone.reserve(group, number, victims.host, now)
    done.preemptions.append(
        decisions.Preemption(task=group.work.name(number), victims=victims)
    )
    return True


def _start(
    zone: states.ZoneTasks,
    group: queues.Group,
    number: int,
    choice: placement.Placed,
    now: datetime.timedelta,
    done: Round,
    reason: str,
) -> None:
    command = zone.assign(group, number, choice.host, now)
    done.starts.append(command)
    done.entries.append(
        journal.Assigned(
            task=command.task, attempt=command.attempt, host=command.host
        )
    )
    done.placements.append(
        decisions.Placement(
            command=command,
            reason=reason,
            team=group.work.team,
            weights=zone.weights,
            score=choice.score,
            candidates=choice.candidates,
        )
    )


def _tell(group: queues.Group, refusal: outcomes.Absent, done: Round) -> None:
    if group.told is refusal.reason:
        return
    group.told = refusal.reason
    done.waits.append(
        decisions.Wait(
            key=group.work.key,
            tasks=group.waiting,
            reason=refusal.reason,
            detail=refusal.detail,
        )
    )
