"""Starts the product and the stand-ins as separate processes.

The demonstration, the tests that use real processes, and the benchmarks use
this module. Every process is a Python module that listens on loopback and is
terminated by its process id.
"""

import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

STOP_TIMEOUT_S = 10.0
CALL_TIMEOUT_S = 5.0
NOTICE_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkerShape:
    """Capacity of each worker, and the number of workers in each rack."""

    cores: int = 16
    memory_gib: int = 60
    accelerators: int = 0
    per_rack: int = 8


@dataclasses.dataclass(frozen=True, kw_only=True)
class Layout:
    """Numbers of processes to start, and how they are connected.

    :param zones: names of the availability zones.
    :param workers: workers in each zone.
    :param gateways: gateways in each zone.
    :param schedulers: schedulers in each zone.
    :param linked: whether processes connect to the store and to peers through
        relays that can interrupt or delay the traffic of each zone.
    :param usage_lag_s: age in seconds at which workers report usage; None for
        no reports.
    :param bounded: whether processes connect to all peers in their own zone
        and only to some of the peers in other zones, as in a large site.
    """

    zones: tuple[str, ...]
    workers: int
    gateways: int = 1
    schedulers: int = 1
    shape: WorkerShape = WorkerShape()
    linked: bool = False
    usage_lag_s: float | None = None
    bounded: bool = False


@dataclasses.dataclass(kw_only=True)
class Daemon:
    """A started process, its command, and the address it listens on."""

    name: str
    zone: str
    process: subprocess.Popen
    listen: str = ""
    command: list[str] = dataclasses.field(default_factory=list)


def zone_of(name: str) -> str:
    """Return the zone in a daemon's name, ``kind-zone-number``."""
    return name.partition("-")[2].rpartition("-")[0]


class Addresses:
    """Loopback addresses that other launchers on this host do not use.

    Each launcher has its own IP address in 127.0.0.0/8, so that the ports of
    systems running concurrently do not conflict.
    """

    numbers = itertools.count(1)

    def __init__(self):
        process = os.getpid()
        number = next(Addresses.numbers)
        self.host = "127.%d.%d.%d" % (
            1 + process // 250 % 250,
            1 + process % 250,
            number % 250,
        )
        self.taken: set[int] = set()

    def free(self) -> str:
        """Return an address whose port is currently unused."""
        while True:
            with socket.socket() as sock:
                sock.bind((self.host, 0))
                port = sock.getsockname()[1]
            if port not in self.taken:
                self.taken.add(port)
                return f"{self.host}:{port}"


