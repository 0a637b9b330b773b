"""Whether a request is sent to another endpoint after a failed attempt.

A request that may have run is repeated only if it is idempotent (I7), and
only within a budget, so that failures do not multiply the load.
"""

import dataclasses
import enum

TOKENS_PER_REQUEST = 0.1
RESERVE = 10.0
MAX_ATTEMPTS = 3


class Effect(enum.Enum):
    """What is known about the effect of a failed attempt."""

    NOTHING_SENT = "nothing-sent"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Failure:
    """A failed attempt.

    :param effect: what the endpoint may have done.
    :param attempts: attempts made by this gateway, this one included.
    :param idempotent: whether the request may run twice.
    :param replayable: whether its body can be sent again from the start.
    :param repeated: whether the request came marked as a retry.
    :param left: seconds until the deadline.
    """

    effect: Effect
    attempts: int
    idempotent: bool
    replayable: bool
    repeated: bool
    left: float


class Verdict(enum.Enum):
    """Retry, or why not."""

    RETRY = "retry"
    MAY_HAVE_RUN = "may-have-run"
    BODY_GONE = "body-not-kept"
    MARKED_AS_RETRY = "marked-as-retry"
    ATTEMPTS = "too-many-attempts"
    DEADLINE = "deadline"
    BUDGET = "budget-used-up"


class Budget:
    """Tokens for retries: a part of each request, and a reserve."""

    def __init__(self):
        self.tokens = RESERVE

    def deposit(self) -> None:
        """Account for a request that is not itself a retry."""
        self.tokens = min(RESERVE, self.tokens + TOKENS_PER_REQUEST)

    def withdraw(self) -> bool:
        """Take the token of one retry if there is one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def decide(failure: Failure, budget: Budget) -> Verdict:
    """Return whether to retry; takes a token from the budget if so.

    A connection that could not be opened put no load on the endpoint, so
    trying another one needs no token.
    """
    if failure.effect is Effect.UNKNOWN and not failure.idempotent:
        return Verdict.MAY_HAVE_RUN
    if not failure.replayable:
        return Verdict.BODY_GONE
    if failure.attempts >= MAX_ATTEMPTS:
        return Verdict.ATTEMPTS
    if failure.left <= 0:
        return Verdict.DEADLINE
    if failure.effect is Effect.NOTHING_SENT:
        return Verdict.RETRY
    if failure.repeated:
        return Verdict.MARKED_AS_RETRY
    if not budget.withdraw():
        return Verdict.BUDGET
    return Verdict.RETRY
