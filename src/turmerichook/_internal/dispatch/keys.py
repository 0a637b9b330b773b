"""Keys of the product's own items in the store.

``inbox/`` holds what callers have handed in, as written by the process that
accepted it; ``progress/`` what has become of each job, written by the leader
only. ``queues/waiting/`` has an empty item for each accepted job that no
worker is known to have begun.
"""

import hashlib
import urllib.parse

from turmerichook._internal.models import ids

LEADER = "leader/owner"
LEADER_PREFIX = "leader/"
# Rewritten by each commit of a leader, so that a commit whose answer was lost
# cannot take effect after a later one.
SEQUENCE = "sequence"
INBOX_PREFIX = "inbox/"
JOB_PREFIX = "inbox/jobs/"
CANCEL_PREFIX = "inbox/cancels/"
PROGRESS_PREFIX = "progress/"
WAITING_PREFIX = "queues/waiting/"
# Longer names of queues go into keys as a digest; a key has at most 200 bytes.
QUEUE_NAME_MAX = 100


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
    """Return the prefix of a queue's jobs that have not begun."""
    name = urllib.parse.quote(queue, safe="")
    if len(name) > QUEUE_NAME_MAX:
        # No quoted name contains "=".
        name = "=" + hashlib.sha256(queue.encode()).hexdigest()[:32]
    return f"{WAITING_PREFIX}{name}/"


def waiting(queue: ids.QueueId, job_id: ids.JobId) -> str:
    """Return the key that a job has until it begins."""
    return waiting_prefix(queue) + job_id


def waiting_name(key: str) -> str:
    """Return the queue's name as it is in the key of a waiting job."""
    return key.removeprefix(WAITING_PREFIX).partition("/")[0]


def job_id(key: str) -> ids.JobId:
    """Return the job that a key belongs to."""
    return ids.JobId(key.rpartition("/")[2])
