"""Checks what callers saw against what endpoints ran.

The checker reads only what the stand-ins recorded.
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
    """Counts over a history; each list names request ids."""

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
        """All violations in words."""
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

    :param entries: what endpoints recorded, of kind ``run``.
    """
    runs = collections.Counter(
        entry["request"] for entry in entries if entry["kind"] == "run"
    )
    report = Report(runs=sum(runs.values()))
    for each in seen:
        report.requests += 1
        call = each.call
        ran = runs[call.request]
        keyed = any(n.lower() == "idempotency-key" for n, _ in call.headers)
        if ran > 1 and call.method not in IDEMPOTENT and not keyed:
            report.run_twice.append(call.request)
        if each.whole and each.outcome == "not-run" and ran:
            report.false_not_run.append(call.request)
        if not each.whole:
            report.cut += 1
        elif each.code:
            report.refused += 1
        else:
            report.answered += 1
            if not _right(each, ran):
                report.wrong.append(call.request)
    return report


def _right(seen: calls.Seen, ran: int) -> bool:
    call = seen.call
    if seen.extra:
        return False
    if seen.status >= 500:
        # The endpoint's own failure, passed on as it is.
        return True
    if not ran:
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
