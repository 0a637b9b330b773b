"""Checks what the workers recorded against the invariants.

It shares no code with the product: it reads only the recorded starts and
ends, the changes of zones, and the restarts.
"""

import collections
import datetime

CLOSED_BOUND = datetime.timedelta(seconds=5)
LEASE = datetime.timedelta(seconds=15)
# A host that was out of reach this recently may have been given up.
DOUBT = datetime.timedelta(seconds=40)


def check(history: list[dict]) -> list[str]:
    """Return all violations, oldest first."""
    checker = Checker()
    for entry in history:
        checker.add(entry)
    return checker.violations


class Checker:
    """State of the world as the history tells it."""

    def __init__(self):
        self.violations: list[str] = []
        self.running: dict[str, dict] = {}
        self.attempts: dict[str, int] = {}
        self.ends: dict[str, dict] = {}
        self.marks: dict[str, set] = collections.defaultdict(lambda: {None})
        self.finished: set[str] = set()
        self.cut: set[str] = set()
        self.doubted: dict[str, datetime.timedelta] = {}
        self.closed: dict[str, datetime.timedelta] = {}
        self.load: collections.Counter = collections.Counter()

    def add(self, entry: dict) -> None:
        match entry["kind"]:
            case "start":
                self._start(entry)
            case "end":
                self._end(entry)
            case "cut":
                self.cut.add(entry["host"])
            case "heal" | "restart":
                self.cut.discard(entry["host"])
                self.doubted[entry["host"]] = entry["time"]
            case "out":
                self.closed.setdefault(entry["zone"], entry["time"])
            case "in":
                self.closed.pop(entry["zone"], None)

    def _start(self, entry: dict) -> None:
        task = entry["task"]
        if task in self.running:
            self._report("I2 two places", entry)
        if entry["attempt"] <= self.attempts.get(task, 0):
            self._report("I3 attempt repeated", entry)
        self._check_checkpoint(entry)
        closed = self.closed.get(entry["zone"])
        if closed is not None and entry["time"] - closed > CLOSED_BOUND:
            self._report("I4 start in closed zone", entry)
        self.attempts[task] = entry["attempt"]
        self.running[task] = entry
        self._add_load(entry, 1)

    def _check_checkpoint(self, entry: dict) -> None:
        task = entry["task"]
        mark = entry["checkpoint"]
        if mark not in self.marks[task]:
            self._report("I3 unknown checkpoint", entry)
        last = self.ends.get(task)
        if last is None:
            return
        # The owner learned of this end unless it gave the worker up.
        known = (
            last["why"] in ("asked", "finished")
            and entry["time"] - last["time"] < LEASE
            and not self._doubtful(last["host"], last["time"])
        )
        if known and last["why"] == "finished":
            self._report("I3 result lost", entry)
        elif known and mark != last.get("checkpoint"):
            self._report("I3 not the last checkpoint", entry)

    def _doubtful(self, host: str, time: datetime.timedelta) -> bool:
        seen = self.doubted.get(host)
        return host in self.cut or (seen is not None and time - seen < DOUBT)

    def _end(self, entry: dict) -> None:
        task = entry["task"]
        self.running.pop(task, None)
        self.ends[task] = entry
        self.marks[task].add(entry.get("checkpoint"))
        self._add_load(entry, -1)
        if entry["why"] == "finished":
            self.finished.add(task)

    def _add_load(self, entry: dict, sign: int) -> None:
        amount = entry["resources"]
        capacity = entry["capacity"]
        for kind in ("millicores", "memory_mib", "accelerators"):
            key = (entry["host"], kind)
            self.load[key] += sign * getattr(amount, kind)
            if self.load[key] > getattr(capacity, kind):
                self._report(f"I1 {kind} beyond capacity", entry)

    def _report(self, what: str, entry: dict) -> None:
        self.violations.append(
            f"{what}: {entry['task']} attempt {entry['attempt']} on "
            f"{entry['host']} at {entry['time'].total_seconds():.1f} s"
        )
