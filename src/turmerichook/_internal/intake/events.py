"""Log events of the entry process, numbers 7200 to 7299."""

from turmerichook._internal.logs import events


class IntakeEvent(events.EventEnum):
    """Events of callers' requests, operators' orders, settings and stops."""

    JOB_ACCEPTED = events.Event(
        number=7200,
        level=events.Level.INFO,
        summary="a job was accepted and is durable in the store",
    )
    JOB_REFUSED = events.Event(
        number=7201,
        level=events.Level.INFO,
        summary=(
            "a submission was refused; the job is not stored and was not run"
        ),
        limit=200,
    )
    JOB_OUTCOME_UNKNOWN = events.Event(
        number=7202,
        level=events.Level.WARNING,
        summary="the store did not confirm whether it stored a job",
        limit=200,
    )
    CANCEL_ACCEPTED = events.Event(
        number=7203,
        level=events.Level.INFO,
        summary="a cancellation was accepted and is durable in the store",
    )
    CANCEL_REFUSED = events.Event(
        number=7204,
        level=events.Level.INFO,
        summary=(
            "a cancellation was not confirmed by the store, or there are too "
            "many of jobs that do not exist"
        ),
        limit=200,
    )
    CANCEL_RECORDED = events.Event(
        number=7211,
        level=events.Level.INFO,
        summary=(
            "there is no such job; its cancellation is durable and applies if "
            "a submission of the job takes effect later"
        ),
        limit=200,
    )
    STATE_ANSWERED = events.Event(
        number=7205,
        level=events.Level.DEBUG,
        summary="a job's state was returned to a caller",
    )
    STATE_UNANSWERED = events.Event(
        number=7206,
        level=events.Level.INFO,
        summary="a job's state could not be returned to a caller",
        limit=200,
    )
    ROUTE_UNKNOWN = events.Event(
        number=7207,
        level=events.Level.INFO,
        summary="no queue matches the host and path of a request",
        limit=100,
    )
    REQUEST_MALFORMED = events.Event(
        number=7208,
        level=events.Level.INFO,
        summary="a caller's request is malformed",
        limit=100,
    )
    ACCESS_DENIED = events.Event(
        number=7212,
        level=events.Level.INFO,
        summary="a request was refused for its key; nothing was run",
        limit=100,
    )
    QUEUE_LENGTH_ANSWERED = events.Event(
        number=7209,
        level=events.Level.INFO,
        summary="a queue's length was read from the store",
        limit=100,
    )
    QUEUE_LENGTH_UNANSWERED = events.Event(
        number=7210,
        level=events.Level.INFO,
        summary="a queue's length could not be read from the store",
        limit=100,
    )
    CONFIGURATION_IN_FORCE = events.Event(
        number=7220,
        level=events.Level.INFO,
        summary="a configuration is in force",
    )
    CONFIGURATION_UNREADABLE = events.Event(
        number=7221,
        level=events.Level.ERROR,
        summary=(
            "a malformed order of the operators was ignored; the earlier "
            "configuration and closed zones stay in force"
        ),
    )
    CONFIGURATION_OUTDATED = events.Event(
        number=7226,
        level=events.Level.WARNING,
        summary=(
            "the configuration was read too long ago to rely on its keys; "
            "requests that need a key are refused"
        ),
    )
    CONFIGURATION_CURRENT = events.Event(
        number=7227,
        level=events.Level.INFO,
        summary=(
            "the configuration is recent enough again; requests with keys "
            "are accepted"
        ),
    )
    ZONES_CLOSED = events.Event(
        number=7222,
        level=events.Level.WARNING,
        summary="the set of zones closed to tasks has changed",
    )
    SETTINGS_RELOADED = events.Event(
        number=7223,
        level=events.Level.INFO,
        summary="the settings file was loaded again",
    )
    SETTINGS_UNREADABLE = events.Event(
        number=7224,
        level=events.Level.ERROR,
        summary=(
            "the settings file could not be loaded; the earlier settings "
            "stay in force"
        ),
    )
    STOPPING = events.Event(
        number=7225,
        level=events.Level.INFO,
        summary="a planned stop has begun",
    )
