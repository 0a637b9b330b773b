"""Compares the responses that callers received with the endpoints' runs.

The checker reads only what the stand-ins recorded, and no state of the
product.
"""

import collections
import collections.abc
import dataclasses
import hashlib

from standins import calls

IDEMPOTENT = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
NO_BODY = frozenset({204, 304})


@dataclasses.dataclass(kw_only=True)
class Report:
    """Counts over a history of requests; each list holds request ids.

    :param run_twice: non-idempotent requests that ran more than once.
    :param false_not_run: requests reported as not run that did run.
    :param wrong: requests whose response does not match the request.
    """

    requests: int = 0
    answered: int = 0
    refused: int = 0
    cut: int = 0
    runs: int = 0
    run_twice: list[str] = dataclasses.field(default_factory=list)
    false_not_run: list[str] = dataclasses.field(default_factory=list)
    wrong: list[str] = dataclasses.field(default_factory=list)

    @property
    def faults(self) -> list[str]:
        """All violations, each as ``kind: request id``."""
        return [
            f"{kind}: {request}"
            for kind in ("run_twice", "false_not_run", "wrong")
            for request in getattr(self, kind)
        ]


def check(
    seen: collections.abc.Iterable[calls.Seen],
    entries: collections.abc.Iterable[dict],
) -> Report:
    """Return the counts and violations of a history.

    :param seen: what callers received, one item for each request.
    :param entries: what endpoints recorded; only kind ``run`` is counted.
    """
    runs = collections.Counter(
        entry["request"] for entry in entries if entry["kind"] == "run"
    )
    report = Report(runs=sum(runs.values()))
    for response in seen:
        report.requests += 1
        call = response.call
        run_count = runs[call.request]
        has_idempotency_key = any(
            n.lower() == "idempotency-key" for n, _ in call.headers
        )
        if (
            run_count > 1
            and call.method not in IDEMPOTENT
            and not has_idempotency_key
        ):
            report.run_twice.append(call.request)
        if response.whole and response.outcome == "not-run" and run_count:
            report.false_not_run.append(call.request)
        if not response.whole:
            report.cut += 1
        elif response.code:
            report.refused += 1
        else:
            report.answered += 1
            if not _matches_request(response, run_count):
                report.wrong.append(call.request)
    return report


def _matches_request(seen: calls.Seen, run_count: int) -> bool:
    call = seen.call
    if seen.extra:
        return False
    if seen.status >= 500:
        # The gateway forwards an endpoint's own error response unchanged,
        # which is correct.
        return True
    if not run_count:
        return False
    if call.method == "HEAD" or seen.status in NO_BODY:
        return not seen.body
    document = seen.document()
    return (
        document.get("request") == call.request
        and document.get("bytes") == call.size
        and document.get("sha256") == hashlib.sha256(call.body).hexdigest()
        and len(document.get("filling", "")) == call.filling
    )
