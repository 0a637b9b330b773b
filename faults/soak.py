"""Random partitions, pauses and ends of real entry processes, with checks.

``python -m faults.soak [--seed N] [--count N] [--seconds S] [--folder PATH]``
plays that many seeds one after another and exits with status 1 if one failed.
Workers and whole zones are cut off, entry processes are paused, stopped and
killed; no worker crashes and no run fails. All jobs are of one customer with
a quota. The checks use only what callers and workers see. The folder keeps the
logs of the seeds that failed.

A cut of a zone also cuts its workers off from the entry processes of the same
zone. The seed fixes the disturbances, but not the order in which the processes
act.
"""

import argparse
import asyncio
import collections
import pathlib
import random
import shutil
import signal
import sys
import time

from standins import batch_platform
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model
from turmerichook import exceptions

WORKERS = 8
ENTRIES = 4
LEASE_MS = 3000
# Entry processes that are disturbed at the same time, at most, so that callers
# find another one.
ENTRIES_DISTURBED_MAX = 2
SERVICES = 3
SERVICE_TASKS = 3
# Time after which an accepted job is known to each process that has been
# undisturbed for the contact time of the settings.
VISIBLE_S = 2.0
CONTACT_S = 3.0
# Time from the end of the last disturbance until all services run. Covers the
# start of a process and the leases of lost workers.
SERVICES_RUN_S = 10.0
# Time after that for which they must go on.
SERVICES_WATCHED_S = 3.0
# Time for all accepted jobs to complete after that.
JOBS_COMPLETE_S = 30.0
# Time for a planned stop; the settings allow 6 s for open requests.
STOP_S = 12.0
ACTIONS = {
    "cut-newest-start": 6,
    "cut-worker": 4,
    "cut-zone": 1,
    "pause-leader": 1,
    "pause-entry": 1,
    "stop-leader": 2,
    "kill-leader": 2,
    "kill-entry": 1,
}
# The customer of all jobs, and how many of its tasks, each of one core, may
# run at the same time. The users allow a tenth and one task more.
KEY = "key-of-the-soak"
QUOTA = 24
RUNNING_MAX = int(QUOTA * 1.1) + 1
CUSTOMER = {
    "name": "parish",
    "api-keys": [KEY],
    "weight": 1,
    "max-count": {"cpu": 1000 * QUOTA},
}
# Log events that are counted for the summary line; no check uses them.
EVENTS = (
    "leadership-gained",
    "task-lost-worker",
    "task-crash-withdrawn",
    "task-crashed-worker",
)


def service_id(number: int) -> ids.JobId:
    """Return the id of a service."""
    return ids.JobId(f"5{number:015x}")


def task_name(task: model.TaskKey) -> str:
    """Return a task's identifier as text."""
    return "/".join(map(str, task))


CHASED_TASK = model.TaskKey(job=service_id(0), occurrence=0, step=0, index=0)


