"""Log events of the ``dispatch`` package, numbers 7000 to 7199."""

from turmerichook._internal.logs import events


class DispatchEvent(events.EventEnum):
    """Events of leadership, placement, runs and workers."""

    LEADERSHIP_GAINED = events.Event(
        number=7000,
        level=events.Level.INFO,
        summary="this process has become the leader",
    )
    LEADERSHIP_LOST = events.Event(
        number=7001,
        level=events.Level.WARNING,
        summary="this process is no longer the leader",
    )
    LEADERSHIP_HANDED_OVER = events.Event(
        number=7002,
        level=events.Level.INFO,
        summary="the leader ends its term and releases its lease",
    )
    AUTHORITY_SUSPENDED = events.Event(
        number=7003,
        level=events.Level.WARNING,
        summary="the leader's lease is not confirmed; no task is started",
    )
    AUTHORITY_RESTORED = events.Event(
        number=7004,
        level=events.Level.INFO,
        summary="the store confirms the leader's lease again",
    )
    RECOVERED = events.Event(
        number=7005,
        level=events.Level.INFO,
        summary="the new leader has read all jobs from the store",
    )
    CLAIM_FAILED = events.Event(
        number=7006,
        level=events.Level.WARNING,
        summary="the leader's lease could not be claimed",
    )
    TERM_RECORD_REMOVED = events.Event(
        number=7007,
        level=events.Level.INFO,
        summary="the record of a former term was removed from the store",
    )
    TERM_RECORD_KEPT = events.Event(
        number=7008,
        level=events.Level.WARNING,
        summary="the records of terms cannot be read or removed yet",
        limit=50,
    )
    INHERITED_LEASES_SHORTENED = events.Event(
        number=7009,
        level=events.Level.INFO,
        summary="no former leader grants leases any more; theirs end sooner",
    )
    JOBS_POSTPONED = events.Event(
        number=7016,
        level=events.Level.INFO,
        summary=(
            "not all waiting jobs can end in time; these go after the others, "
            "so that the fewest are late"
        ),
    )
    CUSTOMER_DELAYED = events.Event(
        number=7015,
        level=events.Level.INFO,
        summary=(
            "tasks of a customer wait because of its quota, or because it "
            "uses more than its share while others wait"
        ),
        limit=50,
    )
    JOB_TAKEN = events.Event(
        number=7010,
        level=events.Level.INFO,
        summary="the leader has taken over an accepted job",
    )
    JOB_ENDED = events.Event(
        number=7011,
        level=events.Level.INFO,
        summary="the final state of a job has been stored",
    )
    JOB_UNREADABLE = events.Event(
        number=7012,
        level=events.Level.ERROR,
        summary="a stored job cannot be decoded and is left unchanged",
    )
    JOB_FAILED = events.Event(
        number=7013,
        level=events.Level.INFO,
        summary="the leader fails a job for one of its tasks",
    )
    TASK_PLACED = events.Event(
        number=7020,
        level=events.Level.INFO,
        summary="a task was assigned to a worker",
    )
    TASK_WAITS = events.Event(
        number=7021,
        level=events.Level.INFO,
        summary="no worker can run a step's tasks at present",
        limit=50,
    )
    START_REFUSED = events.Event(
        number=7022,
        level=events.Level.INFO,
        summary="a worker refused to start a run",
        limit=200,
    )
    START_UNKNOWN = events.Event(
        number=7023,
        level=events.Level.WARNING,
        summary="a start was not answered; its run is checked before a retry",
        limit=200,
    )
    RUN_ENDED = events.Event(
        number=7024,
        level=events.Level.INFO,
        summary="a run of a task has ended",
    )
    RUN_LOST = events.Event(
        number=7025,
        level=events.Level.WARNING,
        summary="a run certainly ended or never began; its task waits again",
        limit=200,
    )
    RUN_STOPPED = events.Event(
        number=7026,
        level=events.Level.INFO,
        summary="a stop is sent for a run",
    )
    FILLER_PACED = events.Event(
        number=7027,
        level=events.Level.INFO,
        summary="the pace of a worker's filler tasks has changed",
        limit=200,
    )
    TASK_CRASHED_WORKER = events.Event(
        number=7028,
        level=events.Level.WARNING,
        summary="a worker crashed, possibly because of a task",
        limit=200,
    )
    TASK_LOST_WORKER = events.Event(
        number=7053,
        level=events.Level.WARNING,
        summary="a worker was lost that may have crashed because of a task",
        limit=200,
    )
    TASK_CRASH_WITHDRAWN = events.Event(
        number=7054,
        level=events.Level.INFO,
        summary="a lost worker is alive; its loss no longer counts for a task",
        limit=200,
    )
    WORKER_SEEN = events.Event(
        number=7030,
        level=events.Level.INFO,
        summary="a worker's registry entry is new or has changed",
        limit=200,
    )
    CAPACITY_BELOW_USE = events.Event(
        number=7029,
        level=events.Level.WARNING,
        summary="a worker's capacity is less than its tasks use; it gets no"
        " task until it is enough",
        limit=200,
    )
    WORKER_UNLISTED = events.Event(
        number=7031,
        level=events.Level.WARNING,
        summary="a worker is no longer in the registry",
        limit=200,
    )
    WORKER_UNREACHABLE = events.Event(
        number=7032,
        level=events.Level.WARNING,
        summary="a worker does not answer the leader",
        limit=200,
    )
    WORKER_REACHED = events.Event(
        number=7033,
        level=events.Level.INFO,
        summary="a worker answers the leader again",
        limit=200,
    )
    WORKER_RESTARTED = events.Event(
        number=7034,
        level=events.Level.WARNING,
        summary="a worker has restarted and has lost its runs and ends",
        limit=200,
    )
    WORKER_SUSPECTED = events.Event(
        number=7035,
        level=events.Level.WARNING,
        summary="tasks of several jobs failed on a worker; it gets few tasks",
        limit=200,
    )
    WORKER_LAPSED = events.Event(
        number=7036,
        level=events.Level.WARNING,
        summary="all leases on an unreachable worker have ended",
        limit=200,
    )
    ENTRY_UNREADABLE = events.Event(
        number=7037,
        level=events.Level.WARNING,
        summary="a registry entry is not a valid worker entry",
    )
    REGISTRY_OUTDATED = events.Event(
        number=7038,
        level=events.Level.WARNING,
        summary="the registry was last read too long ago; nothing is placed"
        " on workers that do not enforce their capacity",
        limit=50,
    )
    REGISTRY_CURRENT = events.Event(
        number=7039,
        level=events.Level.INFO,
        summary="the registry has been read again",
        limit=50,
    )
    WORKER_CALL_FAILED = events.Event(
        number=7048,
        level=events.Level.ERROR,
        summary="a call to a worker failed unexpectedly; it counts as not"
        " answered",
        limit=50,
    )
    SILENT_WORKERS_UNREADABLE = events.Event(
        number=7049,
        level=events.Level.WARNING,
        summary="the stored list of silent workers cannot be read; their"
        " leases are taken for as long as possible",
    )
    COMMIT_RETRIED = events.Event(
        number=7040,
        level=events.Level.WARNING,
        summary="a commit is sent again, as its outcome is unknown",
    )
    STALE_LEADER = events.Event(
        number=7041,
        level=events.Level.WARNING,
        summary="a conflict in a commit shows that there is a later leader",
    )
    LEADER_FAILED = events.Event(
        number=7042,
        level=events.Level.ERROR,
        summary="a task of the leader process failed; its term ends",
    )
    RECOVERY_FAILED = events.Event(
        number=7043,
        level=events.Level.WARNING,
        summary="the new leader cannot read the store yet and tries again",
    )
    LEADER_LOAD = events.Event(
        number=7044,
        level=events.Level.INFO,
        summary="the leader's activity in one second, and its backlog",
    )
    QUEUE_LENGTHS_SWEPT = events.Event(
        number=7045,
        level=events.Level.INFO,
        summary="queue lengths were corrected for jobs that began or ended",
        limit=50,
    )
    QUEUE_LENGTHS_NOT_SWEPT = events.Event(
        number=7046,
        level=events.Level.WARNING,
        summary="queue lengths may still count jobs that have begun",
        limit=50,
    )
    FLEET_ROOM = events.Event(
        number=7047,
        level=events.Level.INFO,
        summary="how the workers' processors are used, and which waiting"
        " tasks fit on no worker",
    )
    ADVICE_TAKEN = events.Event(
        number=7050,
        level=events.Level.INFO,
        summary="the advisor has answered which workers may run a step",
    )
    ADVISOR_LOST = events.Event(
        number=7051,
        level=events.Level.WARNING,
        summary="the advisor gives no valid answer",
    )
    ADVISOR_REGAINED = events.Event(
        number=7052,
        level=events.Level.INFO,
        summary="the advisor answers again",
    )
    LOOP_HELD = events.Event(
        number=7055,
        level=events.Level.WARNING,
        summary="a piece of work has held up all other work of the process",
        limit=50,
    )
    RENEWAL_LATE = events.Event(
        number=7056,
        level=events.Level.WARNING,
        summary="the leader's lease is renewed late, as the process was busy"
        " or suspended",
        limit=50,
    )
    EARLY_CANCEL_APPLIED = events.Event(
        number=7014,
        level=events.Level.INFO,
        summary="the leader had read a job's cancellation before the job, and"
        " cancels it at once",
    )
