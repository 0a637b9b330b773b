"""Checks a recorded history against the guarantees I1 to I10.

The checker reads only what stand-ins, callers and the simulated operator
recorded, and shares no code with the product. A history is a list of entries
with a ``time`` in seconds and a ``kind``; ``docs/history.md`` lists the kinds
and their fields.
"""

import collections
import collections.abc
import dataclasses
import enum

# Upper bound for new work to stop after a zone was taken out or an endpoint
# began to leave.
DRAIN_BOUND_S = 5.0
# Upper bound for an accepted configuration to be in force in every process.
ROLLOUT_BOUND_S = 10.0
# Kinds of entries that end an attempt on a worker that keeps running.
END_KINDS = ("finish", "fail", "stop")

Entry = dict
History = collections.abc.Sequence[Entry]


class Promise(enum.Enum):
    """Guarantees in section 2 of the design page, and two about jobs."""

    CAPACITY = "I1"
    ONE_PLACE = "I2"
    RESUMES_ONCE = "I3"
    CLOSED_ZONE = "I4"
    WHOLE_ANSWER = "I5"
    TRUE_REFUSAL = "I6"
    AT_MOST_ONCE = "I7"
    LEAVING_ENDPOINT = "I8"
    GRACEFUL_STOP = "I9"
    CONFIGURATION = "I10"
    NOTHING_LOST = "lost"
    NOTHING_DOUBLED = "doubled"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Violation:
    """A guarantee that a history violates, and how."""

    promise: Promise
    detail: str


def check(history: History) -> list[Violation]:
    """Return every violation in a history."""
    ordered = sorted(history, key=lambda entry: entry["time"])
    violations: list[Violation] = []
    for checker in CHECKERS:
        violations += checker(ordered)
    return violations


def count(violations: list[Violation], promise: Promise) -> int:
    """Return the number of violations of one guarantee."""
    return sum(1 for v in violations if v.promise is promise)


def of_kind(history: History, *kinds: str) -> list[Entry]:
    """Return the entries of the given kinds, in their order."""
    return [entry for entry in history if entry["kind"] in kinds]


def _check_capacity(history: History) -> list[Violation]:
    capacity = {e["host"]: e["capacity"] for e in of_kind(history, "host")}
    running: dict[str, dict] = collections.defaultdict(dict)
    violations = []
    for entry in of_kind(history, "start", *END_KINDS, "host-dead"):
        host = entry["host"]
        match entry["kind"]:
            case "host-dead":
                running[host].clear()
            case "start":
                running[host][entry["task"]] = entry["resources"]
                violations += _exceeded_capacity(
                    entry, running[host], capacity.get(host)
                )
            case _:
                running[host].pop(entry["task"], None)
    return violations


def _exceeded_capacity(
    entry: Entry, running: dict[str, dict], capacity: dict | None
) -> list[Violation]:
    if capacity is None:
        return [_violation(Promise.CAPACITY, "unknown host", entry)]
    return [
        _violation(Promise.CAPACITY, f"{name} beyond {limit}", entry)
        for name, limit in capacity.items()
        if sum(amount[name] for amount in running.values()) > limit
    ]


def _check_single_host(history: History) -> list[Violation]:
    running: dict[str, set] = collections.defaultdict(set)
    violations = []
    for entry in of_kind(history, "start", *END_KINDS, "host-dead"):
        match entry["kind"]:
            case "host-dead":
                for places in running.values():
                    places.discard(entry["host"])
            case "start":
                places = running[entry["task"]]
                if places:
                    where = f"also on {sorted(places)}"
                    violations.append(
                        _violation(Promise.ONE_PLACE, where, entry)
                    )
                places.add(entry["host"])
            case _:
                running[entry["task"]].discard(entry["host"])
    return violations


def _check_resumption(history: History) -> list[Violation]:
    last: dict[str, Entry] = {}
    violations = []
    for entry in of_kind(history, "start", *END_KINDS):
        task = entry["task"]
        previous = last.get(task)
        if entry["kind"] == "start" and previous is not None:
            if _ignores_checkpoint(previous, entry):
                detail = f"not from checkpoint {previous['checkpoint']}"
                violations.append(
                    _violation(Promise.RESUMES_ONCE, detail, entry)
                )
            if previous["attempt"] >= entry["attempt"]:
                violations.append(
                    _violation(Promise.RESUMES_ONCE, "old attempt", entry)
                )
        last[task] = entry
    return violations


def _ignores_checkpoint(previous: Entry, entry: Entry) -> bool:
    # When a lease lapses on an unreachable worker, the scheduler cannot learn
    # of the worker's last checkpoint. Only stops that the scheduler requested
    # are therefore checked.
    return (
        previous["kind"] == "stop"
        and previous.get("why") == "asked"
        and bool(previous["checkpoint"])
        and previous["checkpoint"] != entry["checkpoint"]
    )


def _check_closed_zone(history: History) -> list[Violation]:
    closed: dict[str, float] = {}
    violations = []
    for entry in of_kind(history, "zone-out", "zone-in", "start"):
        zone = entry["zone"]
        match entry["kind"]:
            case "zone-out":
                closed.setdefault(zone, entry["time"])
            case "zone-in":
                closed.pop(zone, None)
            case "start" if zone in closed:
                elapsed = entry["time"] - closed[zone]
                if elapsed > DRAIN_BOUND_S:
                    detail = f"{elapsed:.1f} s after the zone was taken out"
                    violations.append(
                        _violation(Promise.CLOSED_ZONE, detail, entry)
                    )
    return violations


