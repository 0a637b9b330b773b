"""Simulated schedulers, workers and store on one manual clock.

The owners and claims are the real ones; store and workers are in memory.
"""

import asyncio
import dataclasses
import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal.providers import hosts
from turmerichook._internal.providers import hosts_memory
from turmerichook._internal.providers import store_faults
from turmerichook._internal.providers import store_memory
from turmerichook._internal.providers import workers_memory
from turmerichook._internal.scheduling import environment
from turmerichook._internal.scheduling import jobs
from turmerichook._internal.scheduling import messages
from turmerichook._internal.scheduling import ownership
from turmerichook._internal.scheduling import tenures

STEP = datetime.timedelta(milliseconds=100)
# Turns of the event loop after each step of the clock, enough for all tasks
# that are due at that time to run.
EVENT_LOOP_TURNS = 25
CAPACITY = resources.Resources(millicores=4000, memory_mib=4096)
SMALL = resources.Resources(millicores=1000, memory_mib=1024)


def seconds(number: float) -> datetime.timedelta:
    """Return a duration."""
    return datetime.timedelta(seconds=number)


class PausableProxy:
    """Proxy that lets a process be paused.

    Calls reach the inner object, but while ``gate`` is not set they do not
    return.
    """

    def __init__(self, inner, gate: asyncio.Event):
        self.inner = inner
        self.gate = gate

    def __getattr__(self, name):
        attribute = getattr(self.inner, name)
        if not asyncio.iscoroutinefunction(attribute):
            return attribute

        async def call(*args, **kwargs):
            try:
                return await attribute(*args, **kwargs)
            finally:
                if not self.gate.is_set():
                    await self.gate.wait()

        return call


class Scheduler:
    """One scheduler process, which is a candidate for each zone.

    Clearing ``gate`` pauses the process. ``faults`` wraps the store, and the
    attributes of ``pool`` make its calls to workers fail.
    """

    def __init__(self, world: "World", name: str):
        self.world = world
        self.name = name
        self.gate = asyncio.Event()
        self.gate.set()
        self.configuration = site.EMPTY
        self.clock = PausableProxy(world.clock, self.gate)
        self.faults = store_faults.FaultyStore(
            store=world.store, clock=world.clock
        )
        self.store = PausableProxy(self.faults, self.gate)
        self.pool = workers_memory.MemoryWorkerPool(
            network=world.network, clock=world.clock
        )
        self.environment = environment.Environment(
            node=ids.NodeId(name),
            store=self.store,
            pool=PausableProxy(self.pool, self.gate),
            host_list=PausableProxy(world.hosts, self.gate),
            clock=self.clock,
            configuration=lambda: self.configuration,
            publish=self.publish,
            peers=environment.Peers(),
        )
        self.zones = {
            zone: tenures.Tenures(
                candidate=ownership.Candidate(
                    zone=zone,
                    node=ids.NodeId(name),
                    address=name,
                    in_other_zone=False,
                    store=self.store,
                    clock=self.clock,
                    confirm=self.confirm,
                ),
                environment=self.environment,
            )
            for zone in world.configuration.zones
        }
        for zone in self.zones.values():
            zone.start()

    async def confirm(self) -> None:
        await self.store.get("config/head")
        self.configuration = self.world.configuration

    def publish(self, message: object) -> None:
        for other in self.world.schedulers:
            if other.gate.is_set() and not self.world.peers_cut:
                other.receive(message)

    def receive(self, message: object) -> None:
        peers = self.environment.peers
        zone = self.zones[ids.ZoneId(message.zone)]
        match message:
            case messages.EndpointTable():
                peers.tables[message.zone] = message
                zone.note_epoch(message.epoch, "peer")
            case messages.ZoneStatus():
                peers.statuses[message.zone] = message
            case messages.ZoneReleased():
                zone.note_release(message)

    def owner(self, zone: str):
        return self.zones[ids.ZoneId(zone)].owner

    async def stop(self) -> None:
        for zone in self.zones.values():
            await zone.stop()
        for task in self.faults.late:
            task.cancel()


