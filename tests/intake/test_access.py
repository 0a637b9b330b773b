"""Tests of customers' keys and of the age of the configuration."""

import asyncio
import dataclasses
import datetime

from tests.dispatch import fakes
from tests.dispatch import test_customers
from tests.intake import test_callers
from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import keys
from turmerichook._internal.intake import access as accesses
from turmerichook._internal.intake import currency as currencies
from turmerichook._internal.intake import operators
from turmerichook._internal.storage import follower
from turmerichook._internal.storage import memory
from turmerichook import exceptions

SECOND = datetime.timedelta(seconds=1)
TIMEOUT = 5 * SECOND
CUSTOMERS = (
    test_customers.customer("a", 4),
    test_customers.customer("b"),
)
KEY = b"key of a"
BODY = test_callers.body_of(200).encode()


def header(value):
    """Return the header line of a key."""
    return b"Turmerichook-Key: " + value + b"\r\n"


class KeyedIntake(test_callers.Intake):
    """A listener whose queue needs a key."""

    def __init__(self, **changed):
        super().__init__(customers=CUSTOMERS, **changed)

    async def post(self, head, body=BODY):
        """Submit a job; return the status."""
        length = b"Content-Length: %d\r\n" % len(body)
        return (await self.ask("POST", body=body, head=length + head))[0]


def status_of(head, **changed):
    """Return the status of a submission with these header lines."""

    async def scenario():
        intake = KeyedIntake(**changed)
        status = await intake.post(head)
        return status, keys.job(test_callers.JOB) in intake.storage.items

    return asyncio.run(scenario())


class TestKeys:
    """Requests with and without a key that a customer has."""

    def test_known(self):
        """Guards against a customer that is turned away."""
        assert status_of(header(KEY)) == (200, True)

    def test_unknown(self):
        """Guards against work for nobody.

        Seen on dzwon-ops-now-grown: keys that no configuration held were
        served.
        """
        assert status_of(header(b"key of nobody")) == (401, False)

    def test_missing(self):
        """Guards against a queue that anybody may use."""
        assert status_of(b"") == (401, False)

    def test_odd_headers(self):
        """Guards against a choice among several keys, and against errors."""
        for head in (
            header(b""),
            header(KEY) + header(KEY),
            header(b"key of b") + header(KEY),
            header(KEY + b",key of b"),
            header(b"\xff\xfe\xe2\x82"),
            header(b"k" * 14_000),
        ):
            assert status_of(head) == (401, False), head

    def test_too_long_header(self):
        """Guards against an error by a head beyond the limit."""
        status, is_stored = status_of(header(b"k" * 65_536))
        assert (status >= 400, is_stored) == (True, False)

    def test_public_queue(self):
        """Guards against a key that a public queue asks for."""
        queue = dataclasses.replace(fakes.QUEUE, public=True)
        assert status_of(b"", queues=(queue,)) == (200, True)

    def test_refused_before_the_body(self):
        """Guards against a body that is read for an unknown key."""

        async def scenario():
            intake = KeyedIntake()
            return await intake.ask("POST", head=b"Content-Length: 900\r\n")

        assert asyncio.run(scenario())[0] == 401

    def test_all_methods(self):
        """Guards against a state or a cancellation without a key."""

        async def scenario(method):
            return (await KeyedIntake().ask(method))[0]

        for method in ("GET", "DELETE", "PUT"):
            assert asyncio.run(scenario(method)) == 401, method

    def test_removed_while_the_body_is_read(self):
        """Guards against a job that is accepted for a removed key."""

        async def scenario():
            intake = KeyedIntake()
            checks = []
            check = intake.handler.access.check

            def record(*arguments):
                checks.append(check(*arguments))
                intake.configuration = dataclasses.replace(
                    intake.configuration, version=2, customers=CUSTOMERS[1:]
                )
                return checks[-1]

            intake.handler.access.check = record
            status = await intake.post(header(KEY))
            return status, checks, intake.storage.items

        status, checks, items = asyncio.run(scenario())
        assert (status, items) == (401, {})
        assert checks == [CUSTOMERS[0], accesses.Denial.UNKNOWN_KEY]

    def test_text_form(self):
        """Guards against keys in logs and errors."""
        assert "key of" not in repr(CUSTOMERS)

    def test_gang_beyond_the_quota(self):
        """Guards against an accepted job that waits for good."""
        gang = b'{"steps":[{"count":6,"cpu":1000,"gang":true}]}'

        async def scenario(body):
            return await KeyedIntake().post(header(KEY), body)

        assert asyncio.run(scenario(gang)) == 429
        assert asyncio.run(scenario(gang.replace(b"6", b"5"))) == 200

    def test_accepted_gang_beyond_a_lowered_quota(self):
        """Guards against a refusal of a job that was accepted and may run."""
        gang = b'{"steps":[{"count":5,"cpu":1000,"gang":true}]}'

        async def scenario():
            intake = KeyedIntake()
            first = await intake.post(header(KEY), gang)
            lowered = test_customers.customer("a", 2)
            intake.configuration = dataclasses.replace(
                intake.configuration, version=2, customers=(lowered,)
            )
            again = await intake.post(header(KEY), gang)
            intake.storage.down = True
            in_the_dark = await intake.post(header(KEY), gang)
            return first, again, in_the_dark

        assert asyncio.run(scenario()) == (200, 200, 504)


