"""Log events of the scheduling slice."""

from turmerichook._internal.logs import events


class SchedulingEvent(events.EventEnum):
    """Numbers 5000 to 5999."""

    TASK_PLACED = events.Event(
        number=5001,
        level=events.Level.INFO,
        summary="a task is assigned to a worker",
    )
    TASK_WAITS = events.Event(
        number=5002,
        level=events.Level.INFO,
        summary="a task cannot be placed now",
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