class Soak:
    """One play of one seed.

    :ivar violations: what callers or workers saw and must not see.
    :ivar accepted: the time in seconds at which each job was accepted.
    """

    def __init__(
        self,
        *,
        platform: batch_platform.BatchPlatform,
        seed: int,
        seconds: float,
    ):
        self.platform = platform
        self.disturbances = random.Random(f"disturbances {seed}")
        self.chases = random.Random(f"chases {seed}")
        self.load = random.Random(f"load {seed}")
        self.seconds = seconds
        self.violations: list[str] = []
        self.accepted: dict[str, float] = {}
        self.services: list[str] = []
        self.actions: collections.Counter[str] = collections.Counter()
        self.disturbed: set[str] = set()
        self.calm_since: dict[str, float] = {}
        self.ready_processes: set[int] = set()
        self.services_ran_after = float("nan")

    async def run(self) -> None:
        """Play the disturbances, then wait for calm and check."""
        for number in range(SERVICES):
            await self._submit_service(service_id(number))
        background = [
            asyncio.create_task(self._submit_jobs()),
            asyncio.create_task(self._watch_states()),
        ]
        try:
            await self._disturb()
            background.pop(0).cancel()
            await asyncio.gather(self._check_services(), self._check_jobs())
        finally:
            for task in background:
                task.cancel()
        for task in background:
            if not task.cancelled() and task.done() and task.exception():
                raise task.exception()
        for key in self.platform.overlaps:
            self._report(f"task {task_name(key)} ran twice at once")
        if self.platform.most_running > RUNNING_MAX:
            self._report(
                f"{self.platform.most_running} tasks of a customer ran at"
                f" once, its quota is {QUOTA}"
            )

    def summary(self) -> str:
        """Return what was played and what the processes logged."""
        ends = collections.Counter(
            end.kind.value for w in self.platform.workers for end in w.ended
        )
        events = {
            name: sum(len(e.events(name)) for e in self.platform.entries)
            for name in EVENTS
        }
        events["waits"] = sum(
            bool(line.get("waits"))
            for entry in self.platform.entries
            for line in entry.events("task-lost-worker")
        )
        return (
            f"jobs={len(self.accepted)} ends={dict(ends)}"
            f" services_ran_after_s={self.services_ran_after:.1f}"
            f" actions={dict(self.actions)} events={events}"
        )

    def _report(self, text: str) -> None:
        if text not in self.violations:
            self.violations.append(text)

    async def _submit_service(self, job: str) -> None:
        answer = await self.platform.submit_long_running(
            self.platform.entries[0], job, tasks=SERVICE_TASKS
        )
        if answer.status != 200:
            raise RuntimeError(f"a service was refused: {answer.status}")
        self.accepted[job] = time.monotonic()
        self.services.append(job)

    async def _submit_jobs(self) -> None:
        for number in range(10**6):
            await asyncio.sleep(self.load.uniform(0.2, 1.0))
            seconds = self.load.uniform(0.2, 3.0)
            tasks = self.load.randint(1, 4)
            entry = self._choose_entry()
            if entry is None:
                continue
            job = f"{number:016x}"
            try:
                answer = await self.platform.submit(
                    entry, job, tasks=tasks, seconds=seconds
                )
            except exceptions.ExchangeError:
                # Whether the job was accepted is unknown, so it is not owed.
                continue
            if answer.status == 200:
                self.accepted[job] = time.monotonic()

    async def _watch_states(self) -> None:
        while True:
            await asyncio.sleep(0.15)
            for entry in self.platform.entries:
                if entry.node in self.disturbed:
                    continue
                if entry.process.poll() is not None:
                    self._report(
                        f"{entry.node} ended by itself with status"
                        f" {entry.process.poll()}"
                    )
            entry = self._choose_entry()
            if entry is not None:
                jobs = self.services
                if self.load.random() < 0.7:
                    jobs = list(self.accepted)
                await self._state(entry, self.load.choice(jobs))

    async def _state(self, entry: batch_platform.Entry, job: str) -> str:
        """Ask for a job's state, and check that callers may see the answer."""
        asked_at = time.monotonic()
        try:
            state = await self.platform.state(entry, job)
        except exceptions.ExchangeError:
            return "unknown"
        if state in ("failed", "canceled"):
            self._report(f"job {job} is shown as {state} by {entry.node}")
        calm = entry.node not in self.disturbed and (
            asked_at - self.calm_since.get(entry.node, 0.0) > CONTACT_S
        )
        if state == "410" and calm:
            if asked_at - self.accepted[job] > VISIBLE_S:
                self._report(f"job {job} is unknown to {entry.node}")
        return state

    def _choose_entry(self) -> batch_platform.Entry | None:
        entries = [e for e in self.platform.entries if self._is_ready(e)]
        return self.load.choice(entries) if entries else None

    def _is_ready(self, entry: batch_platform.Entry) -> bool:
        if entry.node in self.disturbed or entry.process.poll() is not None:
            return False
        if entry.process.pid not in self.ready_processes:
            if not entry.events_since_start("configuration-in-force"):
                return False
            self.ready_processes.add(entry.process.pid)
        return True

    async def _disturb(self) -> None:
        end = time.monotonic() + self.seconds
        async with asyncio.TaskGroup() as group:
            chase = group.create_task(self._chase(group))
            while time.monotonic() < end:
                await asyncio.sleep(self.disturbances.uniform(0.2, 1.8))
                (action,) = self.disturbances.choices(
                    list(ACTIONS), weights=list(ACTIONS.values())
                )
                # All random values are drawn at once, so that each action has
                # the same ones however the processes act.
                share = self.disturbances.random()
                pause = self.disturbances.uniform(0.5, 5.0)
                group.create_task(self._act(action, share, pause))
            chase.cancel()

    async def _chase(self, group: asyncio.TaskGroup) -> None:
        """Cut the worker of one task off after each of its starts.

        Cuts at random hit the same task too rarely to reach the limit on
        crashes of workers under it. Cuts here also last longer, so that the
        limit may be reached while all these workers are out of reach.
        """
        cut_runs: set[tuple[str, int]] = set()
        while True:
            await asyncio.sleep(0.05)
            for worker in self.platform.workers:
                run = worker.state.running.get(CHASED_TASK)
                if run is None or worker.cut_off:
                    continue
                if (worker.name, run) in cut_runs:
                    continue
                cut_runs.add((worker.name, run))
                await asyncio.sleep(self.chases.uniform(0.0, 1.5))
                seconds = self.chases.uniform(4.0, 20.0)
                group.create_task(self._cut("chase", [worker], seconds))

    async def _act(self, action: str, share: float, pause: float) -> None:
        platform = self.platform
        match action:
            case "cut-newest-start":
                workers = sorted(
                    (w for w in platform.workers if w.started_at),
                    key=lambda worker: worker.started_at[-1][1],
                )
                await self._cut(action, workers[-1:], 2 * pause)
            case "cut-worker":
                worker = platform.workers[int(share * WORKERS)]
                await self._cut(action, [worker], 2 * pause)
            case "cut-zone":
                zone = batch_platform.ZONES[share < 0.5]
                entries = [e for e in platform.entries if e.zone == zone]
                if self._reserve(entries):
                    self.actions[action] += 1
                    links = [platform.store_links[e.node] for e in entries]
                    for link in links:
                        link.passing.clear()
                    workers = [w for w in platform.workers if w.zone == zone]
                    await self._cut("", workers, pause)
                    for link in links:
                        link.passing.set()
                    self._release(entries)
            case _:
                await self._disturb_entry(action, share, pause)

    async def _cut(
        self,
        action: str,
        workers: list[batch_platform.WorkerHost],
        seconds: float,
    ) -> None:
        workers = [worker for worker in workers if not worker.cut_off]
        if not workers:
            return
        if action:
            self.actions[action] += 1
        started_at = time.monotonic()
        await asyncio.gather(*map(self.platform.cut, workers))
        remaining = started_at + seconds - time.monotonic()
        await asyncio.sleep(max(0.0, remaining))
        for worker in workers:
            self.platform.reconnect(worker)

    async def _disturb_entry(
        self, action: str, share: float, pause: float
    ) -> None:
        entry = self.platform.entries[int(share * ENTRIES)]
        if action.endswith("leader"):
            entry = self.platform.leader()
        if entry is None or not self._reserve([entry]):
            return
        self.actions[action] += 1
        match action.partition("-")[0]:
            case "pause":
                entry.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(pause)
                entry.process.send_signal(signal.SIGCONT)
            case "stop":
                entry.process.terminate()
                await self._wait_for_stop(entry)
                await asyncio.sleep(pause / 3)
                self.platform.start_entry(entry)
            case "kill":
                self.platform.kill(entry)
                await asyncio.sleep(pause / 3)
                self.platform.start_entry(entry)
        self._release([entry])

    async def _wait_for_stop(self, entry: batch_platform.Entry) -> None:
        try:
            await self.platform.until(
                lambda: entry.process.poll() is not None, timeout=STOP_S
            )
        except TimeoutError:
            self._report(f"{entry.node} has not stopped within {STOP_S:g} s")
            self.platform.kill(entry)
        if entry.process.returncode != 0:
            self._report(
                f"{entry.node} stopped with status {entry.process.returncode}"
            )

    def _reserve(self, entries: list[batch_platform.Entry]) -> bool:
        """Mark processes as disturbed, unless that would be too many."""
        nodes = {entry.node for entry in entries}
        if nodes & self.disturbed:
            return False
        if len(nodes | self.disturbed) > ENTRIES_DISTURBED_MAX:
            return False
        self.disturbed |= nodes
        return True

    def _release(self, entries: list[batch_platform.Entry]) -> None:
        for entry in entries:
            self.calm_since[entry.node] = time.monotonic()
            self.disturbed.discard(entry.node)

    async def _check_services(self) -> None:
        """Check that the services run from some time after the last cut on."""
        started_at = time.monotonic()
        expected = SERVICES * SERVICE_TASKS
        waited = 0.0
        self.services_ran_after = 0.0
        while waited < SERVICES_RUN_S + SERVICES_WATCHED_S:
            running = self._running_services()
            waited = time.monotonic() - started_at
            if len(running) != expected:
                self.services_ran_after = waited
                if waited > SERVICES_RUN_S:
                    rows = sorted(map(task_name, running))
                    self._report(
                        f"services do not run {SERVICES_RUN_S:g} s after the"
                        f" last disturbance; running: {rows}"
                    )
                    return
            await asyncio.sleep(0.05)

    def _running_services(self) -> list[model.TaskKey]:
        return [
            task
            for worker in self.platform.workers
            for task in worker.state.running
            if task.job in self.services
        ]

    async def _check_jobs(self) -> None:
        """Wait until all accepted jobs that end are shown as completed."""
        deadline = time.monotonic() + JOBS_COMPLETE_S
        remaining = [job for job in self.accepted if job not in self.services]
        states: dict[str, str] = {}
        while remaining and time.monotonic() < deadline:
            await asyncio.sleep(0.1)
            for job in list(remaining):
                entry = self._choose_entry()
                if entry is None:
                    break
                states[job] = await self._state(entry, job)
                if states[job] == "completed":
                    remaining.remove(job)
        for job in self.services:
            entry = self._choose_entry()
            if entry is not None:
                states[job] = await self._state(entry, job)
            if states.get(job) != "running":
                self._report(f"service {job} is {states.get(job)}")
        for job in remaining:
            self._report(f"job {job} is not completed: {states.get(job)}")
        done = collections.Counter(key.job for key in self.platform.done())
        for job in self.accepted:
            if job not in self.services and job not in remaining:
                if not done[job]:
                    self._report(f"job {job} is completed and never ran")