class Launcher:
    """Starts and controls one system whose files are in one folder."""

    def __init__(
        self, *, layout: Layout, folder: pathlib.Path, broken: str = ""
    ):
        self.layout = layout
        # Name of the defect of ``faults.breaks`` that is injected into the
        # product; empty for none.
        self.broken = broken
        self.folder = folder
        self.record = folder / "history.jsonl"
        self.addresses = Addresses()
        self.store = self.addresses.free()
        self.daemons: dict[str, Daemon] = {}
        self.peer_addresses: dict[str, str] = {}
        self.listen_addresses: dict[str, str] = {}
        self.links_control = self.addresses.free()
        self.hosts: list[dict] = []
        # Address of the relay to a target, by source zone and target address.
        self.links: dict[tuple[str, str], str] = {}

    def start(self) -> None:
        """Start the store, the workers and the entry hosts' processes."""
        self._write_hosts()
        self.start_store()
        for zone in self.layout.zones:
            self.start_workers(zone)
        for kind, count in (
            ("gateway", self.layout.gateways),
            ("scheduler", self.layout.schedulers),
        ):
            for zone in self.layout.zones:
                for number in range(count):
                    name = f"{kind}-{zone}-{number}"
                    self.peer_addresses[name] = self.addresses.free()
                    self.listen_addresses[name] = self.addresses.free()
        if self.layout.linked:
            self.start_links()
        for name in self.peer_addresses:
            self.start_daemon(name)

    def start_links(self) -> None:
        """Start the relays between the zones and to the store."""
        documents = []
        for zone in self.layout.zones:
            targets = {"store": (self.store, "store")}
            for name, address in self.peer_addresses.items():
                targets[name] = (address, zone_of(name))
            for name, (address, target_zone) in targets.items():
                listen = self.addresses.free()
                self.links[zone, address] = listen
                documents.append(
                    {
                        "listen": listen,
                        "target": address,
                        "label": f"{zone}->{target_zone}",
                    }
                )
        path = self.folder / "links.json"
        path.write_text(json.dumps(documents))
        self._spawn(
            "links",
            "",
            [
                "standins.links",
                "--listen",
                self.links_control,
                "--links",
                str(path),
            ],
            listen=self.links_control,
        )
        self.wait_listening(self.links_control)

    def set_links(self, pattern: str, **changes: object) -> None:
        """Interrupt, restore or delay the relays whose label matches."""
        self.call(
            self.links_control,
            "/links",
            method="PUT",
            document={"pattern": pattern, **changes},
        )

    def start_store(self) -> None:
        """Start the simulated store and wait until it listens."""
        self._spawn(
            "store",
            "",
            [
                "standins.store",
                "--listen",
                self.store,
                "--hosts",
                str(self.folder / "hosts.json"),
            ],
            listen=self.store,
        )
        self.wait_listening(self.store)

    def start_workers(self, zone: str) -> None:
        """Start the simulated workers of one zone."""
        behaviour = self.folder / "behaviour.json"
        lag = self.layout.usage_lag_s
        behaviour.write_text(json.dumps({"lag_s": lag}))
        self._spawn(
            f"workers-{zone}",
            zone,
            [
                "standins.worker",
                "--hosts",
                str(self.folder / "hosts.json"),
                "--record",
                str(self.record),
                "--zone",
                zone,
                "--behaviour",
                str(behaviour),
            ],
        )

    def start_daemon(self, name: str) -> None:
        """Start one gateway or scheduler by its name."""
        kind = name.partition("-")[0]
        zone = zone_of(name)
        path = self.folder / f"{name}.toml"
        path.write_text(self._settings(name, zone))
        command = [f"turmerichook._internal.cli.{kind}", str(path)]
        if self.broken:
            command = ["faults.broken", self.broken, kind, str(path)]
        self._spawn(
            name,
            zone,
            command,
            listen=self.listen_addresses[name],
        )

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        daemon = self.daemons[name]
        daemon.process.kill()
        daemon.process.wait()

    def pause(self, name: str) -> None:
        """Suspend a process with SIGSTOP until ``resume`` is called."""
        self.daemons[name].process.send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        self.daemons[name].process.send_signal(signal.SIGCONT)

    def stop(self) -> None:
        """Terminate all processes, and kill those that do not exit in time."""
        for daemon in self.daemons.values():
            with contextlib.suppress(ProcessLookupError):
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for daemon in self.daemons.values():
            remaining = max(0.1, deadline - time.monotonic())
            try:
                daemon.process.wait(timeout=remaining)
            except subprocess.TimeoutExpired:
                daemon.process.kill()
                daemon.process.wait()

    def operator(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run an operators' command and wait for its exit."""
        process = self.operator_process(*arguments)
        output, errors = process.communicate(timeout=60)
        return subprocess.CompletedProcess(
            args=arguments,
            returncode=process.returncode,
            stdout=output,
            stderr=errors,
        )

    def operator_process(self, *arguments: str) -> subprocess.Popen:
        """Start an operators' command without waiting for its exit."""
        return subprocess.Popen(
            [sys.executable, "-m", "turmerichook", *arguments],
            env=_environment(),
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a process to request a graceful stop."""
        self.daemons[name].process.terminate()

    def hold(self, address: str, pattern: str, count: int = 1) -> None:
        """Suspend the next steps of a stand-in whose labels match."""
        self.call(
            address,
            "/holds",
            method="PUT",
            document={"pattern": pattern, "count": count},
        )

    def held(self, address: str) -> list[str]:
        """Return the labels of a stand-in's suspended steps."""
        _, document = self.call(address, "/holds")
        return document.get("waiting", [])

    def release(self, address: str, *, drop: bool = False) -> None:
        """Continue all suspended steps, or close their connections."""
        query = "?drop=1" if drop else ""
        self.call(address, f"/holds{query}", method="DELETE")

    def set_host_running(self, host: dict, *, on: bool) -> None:
        """Simulate a crash of a worker's host, or its restart."""
        self.call(host["address"], "/power", method="PUT", document={"on": on})

    def set_host_unreachable(self, host: dict, *, unreachable: bool) -> None:
        """Make a worker unreachable for schedulers while its tasks run."""
        self.call(
            host["address"],
            "/power",
            method="PUT",
            document={"mute": unreachable},
        )

    def set_start_failures(self, host: dict, *, failing: bool) -> None:
        """Set whether a worker fails every task that it starts."""
        self.call(
            host["address"],
            "/v1/behaviour",
            method="PUT",
            document={"fail_all": failing},
        )

    def set_host_states(self, states: dict[str, str]) -> None:
        """Replace the host list, with the given states of some hosts.

        Hosts without an entry in ``states`` are listed as live.
        """
        hosts = [
            {**host, "state": states.get(host["host"], "live")}
            for host in self.hosts
        ]
        document = {"age": 0.0, "hosts": hosts}
        self.call(self.store, "/hosts", method="PUT", document=document)

    def history(self) -> list[dict]:
        """Return the entries recorded by the stand-ins, oldest first."""
        if not self.record.exists():
            return []
        text = self.record.read_text()
        # The last line may be incomplete while a process writes it; an
        # incomplete line has no line feed yet.
        lines = text[: text.rfind("\n") + 1].splitlines()
        return sorted(
            (json.loads(line) for line in lines), key=lambda e: e["time"]
        )

    def call(
        self,
        address: str,
        target: str,
        *,
        method: str = "GET",
        document: object = None,
        timeout: float = CALL_TIMEOUT_S,
    ) -> tuple[int, object]:
        """Return the status and JSON body of an HTTP request.

        The status is 0 if there was no response with valid JSON.
        """
        body = None if document is None else json.dumps(document).encode()
        request = urllib.request.Request(
            f"http://{address}{target}", data=body, method=method
        )
        try:
            with urllib.request.urlopen(request, timeout=timeout) as answer:
                return answer.status, json.loads(answer.read())
        except urllib.error.HTTPError as error:
            return error.code, json.loads(error.read() or b"{}")
        except (OSError, ValueError):
            return 0, {}

    def faults(self, **faults: object) -> None:
        """Set the faults that the simulated store injects."""
        self.call(self.store, "/faults", method="PUT", document=faults)

    def owner(self, zone: str) -> str | None:
        """Return a scheduler whose status reports that it owns a zone."""
        for name in self.peer_addresses:
            if name.startswith("scheduler"):
                status, document = self.call(
                    self.listen_addresses[name], "/v1/status", timeout=1.0
                )
                if status == 200 and zone in document["owned"]:
                    return name
        return None

    def wait_listening(self, address: str, timeout: float = 15.0) -> None:
        """Wait until an address accepts connections.

        :raises TimeoutError: if no connection is accepted in time.
        """
        host, _, port = address.rpartition(":")
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError):
                socket.create_connection((host, int(port)), 1).close()
                return
            time.sleep(0.02)
        raise TimeoutError(
            f"no process listens on {address} after {timeout:g} s"
        )

    def _spawn(
        self, name: str, zone: str, command: list[str], listen: str = ""
    ) -> None:
        log = (self.folder / f"{name}.log").open("ab")
        process = subprocess.Popen(
            [sys.executable, "-m", *command],
            env=_environment(),
            stdout=log,
            stderr=log,
        )
        log.close()
        self.daemons[name] = Daemon(
            name=name,
            zone=zone,
            process=process,
            listen=listen,
            command=command,
        )

    def _settings(self, name: str, zone: str) -> str:
        peers = [
            self._address_from(zone, address)
            for other, address in self.peer_addresses.items()
            if other != name
        ]
        zone_peers = []
        if self.layout.bounded:
            zone_peers = [
                address
                for other, address in self.peer_addresses.items()
                if other != name and zone_of(other) == zone
            ]
            peers = [address for address in peers if address not in zone_peers]
        store = self._address_from(zone, self.store)
        return "\n".join(
            (
                f'node = "{name}"',
                f'zone = "{zone}"',
                f'store = "{store}"',
                f'hosts = "{store}"',
                f'listen = "{self.listen_addresses[name]}"',
                f'peer_listen = "{self.peer_addresses[name]}"',
                f"peers = {json.dumps(peers)}",
                f"zone_peers = {json.dumps(zone_peers)}",
                f"notice_s = {NOTICE_S}",
                "",
            )
        )

    def _address_from(self, zone: str, address: str) -> str:
        return self.links.get((zone, address), address)

    def _write_hosts(self) -> None:
        shape = self.layout.shape
        hosts = [
            {
                "host": f"{zone}-w{number}",
                "address": self.addresses.free(),
                "zone": zone,
                "rack": f"{zone}-r{number // shape.per_rack}",
                "capacity": {
                    "millicores": shape.cores * 1000,
                    "memory_mib": shape.memory_gib * 1024,
                    "accelerators": shape.accelerators,
                },
                "state": "live",
            }
            for zone in self.layout.zones
            for number in range(self.layout.workers)
        ]
        self.hosts = hosts
        document = {"age": 0.0, "hosts": hosts}
        (self.folder / "hosts.json").write_text(json.dumps(document))


def _environment() -> dict[str, str]:
    root = pathlib.Path(__file__).resolve().parent.parent
    paths = os.pathsep.join((str(root / "src"), str(root)))
    return {**os.environ, "PYTHONPATH": paths}
