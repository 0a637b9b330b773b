"""Checks a recorded history against the promises I1 to I10.

The checker reads only what stand-ins, callers and the test's operator
recorded; it shares no code with the product. A history is a list of entries
with a ``time`` in seconds and a ``kind``; ``docs/history.md`` lists the kinds
and their fields.
"""

import collections
import collections.abc
import dataclasses
import enum

# A zone that was taken out, or an endpoint that leaves, gets no new work
# later than this.
LEAVE_BOUND_S = 5.0
# An accepted configuration is in force everywhere within this time.
SPREAD_BOUND_S = 10.0
# How an attempt ends on a worker that goes on.
ENDS = ("finish", "fail", "stop")

Entry = dict
History = collections.abc.Sequence[Entry]


class Promise(enum.Enum):
    """The promises of the design page, section 2, and two about jobs."""

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
    """A promise that a history breaks, and how."""

    promise: Promise
    detail: str


def check(history: History) -> list[Violation]:
    """Return every violation in a history."""
    ordered = sorted(history, key=lambda entry: entry["time"])
    found: list[Violation] = []
    for checker in CHECKERS:
        found += checker(ordered)
    return found


def count(violations: list[Violation], promise: Promise) -> int:
    """Return how many violations concern a promise."""
    return sum(1 for v in violations if v.promise is promise)


def of_kind(history: History, *kinds: str) -> list[Entry]:
    """Return the entries of some kinds, in order."""
    return [entry for entry in history if entry["kind"] in kinds]


def _capacity(history: History) -> list[Violation]:
    capacity = {e["host"]: e["capacity"] for e in of_kind(history, "host")}
    held: dict[str, dict] = collections.defaultdict(dict)
    found = []
    for entry in of_kind(history, "start", *ENDS, "host-dead"):
        host = entry["host"]
        match entry["kind"]:
            case "host-dead":
                held[host].clear()
            case "start":
                held[host][entry["task"]] = entry["resources"]
                found += _excess(entry, held[host], capacity.get(host))
            case _:
                held[host].pop(entry["task"], None)
    return found


def _excess(
    entry: Entry, held: dict[str, dict], capacity: dict | None
) -> list[Violation]:
    if capacity is None:
        return [_violation(Promise.CAPACITY, "unknown host", entry)]
    return [
        _violation(Promise.CAPACITY, f"{name} beyond {limit}", entry)
        for name, limit in capacity.items()
        if sum(amount[name] for amount in held.values()) > limit
    ]


def _one_place(history: History) -> list[Violation]:
    running: dict[str, set] = collections.defaultdict(set)
    found = []
    for entry in of_kind(history, "start", *ENDS, "host-dead"):
        match entry["kind"]:
            case "host-dead":
                for places in running.values():
                    places.discard(entry["host"])
            case "start":
                places = running[entry["task"]]
                if places:
                    where = f"also on {sorted(places)}"
                    found.append(_violation(Promise.ONE_PLACE, where, entry))
                places.add(entry["host"])
            case _:
                running[entry["task"]].discard(entry["host"])
    return found


def _resumes_once(history: History) -> list[Violation]:
    last: dict[str, Entry] = {}
    found = []
    for entry in of_kind(history, "start", *ENDS):
        task = entry["task"]
        former = last.get(task)
        if entry["kind"] == "start" and former is not None:
            if _ignores_checkpoint(former, entry):
                detail = f"not from checkpoint {former['checkpoint']}"
                found.append(_violation(Promise.RESUMES_ONCE, detail, entry))
            if former["attempt"] >= entry["attempt"]:
                found.append(
                    _violation(Promise.RESUMES_ONCE, "old attempt", entry)
                )
        last[task] = entry
    return found


def _ignores_checkpoint(former: Entry, entry: Entry) -> bool:
    # When a lease lapses on a worker that cannot be reached, nobody can know
    # the checkpoint that the worker made last; only evictions are checked.
    return (
        former["kind"] == "stop"
        and former.get("why") == "asked"
        and bool(former["checkpoint"])
        and former["checkpoint"] != entry["checkpoint"]
    )


def _closed_zone(history: History) -> list[Violation]:
    closed: dict[str, float] = {}
    found = []
    for entry in of_kind(history, "zone-out", "zone-in", "start"):
        zone = entry["zone"]
        match entry["kind"]:
            case "zone-out":
                closed.setdefault(zone, entry["time"])
            case "zone-in":
                closed.pop(zone, None)
            case "start" if zone in closed:
                late = entry["time"] - closed[zone]
                if late > LEAVE_BOUND_S:
                    detail = f"{late:.1f} s after the zone was taken out"
                    found.append(
                        _violation(Promise.CLOSED_ZONE, detail, entry)
                    )
    return found