async def play(seed: int, seconds: float, folder: pathlib.Path) -> Soak:
    """Play one seed and return it with its violations."""
    platform = batch_platform.BatchPlatform(
        folder=folder,
        workers=WORKERS,
        entries=ENTRIES,
        lease_ms=LEASE_MS,
        linked=True,
        customers=[CUSTOMER],
    )
    platform.key = KEY.encode()
    soak = Soak(platform=platform, seed=seed, seconds=seconds)
    try:
        await platform.start()
        await soak.run()
    finally:
        await platform.stop()
    return soak


def main() -> int:
    """Play the seeds and return the exit status."""
    parser = argparse.ArgumentParser(prog="faults.soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument(
        "--folder", type=pathlib.Path, default=pathlib.Path("build/soak")
    )
    options = parser.parse_args()
    failure_count = 0
    for seed in range(options.seed, options.seed + options.count):
        folder = options.folder / f"seed-{seed}"
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        try:
            soak = asyncio.run(play(seed, options.seconds, folder))
        except TimeoutError:
            print(f"not started: seed {seed}; logs in {folder}", flush=True)
            failure_count += 1
            continue
        word = "FAILED" if soak.violations else "ok"
        print(f"{word:7}seed {seed} {soak.summary()}", flush=True)
        for violation in soak.violations:
            print(f"       {violation}", flush=True)
        if soak.violations:
            failure_count += 1
        else:
            shutil.rmtree(folder)
    print(f"{options.count} seeds, {failure_count} failed")
    return 1 if failure_count else 0


if __name__ == "__main__":
    sys.exit(main())
