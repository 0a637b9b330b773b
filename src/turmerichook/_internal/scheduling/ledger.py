"""Commitments and reservations on the hosts of a zone.

A hold reserves room for one task on a host where other tasks are being
stopped. It never counts more than is free: it begins with what is free and
takes what is released there, up to its amount. Commitments and holds together
therefore never exceed the capacity.
"""

import collections.abc
import dataclasses

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.scheduling import candidates
from turmerichook import exceptions


@dataclasses.dataclass(kw_only=True, slots=True)
class Hold:
    """Room kept for a task.

    :param amount: what the task needs.
    :param granted: what is kept so far.
    """

    amount: resources.Resources
    granted: resources.Resources = resources.NOTHING

    @property
    def complete(self) -> bool:
        """Whether the task may start."""
        return self.amount.fits(self.granted)


@dataclasses.dataclass(kw_only=True, slots=True)
class HostAccount:
    """Capacity, commitments and holds of one host."""

    capacity: resources.Resources
    committed: resources.Resources = resources.NOTHING
    tasks: dict[ids.TaskId, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    holds: dict[ids.TaskId, Hold] = dataclasses.field(default_factory=dict)

    @property
    def free(self) -> resources.Resources:
        """What may still be committed; negative after a host shrank."""
        left = self.capacity.minus(self.committed)
        for hold in self.holds.values():
            left = left.minus(hold.granted)
        return left


class UsableHosts(collections.abc.MutableSet):
    """Hosts that answer and are not leaving; changes reach the index."""

    def __init__(self, changed: collections.abc.Callable[[ids.HostId], None]):
        self.members: set[ids.HostId] = set()
        self.changed = changed

    def __contains__(self, host):
        return host in self.members

    def __iter__(self):
        return iter(self.members)

    def __len__(self):
        return len(self.members)

    def add(self, value: ids.HostId) -> None:
        """Allow new tasks on a host."""
        if value not in self.members:
            self.members.add(value)
            self.changed(value)

    def discard(self, value: ids.HostId) -> None:
        """Allow no new tasks on a host."""
        if value in self.members:
            self.members.discard(value)
            self.changed(value)


class Ledger:
    """Refuses any commitment beyond a host's capacity."""

    def __init__(self):
        self.hosts: dict[ids.HostId, HostAccount] = {}
        self.usable = UsableHosts(self._changed)
        # Hosts of the last host list; others get nothing new.
        self.listed: set[ids.HostId] = set()
        self.index = candidates.FitIndex()
        # Number of changes that may have made room for a waiting task.
        self.releases = 0

    def set_capacity(
        self, host: ids.HostId, capacity: resources.Resources
    ) -> None:
        """Add a host, or change its capacity."""
        account = self.hosts.get(host)
        if account is None:
            self.hosts[host] = HostAccount(capacity=capacity)
        elif account.capacity == capacity and host in self.listed:
            return
        else:
            account.capacity = capacity
        self.listed.add(host)
        self._changed(host)

    def unlist(self, host: ids.HostId) -> None:
        """Note that the host list no longer has a host."""
        self.listed.discard(host)
        self.index.remove(host)
        account = self.hosts.get(host)
        if account is not None and not account.tasks and not account.holds:
            del self.hosts[host]

    def hosts_in_use(self) -> set[ids.HostId]:
        """Return the hosts that have commitments."""
        return {host for host, account in self.hosts.items() if account.tasks}

    def open(self, host: ids.HostId) -> bool:
        """Tell whether a host may get new tasks."""
        return host in self.usable and host in self.listed

    def commit(
        self,
        host: ids.HostId,
        task: ids.TaskId,
        amount: resources.Resources,
    ) -> None:
        """Commit an amount to a task; a hold of the task turns into it.

        :raises CommitmentError: if it exceeds what is free.
        """
        account = self.hosts[host]
        account.holds.pop(task, None)
        if task in account.tasks or not amount.fits(account.free):
            raise exceptions.CommitmentError(
                message=f"{task} does not fit on {host}",
            )
        self._add(account, task, amount)
        self._update(host, account)

    def record(
        self,
        host: ids.HostId,
        task: ids.TaskId,
        amount: resources.Resources,
    ) -> None:
        """Note a commitment that exists already, found after a takeover."""
        account = self.hosts.setdefault(
            host, HostAccount(capacity=resources.NOTHING)
        )
        if task not in account.tasks:
            self._add(account, task, amount)
            self._update(host, account)

    def resize(
        self,
        host: ids.HostId,
        task: ids.TaskId,
        amount: resources.Resources,
    ) -> None:
        """Change a commitment to what the host has granted already.

        What a former owner granted counts even if it is more than is free.
        """
        account = self.hosts[host]
        former = account.tasks[task]
        account.tasks[task] = amount
        account.committed = account.committed.minus(former).plus(amount)
        if amount.fits(former):
            self._grant(account)
            self._released(host, account)
        else:
            self._update(host, account)

    def release(self, host: ids.HostId, task: ids.TaskId) -> None:
        """End a task's commitment; unknown ones are ignored."""
        account = self.hosts.get(host)
        if account is None:
            return
        amount = account.tasks.pop(task, None)
        if amount is not None:
            account.committed = account.committed.minus(amount)
            self._grant(account)
            self._released(host, account)

    def hold(
        self,
        host: ids.HostId,
        task: ids.TaskId,
        amount: resources.Resources,
    ) -> None:
        """Keep room for a task as it becomes free."""
        account = self.hosts[host]
        account.holds[task] = Hold(amount=amount)
        self._grant(account)
        self._update(host, account)

    def drop_hold(self, host: ids.HostId, task: ids.TaskId) -> None:
        """Give up a hold; unknown ones are ignored."""
        account = self.hosts.get(host)
        if account is not None and account.holds.pop(task, None):
            self._grant(account)
            self._released(host, account)

    def _add(
        self,
        account: HostAccount,
        task: ids.TaskId,
        amount: resources.Resources,
    ) -> None:
        account.tasks[task] = amount
        account.committed = account.committed.plus(amount)

    def _grant(self, account: HostAccount) -> None:
        for hold in account.holds.values():
            free = account.free.at_least_nothing()
            missing = hold.amount.minus(hold.granted)
            hold.granted = hold.granted.plus(missing.lesser(free))

    def _released(self, host: ids.HostId, account: HostAccount) -> None:
        if not account.tasks and not account.holds:
            if host not in self.listed:
                del self.hosts[host]
                return
        self.releases += 1
        self._update(host, account)

    def _changed(self, host: ids.HostId) -> None:
        account = self.hosts.get(host)
        if account is not None:
            self.releases += 1
            self._update(host, account)

    def _update(self, host: ids.HostId, account: HostAccount) -> None:
        if self.open(host):
            self.index.put(host, account.free)
        else:
            self.index.close(host)
