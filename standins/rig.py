"""Test environment with gateway processes and endpoints behind proxies.

Each gateway is a separate process. The endpoints, the proxies and the
simulated zone owners run in the event loop of the test, so that a test can
change them directly. There is no store: the gateways receive configuration and
endpoint tables over the streams between peers.
"""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import subprocess
import sys
import time

from standins import endpoint
from standins import launcher
from standins import proxy
from turmerichook._internal.configuration import bundle
from turmerichook._internal.configuration import messages as config_messages
from turmerichook._internal.scheduling import messages
from turmerichook._internal import stream_types
from turmerichook._internal.streams import codec

START_TIMEOUT_S = 15.0
ANNOUNCE_INTERVAL_S = 0.5
SITE = """
[zones.a]
[zones.b]
[zones.c]
[teams.desks]
[services.booking]
team = 'desks'
replicas = 4
cores = 1
memory_gib = 1
"""


@dataclasses.dataclass(kw_only=True)
class Replica:
    """An endpoint and the proxy in front of it.

    :param leaving: whether the endpoint table marks the endpoint as leaving.
    :param announced: whether the endpoint table contains the endpoint.
    """

    task: str
    zone: str
    server: endpoint.Endpoint
    link: proxy.Proxy
    address: str
    leaving: bool = False
    announced: bool = True


