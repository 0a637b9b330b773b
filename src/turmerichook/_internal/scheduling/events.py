"""Log events of the scheduler."""

from turmerichook._internal.logs import events


class SchedulingEvent(events.EventEnum):
    """Log events of the scheduler, numbered 5000 to 5999."""

    TASK_PLACED = events.Event(
        number=5001,
        level=events.Level.INFO,
        summary="a task is assigned to a worker",
        # Room for 64 candidates with long host names. The decision could not
        # be replayed from a truncated line.
        value_characters=16_384,
    )
    TASKS_WAIT = events.Event(
        number=5002,
        level=events.Level.INFO,
        summary="tasks of a workload cannot be placed, for a new reason",
    )
    TASK_RUNNING = events.Event(
        number=5003,
        level=events.Level.INFO,
        summary="a worker reports that it runs a task",
    )
    TASK_FINISHED = events.Event(
        number=5004,
        level=events.Level.INFO,
        summary="a task has finished and its result is stored in the journal",
    )
    TASK_RETURNED = events.Event(
        number=5005,
        level=events.Level.INFO,
        summary="an attempt ended without a result and the task waits again",
    )
    START_WITHHELD = events.Event(
        number=5006,
        level=events.Level.WARNING,
        summary="a start was not sent; the authority to start has expired",
    )
    ROOM_RESERVED = events.Event(
        number=5007,
        level=events.Level.INFO,
        summary="batch tasks are stopped to free resources for an urgent task",
    )
    OWNERSHIP_GAINED = events.Event(
        number=5010,
        level=events.Level.INFO,
        summary="this scheduler has become the owner of the zone",
    )
    OWNERSHIP_LOST = events.Event(
        number=5011,
        level=events.Level.WARNING,
        summary="this scheduler is no longer the owner of the zone",
    )
    JOURNAL_UNWRITTEN = events.Event(
        number=5012,
        level=events.Level.WARNING,
        summary="the zone's journal could not be written to the store",
    )
    OWNER_FAILED = events.Event(
        number=5014,
        level=events.Level.ERROR,
        summary="the zone's owner failed; the zone is claimed again later",
    )
    JOURNAL_UNREADABLE = events.Event(
        number=5015,
        level=events.Level.ERROR,
        summary="the zone's journal cannot be decoded; no tasks are started",
    )
    RENEWALS_KEPT = events.Event(
        number=5016,
        level=events.Level.WARNING,
        summary="task leases are renewed until the zone has an owner again",
    )
    ZONE_RELEASED = events.Event(
        number=5017,
        level=events.Level.INFO,
        summary="a former owner no longer renews leases of the zone's tasks",
    )
    RENEWALS_ENDED = events.Event(
        number=5018,
        level=events.Level.ERROR,
        summary="the owner's lease was not confirmed for 2 h; tasks may lapse",
    )
    RECOVERED = events.Event(
        number=5013,
        level=events.Level.INFO,
        summary="the zone's new owner has read the journal",
    )
    WORKER_UNREACHABLE = events.Event(
        number=5020,
        level=events.Level.WARNING,
        summary="a worker did not answer a call",
    )
    WORKER_RETURNED = events.Event(
        number=5021,
        level=events.Level.INFO,
        summary="a worker answers and accepts new tasks",
    )
    STRAY_STOPPED = events.Event(
        number=5023,
        level=events.Level.WARNING,
        summary="a worker's attempt belongs to no wanted task and is stopped",
    )
    CHECKPOINT_TOO_LONG = events.Event(
        number=5024,
        level=events.Level.ERROR,
        summary="a checkpoint name longer than 128 bytes was discarded",
    )
    WORKER_LOST = events.Event(
        number=5022,
        level=events.Level.WARNING,
        summary="all attempts that were assigned to a worker have ended",
    )
    JOB_COMPLETED = events.Event(
        number=5030,
        level=events.Level.INFO,
        summary="all tasks of a job have finished",
    )
    JOB_MOVED = events.Event(
        number=5033,
        level=events.Level.INFO,
        summary="the home zone of a job has changed",
    )
    JOB_CANCELLED = events.Event(
        number=5034,
        level=events.Level.INFO,
        summary="a job was cancelled",
    )
    RECORD_UNREADABLE = events.Event(
        number=5035,
        level=events.Level.ERROR,
        summary="a record in the store cannot be decoded and is skipped",
    )
    RECORD_UNWRITTEN = events.Event(
        number=5036,
        level=events.Level.WARNING,
        summary="a job record could not be written; the write is repeated",
    )
    JOB_FAILED = events.Event(
        number=5037,
        level=events.Level.WARNING,
        summary="a job has failed and is not tried again",
    )
    ZONE_CLOSED = events.Event(
        number=5040,
        level=events.Level.WARNING,
        summary="the zone was taken out; starts stop and its work is drained",
    )
    ZONE_OPENED = events.Event(
        number=5041,
        level=events.Level.INFO,
        summary="the zone is in; starts increase gradually if it was out",
    )
    JOBS_UNREADABLE = events.Event(
        number=5031,
        level=events.Level.WARNING,
        summary="job records cannot be read from the store",
    )
    HOSTS_UNREADABLE = events.Event(
        number=5032,
        level=events.Level.WARNING,
        summary="the host list cannot be read; the last list is still used",
    )
    HOST_NOISY = events.Event(
        number=5100,
        level=events.Level.WARNING,
        summary="batch tasks on a slow service's host are limited further",
    )
    HOST_CALMER = events.Event(
        number=5101,
        level=events.Level.INFO,
        summary="a limit on batch tasks of a host was relaxed by one step",
    )
    TASK_THROTTLED = events.Event(
        number=5102,
        level=events.Level.INFO,
        summary="a batch task is limited to a fraction of its processors",
    )
    TASK_EVICTED = events.Event(
        number=5103,
        level=events.Level.INFO,
        summary="a batch task is asked to stop, to relieve its host",
    )
    EVICTION_DENIED = events.Event(
        number=5104,
        level=events.Level.WARNING,
        summary="a batch task was not evicted because a budget is exhausted",
    )
    TASK_RESIZED = events.Event(
        number=5105,
        level=events.Level.INFO,
        summary="the commitment of a task was adjusted to its measured use",
    )
    HOST_QUARANTINED = events.Event(
        number=5110,
        level=events.Level.WARNING,
        summary="tasks fail on a host, which is given only probe tasks",
    )
    HOST_SUSPECTED = events.Event(
        number=5111,
        level=events.Level.ERROR,
        summary="tasks fail on a host, but too many hosts are in quarantine",
    )
    HOST_RETURNED = events.Event(
        number=5112,
        level=events.Level.INFO,
        summary="a host has left quarantine",
    )
    JOB_AT_FAULT = events.Event(
        number=5113,
        level=events.Level.WARNING,
        summary="a job's tasks fail on every host on which they were tried",
    )
