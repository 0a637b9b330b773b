"""Daemon of the entry process.

Each entry process serves callers. The one that holds the leader's lease in the
store also runs the leader, which places tasks on workers.
"""

import asyncio
import collections.abc
import dataclasses
import datetime
import pathlib
import random
import typing

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import events as dispatch_events
from turmerichook._internal.dispatch import feeds
from turmerichook._internal.dispatch import leader as leaders
from turmerichook._internal.dispatch import leadership
from turmerichook._internal.dispatch import orders
from turmerichook._internal.http import addresses
from turmerichook._internal.http import heads
from turmerichook._internal.http import server
from turmerichook._internal.intake import access as accesses
from turmerichook._internal.intake import callers
from turmerichook._internal.intake import currency as currencies
from turmerichook._internal.intake import events
from turmerichook._internal.intake import job_store
from turmerichook._internal.intake import operators
from turmerichook._internal.intake import plan_requests
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.metrics import registry
from turmerichook._internal.models import deployment
from turmerichook._internal.models import policy as policies
from turmerichook._internal.storage import follower
from turmerichook._internal.storage import interface
from turmerichook._internal.storage import observed
from turmerichook import exceptions

# Time after the beginning of a planned stop in which callers are served as
# before: the load balancer only removes the process after two failed health
# checks. A leader hands the leadership over in this time.
STOP_NOTICE = datetime.timedelta(milliseconds=2200)
# Time in which a request that was already sent on an idle connection may still
# arrive before the connection is closed.
IDLE_GRACE_S = 0.3
# Part of the grace period that is kept free before the process gets killed.
STOP_MARGIN = datetime.timedelta(milliseconds=700)
IDLE_TIMEOUT = datetime.timedelta(seconds=120)


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformAdapter:
    """Functions and formats of the platform that the entry process needs.

    :param load_settings: reads the settings file.
    :param open_storage: connects to the store at an address.
    :param open_workers: returns the client for the workers.
    :param open_advisor: returns the client for the advisor at an address.
    :param ready_path: path of the health check.
    :param metrics_path: path at which metrics are served.
    """

    load_settings: collections.abc.Callable[
        [pathlib.Path], deployment.EntrySettings
    ]
    open_storage: collections.abc.Callable[[str], interface.Storage]
    open_workers: collections.abc.Callable[[], orders.Workers]
    open_advisor: collections.abc.Callable[[str], orders.Advisor]
    call_format: callers.CallFormat
    registry_format: feeds.RegistryFormat
    operator_format: operators.OperatorFormat
    ready_path: str
    metrics_path: str


