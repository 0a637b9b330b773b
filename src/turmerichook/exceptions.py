"""The product's exception hierarchy.

Each kind of failure has an exception type. An error has a short code
(``reference``), a message, the context in which it arose, and optionally a
note and a hint on what to do next. The command line prints them in that order
and exits with the error's ``exit_status``.
"""

import dataclasses
import enum

EXIT_FAILURE = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4


class TurmerichookError(Exception):
    """Base of all errors that the product defines."""

    reference = "internal-error"
    exit_status = EXIT_FAILURE

    def __init__(
        self,
        *,
        message: str,
        context: str = "",
        note: str = "",
        hint: str = "",
    ):
        super().__init__(message)
        self.message = message
        self.context = context
        self.note = note
        self.hint = hint

    def __str__(self):
        parts = [f"{self.reference}: {self.message}"]
        if self.context:
            parts.append(f"({self.context})")
        return " ".join(parts)


# Settings and configuration


class SettingsError(TurmerichookError):
    """A daemon's settings file is missing, malformed or inconsistent."""

    reference = "settings-invalid"
    exit_status = EXIT_BAD_INPUT


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigurationProblem:
    """One mistake in the operators' folder.

    :param code: stable code of the kind of mistake.
    :param file: file name in the folder, or an empty string.
    :param where: key path, or the message of the parser that failed.
    :param line: line in the file, counted from 1; 0 where it is not known.
    :param expected: description of a valid value of the key or file.
    :param hint: what to do next.
    """

    code: str
    file: str
    where: str
    expected: str
    hint: str = ""
    line: int = 0


class ConfigurationError(TurmerichookError):
    """The operators' folder is not a valid configuration."""

    reference = "configuration-invalid"
    exit_status = EXIT_BAD_INPUT

    def __init__(self, *, problems: tuple[ConfigurationProblem, ...]):
        super().__init__(
            message=f"the configuration has {len(problems)} problem(s)"
        )
        self.problems = problems


class ConfigurationConflictError(TurmerichookError):
    """Another operator has changed the configuration in the meantime.

    :param changes: lines of a diff that shows the other operator's change.
    """

    reference = "configuration-conflict"
    exit_status = EXIT_CONFLICT

    def __init__(self, *, changes: tuple[str, ...] = (), **texts: str):
        super().__init__(**texts)
        self.changes = changes


class ConfigurationDamagedError(TurmerichookError):
    """A stored bundle does not match the digest in its head entry."""

    reference = "configuration-damaged"


class ConfigurationNotFoundError(TurmerichookError):
    """The store does not hold the requested generation."""

    reference = "configuration-not-found"


class FolderUnwritableError(TurmerichookError):
    """A command cannot write its files into a folder."""

    reference = "folder-unwritable"
    exit_status = EXIT_BAD_INPUT


class ConfigurationPendingError(TurmerichookError):
    """Some processes have not received an applied generation yet."""

    reference = "configuration-pending"


# Store


class StoreError(TurmerichookError):
    """Base of failures of the platform's store."""

    reference = "store-error"
    exit_status = EXIT_UNREACHABLE


class StoreUnavailableError(StoreError):
    """A store operation failed and certainly did not take effect."""

    reference = "store-unavailable"


class StoreOutcomeUnknownError(StoreError):
    """A store operation failed and may or may not have taken effect."""

    reference = "store-outcome-unknown"


class VersionConflictError(StoreError):
    """A compare-and-swap found a version other than the expected one.

    :param current: the key's version in the store, 0 if the key is absent.
    """

    reference = "version-conflict"
    exit_status = EXIT_CONFLICT

    def __init__(self, *, key: str, expected: int, current: int):
        super().__init__(
            message=f"key {key} has version {current}, not {expected}",
        )
        self.key = key
        self.expected = expected
        self.current = current


class LeaseLapsedError(StoreError):
    """A lease has expired or was revoked, so the store does not have it."""

    reference = "lease-lapsed"


class HistoryLostError(StoreError):
    """The store has discarded changes that a watch asked for."""

    reference = "history-lost"


class StoredValueError(StoreError):
    """A stored value is malformed or has an unsupported format version."""

    reference = "stored-value-unreadable"


class ValueTooLargeError(StoreError):
    """A value exceeds the store's limit of 1 MB."""

    reference = "value-too-large"


# Workers and host list


class WorkerUnreachableError(TurmerichookError):
    """A worker gave no usable answer, so whether it acted is unknown."""

    reference = "worker-unreachable"
    exit_status = EXIT_UNREACHABLE


class AdvisorUnavailableError(TurmerichookError):
    """The service that names the workers for a step gave no usable answer."""

    reference = "advisor-unavailable"
    exit_status = EXIT_UNREACHABLE


