"""Commitments on the hosts of a zone."""

import dataclasses

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook import exceptions


@dataclasses.dataclass(kw_only=True, slots=True)
class HostAccount:
    """Capacity and commitments of one host."""

    capacity: resources.Resources
    committed: resources.Resources = resources.NOTHING
    tasks: dict[ids.TaskId, resources.Resources] = dataclasses.field(
        default_factory=dict
    )

    @property
    def free(self) -> resources.Resources:
        """What may still be committed; negative after a host shrank."""
        return self.capacity.minus(self.committed)


class Ledger:
    """Refuses any commitment beyond a host's capacity."""

    def __init__(self):
        self.hosts: dict[ids.HostId, HostAccount] = {}

    def set_capacity(
        self, host: ids.HostId, capacity: resources.Resources
    ) -> None:
        """Add a host, or change its capacity."""
        account = self.hosts.get(host)
        if account is None:
            self.hosts[host] = HostAccount(capacity=capacity)
        else:
            account.capacity = capacity

    def commit(
        self,
        host: ids.HostId,
        task: ids.TaskId,
        amount: resources.Resources,
    ) -> None:
        """Commit an amount to a task.

        :raises CommitmentError: if it exceeds what is free.
        """
        account = self.hosts[host]
        if not amount.fits(account.free):
            raise exceptions.CommitmentError(
                message=f"{task} does not fit on {host}",
            )
        self._add(account, task, amount)

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

    def release(self, host: ids.HostId, task: ids.TaskId) -> None:
        """End a task's commitment; unknown ones are ignored."""
        account = self.hosts.get(host)
        if account is None:
            return
        amount = account.tasks.pop(task, None)
        if amount is not None:
            account.committed = account.committed.minus(amount)

    def _add(
        self,
        account: HostAccount,
        task: ids.TaskId,
        amount: resources.Resources,
    ) -> None:
        account.tasks[task] = amount
        account.committed = account.committed.plus(amount)
