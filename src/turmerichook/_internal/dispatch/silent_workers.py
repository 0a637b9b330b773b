"""Stored list of the workers that are silent or no longer registered.

The list tells the next leader how long leases on silent workers can last, and
where to call a worker that the registry no longer lists.
"""

import dataclasses
import datetime
import json

from turmerichook._internal import clock as clocks
from turmerichook._internal.models import ids
from turmerichook import exceptions


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SilentWorker:
    """A worker with runs that is silent or that the registry does not list.

    :param remaining: time from the commit until all leases on the worker have
        ended. No leader grants a later one before it replaces the list. None
        for a worker that answers, whose leases are renewed without a commit.
    :param address: address of the worker; empty if unknown.
    :param draining: whether the worker had announced its shutdown.
    """

    remaining: datetime.timedelta | None
    address: str = ""
    draining: bool = False


def encode(commit: str, workers: dict[ids.WorkerId, SilentWorker]) -> bytes:
    """Return the value that a commit writes.

    :param commit: id of the commit.
    """
    rows = {
        worker: [
            (
                None
                if silent.remaining is None
                else -(-silent.remaining // clocks.MILLISECOND)
            ),
            silent.address,
            silent.draining,
        ]
        for worker, silent in workers.items()
    }
    return json.dumps({"commit": commit, "workers": rows}).encode()


def decode(commit: str, value: bytes) -> dict[ids.WorkerId, SilentWorker]:
    """Return the list that a commit has written.

    :raises StoredValueError: if the value is malformed, or if another commit
        has written it.
    """
    try:
        document = json.loads(value)
        if document["commit"] != commit:
            raise ValueError("written by another commit")
        return {
            ids.WorkerId(worker): SilentWorker(
                remaining=(
                    None
                    if remaining is None
                    else remaining * clocks.MILLISECOND
                ),
                address=address,
                draining=bool(draining),
            )
            for worker, (remaining, address, draining) in document[
                "workers"
            ].items()
        }
    except (
        ValueError,
        TypeError,
        LookupError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
        raise exceptions.StoredValueError(
            message=f"cannot decode the list of silent workers: {error}"
        ) from error