def _whole_answer(history: History) -> list[Violation]:
    return [
        _violation(Promise.WHOLE_ANSWER, f"presented as whole: {e}", e)
        for e in of_kind(history, "answer")
        if e["status"] == 200 and not (e["own"] and e["whole"])
    ]


def _true_refusal(history: History) -> list[Violation]:
    runs = _runs(history)
    return [
        _violation(Promise.TRUE_REFUSAL, "not-run, but it ran", entry)
        for entry in of_kind(history, "answer")
        if entry.get("outcome") == "not-run" and runs[entry["request"]]
    ]


def _at_most_once(history: History) -> list[Violation]:
    runs = _runs(history)
    return [
        _violation(Promise.AT_MOST_ONCE, f"ran {runs[e['request']]}x", e)
        for e in of_kind(history, "request")
        if not e["idempotent"] and runs[e["request"]] > 1
    ]


def _leaving_endpoint(history: History) -> list[Violation]:
    leaving: dict[str, float] = {}
    found = []
    for entry in of_kind(history, "zone-out", "zone-in", "run"):
        match entry["kind"]:
            case "zone-out":
                leaving.setdefault(entry["zone"], entry["time"])
            case "zone-in":
                leaving.pop(entry["zone"], None)
            case _:
                late = entry["time"] - leaving.get(
                    _zone_of(entry["by"]), entry["time"]
                )
                if late > LEAVE_BOUND_S:
                    detail = f"{late:.1f} s after it began to leave"
                    found.append(
                        _violation(Promise.LEAVING_ENDPOINT, detail, entry)
                    )
    return found


def _zone_of(service_task: str) -> str:
    # A replica is named ``service/<service>/<zone>/<number>``.
    return service_task.split("/")[2]


def _graceful_stop(history: History) -> list[Violation]:
    stopping = {e["node"] for e in of_kind(history, "planned-stop")}
    killed = {e["node"]: e["time"] for e in of_kind(history, "killed")}
    # What is in progress when a process is killed is cut by the kill, also
    # while the process is stopping.
    return [
        _violation(Promise.GRACEFUL_STOP, "a request was cut", entry)
        for entry in of_kind(history, "cut")
        if entry["node"] in stopping
        and entry["time"] < killed.get(entry["node"], entry["time"] + 1)
    ]


def _configuration(history: History) -> list[Violation]:
    found = []
    newest: dict[str, int] = {}
    for entry in of_kind(history, "generation"):
        node = entry["node"]
        # A process that has just started has no configuration in force and
        # serves nothing; it reports generation 0.
        if 0 < entry["generation"] < newest.get(node, 0):
            detail = f"after generation {newest[node]}"
            found.append(_violation(Promise.CONFIGURATION, detail, entry))
        newest[node] = max(newest.get(node, 0), entry["generation"])
    for applied in of_kind(history, "applied"):
        found += _late_nodes(history, applied)
    return found


def _late_nodes(history: History, applied: Entry) -> list[Violation]:
    # A process that was started again has the same time from its start.
    since: dict[str, float] = {}
    behind: dict[str, Entry] = {}
    for entry in of_kind(history, "started", "generation"):
        node = entry["node"]
        if entry["kind"] == "started":
            since[node] = entry["time"]
            continue
        begin = max(applied["time"], since.get(node, 0.0))
        late = entry["time"] > begin + SPREAD_BOUND_S
        older = entry["generation"] < applied["generation"]
        if late and older and not entry.get("cut_off"):
            behind[node] = entry
    return [
        _violation(
            Promise.CONFIGURATION,
            f"behind generation {applied['generation']}",
            entry,
        )
        for entry in behind.values()
    ]


def _jobs(history: History) -> list[Violation]:
    finishes = collections.Counter(
        entry["task"] for entry in of_kind(history, "finish")
    )
    found = [
        Violation(
            promise=Promise.NOTHING_DOUBLED,
            detail=f"{task} finished {times} times",
        )
        for task, times in finishes.items()
        if times > 1
    ]
    final = {e["job"]: e["state"] for e in of_kind(history, "job-final")}
    for job in of_kind(history, "job-accepted"):
        found += _lost(job, final.get(job["job"]), finishes)
    return found


def _lost(
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
    _capacity,
    _one_place,
    _resumes_once,
    _closed_zone,
    _whole_answer,
    _true_refusal,
    _at_most_once,
    _leaving_endpoint,
    _graceful_stop,
    _configuration,
    _jobs,
)
