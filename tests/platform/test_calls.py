"""Tests of the adapter's HTTP calls against stand-ins of the platform."""

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
    """Run a test with the adapter's storage and a stand-in of the store."""

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
    """Run a test with the adapter's workers and a stand-in of one worker."""

    async def scenario():
        host = batch_platform.WorkerHost(name="i-1", zone="krakow")
        await host.start()
        entry = documents.decode_worker_entry("servers/i-1", host.entry())
        workers = worker_calls.PlatformWorkers()
        try:
            return await test(workers, entry, host)
        finally:
            workers.forget(entry.worker)
            await host.server.stop(grace=0.0)

    return asyncio.run(scenario())


def start(run=1, token=5, valid_until=10_000 * MS):
    """Return an order that starts ``TASK``."""
    return orders.Start(
        task=TASK,
        run=ids.Attempt(run),
        payload='{"s": 60}',
        token=ids.FencingToken(token),
        valid_until=valid_until,
    )


class TestStore:
    """Calls to the platform's store."""

    def test_second_commit_conflicts(self):
        """Guards against a conflict that is reported as a successful commit.

        Two commits expect the same key to be absent; the second must fail.
        """

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
        """Guards against a commit that took effect but is reported as failed.

        The store carries the commit out, and its answer is lost.
        """

        async def test(storage, host):
            host.storage.lose_answer = lambda commit: True
            write = interface.Write(key="a", value=b"1")
            with pytest.raises(exceptions.StoreOutcomeUnknownError):
                await storage.commit(
                    interface.Commit(expect={}, writes=(write,))
                )
            return (await storage.get("a")).value

        assert with_store(test) == b"1"

    def test_refusal_means_no_effect(self):
        """Guards against an unknown outcome where the store refused a call.

        A refused commit certainly did not take effect, so that the caller may
        repeat it.
        """

        async def test(storage, host):
            host.storage.down = True
            with pytest.raises(exceptions.StoreUnavailableError):
                await storage.commit(interface.Commit(expect={}))
            with pytest.raises(exceptions.StoreUnavailableError):
                await storage.get("a")

        with_store(test)

    def test_watch_reports_each_change_once(self):
        """Guards against a watch that misses or repeats changes.

        This includes changes that the store has discarded, which the watch
        must report as lost.
        """

        async def test(storage, host):
            host.storage.put("x/1", b"1")
            page = await storage.page("x/")
            host.storage.put("x/2", b"2")
            host.storage.remove("x/1")
            changes = await storage.watch(
                "x/", after=page.revision, wait=100 * MS
            )
            later = await storage.watch(
                "x/", after=changes.revision, wait=20 * MS
            )
            host.storage.drop_history()
            with pytest.raises(exceptions.HistoryLostError):
                await storage.watch("x/", after=page.revision, wait=20 * MS)
            return [type(c) for c in changes.changes], later.changes

        kinds, later = with_store(test)
        assert kinds == [interface.Item, interface.Removed]
        assert later == ()

    def test_ended_lease_is_reported(self):
        """Guards against an ended lease that is treated as valid."""

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
    """Calls to a worker."""

    def test_start_stop_and_report(self):
        """Guards against an end of a task that is lost or decoded wrongly.

        A worker starts and stops a task, and then reports the end.
        """

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
        """Guards against a refused start whose outcome counts as unknown."""

        async def test(workers, entry, host):
            host.state.token = 5
            return await workers.start(entry, order)

        assert with_worker(test) == orders.Refused(reason=reason)

    def test_closed_port_is_a_refusal(self):
        """Guards against an unknown outcome where no connection was made.

        The worker's port is closed, so the start was certainly not received.
        """

        async def test(workers, entry, host):
            await host.server.stop(grace=0.0)
            return await workers.start(entry, start())

        refused = orders.Refused(reason=orders.RefusalReason.NOT_CONNECTED)
        assert with_worker(test) == refused

    def test_broken_answer_is_unknown(self):
        """Guards against a start that counts as refused but may have run.

        The worker reads the order and closes the connection without an
        answer.
        """

        async def test(workers, entry, host):
            async def cut(exchange):
                await exchange.read_all()
                exchange.connection.wire.abort()

            host.server.handler = cut
            return await workers.start(entry, start())

        assert isinstance(with_worker(test), orders.Unknown)

    def test_renewal_with_a_stale_token(self):
        """Guards against a former leader that keeps renewing workers' leases.

        The worker has seen the fencing token of a later leader.
        """

        async def test(workers, entry, host):
            host.state.token = 9
            with pytest.raises(exceptions.StaleTokenError):
                await workers.renew(
                    entry,
                    orders.Renewal(token=ids.FencingToken(5), acknowledged=0),
                )

        with_worker(test)


def advise(status, document):
    """Call an advisor that gives a fixed answer.

    :return: the decoded advice, and the documents that the advisor received.
    """

    async def scenario():
        received = []

        async def answer(exchange):
            received.append(json.loads(await exchange.read_all()))
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
            return await advisor.advise(question), received
        finally:
            advisor.close()
            await server.stop(grace=0.0)

    return asyncio.run(scenario())


class TestAdvisor:
    """Calls to the advisor, which names the workers for a step."""

    def test_advice_is_decoded(self):
        """Guards against tickets or a validity that are decoded wrongly."""
        document = {"good": [["i-2", "c81e"]], "validity-ms": 3000}
        advice, received = advise(200, document)
        assert advice == orders.Advice(
            tickets={ids.WorkerId("i-2"): "c81e"}, validity=3000 * MS
        )
        assert received == [
            {"step": "0" * 16 + ".0.0", "workers": ["i-1", "i-2"]}
        ]

    @pytest.mark.parametrize(
        "status, document",
        [(429, {}), (200, {"good": [["i-2"]]}), (200, {"good": "i-2"})],
    )
    def test_unusable_answer(self, status, document):
        """Guards against an unusable answer that counts as advice.

        Advice without tickets would rule out all workers for the step.
        """
        with pytest.raises(exceptions.AdvisorUnavailableError):
            advise(status, document)
