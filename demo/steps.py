"""Actions of the simulated operator in the demonstration."""

import json
import shutil
import sys
import time

from standins import caller
from standins import examples
from standins import launcher
from standins import recorder

SERVICE = "booking"
FOLDER_JOB = "memorial-rounds-december"
WAIT_TIMEOUT_S = 45.0

# The demonstration runs only two of the example's three zones, so the third
# one is configured as taken out.
THIRD_ZONE_OUT = """
[zones.nowy-sacz]
state = "out"
"""


def print_progress(text: str) -> None:
    """Print a progress message to standard error."""
    print(f"-- {text}", file=sys.stderr, flush=True)


class Operator:
    """Operates the product through its folder, commands and HTTP API."""

    def __init__(
        self, *, system: launcher.Launcher, record: recorder.Recorder
    ):
        self.system = system
        self.record = record
        self.folder = system.folder / "configuration"
        example = examples.load("dzwonnica")
        shutil.copytree(example.configuration, self.folder)
        (self.folder / "80-demo.toml").write_text(THIRD_ZONE_OUT)

    def record_hosts(self) -> None:
        """Record the hosts' capacities for the history checker."""
        for host in self.system.hosts:
            self.record(
                {
                    "kind": "host",
                    "host": host["host"],
                    "capacity": host["capacity"],
                }
            )

    def apply(self) -> None:
        """Apply the configuration folder.

        :raises RuntimeError: if ``config apply`` fails.
        """
        result = self.system.operator(
            "config", "apply", str(self.folder), "--store", self.system.store
        )
        if result.returncode != 0:
            raise RuntimeError(result.stderr)

    def set_zone(self, zone: str, state: str) -> None:
        """Take a zone out or bring it back, and record the change."""
        path = self.folder / f"90-zone-{zone}.toml"
        path.write_text(f'[zones.{zone}]\nstate = "{state}"\n')
        # The zone opens at an unknown time during the apply, so its return is
        # recorded before. The zone is certain to be closed only once the
        # apply has returned, so taking it out is recorded afterwards.
        if state == "in":
            self.record({"kind": "zone-in", "zone": zone})
        self.apply()
        if state == "out":
            self.record({"kind": "zone-out", "zone": zone})

    def job_of_folder(self) -> str:
        """Wait until the folder's job is accepted, and return its id.

        :raises RuntimeError: if the job is not accepted in time.
        """
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < deadline:
            status, answer = self.system.call(
                self._gateway(), f"/v1/jobs/{FOLDER_JOB}"
            )
            if status == 200:
                self.record(
                    {
                        "kind": "job-accepted",
                        "job": FOLDER_JOB,
                        "tasks": answer["tasks"],
                    }
                )
                return FOLDER_JOB
            time.sleep(0.2)
        raise RuntimeError(
            f"job {FOLDER_JOB} was not accepted within {WAIT_TIMEOUT_S:g} s"
        )

    def submit(self, job: str, *, tasks: int) -> str:
        """Submit a job until it is accepted, and return its id.

        :raises RuntimeError: if the job is not accepted in time.
        """
        document = {
            "id": job,
            "team": "memorials",
            "tasks": tasks,
            "cores": 2,
            "memory_gib": 4,
            "run_time_s": 5,
        }
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < deadline:
            status, answer = self.system.call(
                self._gateway(), "/v1/jobs", method="POST", document=document
            )
            if status == 202:
                self.record(
                    {"kind": "job-accepted", "job": job, "tasks": tasks}
                )
                return job
            time.sleep(0.2)
        raise RuntimeError(
            f"job {job} was not accepted within {WAIT_TIMEOUT_S:g} s; "
            f"last response: {json.dumps(answer)}"
        )

    def wait_for_job(self, job: str) -> None:
        """Wait until a job has a final state, and record the last state."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        state = "unknown"
        while time.monotonic() < deadline:
            _, answer = self.system.call(self._gateway(), f"/v1/jobs/{job}")
            state = answer.get("state", "unknown")
            if state in ("completed", "failed", "cancelled"):
                break
            time.sleep(0.2)
        self.record({"kind": "job-final", "job": job, "state": state})

    def wait_for_service(self, targets: list[caller.Target]) -> None:
        """Wait until a request to the service succeeds at every gateway.

        :raises RuntimeError: if a gateway does not serve the service in time.
        """
        probe = caller.Caller(name="probe", record=self.record, seed=0)
        for target in targets:
            deadline = time.monotonic() + WAIT_TIMEOUT_S
            while probe.send(target, method="GET") != 200:
                if time.monotonic() > deadline:
                    raise RuntimeError(
                        f"no response with status 200 through {target.node} "
                        f"within {WAIT_TIMEOUT_S:g} s"
                    )
                time.sleep(0.1)

    def _gateway(self) -> str:
        name = next(
            n for n in self.system.peer_addresses if n.startswith("gateway")
        )
        return self.system.listen_addresses[name]
