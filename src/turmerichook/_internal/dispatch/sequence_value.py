"""Value of the key that each commit of a leader writes.

Besides the number of the commit it tells the next leader which leases earlier
leaders may have granted.
"""

import dataclasses
import datetime
import json
import typing

from turmerichook._internal import clock as clocks
from turmerichook._internal.models import ids

RECORDED = b":recorded"
DETAIL_SEPARATOR = b":"


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseNotes:
    """What a leader's last commit says about leases on workers.

    :param earlier_terms_recorded: whether each earlier term whose leader may
        still grant leases has a record. Leaders of older versions keep none.
    :param silent: workers that have not answered the leader, with the time
        from the commit until all leases on them have ended. No leader grants
        a lease on such a worker before a commit that does not name it.
    """

    earlier_terms_recorded: bool = False
    silent: dict[ids.WorkerId, datetime.timedelta] = dataclasses.field(
        default_factory=dict
    )


def encode(
    token: ids.FencingToken, number: int, lease_notes: LeaseNotes
) -> bytes:
    """Return the value for a commit.

    :param number: number of the commit in its term, from 1.
    """
    value = f"{token}:{number}".encode()
    if lease_notes.earlier_terms_recorded:
        value += RECORDED
        if lease_notes.silent:
            remaining = {
                worker: _milliseconds(duration)
                for worker, duration in lease_notes.silent.items()
            }
            value += DETAIL_SEPARATOR + json.dumps(remaining).encode()
    return value


def decode(value: bytes) -> LeaseNotes:
    """Return the notes in a value.

    A value of an older version, or a malformed one, has none.
    """
    _, recorded, detail = value.partition(RECORDED)
    if not recorded:
        return LeaseNotes()
    if not detail:
        return LeaseNotes(earlier_terms_recorded=True)
    try:
        document: typing.Any = json.loads(detail[len(DETAIL_SEPARATOR) :])
        return LeaseNotes(
            earlier_terms_recorded=True,
            silent={
                ids.WorkerId(worker): remaining * clocks.MILLISECOND
                for worker, remaining in document.items()
            },
        )
    except (ValueError, TypeError, AttributeError, OverflowError):
        return LeaseNotes()


def _milliseconds(duration: datetime.timedelta) -> int:
    return -(-duration // clocks.MILLISECOND)