class Rig:
    """The gateways, endpoints and proxies that one test starts."""

    def __init__(self, *, folder: pathlib.Path, site: str = SITE):
        self.folder = folder
        self.site = site
        self.generation = 1
        self.sequence = 0
        self.entries: list[dict] = []
        self.replicas: dict[str, Replica] = {}
        self.gateways: dict[str, subprocess.Popen] = {}
        self.addresses = launcher.Addresses()
        self.listen: dict[str, str] = {}
        self.peer: dict[str, str] = {}
        self.links: dict[str, asyncio.StreamWriter] = {}
        self.codec = codec.Codec(types=stream_types.STREAM_TYPES)
        self.announcer: asyncio.Task | None = None

    async def add_replica(
        self,
        task: str,
        *,
        zone: str = "a",
        plan: proxy.Plan = lambda: proxy.NO_FAULT,
        slots: int = 8,
        work_s: float = 0.002,
        fail_every: int = 0,
        port: int = 0,
    ) -> Replica:
        """Start an endpoint and the proxy in front of it."""
        server = endpoint.Endpoint(
            task=task,
            slots=slots,
            connections=64,
            record=self._record,
            work_s=work_s,
            fail_every=fail_every,
        )
        target = await server.start()
        link = proxy.Proxy(target=("127.0.0.1", target), plan=plan)
        port = await link.start(port)
        replica = Replica(
            task=task,
            zone=zone,
            server=server,
            link=link,
            address=f"127.0.0.1:{port}",
        )
        self.replicas[task] = replica
        return replica

    async def start_gateway(
        self,
        name: str,
        *,
        zone: str = "a",
        peers: tuple[str, ...] = (),
        notice_s: float = 0.5,
        announce: bool = True,
        log_level: str = "INFO",
    ) -> str:
        """Start a gateway process and return its address.

        :param peers: names of the gateways that the new gateway connects to.
        :param announce: whether to send configuration and endpoint tables to
            the gateway and wait until it is ready.
        """
        self.listen.setdefault(name, self.addresses.free())
        self.peer.setdefault(name, self.addresses.free())
        path = self.folder / f"{name}.toml"
        unused_address = self.addresses.free()
        peer_addresses = [self.peer[peer] for peer in peers]
        path.write_text(
            f'node = "{name}"\nzone = "{zone}"\nstore = "{unused_address}"\n'
            f'hosts = "{unused_address}"\nlisten = "{self.listen[name]}"\n'
            f'peer_listen = "{self.peer[name]}"\npeers = {peer_addresses}\n'
            f'notice_s = {notice_s}\nlog_level = "{log_level}"\n'
        )
        root = pathlib.Path(__file__).resolve().parent.parent
        with (self.folder / f"{name}.log").open("ab") as log:
            self.gateways[name] = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "turmerichook._internal.cli.gateway",
                    str(path),
                ],
                env={**os.environ, "PYTHONPATH": f"{root}/src:{root}"},
                stdout=log,
                stderr=log,
            )
        await self._wait_listening(self.peer[name])
        if announce:
            await self._connect(name)
            await self.until_ready(name)
        return self.listen[name]

    async def restart_gateway(self, name: str, **options) -> str:
        """Start a gateway again with its previous addresses."""
        writer = self.links.pop(name, None)
        if writer is not None:
            writer.close()
        return await self.start_gateway(name, **options)

    async def until_ready(self, name: str) -> None:
        """Wait until a gateway's ``/readyz`` returns status 200.

        :raises TimeoutError: if the gateway is not ready in time.
        """
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            status, _ = await self.get(name, "/readyz")
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(
            f"gateway {name} is not ready after {START_TIMEOUT_S:g} s"
        )

    async def get(self, name: str, path: str) -> tuple[int, str]:
        """Return the status and body of a GET request.

        The status is 0 if there was no response.
        """
        host, _, port = self.listen[name].rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"GET {path} HTTP/1.0\r\nhost: x\r\n\r\n".encode())
            async with asyncio.timeout(5):
                answer = await reader.read(-1)
            writer.close()
        except (OSError, TimeoutError):
            return 0, ""
        head, _, body = answer.decode().partition("\r\n\r\n")
        return int(head.split()[1] if head else 0), body

    def announce(self) -> None:
        """Send the configuration and endpoint tables to all gateways once."""
        self.sequence += 1
        frames = b"".join(self._frames())
        for name, writer in list(self.links.items()):
            with contextlib.suppress(OSError, RuntimeError):
                writer.write(frames)
            if writer.is_closing():
                del self.links[name]

    async def wait_gateway(self, name: str, timeout: float) -> int:
        """Wait for a gateway's exit and return its exit status."""
        return await asyncio.to_thread(self.gateways[name].wait, timeout)

    async def stop(self) -> None:
        """Kill the gateways and stop the proxies and endpoints."""
        if self.announcer is not None:
            self.announcer.cancel()
        for process in self.gateways.values():
            process.kill()
            process.wait()
        for writer in self.links.values():
            writer.close()
        for replica in self.replicas.values():
            await replica.link.stop()
            await replica.server.stop()

    def _record(self, entry: dict) -> None:
        self.entries.append({"time": time.time(), **entry})

    async def _wait_listening(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(host, int(port))
                writer.close()
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(
            f"no process listens on {address} after {START_TIMEOUT_S:g} s"
        )

    async def _connect(self, name: str) -> None:
        host, _, port = self.peer[name].rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        self.links[name] = writer
        self.announce()
        if self.announcer is None:
            self.announcer = asyncio.create_task(self._announce_periodically())

    async def _announce_periodically(self) -> None:
        while True:
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)
            self.announce()

    def _frames(self) -> list[bytes]:
        packed = bundle.pack_files({"10-site.toml": self.site.encode()})
        outgoing = [
            config_messages.GenerationBundle(
                generation=self.generation,
                digest=bundle.digest_of(packed),
                bundle=packed,
            )
        ]
        zones: dict[str, list] = {}
        for replica in self.replicas.values():
            if replica.announced:
                row = [
                    "booking",
                    replica.task,
                    replica.address,
                    replica.server.slot_count,
                    64,
                    replica.leaving,
                ]
                zones.setdefault(replica.zone, []).append(row)
        for zone in ("a", "b", "c"):
            outgoing.append(
                messages.EndpointTable(
                    zone=zone,
                    epoch=1,
                    sequence=self.sequence,
                    endpoints=zones.get(zone, []),
                )
            )
        return [self.codec.encode(message) for message in outgoing]
