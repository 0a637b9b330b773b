"""Tests that the history checker reports violations."""

import pytest

from standins import history

RESOURCES = {"millicores": 8000, "memory_mib": 10, "accelerators": 0}
HOST = {
    "time": 0.0,
    "kind": "host",
    "host": "h1",
    "capacity": {"millicores": 16000, "memory_mib": 100, "accelerators": 0},
}


def start(time: float, task: str, **fields: object) -> dict:
    """Return the history entry of a task start."""
    return {
        "time": time,
        "kind": "start",
        "task": task,
        "attempt": 1,
        "host": "h1",
        "zone": "a",
        "resources": RESOURCES,
        "checkpoint": None,
        **fields,
    }


def end(time: float, kind: str, task: str, **fields: object) -> dict:
    """Return the history entry of a task's finish, failure or stop."""
    return {**start(time, task, **fields), "kind": kind}


def answer(**fields: object) -> dict:
    """Return the history entry of a response that a caller received."""
    return {
        "time": 2.0,
        "kind": "answer",
        "request": "r",
        "status": 200,
        "own": True,
        "whole": True,
        **fields,
    }


RUN = {"time": 1.0, "kind": "run", "request": "r", "by": "service/s/a/0"}
SENT = {"time": 0.5, "kind": "request", "request": "r", "idempotent": False}
ACCEPTED = {"time": 0.1, "kind": "job-accepted", "job": "j", "tasks": 1}
FINAL = {"time": 9.0, "kind": "job-final", "job": "j", "state": "completed"}

VIOLATING_HISTORIES = {
    history.Promise.CAPACITY: [
        HOST,
        start(1, "x"),
        start(2, "y"),
        start(3, "z"),
    ],
    history.Promise.ONE_PLACE: [
        HOST,
        start(1, "x"),
        start(2, "x", attempt=2, host="h2"),
    ],
    history.Promise.RESUMES_ONCE: [
        HOST,
        start(1, "x"),
        end(2, "stop", "x", checkpoint="done=1", why="asked"),
        start(3, "x", attempt=2),
    ],
    history.Promise.CLOSED_ZONE: [
        HOST,
        {"time": 1, "kind": "zone-out", "zone": "a"},
        start(6.5, "x"),
    ],
    history.Promise.WHOLE_ANSWER: [SENT, RUN, answer(own=False)],
    history.Promise.TRUE_REFUSAL: [
        SENT,
        RUN,
        answer(status=503, outcome="not-run"),
    ],
    history.Promise.AT_MOST_ONCE: [SENT, RUN, {**RUN, "by": "service/s/a/1"}],
    history.Promise.LEAVING_ENDPOINT: [
        {"time": 1, "kind": "zone-out", "zone": "a"},
        {**RUN, "time": 6.5},
    ],
    history.Promise.GRACEFUL_STOP: [
        {"time": 1, "kind": "planned-stop", "node": "g"},
        {"time": 2, "kind": "cut", "node": "g"},
    ],
    history.Promise.CONFIGURATION: [
        {"time": 1, "kind": "generation", "node": "g", "generation": 2},
        {"time": 2, "kind": "generation", "node": "g", "generation": 1},
    ],
    history.Promise.NOTHING_LOST: [ACCEPTED],
    history.Promise.NOTHING_DOUBLED: [
        end(1, "finish", "job/j/0"),
        end(2, "finish", "job/j/0"),
    ],
}

VALID_HISTORY = [
    HOST,
    ACCEPTED,
    start(1, "job/j/0"),
    end(2, "stop", "job/j/0", checkpoint="done=1", why="asked"),
    {"time": 2.5, "kind": "zone-out", "zone": "b"},
    start(3, "job/j/0", attempt=2, checkpoint="done=1"),
    end(4, "finish", "job/j/0", attempt=2),
    FINAL,
    SENT,
    RUN,
    answer(),
    {"time": 1, "kind": "generation", "node": "g", "generation": 1},
    {"time": 2, "kind": "applied", "generation": 2},
    {"time": 11, "kind": "generation", "node": "g", "generation": 2},
]


class TestCheck:
    """Each guarantee is checked with a history that violates it."""

    @pytest.mark.parametrize("promise", history.Promise)
    def test_violation_is_reported(self, promise):
        # Guards against a check that reports no violation for a history that
        # violates its guarantee.
        violations = history.check(VIOLATING_HISTORIES[promise])
        assert promise in {violation.promise for violation in violations}

    def test_valid_history_has_no_violations(self):
        # Guards against a check that reports a violation in a valid history.
        assert history.check(VALID_HISTORY) == []

    def test_failed_attempt_releases_capacity(self):
        # Guards against failed attempts being counted as running: the cell
        # job-large/host-failing then reported a false violation of I1.
        entries = [HOST]
        for number in range(3):
            entries.append(start(2 * number + 1, f"t{number}"))
            entries.append(end(2 * number + 2, "fail", f"t{number}"))
        assert history.check(entries) == []

    def test_time_limit_of_restarted_process_counts_from_restart(self):
        # Guards against a restarted process that may keep an old configuration
        # without limit, and against one that is reported one second after its
        # restart, before the time limit.
        entries = [
            {"time": 0, "kind": "applied", "generation": 2},
            {"time": 20, "kind": "started", "node": "g"},
            {"time": 21, "kind": "generation", "node": "g", "generation": 0},
        ]
        assert history.check(entries) == []
        late = {"time": 31, "kind": "generation", "node": "g"}
        violations = history.check([*entries, {**late, "generation": 0}])
        assert history.count(violations, history.Promise.CONFIGURATION) == 1

    def test_cut_before_the_kill_is_reported(self):
        # Guards against ignoring a request that a planned stop cut off because
        # the process was killed afterwards.
        entries = [
            {"time": 1, "kind": "planned-stop", "node": "g"},
            {"time": 2, "kind": "cut", "node": "g"},
            {"time": 3, "kind": "killed", "node": "g"},
            {"time": 4, "kind": "cut", "node": "g"},
        ]
        violations = history.check(entries)
        assert history.count(violations, history.Promise.GRACEFUL_STOP) == 1

    def test_late_configuration_is_reported(self):
        # Guards against missing a process that keeps an old generation beyond
        # the time limit.
        entries = [
            {"time": 0, "kind": "applied", "generation": 2},
            {"time": 11, "kind": "generation", "node": "g", "generation": 1},
        ]
        violations = history.check(entries)
        assert history.count(violations, history.Promise.CONFIGURATION) == 1