class IncarnationEndedError(TurmerichookError):
    """A worker's incarnation has ended, and with it all tasks that it ran."""

    reference = "incarnation-ended"


class StaleTokenError(TurmerichookError):
    """A worker has seen the fencing token of a later leader."""

    reference = "stale-token"


class StaleEpochError(TurmerichookError):
    """A worker or journal has seen a later owner of the zone."""

    reference = "stale-epoch"
    exit_status = EXIT_CONFLICT


class JournalUnreadableError(TurmerichookError):
    """A zone's journal is damaged or from a newer version of the product."""

    reference = "journal-unreadable"


class HostListUnavailableError(TurmerichookError):
    """The service that provides the platform's host list did not answer."""

    reference = "host-list-unavailable"
    exit_status = EXIT_UNREACHABLE


# HTTP and streams


class MessageError(TurmerichookError):
    """A peer sent a message that the protocol does not allow."""

    reference = "malformed-message"


class FrameTooLargeError(MessageError):
    """A frame on a stream exceeds the maximum size."""

    reference = "frame-too-large"


class BodyTooLargeError(MessageError):
    """A message body exceeds the maximum size."""

    reference = "body-too-large"


class Progress(enum.Enum):
    """Stage that an HTTP exchange had reached when it failed."""

    NOTHING_SENT = "nothing-sent"
    REQUEST_STARTED = "request-started"
    RESPONSE_STARTED = "response-started"


class ExchangeError(TurmerichookError):
    """An HTTP exchange failed before it was complete.

    :param progress: stage at which the exchange failed. It tells whether any
        byte of the request was sent, and so whether a retry is safe.
    """

    reference = "exchange-failed"
    exit_status = EXIT_UNREACHABLE

    def __init__(self, *, message: str, progress: Progress, context: str = ""):
        super().__init__(message=message, context=context)
        self.progress = progress


class ConnectError(ExchangeError):
    """No connection could be opened, so nothing was sent."""

    reference = "connect-failed"

    def __init__(self, *, message: str, context: str = ""):
        super().__init__(
            message=message,
            progress=Progress.NOTHING_SENT,
            context=context,
        )


class DeadlineExceededError(ExchangeError):
    """The deadline of an HTTP exchange passed before it was complete."""

    reference = "deadline-exceeded"


# Scheduling


class CommitmentError(TurmerichookError):
    """A reservation of resources would exceed a host's capacity."""

    reference = "capacity-exceeded"


class JobInvalidError(TurmerichookError):
    """A submitted job is malformed."""

    reference = "job-invalid"
    exit_status = EXIT_BAD_INPUT


class JobConflictError(TurmerichookError):
    """A job with the same id and another specification exists."""

    reference = "job-conflict"
    exit_status = EXIT_CONFLICT


class JobNotFoundError(TurmerichookError):
    """No job has the requested id."""

    reference = "job-not-found"


class JobPendingError(TurmerichookError):
    """A job has not ended within the operator's time-out."""

    reference = "job-pending"


class JobFailedError(TurmerichookError):
    """A job that an operator waited for failed or was cancelled."""

    reference = "job-failed"


# Operators' commands


class GatewayUnreachableError(TurmerichookError):
    """A gateway did not answer a call of the command line."""

    reference = "gateway-unreachable"
    exit_status = EXIT_UNREACHABLE


class GatewayRefusedError(TurmerichookError):
    """A gateway refused a call of the command line."""

    reference = "gateway-refused"
    exit_status = EXIT_UNREACHABLE


class PlanRefusedError(TurmerichookError):
    """An entry process cannot plan a job as it was described."""

    reference = "plan-refused"
    exit_status = EXIT_BAD_INPUT


class EntryUnreachableError(TurmerichookError):
    """No entry process answered a call of the command line."""

    reference = "entry-unreachable"
    exit_status = EXIT_UNREACHABLE


class LeaderUnknownError(TurmerichookError):
    """No entry process that answers leads with a current view."""

    reference = "leader-unknown"


class TaskUnknownError(TurmerichookError):
    """No process has a record of the task or request to explain."""

    reference = "task-unknown"


class ServiceNotFoundError(TurmerichookError):
    """The configuration in force does not define a service."""

    reference = "service-not-found"


class ServicePendingError(TurmerichookError):
    """A service did not get its endpoints within the time-out."""

    reference = "service-pending"


class ZoneUnknownError(TurmerichookError):
    """A folder does not define a zone as a command requires."""

    reference = "zone-unknown"
    exit_status = EXIT_BAD_INPUT


class DrainPendingError(TurmerichookError):
    """Tasks still run in a zone that was taken out."""

    reference = "drain-pending"