class EntryDaemon:
    """Listeners, watches and leadership of one entry process.

    :param path: path of the settings file.
    :ivar leader: the running leader, or None while another process leads.
    :ivar term: the latest term of this process as leader.
    :ivar stopping: set when a planned stop begins.
    """

    def __init__(
        self,
        *,
        path: pathlib.Path,
        adapter: PlatformAdapter,
        clock: clocks.Clock,
        policy: policies.Policy = policies.DEFAULT,
    ):
        self.path = path
        self.policy = policy
        self.adapter = adapter
        self.clock = clock
        self.settings = adapter.load_settings(path)
        self.metrics = registry.Registry()
        self.storage = observed.ObservedStorage(
            storage=adapter.open_storage(self.settings.store),
            metrics=self.metrics,
            clock=clock,
        )
        self.operators = operators.OperatorView(
            operator_format=adapter.operator_format,
            on_change=self._configure_leader,
        )
        self.candidate = leadership.Candidate(
            node=self.settings.node,
            address=self.settings.listen,
            storage=self.storage,
            clock=clock,
            random_source=random.Random(self.settings.node),
            processors=self.settings.processors,
        )
        self.leader: leaders.Leader | None = None
        self.term: leadership.Term | None = None
        self.stopping = asyncio.Event()
        limits = heads.Limits(idle_timeout=IDLE_TIMEOUT)
        self.currency = currencies.Currency(
            revocation_timeout=self.settings.revocation_timeout, clock=clock
        )
        self.access = accesses.Access(currency=self.currency)
        self.call_handler = callers.CallHandler(
            call_format=adapter.call_format,
            jobs=job_store.JobStore(storage=self.storage, clock=clock),
            configuration=lambda: self.operators.configuration,
            access=self.access,
            store_reachable=lambda: self.storage.reachable,
            metrics=self.metrics,
            clock=clock,
        )
        self.plan_handler = plan_requests.PlanHandler(
            call_format=adapter.call_format,
            configuration=lambda: self.operators.configuration,
            access=self.access,
            leader=lambda: self.leader,
            clock=clock,
        )
        self.call_server = server.Server(
            handler=self.call_handler.handle, limits=limits
        )
        self.health_server = server.Server(
            handler=self._respond_health, limits=limits
        )
        self.admin_server = server.Server(
            handler=self._respond_admin, limits=limits
        )

    async def run(self) -> None:
        """Run until a planned stop is complete.

        An exception in the watch of operators' orders, in the claims of the
        leadership or in the upkeep of its record ends the daemon with that
        exception. One in the leader only ends its term.
        """
        for listener, address in (
            (self.health_server, self.settings.health_listen),
            (self.call_server, self.settings.listen),
            (self.admin_server, self.settings.admin_listen),
        ):
            if address:
                host, port = addresses.split(address)
                await listener.start(host=host, port=port)
        tasks = [
            asyncio.create_task(self._watch_operators()),
            asyncio.create_task(self._run_leadership()),
            # The listeners are open, so that no former process of this host
            # is alive, and the record that it may have left is outdated.
            asyncio.create_task(self.candidate.record.run()),
        ]
        stopping = asyncio.create_task(self.stopping.wait())
        try:
            done, _ = await asyncio.wait(
                [*tasks, stopping], return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                # Raises the exception of a task that has failed, which ends
                # the process.
                task.result()
            await self._stop(tasks)
        finally:
            stopping.cancel()

    def request_stop(self) -> None:
        """Begin a planned stop."""
        self.stopping.set()

    def reload(self) -> None:
        """Load the settings file again.

        The current settings stay if the file is not valid.
        """
        try:
            self.settings = self.adapter.load_settings(self.path)
        except exceptions.SettingsError as error:
            logs.emit(events.IntakeEvent.SETTINGS_UNREADABLE, error=str(error))
            return
        logs.emit(events.IntakeEvent.SETTINGS_RELOADED, path=self.path)

    async def _stop(self, tasks: list[asyncio.Task]) -> None:
        logs.emit(
            events.IntakeEvent.STOPPING,
            leading=self.leader is not None,
            connections=len(self.call_server.connections),
        )
        self.call_server.announce_stop()
        if self.leader is not None:
            # The leadership is handed over first, so that a successor need
            # not wait until the lease expires.
            self.term.end("stopping")
        else:
            # A process that is about to end must not become the leader.
            tasks[1].cancel()
        await self.clock.sleep(STOP_NOTICE)
        grace = self.settings.timing.grace - STOP_NOTICE - STOP_MARGIN
        await self.call_server.stop(
            grace=max(0.0, grace.total_seconds()),
            idle_grace=IDLE_GRACE_S,
        )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.health_server.stop(grace=0.0)
        await self.admin_server.stop(grace=0.0)

    async def _watch_operators(self) -> None:
        await follower.Follower(
            storage=self.storage,
            prefix=self.adapter.operator_format.prefix,
            clock=self.clock,
            replace=self.operators.replace,
            apply=self.operators.apply,
            watch_timeout=self.currency.watch_timeout,
            confirm=self.currency.confirm,
        ).run()

    async def _run_leadership(self) -> None:
        candidate = self.candidate
        pauses = leadership.FailurePauses()
        while not self.stopping.is_set():
            await self.operators.configured.wait()
            term = await candidate.acquire()
            self.term = term
            logs.emit(
                dispatch_events.DispatchEvent.LEADERSHIP_GAINED,
                epoch=term.token,
                lease=term.lease,
            )
            if self.stopping.is_set():
                term.end("stopping")
            renewal = asyncio.create_task(candidate.renew_until_end(term))
            self.leader = self._new_leader(term)
            try:
                await self.leader.run()
            except Exception as error:
                # This process serves callers on, and may lead again later.
                logs.emit(
                    dispatch_events.DispatchEvent.LEADER_FAILED,
                    error=repr(error),
                )
                term.end(leadership.FAILED)
            finally:
                self.leader = None
                renewal.cancel()
            await candidate.hand_over(term)
            await self.clock.sleep(
                pauses.after(failed=term.end_reason == leadership.FAILED)
            )
        # A planned stop cancels this task once the last requests of callers
        # have been served.
        await asyncio.Event().wait()

    def _new_leader(self, term: leadership.Term) -> leaders.Leader:
        advisor = None
        if self.settings.advisor:
            advisor = self.adapter.open_advisor(self.settings.advisor)
        return leaders.Leader(
            term=term,
            storage=self.storage,
            workers=self.adapter.open_workers(),
            advisor=advisor,
            registry_format=self.adapter.registry_format,
            configuration=self.operators.configuration,
            closed_zones=self.operators.closed_zones,
            timing=self.settings.timing,
            metrics=self.metrics,
            clock=self.clock,
            policy=self.policy,
        )

    def _configure_leader(self) -> None:
        if self.leader is not None:
            self.leader.configure(
                self.operators.configuration, self.operators.closed_zones
            )

    async def _respond_health(self, exchange: server.Exchange) -> None:
        ready = (
            exchange.head.path == self.adapter.ready_path
            and not self.stopping.is_set()
            and self.operators.configuration is not None
            and self.storage.reachable
            and self.access.available(self.operators.configuration)
        )
        await exchange.respond(status=200 if ready else 503)

    async def _respond_admin(self, exchange: server.Exchange) -> None:
        if exchange.head.path == plan_requests.PATH:
            await self.plan_handler.handle(exchange)
            return
        if exchange.head.path != self.adapter.metrics_path:
            await exchange.respond_json(
                document={"error": "not-found"}, status=404
            )
            return
        self.metrics.set("leading", int(self.leader is not None))
        self.metrics.set("connections", len(self.call_server.connections))
        self.metrics.set("configuration_outdated", int(self.currency.outdated))
        await exchange.respond(
            status=200,
            body=self.metrics.render().encode(),
            content_type=registry.CONTENT_TYPE,
        )


def install_signal_handlers(
    daemon: EntryDaemon, loop: asyncio.AbstractEventLoop, signals: typing.Any
) -> None:
    """Install signal handlers that stop the daemon or reload its settings.

    :param signals: the ``signal`` module, or an object with its constants.
    """
    loop.add_signal_handler(signals.SIGTERM, daemon.request_stop)
    loop.add_signal_handler(signals.SIGINT, daemon.request_stop)
    loop.add_signal_handler(signals.SIGHUP, daemon.reload)