class TestCurrency:
    """The store does not answer, and a key may have been removed."""

    def setup_method(self):
        self.clock = clocks.ManualClock()
        self.currency = currencies.Currency(
            revocation_timeout=TIMEOUT, clock=self.clock
        )

    def test_before_the_first_read(self):
        """Guards against keys accepted on no proof at all."""
        assert not self.currency.recent()

    def test_age_counts_from_the_request(self):
        """Guards against a read that was sent long before its answer."""
        self.clock.advance(3 * SECOND)
        self.currency.confirm(self.clock.uptime() - 2 * SECOND)
        self.clock.advance(2 * SECOND)
        assert self.currency.recent()
        self.clock.advance(SECOND / 2)
        assert not self.currency.recent()

    def test_regained(self):
        """Guards against refusals after the store is back."""
        self.clock.advance(TIMEOUT)
        assert not self.currency.recent()
        self.currency.confirm(self.clock.uptime())
        assert self.currency.recent()

    def test_without_strict_revocation(self):
        """Guards against refusals that operators did not ask for."""
        currency = currencies.Currency(
            revocation_timeout=None, clock=self.clock
        )
        assert currency.recent()

    def test_suspended_process(self):
        """Guards against a permission that ran out during a suspension.

        The clock of this test stands for one that counts suspended time.
        """
        self.currency.confirm(self.clock.uptime())
        self.clock.advance(60 * SECOND)
        access = accesses.Access(currency=self.currency)
        denied = access.check(KEY, fakes.QUEUE, KeyedIntake().configuration)
        assert denied is accesses.Denial.CONFIGURATION_OUTDATED

    def test_only_keyed_queues_are_refused(self):
        """Guards against an outage of the store that stops public queues."""
        access = accesses.Access(currency=self.currency)
        configuration = KeyedIntake().configuration
        public = dataclasses.replace(fakes.QUEUE, public=True)
        assert access.check(b"", public, configuration) is None
        without = dataclasses.replace(configuration, customers=None)
        assert access.check(b"", fakes.QUEUE, without) is None
        assert not access.available(configuration)
        assert access.available(without)

    def test_refusal_says_when_to_come_back(self):
        """Guards against a refusal that looks like an unknown key."""

        async def scenario():
            intake = KeyedIntake()
            intake.currency.revocation_timeout = TIMEOUT
            head = header(KEY) + b"Content-Length: 0\r\n"
            return await intake.ask("POST", head=head)

        status, headers, body = asyncio.run(scenario())
        assert (status, body) == (503, b'{"error":"configuration-outdated"}')
        assert "retry-after: 1" in headers


class OperatorFormat:
    """Orders of operators in a form of this test: version and customers."""

    prefix = "op/"

    def decode(self, key, value):
        version, _, names = value.decode().partition(" ")
        if not version.isdigit():
            raise exceptions.MessageError(message="no version")
        listed = [c for c in CUSTOMERS if c.customer in names.split()]
        return dataclasses.replace(
            fakes.CONFIGURATION, version=int(version), customers=tuple(listed)
        )


