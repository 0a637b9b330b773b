"""Decides whether tasks of a zone can still run on a host."""

import datetime

from turmerichook._internal.models import ids
from turmerichook._internal.scheduling import links
from turmerichook._internal.scheduling import state as states
from turmerichook._internal.scheduling import strays as stray_module
from turmerichook._internal.scheduling import unknown_hosts


def hosts_in_use(
    state: states.ZoneTasks, strays: stray_module.Strays
) -> set[ids.HostId]:
    """Return the hosts on which tasks of the zone run or may run."""
    in_use = {
        host for host, account in state.ledger.hosts.items() if account.tasks
    }
    in_use.update(host for host, tasks in strays.orphans.items() if tasks)
    return in_use


def tasks_certainly_ended(
    host: ids.HostId,
    link: links.WorkerLink | None,
    unknown: unknown_hosts.UnknownHosts,
    now: datetime.timedelta,
) -> bool:
    """Tell whether all tasks of the zone on a host have certainly ended.

    They have ended if the platform has stopped the host or all leases of its
    tasks have lapsed, and not while the host's worker answers.

    :param link: the link to the host's worker, None if there is none.
    :param unknown: what this owner knows about workers that have not answered
        it.
    """
    if link is not None and link.failing_since is None and link.boot:
        return False
    if unknown.stopped_by_platform(host, now):
        return True
    if link is not None and link.last_renewal != links.NEVER:
        return link.lapsed(now)
    return unknown.all_leases_lapsed(host, now)