class World:
    """Schedulers, zones and workers of one scenario, and its history.

    ``history`` holds starts and ends of attempts and the changes that the
    scenario makes. While ``peers_cut`` is set, schedulers receive no messages
    from each other.
    """

    def __init__(self, *, zones=("a",), workers=2, schedulers=1):
        self.clock = clocks.ManualClock()
        self.store = store_memory.MemoryStore(clock=self.clock)
        self.hosts = hosts_memory.MemoryHostList()
        self.history: list[dict] = []
        self.network: dict[str, workers_memory.MemoryWorker] = {}
        self.configuration = site.Configuration(
            zones={
                ids.ZoneId(zone): site.Zone(
                    zone=ids.ZoneId(zone), region=ids.RegionId("r")
                )
                for zone in zones
            },
            teams={ids.TeamId("t"): site.Team(team=ids.TeamId("t"))},
        )
        self.peers_cut = False
        for zone in zones:
            for number in range(workers):
                self.add_worker(ids.ZoneId(zone), f"{zone}{number}")
        self.schedulers: list[Scheduler] = []
        for number in range(schedulers):
            self.schedulers.append(Scheduler(self, f"s{number}"))

    def add_worker(self, zone: ids.ZoneId, name: str) -> None:
        self.network[name] = workers_memory.MemoryWorker(
            host=ids.HostId(name),
            zone=zone,
            capacity=CAPACITY,
            clock=self.clock,
            record=self.history.append,
        )
        self.hosts.entries[ids.HostId(name)] = hosts.Host(
            host=ids.HostId(name),
            address=name,
            zone=zone,
            rack=ids.RackId("r"),
            capacity=CAPACITY,
            state=hosts.HostState.LIVE,
        )

    def set_host(self, name: str, state: hosts.HostState) -> None:
        host = self.hosts.entries[ids.HostId(name)]
        self.hosts.entries[host.host] = dataclasses.replace(host, state=state)

    def set_zone(self, zone: str, state: site.ZoneState) -> None:
        name = ids.ZoneId(zone)
        changed = dataclasses.replace(
            self.configuration.zones[name], state=state
        )
        self.configuration = dataclasses.replace(
            self.configuration,
            zones={**self.configuration.zones, name: changed},
        )
        self.note(state.value, zone=zone)

    def set_service(self, name: str, replicas: int) -> None:
        service = site.Service(
            service=ids.ServiceId(name),
            team=ids.TeamId("t"),
            replicas=replicas,
            resources=SMALL,
            zones=(),
        )
        self.configuration = dataclasses.replace(
            self.configuration, services={service.service: service}
        )

    def note(self, kind: str, **fields: object) -> None:
        self.history.append(
            {"kind": kind, "time": self.clock.monotonic(), **fields}
        )

    async def submit(
        self, job: str, *, tasks=1, run_time=5.0, home="a"
    ) -> None:
        spec = site.Job(
            job=ids.JobId(job),
            team=ids.TeamId("t"),
            tasks=tasks,
            resources=SMALL,
            run_time=seconds(run_time),
        )
        record = jobs.JobRecord(
            spec=spec,
            home=ids.ZoneId(home),
            state=jobs.JobState.ACCEPTED,
            operation=ids.OperationId("submit"),
            accepted=self.clock.now().isoformat(),
        )
        await self.store.put(
            jobs.key_of(spec.job), jobs.pack(record), expect=ids.Version(0)
        )
        self.note("submit", job=job)

    async def cancel(self, *names: str) -> None:
        cancellation = jobs.Cancellation(
            jobs=tuple(map(ids.JobId, names)),
            created=self.clock.now().isoformat(),
        )
        await self.store.put(
            f"{jobs.CANCEL_PREFIX}{names[0]}",
            jobs.pack_cancellation(cancellation),
            expect=ids.Version(0),
        )

    async def record(self, job: str) -> jobs.JobRecord:
        entry = await self.store.get(jobs.key_of(ids.JobId(job)))
        return jobs.unpack(entry.value)

    async def advance(self, duration: float) -> None:
        """Advance the clock in steps of 100 ms, running tasks after each."""
        end = self.clock.monotonic() + seconds(duration)
        while self.clock.monotonic() < end:
            self.clock.advance(STEP)
            self.store.expire()
            for worker in self.network.values():
                worker.advance()
            for _ in range(EVENT_LOOP_TURNS):
                await asyncio.sleep(0)

    async def until(self, condition, limit: float = 60) -> None:
        """Advance the clock until a condition holds, at most ``limit`` s."""
        end = self.clock.monotonic() + seconds(limit)
        while not condition():
            assert self.clock.monotonic() < end, (
                "condition not met within the limit"
            )
            await self.advance(0.1)

    async def until_completed(self, job: str, limit: float = 60) -> None:
        end = self.clock.monotonic() + seconds(limit)
        while (await self.record(job)).state is jobs.JobState.ACCEPTED:
            assert self.clock.monotonic() < end, (
                f"{job} has not ended within the limit"
            )
            await self.advance(0.5)

    def owner(self, zone: str = "a"):
        """Return the running owner of a zone with the highest epoch."""
        owners = [s.owner(zone) for s in self.schedulers if s.owner(zone)]
        return max(owners, key=lambda owner: owner.epoch, default=None)

    def cut(self, host: str, *schedulers: Scheduler) -> None:
        """Disconnect a worker from the given schedulers, or from all."""
        for scheduler in schedulers or self.schedulers:
            scheduler.pool.cut.add(host)
        self.note("cut", host=host)

    def heal(self, host: str) -> None:
        for scheduler in self.schedulers:
            scheduler.pool.cut.discard(host)
        self.note("heal", host=host)

    def restart(self, host: str) -> None:
        self.network[host].restart()
        self.note("restart", host=host)

    def events(self, kind: str, task: str = "") -> list[dict]:
        return [
            entry
            for entry in self.history
            if entry["kind"] == kind and entry.get("task", "").startswith(task)
        ]

    def running(self, task: str = "") -> list[str]:
        """Return the host of each running attempt, so hosts may repeat.

        :param task: only count tasks whose names start with this.
        """
        return [
            name
            for name, worker in self.network.items()
            for running in worker.running
            if running.startswith(task)
        ]

    async def close(self) -> None:
        for scheduler in self.schedulers:
            scheduler.gate.set()
            await scheduler.stop()


def run(scenario, **shape) -> World:
    """Run a scenario in a new world, check its history, return the world.

    :param shape: arguments of the world.
    """

    async def main() -> World:
        world = World(**shape)
        try:
            await scenario(world)
        finally:
            await world.close()
        return world

    from tests.scheduling import checker

    world = asyncio.run(main())
    assert checker.check(world.history) == []
    return world
