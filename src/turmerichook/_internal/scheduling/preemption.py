"""Which batch tasks make room for an urgent one."""

import collections.abc
import dataclasses
import datetime

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import state as states

# Hosts that are compared; all others are tried only if none of them serves.
SAMPLES = 32


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Victims:
    """Tasks to stop on one host; none if room is being freed already.

    :param cost: work since their last checkpoints, in core seconds.
    """

    host: ids.HostId
    tasks: tuple[ids.TaskId, ...]
    cost: float


def find(
    zone: states.ZoneTasks,
    need: resources.Resources,
    now: datetime.timedelta,
    spec: plan.TaskSpec | None = None,
) -> Victims | outcomes.Absent:
    """Return the cheapest victims on one host that make enough room.

    :param spec: the task that needs the room; hosts that co-location refuses
        for it are left out.
    """
    names = sorted(zone.usable)
    drawn = names
    if len(names) > SAMPLES:
        drawn = zone.generator.sample(names, SAMPLES)
    best = _best(zone, drawn, need, now, spec)
    if best is None and drawn is not names:
        best = _best(zone, names, need, now, spec)
    if best is None:
        return outcomes.Absent(reason=outcomes.Reason.NO_FIT)
    return best


def _best(
    zone: states.ZoneTasks,
    names: collections.abc.Iterable[ids.HostId],
    need: resources.Resources,
    now: datetime.timedelta,
    spec: plan.TaskSpec | None,
) -> Victims | None:
    best: Victims | None = None
    for host in names:
        if not zone.ledger.open(host):
            continue
        found = on_host(zone, host, need, now)
        if found is None:
            continue
        if best is None or (found.cost, host) < (best.cost, best.host):
            # Advice is asked for last, since it costs most.
            if _allowed(zone, spec, need, host, now):
                best = found
    return best


def _allowed(
    zone: states.ZoneTasks,
    spec: plan.TaskSpec | None,
    need: resources.Resources,
    host: ids.HostId,
    now: datetime.timedelta,
) -> bool:
    if spec is None:
        return True
    advice = zone.adviser.advise(spec, need, host, now)
    return not isinstance(advice, outcomes.Absent)


def on_host(
    zone: states.ZoneTasks,
    host: ids.HostId,
    need: resources.Resources,
    now: datetime.timedelta,
) -> Victims | None:
    """Return the victims on one host, or None if it cannot make room.

    Room that other stops are about to free, and that no hold waits for, is
    used before anything more is stopped.
    """
    account = zone.ledger.hosts[host]
    free = account.free
    if not need.fits(account.capacity) or not resources.NOTHING.fits(free):
        # A host that has shrunk below its commitments gets nothing new.
        return None
    room = free.plus(_pending(zone, host))
    costs = []
    for name, amount in account.tasks.items():
        # Attempts that nobody wants hold room under names without a record.
        task = zone.tasks.get(name)
        if task is not None and _preemptible(task):
            costs.append((_cost(task, now), name, amount))
    costs.sort()
    chosen = []
    for cost, name, amount in costs:
        if need.fits(room):
            break
        if _helps(need, room, amount):
            room = room.plus(amount)
            chosen.append((cost, name, amount))
    if not need.fits(room):
        return None
    # Drops the expensive ones that later, larger ones made superfluous.
    for victim in reversed(list(chosen)):
        without = room.minus(victim[2])
        if need.fits(without):
            room = without
            chosen.remove(victim)
    return Victims(
        host=host,
        tasks=tuple(name for _, name, _ in chosen),
        cost=sum(cost for cost, _, _ in chosen),
    )


def _pending(zone: states.ZoneTasks, host: ids.HostId) -> resources.Resources:
    account = zone.ledger.hosts[host]
    pending = resources.NOTHING
    for name, amount in account.tasks.items():
        task = zone.tasks.get(name)
        if task is None or task.phase is states.Phase.STOPPING:
            pending = pending.plus(amount)
    for hold in account.holds.values():
        pending = pending.minus(hold.amount.minus(hold.granted))
    return pending.at_least_nothing()


def _preemptible(task: states.Task) -> bool:
    return (
        task.phase is states.Phase.RUNNING
        and task.spec.kind is workers.TaskKind.BATCH
        and task.spec.urgency is not site.Urgency.URGENT
    )


def _cost(task: states.Task, now: datetime.timedelta) -> float:
    seconds = (now - task.saved).total_seconds()
    return seconds * task.amount.millicores / 1000


def _helps(
    need: resources.Resources,
    room: resources.Resources,
    amount: resources.Resources,
) -> bool:
    missing = need.minus(room).at_least_nothing()
    return missing.lesser(amount) != resources.NOTHING
