"""Value of the key that each commit of a leader writes.

Besides the id of the commit it tells the next leader which leases earlier
leaders may have granted.
"""

import dataclasses
import re

from turmerichook._internal.models import ids

RECORDED = b":recorded"
COMMIT_ID = re.compile(b":([0-9]+:[0-9]+)")


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseNotes:
    """What a leader's last commit says about leases on workers.

    :param earlier_terms_recorded: whether each earlier term whose leader may
        still grant leases has a record. Leaders of older versions keep none.
    :param silent: id of the commit that wrote the list of silent workers in
        force; empty if there is none.
    """

    earlier_terms_recorded: bool = False
    silent: str = ""


def commit_id(token: ids.FencingToken, number: int) -> str:
    """Return the id of a commit.

    :param number: number of the commit in its term, from 1.
    """
    return f"{token}:{number}"


def encode(commit: str, lease_notes: LeaseNotes) -> bytes:
    """Return the value for a commit with this id."""
    value = commit.encode()
    if lease_notes.earlier_terms_recorded:
        value += RECORDED
        if lease_notes.silent:
            value += f":{lease_notes.silent}".encode()
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
    match = COMMIT_ID.fullmatch(detail)
    if match is None:
        return LeaseNotes()
    return LeaseNotes(earlier_terms_recorded=True, silent=match[1].decode())
