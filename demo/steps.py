"""What the operator does in the demonstration."""

import json
import sys
import time

from standins import caller
from standins import launcher
from standins import recorder

SERVICE = "booking"
WAIT_S = 45.0

FILES = {
    "10-site.toml": """
[site]
name = "dzwonnica"

[zones.krakow]
region = "malopolska"

[zones.tarnow]
region = "malopolska"
""",
    "20-teams.toml": """
[teams.desks]
weight = 4.0

[teams.memorials]
weight = 1.0
""",
    "30-booking.toml": """
[services.booking]
team = "desks"
replicas = 6
cores = 2
memory_gib = 4
""",
}


def say(text: str) -> None:
    """Tell the reader of the demonstration what has happened."""
    print(f"-- {text}", file=sys.stderr, flush=True)


class Operator:
    """Drives the product through its folder, its commands and its API."""

    def __init__(
        self, *, system: launcher.Launcher, record: recorder.Recorder
    ):
        self.system = system
        self.record = record
        self.folder = system.folder / "configuration"
        self.folder.mkdir()
        for name, text in FILES.items():
            (self.folder / name).write_text(text)

    def record_hosts(self) -> None:
        """Record the hosts' capacities for the checker."""
        for host in self.system.hosts:
            self.record(
                {
                    "kind": "host",
                    "host": host["host"],
                    "capacity": host["capacity"],
                }
            )

    def apply(self) -> None:
        """Apply the folder."""
        result = self.system.operator(
            "config", "apply", str(self.folder), "--store", self.system.store
        )
        if result.returncode != 0:
            raise RuntimeError(result.stderr)

    def set_zone(self, zone: str, state: str) -> None:
        """Take a zone out or bring it back in."""
        path = self.folder / f"90-zone-{zone}.toml"
        path.write_text(f'[zones.{zone}]\nstate = "{state}"\n')
        # The zone is open from some moment during the apply, and closed for
        # certain only once the apply has returned.
        if state == "in":
            self.record({"kind": "zone-in", "zone": zone})
        self.apply()
        if state == "out":
            self.record({"kind": "zone-out", "zone": zone})

    def submit(self, job: str, *, tasks: int) -> str:
        """Submit a job and return its id once it is accepted."""
        document = {
            "id": job,
            "team": "memorials",
            "tasks": tasks,
            "cores": 2,
            "memory_gib": 4,
            "run_time_s": 5,
        }
        deadline = time.monotonic() + WAIT_S
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
        raise RuntimeError(f"{job} was not accepted: {json.dumps(answer)}")

    def wait_for_job(self, job: str) -> None:
        """Wait until a job is final, and record its state."""
        deadline = time.monotonic() + WAIT_S
        state = "unknown"
        while time.monotonic() < deadline:
            _, answer = self.system.call(self._gateway(), f"/v1/jobs/{job}")
            state = answer.get("state", "unknown")
            if state in ("completed", "failed", "cancelled"):
                break
            time.sleep(0.2)
        self.record({"kind": "job-final", "job": job, "state": state})

    def wait_for_service(self, targets: list[caller.Target]) -> None:
        """Wait until every gateway reaches an endpoint of the service."""
        probe = caller.Caller(name="probe", record=self.record, seed=0)
        for target in targets:
            deadline = time.monotonic() + WAIT_S
            while probe.send(target, method="GET") != 200:
                if time.monotonic() > deadline:
                    raise RuntimeError(f"no answer through {target.node}")
                time.sleep(0.1)

    def _gateway(self) -> str:
        name = next(
            n for n in self.system.peer_addresses if n.startswith("gateway")
        )
        return self.system.listen_addresses[name]
