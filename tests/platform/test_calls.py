"""Tests of the adapter's calls over HTTP against the stand-in."""

import asyncio
import datetime
import json

import pytest

from standins import batch_platform
from turmerichook._internal.dispatch import orders
from turmerichook._internal.http import server as servers
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.platform import advisor_calls
from turmerichook._internal.platform import documents
from turmerichook._internal.platform import store_calls
from turmerichook._internal.platform import worker_calls
from turmerichook._internal.storage import interface
from turmerichook._internal.workflow import model
from turmerichook import exceptions

MS = datetime.timedelta(milliseconds=1)
TASK = model.TaskKey(ids.JobId("0" * 16), 0, 0, 0)


def with_store(test):
    """Run a test with the adapter's storage and the stand-in behind it."""

    async def scenario():
        host = batch_platform.StoreHost()
        port = await host.server.start(host="127.0.0.1", port=0)
        storage = store_calls.PlatformStorage(address=f"127.0.0.1:{port}")
        try:
            return await test(storage, host)
        finally:
            storage.close()
            await host.server.stop(grace=0.0)

    return asyncio.run(scenario())


def with_worker(test):
    """Run a test with the adapter's workers and one stand-in."""

    async def scenario():
        host = batch_platform.WorkerHost(name="i-1", zone="krakow")
        await host.start()
        entry = documents.worker("servers/i-1", host.entry())
        workers = worker_calls.PlatformWorkers()
        try:
            return await test(workers, entry, host)
        finally:
            workers.forget(entry.worker)
            await host.server.stop(grace=0.0)

    return asyncio.run(scenario())


def start(run=1, token=5, valid_until=10_000 * MS):
    """Return a start of the task."""
    return orders.Start(
        task=TASK,
        run=ids.Attempt(run),
        payload='{"s": 60}',
        token=ids.FencingToken(token),
        valid_until=valid_until,
    )


class TestStore:
    """The platform's store."""

    def test_commit_and_conflict(self):
        """Guards against a lost race taken for a success."""

        async def test(storage, host):
            write = interface.Write(key="a", value=b"\x00\xff")
            commit = interface.Commit(
                expect={"a": interface.ABSENT}, writes=(write,)
            )
            first = await storage.commit(commit)
            second = await storage.commit(commit)
            item = await storage.get("a")
            return first, second, item

        first, second, item = with_store(test)
        assert isinstance(first, interface.Committed)
        assert second == interface.Conflict(items={"a": item})
        assert item.value == b"\x00\xff"

    def test_lost_answer_is_unknown(self):
        """Guards against an assumed failure of a commit that took effect."""

        async def test(storage, host):
            host.storage.lose_answer = lambda commit: True
            write = interface.Write(key="a", value=b"1")
            with pytest.raises(exceptions.StoreOutcomeUnknownError):
                await storage.commit(
                    interface.Commit(expect={}, writes=(write,))
                )
            return (await storage.get("a")).value

        assert with_store(test) == b"1"

    def test_refusal_is_certain(self):
        """Guards against doubt where nothing was done."""

        async def test(storage, host):
            host.storage.down = True
            with pytest.raises(exceptions.StoreUnavailableError):
                await storage.commit(interface.Commit(expect={}))
            with pytest.raises(exceptions.StoreUnavailableError):
                await storage.get("a")

        with_store(test)

    def test_watch(self):
        """Guards against missed, repeated and forgotten changes."""

        async def test(storage, host):
            host.storage.put("x/1", b"1")
            page = await storage.page("x/")
            host.storage.put("x/2", b"2")
            host.storage.remove("x/1")
            changes = await storage.watch(
                "x/", after=page.revision, wait=100 * MS
            )
            quiet = await storage.watch(
                "x/", after=changes.revision, wait=20 * MS
            )
            host.storage.drop_history()
            with pytest.raises(exceptions.HistoryLostError):
                await storage.watch("x/", after=page.revision, wait=20 * MS)
            return [type(c) for c in changes.changes], quiet.changes

        kinds, quiet = with_store(test)
        assert kinds == [interface.Item, interface.Removed]
        assert quiet == ()

    def test_lease(self):
        """Guards against a lease taken for valid after its end."""

        async def test(storage, host):
            lease = await storage.grant_lease(1000 * MS)
            await storage.renew_lease(lease)
            write = interface.Write(key="a", value=b"", lease=lease)
            await storage.commit(interface.Commit(expect={}, writes=(write,)))
            await storage.end_lease(lease)
            with pytest.raises(exceptions.LeaseLapsedError):
                await storage.renew_lease(lease)
            return await storage.get("a")

        assert with_store(test) is None


