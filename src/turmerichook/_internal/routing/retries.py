"""Decision whether to retry a request after a failed attempt.

A request that an endpoint may have run is retried only if it is idempotent
(invariant I7). A retry budget keeps failures from multiplying the load.
"""

import dataclasses
import enum

# Tokens that a request adds to the retry budget, and the most that it holds. A
# retry takes one token.
TOKENS_PER_REQUEST = 0.1
MAX_TOKENS = 10.0
# Attempts for one request, the first one included.
MAX_ATTEMPTS = 3


class Effect(enum.Enum):
    """Whether the endpoint may have run the request of a failed attempt."""

    NOTHING_SENT = "nothing-sent"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Failure:
    """A failed attempt and the state of its request.

    :param effect: whether the endpoint may have run the request.
    :param attempts: attempts made by this gateway, including this one.
    :param idempotent: whether the request may be run more than once.
    :param replayable: whether the whole request body can be sent again.
    :param marked_as_retry: whether the caller marked the request as a retry.
    :param remaining_s: seconds until the deadline.
    """

    effect: Effect
    attempts: int
    idempotent: bool
    replayable: bool
    marked_as_retry: bool
    remaining_s: float


class RetryDecision(enum.Enum):
    """The decision to retry, or the reason not to."""

    RETRY = "retry"
    MAY_HAVE_RUN = "may-have-run"
    BODY_NOT_KEPT = "body-not-kept"
    MARKED_AS_RETRY = "marked-as-retry"
    TOO_MANY_ATTEMPTS = "too-many-attempts"
    DEADLINE_PASSED = "deadline"
    BUDGET_USED_UP = "budget-used-up"


class Budget:
    """Retry budget as a token bucket that each request adds to."""

    def __init__(self):
        self.tokens = MAX_TOKENS

    def deposit(self) -> None:
        """Add the tokens of a request that is not itself a retry."""
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_REQUEST)

    def withdraw(self) -> bool:
        """Take the token for one retry; return whether one was available."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def decide(failure: Failure, budget: Budget) -> RetryDecision:
    """Decide whether to retry, and take a token from the budget if needed.

    If nothing was sent, the failed attempt has put no load on the endpoint,
    so a retry needs no token.
    """
    if failure.effect is Effect.UNKNOWN and not failure.idempotent:
        return RetryDecision.MAY_HAVE_RUN
    if not failure.replayable:
        return RetryDecision.BODY_NOT_KEPT
    if failure.attempts >= MAX_ATTEMPTS:
        return RetryDecision.TOO_MANY_ATTEMPTS
    if failure.remaining_s <= 0:
        return RetryDecision.DEADLINE_PASSED
    if failure.effect is Effect.NOTHING_SENT:
        return RetryDecision.RETRY
    if failure.marked_as_retry:
        return RetryDecision.MARKED_AS_RETRY
    if not budget.withdraw():
        return RetryDecision.BUDGET_USED_UP
    return RetryDecision.RETRY
