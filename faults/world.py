"""The system under test of one cell, with its load of requests."""

import contextlib
import json
import pathlib
import subprocess
import threading
import time
import typing

from standins import caller
from standins import launcher
from standins import recorder

SERVICE = "booking"
ZONES = ("a", "b")
LAYOUT = launcher.Layout(
    zones=ZONES, workers=3, gateways=1, schedulers=2, linked=True
)
ZONE_DELAY_S = 0.005
STATUS_INTERVAL_S = 0.5
LOAD_INTERVAL_S = 0.05
WAIT_TIMEOUT_S = 30.0
JOBS_TIMEOUT_S = 90.0
TASK_RUN_S = 3
FINAL_STATES = ("completed", "failed", "cancelled")

SITE = "[zones.a]\n[zones.b]\n[teams.desks]\n"
SERVICES = f"""
[services.{SERVICE}]
team = "desks"
replicas = 4
cores = 2
memory_gib = 4
"""


class SetupError(Exception):
    """The system did not reach the state that a cell requires."""


class World:
    """One system with simulated operators and callers, and its history."""

    def __init__(self, *, folder: pathlib.Path, seed: int, broken: str = ""):
        self.system = launcher.Launcher(
            layout=LAYOUT, folder=folder, broken=broken
        )
        self.record = recorder.Recorder(path=self.system.record)
        self.seed = seed
        self.files = folder / "configuration"
        self.files.mkdir()
        self.generation = 0
        self.cut_off: set[str] = set()
        self.stopping = threading.Event()
        self.threads: list[threading.Thread] = []
        self.actions: list[threading.Thread] = []
        self.jobs: dict[str, dict] = {}
        self.load: caller.Load | None = None
        self.apply_processes: list[subprocess.Popen] = []

    def start(self) -> None:
        """Start the system and its load once every gateway serves requests."""
        self.system.start()
        self.system.set_links("a->b", delay_s=ZONE_DELAY_S)
        self.system.set_links("b->a", delay_s=ZONE_DELAY_S)
        for host in self.system.hosts:
            self.record(
                {
                    "kind": "host",
                    "host": host["host"],
                    "capacity": host["capacity"],
                }
            )
        (self.files / "10-site.toml").write_text(SITE)
        (self.files / "20-services.toml").write_text(SERVICES)
        self.apply()
        self._wait_for_service()
        self._start_thread(self._record_generations)
        self.load = caller.Load(
            targets=self.targets(),
            record=self.record,
            seed=self.seed,
            interval_s=LOAD_INTERVAL_S,
        )
        self.load.start()

    def stop(self) -> None:
        """Stop the load and terminate all processes."""
        self.stopping.set()
        if self.load is not None:
            self.load.stop()
        for thread in self.threads:
            thread.join()
        for process in self.apply_processes:
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.communicate(timeout=5)
            process.kill()
            process.wait()
        self.system.stop()

    # Actions of operators and callers

    def targets(self) -> list[caller.Target]:
        """Return all gateways as targets of requests."""
        return [
            caller.Target(
                node=name,
                address=self.system.listen_addresses[name],
                service=SERVICE,
            )
            for name in self.gateways()
        ]

    def gateways(self) -> list[str]:
        """Return the names of the gateways."""
        names = self.system.peer_addresses
        return [name for name in names if name.startswith("gateway")]

    def gateway(self) -> str:
        """Return the address of the gateway in zone a."""
        return self.system.listen_addresses["gateway-a-0"]

    def apply(self) -> None:
        """Apply the configuration folder.

        :raises SetupError: if ``config apply`` fails.
        """
        process = self.apply_in_background()
        output, errors = process.communicate(timeout=60)
        if process.returncode != 0:
            raise SetupError(f"config apply failed: {errors}")

    def apply_in_background(self) -> subprocess.Popen:
        """Start ``config apply`` as a separate process, without waiting."""
        process = self.system.operator_process(
            "config",
            "apply",
            str(self.files),
            "--store",
            self.system.store,
        )
        self.apply_processes.append(process)
        return process

    def record_generation_in_force(self) -> None:
        """Record the generation in force, if it has not been recorded yet."""
        result = self.system.operator(
            "config", "show", "--json", "--store", self.system.store
        )
        if result.returncode == 0:
            generation = _generation(result.stdout)
            if generation > self.generation:
                self.generation = generation
                self.record({"kind": "applied", "generation": generation})

    def write_zone(self, zone: str, state: str) -> None:
        """Write the configuration file that sets the state of a zone."""
        path = self.files / f"90-zone-{zone}.toml"
        path.write_text(f'[zones.{zone}]\nstate = "{state}"\n')

    def set_zone(self, zone: str, state: str) -> None:
        """Take a zone out or bring it back, and record the change."""
        self.write_zone(zone, state)
        # The zone opens at an unknown time during the apply, so its return is
        # recorded before. The zone is certain to be closed only once the
        # apply has returned, so taking it out is recorded afterwards.
        if state == "in":
            self.record({"kind": "zone-in", "zone": zone})
        self.apply()
        if state == "out":
            self.record({"kind": "zone-out", "zone": zone})
        self.record_generation_in_force()

    def zone_is_out(self, zone: str) -> bool:
        """Return whether the configuration folder takes a zone out."""
        path = self.files / f"90-zone-{zone}.toml"
        return path.exists() and '"out"' in path.read_text()

    def submit(
        self,
        job: str,
        *,
        tasks: int,
        zones: tuple = (),
        run_time_s: float = TASK_RUN_S,
    ) -> bool:
        """Submit a job, and retry until it is accepted or the time is up.

        Returns whether the job was accepted.
        """
        document = {
            "id": job,
            "team": "desks",
            "tasks": tasks,
            "cores": 1,
            "memory_gib": 1,
            "run_time_s": run_time_s,
            "zones": list(zones),
        }
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < deadline:
            for name in self.gateways():
                status, answer = self.system.call(
                    self.system.listen_addresses[name],
                    "/v1/jobs",
                    method="POST",
                    document=document,
                )
                if status == 202:
                    self.jobs[job] = answer
                    self.record(
                        {"kind": "job-accepted", "job": job, "tasks": tasks}
                    )
                    return True
            time.sleep(0.2)
        return False

    def cancel(self, job: str) -> bool:
        """Cancel a job, and retry until accepted or the time is up.

        Returns whether the cancellation was accepted.
        """
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < deadline:
            for name in self.gateways():
                status, _ = self.system.call(
                    self.system.listen_addresses[name],
                    "/v1/cancellations",
                    method="POST",
                    document={"jobs": [job]},
                )
                if status == 202:
                    return True
            time.sleep(0.2)
        return False

    def run_in_thread(self, action: typing.Callable[[], object]) -> None:
        """Run an action in a thread, concurrently with the cell's steps."""
        self.actions.append(self._start_thread(action))

    def finish_jobs(self) -> None:
        """Wait until all jobs have a final state, and record the states."""
        for action in self.actions:
            action.join()
        deadline = time.monotonic() + JOBS_TIMEOUT_S
        open_jobs = set(self.jobs)
        while open_jobs and time.monotonic() < deadline:
            for job in sorted(open_jobs):
                state = self.job_state(job)
                if state in FINAL_STATES:
                    open_jobs.discard(job)
                    entry = {"kind": "job-final", "job": job, "state": state}
                    self.record(entry)
            time.sleep(0.2)

    def job_state(self, job: str) -> str:
        """Return a job's state from the first gateway that returns it."""
        for name in self.gateways():
            address = self.system.listen_addresses[name]
            status, answer = self.system.call(address, f"/v1/jobs/{job}")
            if status == 200:
                return answer["state"]
        return "unknown"

    # Conditions that a cell waits for

    def wait_for(
        self, condition: typing.Callable[[], typing.Any], what: str
    ) -> typing.Any:
        """Poll a condition, and return its first true result.

        :param what: name of the awaited result, for the error message.
        :raises SetupError: if no result is true in time.
        """
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < deadline:
            result = condition()
            if result:
                return result
            time.sleep(0.05)
        raise SetupError(f"no {what} within {WAIT_TIMEOUT_S:g} s")

    def entries(self, kind: str, prefix: str) -> list[dict]:
        """Return the history entries of a kind whose task has a prefix."""
        return [
            entry
            for entry in self.system.history()
            if entry["kind"] == kind
            and entry.get("task", "").startswith(prefix)
        ]

    def owner(self, zone: str) -> str:
        """Wait for a scheduler that owns a zone, and return its name."""
        return self.wait_for(
            lambda: self.system.owner(zone), f"owner of zone {zone}"
        )

    def _wait_for_service(self) -> None:
        probe = caller.Caller(name="probe", record=self.record, seed=0)
        for target in self.targets():
            self.wait_for(
                lambda t=target: probe.send(t, method="GET") == 200,
                f"answer through {target.node}",
            )

    def _start_thread(
        self, action: typing.Callable[[], object]
    ) -> threading.Thread:
        thread = threading.Thread(target=action)
        self.threads.append(thread)
        thread.start()
        return thread

    def _record_generations(self) -> None:
        while not self.stopping.wait(STATUS_INTERVAL_S):
            for name, address in self.system.listen_addresses.items():
                status, answer = self.system.call(
                    address, "/v1/status", timeout=0.3
                )
                if status != 200:
                    continue
                self.record(
                    {
                        "kind": "generation",
                        "node": name,
                        "generation": answer["generation"],
                        "cut_off": launcher.zone_of(name) in self.cut_off,
                    }
                )


def _generation(output: str) -> int:
    return int(json.loads(output)["generation"])
