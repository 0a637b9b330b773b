"""Selection of the batch tasks to stop for an urgent task."""

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

# Number of hosts that are compared first. All hosts are compared only if none
# of these can free enough capacity.
HOSTS_COMPARED = 32


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Victims:
    """Tasks to stop on one host.

    :param tasks: ids of the tasks; empty if tasks that are being stopped
        already will free enough.
    :param cost: work of the tasks since their last checkpoints, which is
        lost if they are stopped without one, in core seconds.
    """

    host: ids.HostId
    tasks: tuple[ids.TaskId, ...]
    cost: float


def find_victims(
    zone: states.ZoneTasks,
    need: resources.Resources,
    now: datetime.timedelta,
    spec: plan.TaskSpec | None = None,
) -> Victims | outcomes.Absent:
    """Return the cheapest victims on one host that free enough capacity.

    :param spec: the task that needs the capacity; hosts that the co-location
        rules refuse for it are left out. None to allow all hosts.
    """
    hosts = sorted(zone.usable)
    sample = hosts
    if len(hosts) > HOSTS_COMPARED:
        sample = zone.generator.sample(hosts, HOSTS_COMPARED)
    best = _cheapest(zone, sample, need, now, spec)
    if best is None and sample is not hosts:
        best = _cheapest(zone, hosts, need, now, spec)
    if best is None:
        return outcomes.Absent(reason=outcomes.Reason.NO_FIT)
    return best


def _cheapest(
    zone: states.ZoneTasks,
    hosts: collections.abc.Iterable[ids.HostId],
    need: resources.Resources,
    now: datetime.timedelta,
    spec: plan.TaskSpec | None,
) -> Victims | None:
    best: Victims | None = None
    for host in hosts:
        if not zone.ledger.is_schedulable(host):
            continue
        victims = victims_on_host(zone, host, need, now)
        if victims is None:
            continue
        if best is None or (victims.cost, host) < (best.cost, best.host):
            # The adviser is asked last, as it takes the most time.
            if _colocation_allows(zone, spec, need, host, now):
                best = victims
    return best


def _colocation_allows(
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


def victims_on_host(
    zone: states.ZoneTasks,
    host: ids.HostId,
    need: resources.Resources,
    now: datetime.timedelta,
) -> Victims | None:
    """Return the victims on one host, or None if it cannot free enough.

    Capacity that other stops are about to free, and that no reservation
    waits for, is used before more tasks are stopped.
    """
    account = zone.ledger.hosts[host]
    free = account.free
    if not need.fits(account.capacity) or not resources.NOTHING.fits(free):
        # A host whose capacity was reduced below its commitments gets no
        # new tasks.
        return None
    room = free.plus(_room_being_freed(zone, host))
    preemptible = []
    for name, amount in account.tasks.items():
        # An unwanted attempt may have a commitment without a task record.
        task = zone.tasks.get(name)
        if task is not None and _preemptible(task):
            preemptible.append((_unsaved_work(task, now), name, amount))
    preemptible.sort()
    chosen = []
    for cost, name, amount in preemptible:
        if need.fits(room):
            break
        if _frees_missing_room(need, room, amount):
            room = room.plus(amount)
            chosen.append((cost, name, amount))
    if not need.fits(room):
        return None
    # Spare victims that a larger victim, chosen later, made unnecessary; the
    # most expensive victims are tried first.
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


def _room_being_freed(
    zone: states.ZoneTasks, host: ids.HostId
) -> resources.Resources:
    account = zone.ledger.hosts[host]
    being_freed = resources.NOTHING
    for name, amount in account.tasks.items():
        task = zone.tasks.get(name)
        if task is None or task.phase is states.Phase.STOPPING:
            being_freed = being_freed.plus(amount)
    for reservation in account.reservations.values():
        being_freed = being_freed.minus(
            reservation.amount.minus(reservation.granted)
        )
    return being_freed.at_least_nothing()


def _preemptible(task: states.Task) -> bool:
    return (
        task.phase is states.Phase.RUNNING
        and task.spec.kind is workers.TaskKind.BATCH
        and task.spec.urgency is not site.Urgency.URGENT
    )


def _unsaved_work(task: states.Task, now: datetime.timedelta) -> float:
    seconds = (now - task.saved).total_seconds()
    return seconds * task.amount.millicores / 1000


def _frees_missing_room(
    need: resources.Resources,
    room: resources.Resources,
    amount: resources.Resources,
) -> bool:
    missing = need.minus(room).at_least_nothing()
    return missing.lesser(amount) != resources.NOTHING
