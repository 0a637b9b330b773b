"""Log events of the intake slice, numbers 7200 to 7299."""

from turmerichook._internal.logs import events


class IntakeEvent(events.EventEnum):
    """Callers' requests, and what the process learns from operators."""

    JOB_ACCEPTED = events.Event(
        number=7200,
        level=events.Level.INFO,
        summary="a job is durable and was accepted",
    )
    JOB_REFUSED = events.Event(
        number=7201,
        level=events.Level.INFO,
        summary="a submission was refused; the job has not run",
        limit=200,
    )
    JOB_OUTCOME_UNKNOWN = events.Event(
        number=7202,
        level=events.Level.WARNING,
        summary="it is not known whether a job was stored",
        limit=200,
    )
    CANCEL_ACCEPTED = events.Event(
        number=7203,
        level=events.Level.INFO,
        summary="a cancellation is durable",
    )
    CANCEL_REFUSED = events.Event(
        number=7204,
        level=events.Level.INFO,
        summary="a cancellation could not be stored, or the job is unknown",
        limit=200,
    )
    STATE_ANSWERED = events.Event(
        number=7205,
        level=events.Level.DEBUG,
        summary="a job's state was told",
    )
    STATE_UNANSWERED = events.Event(
        number=7206,
        level=events.Level.INFO,
        summary="a job's state could not be told",
        limit=200,
    )
    ROUTE_UNKNOWN = events.Event(
        number=7207,
        level=events.Level.INFO,
        summary="a request belongs to no queue",
        limit=100,
    )
    REQUEST_MALFORMED = events.Event(
        number=7208,
        level=events.Level.INFO,
        summary="a request is not valid",
        limit=100,
    )
    QUEUE_LENGTH_ANSWERED = events.Event(
        number=7209,
        level=events.Level.INFO,
        summary="a queue's length was told",
        limit=100,
    )
    QUEUE_LENGTH_UNANSWERED = events.Event(
        number=7210,
        level=events.Level.INFO,
        summary="a queue's length could not be told",
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
        summary="the operators' configuration cannot be read; the last stays",
    )
    ZONES_CLOSED = events.Event(
        number=7222,
        level=events.Level.WARNING,
        summary="the set of zones that get no tasks has changed",
    )
    SETTINGS_RELOADED = events.Event(
        number=7223,
        level=events.Level.INFO,
        summary="the settings file was read again",
    )
    SETTINGS_UNREADABLE = events.Event(
        number=7224,
        level=events.Level.ERROR,
        summary="the settings file cannot be read; the last settings stay",
    )
    STOPPING = events.Event(
        number=7225,
        level=events.Level.INFO,
        summary="a planned stop begins",
    )
