"""Checks a recorded history of the workers against the invariants I1 to I4.

I1: the tasks on a host never exceed its capacity.
I2: no task runs in two places at once.
I3: stopped work is resumed exactly once, from its last checkpoint.
I4: no task starts in a zone more than 5 s after the zone was taken out.

The checker shares no code with the scheduler. It reads only the recorded
starts and ends of attempts, changes of zones, lost and restored connections,
and restarts of workers.
"""

import collections
import datetime

# Time after a zone was taken out during which tasks may still start there.
CLOSED_ZONE_START_LIMIT = datetime.timedelta(seconds=5)
# TTL of the lease of a task.
LEASE_TTL = datetime.timedelta(seconds=15)
# The owner may have treated a host as lost if the host was unreachable or
# restarted less than this long ago.
DISTURBANCE_MARGIN = datetime.timedelta(seconds=40)


def check(history: list[dict]) -> list[str]:
    """Return the violations in a history, oldest first."""
    checker = Checker()
    for entry in history:
        checker.add(entry)
    return checker.violations


class Checker:
    """Reconstructs the state of tasks and hosts from a history."""

    def __init__(self):
        self.violations: list[str] = []
        self.running: dict[str, dict] = {}
        self.attempts: dict[str, int] = {}
        self.last_ends: dict[str, dict] = {}
        self.checkpoints: dict[str, set] = collections.defaultdict(
            lambda: {None}
        )
        self.finished: set[str] = set()
        self.unreachable: set[str] = set()
        self.last_disturbed: dict[str, datetime.timedelta] = {}
        self.closed_since: dict[str, datetime.timedelta] = {}
        self.load: collections.Counter = collections.Counter()

    def add(self, entry: dict) -> None:
        match entry["kind"]:
            case "start":
                self._start(entry)
            case "end":
                self._end(entry)
            case "cut":
                self.unreachable.add(entry["host"])
            case "heal" | "restart":
                self.unreachable.discard(entry["host"])
                self.last_disturbed[entry["host"]] = entry["time"]
            case "out":
                self.closed_since.setdefault(entry["zone"], entry["time"])
            case "in":
                self.closed_since.pop(entry["zone"], None)

    def _start(self, entry: dict) -> None:
        task = entry["task"]
        if task in self.running:
            self._report("I2 task already runs elsewhere", entry)
        if entry["attempt"] <= self.attempts.get(task, 0):
            self._report("I3 attempt number used again", entry)
        self._check_checkpoint(entry)
        closed_since = self.closed_since.get(entry["zone"])
        if (
            closed_since is not None
            and entry["time"] - closed_since > CLOSED_ZONE_START_LIMIT
        ):
            self._report(
                "I4 start more than 5 s after the zone was taken out", entry
            )
        self.attempts[task] = entry["attempt"]
        self.running[task] = entry
        self._add_load(entry, 1)

    def _check_checkpoint(self, entry: dict) -> None:
        task = entry["task"]
        checkpoint = entry["checkpoint"]
        if checkpoint not in self.checkpoints[task]:
            self._report(
                "I3 start from a checkpoint that no attempt reported", entry
            )
        last = self.last_ends.get(task)
        if last is None:
            return
        # The owner received the report of this end, unless it treated the
        # worker as lost.
        end_reported = (
            last["why"] in ("asked", "finished")
            and entry["time"] - last["time"] < LEASE_TTL
            and not self._may_be_lost(last["host"], last["time"])
        )
        if end_reported and last["why"] == "finished":
            self._report("I3 finished task started again", entry)
        elif end_reported and checkpoint != last.get("checkpoint"):
            self._report(
                "I3 start from another than the last checkpoint", entry
            )

    def _may_be_lost(self, host: str, time: datetime.timedelta) -> bool:
        last = self.last_disturbed.get(host)
        return host in self.unreachable or (
            last is not None and time - last < DISTURBANCE_MARGIN
        )

    def _end(self, entry: dict) -> None:
        task = entry["task"]
        self.running.pop(task, None)
        self.last_ends[task] = entry
        self.checkpoints[task].add(entry.get("checkpoint"))
        self._add_load(entry, -1)
        if entry["why"] == "finished":
            self.finished.add(task)

    def _add_load(self, entry: dict, factor: int) -> None:
        amount = entry["resources"]
        capacity = entry["capacity"]
        for kind in ("millicores", "memory_mib", "accelerators"):
            key = (entry["host"], kind)
            self.load[key] += factor * getattr(amount, kind)
            if self.load[key] > getattr(capacity, kind):
                self._report(
                    f"I1 {kind} in use exceed the capacity of the host", entry
                )

    def _report(self, violation: str, entry: dict) -> None:
        self.violations.append(
            f"{violation}: {entry['task']} attempt {entry['attempt']} on "
            f"{entry['host']} at {entry['time'].total_seconds():.1f} s"
        )