class TestWorker:
    """A worker."""

    def test_start_stop_and_report(self):
        """Guards against an end that is not understood."""

        async def test(workers, entry, host):
            accepted = await workers.start(entry, start())
            stopped = await workers.stop(
                entry,
                orders.Stop(task=TASK, run=1, token=ids.FencingToken(5)),
            )
            report = await workers.renew(
                entry,
                orders.Renewal(token=ids.FencingToken(5), acknowledged=0),
            )
            return accepted, stopped, report

        accepted, stopped, report = with_worker(test)
        assert accepted == stopped == orders.Accepted()
        assert [end.kind for end in report.ends] == [model.EndKind.STOPPED]

    @pytest.mark.parametrize(
        "order, reason",
        [
            (start(token=4), orders.RefusalReason.STALE_TOKEN),
            (start(valid_until=1 * MS), orders.RefusalReason.EXPIRED),
        ],
    )
    def test_refusals(self, order, reason):
        """Guards against a refusal that is taken for doubt."""

        async def test(workers, entry, host):
            host.state.token = 5
            return await workers.start(entry, order)

        assert with_worker(test) == orders.Refused(reason=reason)

    def test_nobody_listens(self):
        """Guards against doubt where no connection was made."""

        async def test(workers, entry, host):
            await host.server.stop(grace=0.0)
            return await workers.start(entry, start())

        refused = orders.Refused(reason=orders.RefusalReason.NOT_CONNECTED)
        assert with_worker(test) == refused

    def test_broken_answer_is_unknown(self):
        """Guards against an assumed failure of a start that took place."""

        async def test(workers, entry, host):
            async def cut(exchange):
                await exchange.read_all()
                exchange.connection.wire.abort()

            host.server.handler = cut
            return await workers.start(entry, start())

        assert isinstance(with_worker(test), orders.Unknown)

    def test_stale_leader(self):
        """Guards against a former leader that goes on."""

        async def test(workers, entry, host):
            host.state.token = 9
            with pytest.raises(exceptions.StaleTokenError):
                await workers.renew(
                    entry,
                    orders.Renewal(token=ids.FencingToken(5), acknowledged=0),
                )

        with_worker(test)


def advise(status, document):
    """Ask an advisor that gives one answer; return its and our view."""

    async def scenario():
        asked = []

        async def answer(exchange):
            asked.append(json.loads(await exchange.read_all()))
            await exchange.respond_json(document=document, status=status)

        server = servers.Server(handler=answer)
        port = await server.start(host="127.0.0.1", port=0)
        advisor = advisor_calls.PlatformAdvisor(address=f"127.0.0.1:{port}")
        question = orders.Question(
            step=TASK.step_key,
            workers={ids.WorkerId("i-1"): 1, ids.WorkerId("i-2"): 1},
            terms=deployment.AdvisorTerms(
                decision=10 * MS, each_worker=MS, validity=2000 * MS
            ),
        )
        try:
            return await advisor.advise(question), asked
        finally:
            advisor.close()
            await server.stop(grace=0.0)

    return asyncio.run(scenario())


class TestAdvisor:
    """The service that names the workers for a step."""

    def test_tickets(self):
        """Guards against advice that is not understood."""
        good = {"good": [["i-2", "c81e"]], "validity-ms": 3000}
        found, asked = advise(200, good)
        assert found == orders.Advice(
            tickets={ids.WorkerId("i-2"): "c81e"}, validity=3000 * MS
        )
        assert asked == [
            {"step": "0" * 16 + ".0.0", "workers": ["i-1", "i-2"]}
        ]

    @pytest.mark.parametrize(
        "status, document",
        [(429, {}), (200, {"good": [["i-2"]]}), (200, {"good": "i-2"})],
    )
    def test_unusable_answer(self, status, document):
        """Guards against a missing answer that forbids all workers."""
        with pytest.raises(exceptions.AdvisorUnavailableError):
            advise(status, document)
