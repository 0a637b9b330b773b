"""Demonstrates the whole product, with stand-ins for the platform.

The demonstration runs services and batch jobs in two availability zones while
callers send requests. One zone is taken out and brought back, and one
scheduler is killed. The figures of the final table are counted from the
entries that the stand-ins recorded.
"""

import pathlib
import sys
import tempfile
import time

from demo import steps
from standins import caller
from standins import history
from standins import launcher
from standins import recorder

ZONES = ("krakow", "tarnow")
LAYOUT = launcher.Layout(
    zones=ZONES, workers=4, gateways=1, schedulers=2, usage_lag_s=2.0
)
SEED = 1


def main() -> int:
    """Run the demonstration, and return 0 if no guarantee was violated."""
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        system = launcher.Launcher(layout=LAYOUT, folder=folder)
        record = recorder.Recorder(path=system.record)
        try:
            system.start()
            _run(system, record)
        finally:
            system.stop()
        entries = system.history()
    return _report(entries, time.monotonic() - started_at)


def _run(system: launcher.Launcher, record: recorder.Recorder) -> None:
    operator = steps.Operator(system=system, record=record)
    operator.record_hosts()
    operator.apply()
    steps.print_progress("the folder of configuration is applied")
    targets = [
        caller.Target(
            node=name,
            address=system.listen_addresses[name],
            service=steps.SERVICE,
        )
        for name in system.peer_addresses
        if name.startswith("gateway")
    ]
    operator.wait_for_service(targets)
    steps.print_progress("the service answers")
    load = caller.Load(
        targets=targets, record=record, seed=SEED, interval_s=0.02
    )
    load.start()
    try:
        _run_jobs_with_disruptions(system, operator)
    finally:
        load.stop()


def _run_jobs_with_disruptions(
    system: launcher.Launcher, operator: steps.Operator
) -> None:
    jobs = [operator.job_of_folder()]
    jobs += [operator.submit(f"memorial-{n}", tasks=4) for n in range(6)]
    steps.print_progress(f"{len(jobs)} jobs are accepted")
    time.sleep(2)
    operator.set_zone("tarnow", "out")
    steps.print_progress("zone tarnow is taken out")
    time.sleep(7)
    operator.set_zone("tarnow", "in")
    steps.print_progress("zone tarnow is back in")
    owner = system.owner("krakow")
    if owner is None:
        raise RuntimeError("no scheduler reports that it owns zone krakow")
    system.kill(owner)
    steps.print_progress(f"{owner}, which owned zone krakow, is killed")
    for job in jobs:
        operator.wait_for_job(job)
    steps.print_progress("all jobs are final")


def _report(entries: list[dict], seconds: float) -> int:
    violations = history.check(entries)
    answers = history.of_kind(entries, "answer")
    rows = {
        "jobs_accepted": len(history.of_kind(entries, "job-accepted")),
        "tasks_finished": len(history.of_kind(entries, "finish")),
        "tasks_stopped": len(history.of_kind(entries, "stop")),
        "requests_sent": len(history.of_kind(entries, "request")),
        "requests_answered": sum(1 for a in answers if a["status"] == 200),
        "requests_refused": sum(1 for a in answers if a["status"] != 200),
        "requests_cut": len(history.of_kind(entries, "cut")),
        "lost": history.count(violations, history.Promise.NOTHING_LOST),
        "doubled": sum(
            history.count(violations, promise)
            for promise in (
                history.Promise.NOTHING_DOUBLED,
                history.Promise.ONE_PLACE,
                history.Promise.AT_MOST_ONCE,
            )
        ),
        "started_in_closed_zone": history.count(
            violations, history.Promise.CLOSED_ZONE
        ),
        "violations": len(violations),
        "seconds": round(seconds, 1),
    }
    for name, value in rows.items():
        print(f"{name:24} {value}")
    for violation in violations:
        print(violation, file=sys.stderr)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
