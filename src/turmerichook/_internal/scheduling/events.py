"""Log events of the scheduling slice."""

from turmerichook._internal.logs import events


class SchedulingEvent(events.EventEnum):
    """Numbers 5000 to 5999."""

    TASK_PLACED = events.Event(
        number=5001,
        level=events.Level.INFO,
        summary="a task is assigned to a worker",
    )
    TASKS_WAIT = events.Event(
        number=5002,
        level=events.Level.INFO,
        summary="tasks of a workload cannot be placed for a new reason",
    )
    TASK_RUNNING = events.Event(
        number=5003,
        level=events.Level.INFO,
        summary="a worker runs a task",
    )
    TASK_FINISHED = events.Event(
        number=5004,
        level=events.Level.INFO,
        summary="a task has finished and its result is durable",
    )
    TASK_RETURNED = events.Event(
        number=5005,
        level=events.Level.INFO,
        summary="an attempt has ended and the task waits again",
    )
    START_WITHHELD = events.Event(
        number=5006,
        level=events.Level.WARNING,
        summary="a start was not sent because the authority has lapsed",
    )
    ROOM_RESERVED = events.Event(
        number=5007,
        level=events.Level.INFO,
        summary="batch tasks are stopped to make room for an urgent task",
    )
    OWNERSHIP_GAINED = events.Event(
        number=5010,
        level=events.Level.INFO,
        summary="this scheduler owns the zone",
    )
    OWNERSHIP_LOST = events.Event(
        number=5011,
        level=events.Level.WARNING,
        summary="this scheduler no longer owns the zone",
    )
    JOURNAL_UNWRITTEN = events.Event(
        number=5012,
        level=events.Level.WARNING,
        summary="the zone's journal cannot be written",
    )
    OWNER_FAILED = events.Event(
        number=5014,
        level=events.Level.ERROR,
        summary="the zone's owner ended by an error; it is claimed again",
    )
    JOURNAL_UNREADABLE = events.Event(
        number=5015,
        level=events.Level.ERROR,
        summary="the zone's journal is not understood; nothing is started",
    )
    RENEWALS_KEPT = events.Event(
        number=5016,
        level=events.Level.WARNING,
        summary="running tasks are renewed until the zone has an owner again",
    )
    ZONE_RELEASED = events.Event(
        number=5017,
        level=events.Level.INFO,
        summary="a former owner no longer renews the zone's tasks",
    )
    RENEWALS_ENDED = events.Event(
        number=5018,
        level=events.Level.ERROR,
        summary="the store has not confirmed for too long; tasks may lapse",
    )
    RECOVERED = events.Event(
        number=5013,
        level=events.Level.INFO,
        summary="the zone's journal was read by its new owner",
    )
    WORKER_UNREACHABLE = events.Event(
        number=5020,
        level=events.Level.WARNING,
        summary="a worker gives no answer",
    )
    WORKER_RETURNED = events.Event(
        number=5021,
        level=events.Level.INFO,
        summary="a worker answers again",
    )
    STRAY_STOPPED = events.Event(
        number=5023,
        level=events.Level.WARNING,
        summary="a worker runs an attempt that nobody wants; it is stopped",
    )
    CHECKPOINT_TOO_LONG = events.Event(
        number=5024,
        level=events.Level.ERROR,
        summary="a checkpoint's name exceeds 128 bytes and is not kept",
    )
    WORKER_LOST = events.Event(
        number=5022,
        level=events.Level.WARNING,
        summary="the leases of a worker's tasks have lapsed",
    )
    JOB_COMPLETED = events.Event(
        number=5030,
        level=events.Level.INFO,
        summary="all tasks of a job have finished",
    )
    JOB_MOVED = events.Event(
        number=5033,
        level=events.Level.INFO,
        summary="a job has another home zone",
    )
    JOB_CANCELLED = events.Event(
        number=5034,
        level=events.Level.INFO,
        summary="a job was cancelled",
    )
    RECORD_UNREADABLE = events.Event(
        number=5035,
        level=events.Level.ERROR,
        summary="a record in the store is not understood and is skipped",
    )
    RECORD_UNWRITTEN = events.Event(
        number=5036,
        level=events.Level.WARNING,
        summary="a job record cannot be written; it is tried again",
    )
    JOB_FAILED = events.Event(
        number=5037,
        level=events.Level.WARNING,
        summary="a job has failed for good",
    )
    ZONE_CLOSED = events.Event(
        number=5040,
        level=events.Level.WARNING,
        summary="the zone is out: starts stop and its work is drained",
    )
    ZONE_OPENED = events.Event(
        number=5041,
        level=events.Level.INFO,
        summary="the zone is in; new starts grow slowly if it was out",
    )
    JOBS_UNREADABLE = events.Event(
        number=5031,
        level=events.Level.WARNING,
        summary="job records cannot be read from the store",
    )
    HOSTS_UNREADABLE = events.Event(
        number=5032,
        level=events.Level.WARNING,
        summary="the host list cannot be read; the last one is used",
    )
    HOST_NOISY = events.Event(
        number=5100,
        level=events.Level.WARNING,
        summary="a slow service limits batch on its host one step further",
    )
    HOST_CALMER = events.Event(
        number=5101,
        level=events.Level.INFO,
        summary="a limit on batch on the host is taken back by one step",
    )
    TASK_THROTTLED = events.Event(
        number=5102,
        level=events.Level.INFO,
        summary="a batch task is limited to a share of its processors",
    )
    TASK_EVICTED = events.Event(
        number=5103,
        level=events.Level.INFO,
        summary="a batch task is asked to leave its host",
    )
    EVICTION_DENIED = events.Event(
        number=5104,
        level=events.Level.WARNING,
        summary="a budget keeps a batch task on its host",
    )
    TASK_RESIZED = events.Event(
        number=5105,
        level=events.Level.INFO,
        summary="the commitment of a task follows its measured use",
    )
    HOST_QUARANTINED = events.Event(
        number=5110,
        level=events.Level.WARNING,
        summary="a host fails what it starts and gets only probe tasks",
    )
    HOST_SUSPECTED = events.Event(
        number=5111,
        level=events.Level.ERROR,
        summary="a host fails what it starts, but too many are in quarantine",
    )
    HOST_RETURNED = events.Event(
        number=5112,
        level=events.Level.INFO,
        summary="a host has left quarantine",
    )
    JOB_AT_FAULT = events.Event(
        number=5113,
        level=events.Level.WARNING,
        summary="a job fails on every host it was tried on",
    )
