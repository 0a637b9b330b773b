"""Commitments and reservations on the hosts of a zone.

A commitment is the amount that a task's current attempt may use on its host.
A reservation collects capacity for one task on a host where other tasks are
being stopped. It starts with what is free on the host, and grows by what is
released there up to the amount that the task needs. Since a reservation never
takes more than is free, new commitments and reservations never raise the sum
of both above the host's capacity.
"""

import collections.abc
import dataclasses

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.scheduling import candidates
from turmerichook import exceptions


@dataclasses.dataclass(kw_only=True, slots=True)
class Reservation:
    """Capacity of a host that is reserved for a task.

    :param amount: amount that the task needs.
    :param granted: amount that is reserved so far.
    """

    amount: resources.Resources
    granted: resources.Resources = resources.NOTHING

    @property
    def complete(self) -> bool:
        """Whether the whole amount is reserved, so that the task may start."""
        return self.amount.fits(self.granted)


@dataclasses.dataclass(kw_only=True, slots=True)
class HostAccount:
    """Capacity, commitments and reservations of one host."""

    capacity: resources.Resources
    committed: resources.Resources = resources.NOTHING
    tasks: dict[ids.TaskId, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    reservations: dict[ids.TaskId, Reservation] = dataclasses.field(
        default_factory=dict
    )

    @property
    def free(self) -> resources.Resources:
        """Amount that may still be committed.

        It is negative if the host's capacity was reduced below its
        commitments and reservations.
        """
        left = self.capacity.minus(self.committed)
        for reservation in self.reservations.values():
            left = left.minus(reservation.granted)
        return left


class UsableHosts(collections.abc.MutableSet):
    """Hosts that are reachable and not leaving.

    :param on_change: called with each host that is added or removed, so that
        the index of free capacity follows.
    """

    def __init__(
        self, on_change: collections.abc.Callable[[ids.HostId], None]
    ):
        self.members: set[ids.HostId] = set()
        self.on_change = on_change

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
            self.on_change(value)

    def discard(self, value: ids.HostId) -> None:
        """Allow no new tasks on a host."""
        if value in self.members:
            self.members.discard(value)
            self.on_change(value)


class Ledger:
    """Commitments of a zone; refuses those beyond a host's capacity."""

    def __init__(self):
        self.hosts: dict[ids.HostId, HostAccount] = {}
        self.usable = UsableHosts(self._host_changed)
        # Hosts in the last host list; others get no new commitments.
        self.listed: set[ids.HostId] = set()
        self.index = candidates.FitIndex()
        # Number of changes after which a waiting task may fit.
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
        self._host_changed(host)

    def unlist(self, host: ids.HostId) -> None:
        """Remove a host that is no longer in the host list.

        Its account stays until its last commitment and reservation end.
        """
        self.listed.discard(host)
        self.index.remove(host)
        account = self.hosts.get(host)
        if (
            account is not None
            and not account.tasks
            and not account.reservations
        ):
            del self.hosts[host]

    def is_schedulable(self, host: ids.HostId) -> bool:
        """Tell whether a host may get new tasks."""
        return host in self.usable and host in self.listed

    def commit(
        self,
        host: ids.HostId,
        task: ids.TaskId,
        amount: resources.Resources,
    ) -> None:
        """Commit an amount to a task and end the task's reservation.

        :raises CommitmentError: if the amount exceeds what is free on the
            host, or the task has a commitment there already.
        """
        account = self.hosts[host]
        account.reservations.pop(task, None)
        if task in account.tasks or not amount.fits(account.free):
            raise exceptions.CommitmentError(
                message=f"{task} needs more than the free capacity, or is "
                f"committed already, on {host}",
            )
        self._add_commitment(account, task, amount)
        self._update_index(host, account)

    def record(
        self,
        host: ids.HostId,
        task: ids.TaskId,
        amount: resources.Resources,
    ) -> None:
        """Add a commitment that a former owner of the zone made.

        It is counted even if it exceeds the capacity, which is unknown if
        the host is not in the host list.
        """
        account = self.hosts.setdefault(
            host, HostAccount(capacity=resources.NOTHING)
        )
        if task not in account.tasks:
            self._add_commitment(account, task, amount)
            self._update_index(host, account)

    def resize(
        self,
        host: ids.HostId,
        task: ids.TaskId,
        amount: resources.Resources,
    ) -> None:
        """Change a commitment to the amount that its host has granted.

        An amount that a former owner of the zone granted is counted even if
        it is more than is free.
        """
        account = self.hosts[host]
        former = account.tasks[task]
        account.tasks[task] = amount
        account.committed = account.committed.minus(former).plus(amount)
        if amount.fits(former):
            self._grow_reservations(account)
            self._room_released(host, account)
        else:
            self._update_index(host, account)

    def release(self, host: ids.HostId, task: ids.TaskId) -> None:
        """End a task's commitment, if there is one."""
        account = self.hosts.get(host)
        if account is None:
            return
        amount = account.tasks.pop(task, None)
        if amount is not None:
            account.committed = account.committed.minus(amount)
            self._grow_reservations(account)
            self._room_released(host, account)

    def reserve(
        self,
        host: ids.HostId,
        task: ids.TaskId,
        amount: resources.Resources,
    ) -> None:
        """Reserve capacity for a task, also what is released later."""
        account = self.hosts[host]
        account.reservations[task] = Reservation(amount=amount)
        self._grow_reservations(account)
        self._update_index(host, account)

    def cancel_reservation(self, host: ids.HostId, task: ids.TaskId) -> None:
        """Cancel a task's reservation, if there is one."""
        account = self.hosts.get(host)
        if account is not None and account.reservations.pop(task, None):
            self._grow_reservations(account)
            self._room_released(host, account)

    def _add_commitment(
        self,
        account: HostAccount,
        task: ids.TaskId,
        amount: resources.Resources,
    ) -> None:
        account.tasks[task] = amount
        account.committed = account.committed.plus(amount)

    def _grow_reservations(self, account: HostAccount) -> None:
        for reservation in account.reservations.values():
            free = account.free.at_least_nothing()
            missing = reservation.amount.minus(reservation.granted)
            reservation.granted = reservation.granted.plus(
                missing.lesser(free)
            )

    def _room_released(self, host: ids.HostId, account: HostAccount) -> None:
        if not account.tasks and not account.reservations:
            if host not in self.listed:
                del self.hosts[host]
                return
        self.releases += 1
        self._update_index(host, account)

    def _host_changed(self, host: ids.HostId) -> None:
        account = self.hosts.get(host)
        if account is not None:
            self.releases += 1
            self._update_index(host, account)

    def _update_index(self, host: ids.HostId, account: HostAccount) -> None:
        if self.is_schedulable(host):
            self.index.set_free(host, account.free)
        else:
            self.index.exclude(host)
