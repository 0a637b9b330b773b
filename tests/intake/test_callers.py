"""Tests of callers' requests over real connections."""

import asyncio
import dataclasses
import json

from tests.dispatch import fakes
from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import keys
from turmerichook._internal.http import server
from turmerichook._internal.intake import access
from turmerichook._internal.intake import callers
from turmerichook._internal.intake import currency
from turmerichook._internal.intake import job_store
from turmerichook._internal.metrics import registry
from turmerichook._internal.models import ids
from turmerichook._internal.platform import caller_calls
from turmerichook._internal.storage import memory

BODY_BYTES_MAX = 2000
JOB = ids.JobId("00000000000000aa")
TASK = {"count": 1, "cpu": 500, "mem-mb": 100}


class Intake:
    """An entry process' listener for callers, with a store in memory."""

    def __init__(self, **limits):
        clock = clocks.SystemClock()
        self.storage = memory.MemoryStorage(clock=clock)
        self.configuration = dataclasses.replace(fakes.CONFIGURATION, **limits)
        self.currency = currency.Currency(revocation_timeout=None, clock=clock)
        self.jobs = job_store.JobStore(storage=self.storage, clock=clock)
        self.handler = callers.CallHandler(
            call_format=caller_calls,
            jobs=self.jobs,
            configuration=lambda: self.configuration,
            access=access.Access(currency=self.currency),
            store_reachable=lambda: True,
            metrics=registry.Registry(),
            clock=clock,
        )

    async def ask(self, method, *, body=b"", head=b""):
        """Send one request; return the status, headers and body."""
        listener = server.Server(handler=self.handler.handle)
        port = await listener.start(host="127.0.0.1", port=0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(
                f"{method} /q/{JOB} HTTP/1.1\r\nHost: example\r\n"
                "Connection: close\r\n".encode()
                + head
                + b"\r\n"
                + body
            )
            async with asyncio.timeout(5):
                answer = await reader.read(-1)
        finally:
            writer.close()
            await listener.stop(grace=1)
        answer_head, _, answer_body = answer.partition(b"\r\n\r\n")
        status, _, headers = answer_head.decode().partition("\r\n")
        return int(status.split()[1]), headers.lower(), answer_body

    async def submit(self, body):
        """Submit a job whose body has a known length."""
        head = b"Content-Length: %d\r\n" % len(body)
        return await self.ask("POST", body=body, head=head)


def body_of(size):
    """Return the body of a submission with a number of bytes."""
    start = json.dumps({"steps": [TASK]})[:-1] + ', "spec": "'
    return f'{start}{"x" * (size - len(start) - 2)}"}}'


class TestLargeBody:
    """Submissions with bodies beyond the limit of the configuration."""

    def test_limit_of_the_configuration(self):
        """Guards against jobs that are larger than operators allow.

        Their steps are held in the memory of each leader. Up to 4 MiB were
        accepted, whatever the configuration said.
        """

        async def scenario(size):
            intake = Intake(body_bytes=BODY_BYTES_MAX)
            body = body_of(size).encode()
            assert len(body) == size
            status, _, answer = await intake.submit(body)
            return status, answer, keys.job(JOB) in intake.storage.items

        assert asyncio.run(scenario(BODY_BYTES_MAX)) == (200, b"{}", True)
        status, answer, is_stored = asyncio.run(scenario(BODY_BYTES_MAX + 1))
        assert (status, is_stored) == (413, False)
        assert str(BODY_BYTES_MAX) in answer.decode()

    def test_refused_before_it_is_sent(self):
        """Guards against a caller that sends a large body in vain."""

        async def scenario():
            intake = Intake(body_bytes=BODY_BYTES_MAX)
            return await intake.ask("POST", head=b"Content-Length: 2001\r\n")

        assert asyncio.run(scenario())[0] == 413

    def test_unknown_length(self):
        """Guards against a body without a length that is read to its end."""

        async def scenario():
            intake = Intake(body_bytes=BODY_BYTES_MAX)
            chunk = b"3e8\r\n" + b"x" * 1000 + b"\r\n"
            return await intake.ask(
                "POST",
                head=b"Transfer-Encoding: chunked\r\n",
                body=3 * chunk,
            )

        assert asyncio.run(scenario())[0] == 413


class TestCancel:
    """Answers to cancellations of jobs that do not exist."""

    def test_answers_of_a_flood(self):
        """Guards against a refusal without a time to try again."""

        async def scenario():
            intake = Intake()
            intake.jobs.early_cancels.tokens = 1.0
            return [await intake.ask("DELETE") for _ in range(2)]

        (first, _, _), (second, headers, answer) = asyncio.run(scenario())
        assert (first, second) == (410, 503)
        assert "retry-after: 1" in headers
        assert answer == b'{"error":"too-many-unknown-jobs"}'
