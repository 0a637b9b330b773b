"""Keys of the product's own items in the store.

``inbox/`` holds what callers have handed in, as written by the process that
accepted it; ``progress/`` what has become of each job, written by the leader
only.
"""

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
PENDING = "queues/pending"


def job(job_id: ids.JobId) -> str:
    """Return the key of an accepted job."""
    return JOB_PREFIX + job_id


def cancel(job_id: ids.JobId) -> str:
    """Return the key of a job's cancellation."""
    return CANCEL_PREFIX + job_id


def progress(job_id: ids.JobId) -> str:
    """Return the key of a job's progress."""
    return PROGRESS_PREFIX + job_id


def job_id(key: str) -> ids.JobId:
    """Return the job that a key belongs to."""
    return ids.JobId(key.rpartition("/")[2])