def _check_responses(history: History) -> list[Violation]:
    return [
        _violation(Promise.WHOLE_ANSWER, f"presented as whole: {e}", e)
        for e in of_kind(history, "answer")
        if e["status"] == 200 and not (e["own"] and e["whole"])
    ]


def _check_not_run(history: History) -> list[Violation]:
    runs = _runs(history)
    return [
        _violation(Promise.TRUE_REFUSAL, "not-run, but it ran", entry)
        for entry in of_kind(history, "answer")
        if entry.get("outcome") == "not-run" and runs[entry["request"]]
    ]


def _check_repeated_runs(history: History) -> list[Violation]:
    runs = _runs(history)
    return [
        _violation(Promise.AT_MOST_ONCE, f"ran {runs[e['request']]}x", e)
        for e in of_kind(history, "request")
        if not e["idempotent"] and runs[e["request"]] > 1
    ]


def _check_leaving_endpoints(history: History) -> list[Violation]:
    leaving: dict[str, float] = {}
    violations = []
    for entry in of_kind(history, "zone-out", "zone-in", "run"):
        match entry["kind"]:
            case "zone-out":
                leaving.setdefault(entry["zone"], entry["time"])
            case "zone-in":
                leaving.pop(entry["zone"], None)
            case _:
                elapsed = entry["time"] - leaving.get(
                    _zone_of(entry["by"]), entry["time"]
                )
                if elapsed > DRAIN_BOUND_S:
                    detail = f"{elapsed:.1f} s after it began to leave"
                    violations.append(
                        _violation(Promise.LEAVING_ENDPOINT, detail, entry)
                    )
    return violations


def _zone_of(service_task: str) -> str:
    # A replica's task id is ``service/<service>/<zone>/<number>``.
    return service_task.split("/")[2]


def _check_graceful_stop(history: History) -> list[Violation]:
    stopping = {e["node"] for e in of_kind(history, "planned-stop")}
    killed = {e["node"]: e["time"] for e in of_kind(history, "killed")}
    # Killing a process cuts off its requests in progress, also during a
    # planned stop. Only requests that were cut off before the kill count.
    return [
        _violation(Promise.GRACEFUL_STOP, "a request was cut", entry)
        for entry in of_kind(history, "cut")
        if entry["node"] in stopping
        and entry["time"] < killed.get(entry["node"], entry["time"] + 1)
    ]


def _check_configuration(history: History) -> list[Violation]:
    violations = []
    highest: dict[str, int] = {}
    for entry in of_kind(history, "generation"):
        node = entry["node"]
        # A process that has just started reports generation 0: it has no
        # configuration in force and serves no requests.
        if 0 < entry["generation"] < highest.get(node, 0):
            detail = f"after generation {highest[node]}"
            violations.append(_violation(Promise.CONFIGURATION, detail, entry))
        highest[node] = max(highest.get(node, 0), entry["generation"])
    for applied in of_kind(history, "applied"):
        violations += _outdated_nodes(history, applied)
    return violations


def _outdated_nodes(history: History, applied: Entry) -> list[Violation]:
    # For a restarted process the time limit counts from its restart.
    since: dict[str, float] = {}
    outdated: dict[str, Entry] = {}
    for entry in of_kind(history, "started", "generation"):
        node = entry["node"]
        if entry["kind"] == "started":
            since[node] = entry["time"]
            continue
        begin = max(applied["time"], since.get(node, 0.0))
        overdue = entry["time"] > begin + ROLLOUT_BOUND_S
        older = entry["generation"] < applied["generation"]
        if overdue and older and not entry.get("cut_off"):
            outdated[node] = entry
    return [
        _violation(
            Promise.CONFIGURATION,
            f"behind generation {applied['generation']}",
            entry,
        )
        for entry in outdated.values()
    ]


def _check_jobs(history: History) -> list[Violation]:
    finishes = collections.Counter(
        entry["task"] for entry in of_kind(history, "finish")
    )
    violations = [
        Violation(
            promise=Promise.NOTHING_DOUBLED,
            detail=f"{task} finished {times} times",
        )
        for task, times in finishes.items()
        if times > 1
    ]
    final = {e["job"]: e["state"] for e in of_kind(history, "job-final")}
    for job in of_kind(history, "job-accepted"):
        violations += _unfinished_work(job, final.get(job["job"]), finishes)
    return violations


def _unfinished_work(
    job: Entry, state: str | None, finishes: collections.Counter
) -> list[Violation]:
    if state == "cancelled":
        return []
    if state != "completed":
        return [_violation(Promise.NOTHING_LOST, f"state {state}", job)]
    names = [f"job/{job['job']}/{n}" for n in range(job["tasks"])]
    return [
        _violation(Promise.NOTHING_LOST, f"{name} never finished", job)
        for name in names
        if not finishes[name]
    ]


def _runs(history: History) -> collections.Counter:
    return collections.Counter(
        entry["request"] for entry in of_kind(history, "run")
    )


def _violation(promise: Promise, detail: str, entry: Entry) -> Violation:
    return Violation(promise=promise, detail=f"{detail}: {entry}")


CHECKERS = (
    _check_capacity,
    _check_single_host,
    _check_resumption,
    _check_closed_zone,
    _check_responses,
    _check_not_run,
    _check_repeated_runs,
    _check_leaving_endpoints,
    _check_graceful_stop,
    _check_configuration,
    _check_jobs,
)
