"""Whether anything of a zone can still run on a host."""

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
    found = {
        host for host, account in state.ledger.hosts.items() if account.tasks
    }
    found.update(host for host, tasks in strays.orphans.items() if tasks)
    return found


def surely_ended(
    host: ids.HostId,
    link: links.WorkerLink | None,
    unknown: unknown_hosts.UnknownHosts,
    now: datetime.timedelta,
) -> bool:
    """Tell whether nothing of the zone can run on a host any more."""
    if link is not None and link.failing_since is None and link.boot:
        return False
    if unknown.gone(host, now):
        return True
    if link is not None and link.last_renewal != links.NEVER:
        return link.lapsed(now)
    return unknown.settled(host, now)