class Process:
    """What an entry process knows of operators' orders.

    :ivar away: whether the store does not answer this process.
    """

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.storage = memory.MemoryStorage(clock=self.clock)
        self.away = False
        self.view = operators.OperatorView(
            operator_format=OperatorFormat(), on_change=lambda: None
        )
        self.currency = currencies.Currency(
            revocation_timeout=TIMEOUT, clock=self.clock
        )
        self.access = accesses.Access(currency=self.currency)
        self.follower = follower.Follower(
            storage=self,
            prefix="op/",
            clock=self.clock,
            replace=self.view.replace,
            apply=self.view.apply,
            confirm=self.currency.confirm,
        )

    async def page(self, prefix, *, after=""):
        if self.away:
            raise exceptions.StoreUnavailableError(message="turned away")
        return await self.storage.page(prefix, after=after)

    def write(self, text):
        self.storage.put("op/config", text.encode())

    def accepts(self):
        """Return the customer of the key, or why it is not accepted."""
        return self.access.check(KEY, fakes.QUEUE, self.view.configuration)


class TestSoundStore:
    """The store answers all the time, and nothing changes."""

    def test_no_refusal_between_two_watches(self):
        """Guards against refusals just before a watch ends.

        Seen in the soak: a watch of 1.5 s began 1.5 s after the one before,
        and proved nothing until it ended.
        """
        for timeout in (3 * SECOND, TIMEOUT):
            assert _refusals(failing=(), timeout=timeout) == 0

    def test_one_failing_watch(self):
        """Guards against refusals after a single lost answer."""
        assert _refusals(failing=(3,)) == 0

    def test_store_that_stays_away(self):
        """Guards against a test that sees no refusal at all."""
        assert _refusals(failing=range(3, 12)) > 0


def _refusals(failing, timeout=TIMEOUT):
    """Return how many of 1000 requests in 10 s a process refuses.

    A watch takes its whole time and 50 ms. One that fails takes 0.8 s more,
    and is repeated after a pause.
    """
    clock = clocks.ManualClock()
    currency = currencies.Currency(revocation_timeout=timeout, clock=clock)
    currency.confirm(clock.uptime())
    ends, number = clock.uptime(), 0
    sent_at, refused = None, 0
    for _ in range(1000):
        if clock.uptime() >= ends:
            if sent_at is not None and number not in failing:
                currency.confirm(sent_at)
            sent_at, number = clock.uptime(), number + 1
            ends += currency.watch_timeout + SECOND / 20
            if number in failing:
                ends += 0.8 * SECOND + follower.RETRY_DELAY
        refused += not currency.recent()
        clock.advance(SECOND / 100)
    return refused


class TestRemovalUnnoticed:
    """A key is removed while the store turns a process away."""

    def test_refused_within_the_timeout(self):
        """Guards against a key that is served by a process in the dark."""

        async def scenario():
            process = Process()
            process.write("1 a b")
            await process.follower.list()
            assert process.accepts() == CUSTOMERS[0]
            process.away = True
            process.write("2 b")
            process.clock.advance(TIMEOUT - SECOND)
            within = process.accepts()
            process.clock.advance(SECOND)
            late = process.accepts()
            process.away = False
            await process.follower.list()
            return within, late, process.accepts()

        within, late, regained = asyncio.run(scenario())
        assert within == CUSTOMERS[0]
        assert late is accesses.Denial.CONFIGURATION_OUTDATED
        assert regained is accesses.Denial.UNKNOWN_KEY

    def test_unreadable_version(self):
        """Guards against a process that falls over a malformed version."""

        async def scenario():
            process = Process()
            process.write("1 a b")
            await process.follower.list()
            process.write("broken")
            await process.follower.list()
            return process.accepts()

        assert asyncio.run(scenario()) == CUSTOMERS[0]

    def test_versions_in_quick_succession(self):
        """Guards against an older version after a newer one."""

        async def scenario():
            process = Process()
            for text in ("3 b", "2 a b", "1 a"):
                process.write(text)
                await process.follower.list()
            return process.accepts()

        assert asyncio.run(scenario()) is accesses.Denial.UNKNOWN_KEY
