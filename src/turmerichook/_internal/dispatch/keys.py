"""Keys of this software's own items in the store.

``inbox/`` holds the jobs and cancellations that callers have submitted; the
process that accepts them writes them. ``progress/`` holds the progress of each
job; only the leader writes it. ``queues/waiting/`` has an empty item for each
accepted job that has not certainly begun on a worker. ``terms/`` has an item
for each host on which a process may still grant leases of its term as leader.
``silent-workers`` has the workers that did not answer the leader.
"""

import hashlib
import urllib.parse

from turmerichook._internal.models import ids

LEADER = "leader/owner"
LEADER_PREFIX = "leader/"
# Bound to the leader's lease and written with each list of silent workers, so
# that candidates learn at once that the store has changed.
SILENT_MARK = "leader/silent"
SILENT_WORKERS = "silent-workers"
# Written by each commit of the leader and a condition of the next one, so that
# a commit whose answer was lost cannot take effect after a later commit.
SEQUENCE = "sequence"
INBOX_PREFIX = "inbox/"
JOB_PREFIX = "inbox/jobs/"
CANCEL_PREFIX = "inbox/cancels/"
PROGRESS_PREFIX = "progress/"
WAITING_PREFIX = "queues/waiting/"
TERM_PREFIX = "terms/"
# A name that is longer when quoted is replaced by its digest in keys, as the
# store limits a key to 200 bytes.
NAME_MAX = 100


def job(job_id: ids.JobId) -> str:
    """Return the key of an accepted job."""
    return JOB_PREFIX + job_id


def cancel(job_id: ids.JobId) -> str:
    """Return the key of a job's cancellation."""
    return CANCEL_PREFIX + job_id


def progress(job_id: ids.JobId) -> str:
    """Return the key of a job's progress."""
    return PROGRESS_PREFIX + job_id


def waiting_prefix(queue: ids.QueueId) -> str:
    """Return the key prefix of a queue's waiting jobs."""
    return f"{WAITING_PREFIX}{_quoted(queue)}/"


def _quoted(name: str) -> str:
    quoted = urllib.parse.quote(name, safe="")
    if len(quoted) > NAME_MAX:
        # A quoted name contains no "=", so that no digest equals a name.
        return "=" + hashlib.sha256(name.encode()).hexdigest()[:32]
    return quoted


def waiting(queue: ids.QueueId, job_id: ids.JobId) -> str:
    """Return the key of the item that exists while a job waits."""
    return waiting_prefix(queue) + job_id


def waiting_name(key: str) -> str:
    """Return the quoted queue name or digest in a waiting job's key."""
    return key.removeprefix(WAITING_PREFIX).partition("/")[0]


def term(node: ids.NodeId, address: str) -> str:
    """Return the key of the record of a host's open term.

    :param address: address at which the host serves callers. Another machine
        under the same name has another address, and so a record of its own.
    """
    return TERM_PREFIX + _quoted(f"{node} {address}")


def job_id(key: str) -> ids.JobId:
    """Return the job that a key belongs to."""
    return ids.JobId(key.rpartition("/")[2])
