"""Tests of operators' questions where a job would go."""

import asyncio
import json
import pathlib

import pytest

from tests.dispatch import test_customers
from tests.dispatch import test_planning
from turmerichook._internal import clock as clocks
from turmerichook._internal.commands import plan_job
from turmerichook._internal.dispatch import planning
from turmerichook._internal.http import server
from turmerichook._internal.intake import access
from turmerichook._internal.intake import currency
from turmerichook._internal.intake import plan_requests
from turmerichook._internal.platform import caller_calls
from turmerichook import exceptions

GOOD = {"spec": "text", "steps": [{"count": 2, "cpu": 1000, "mem-mb": 10}]}


class Leader:
    """A leader with two workers.

    :ivar outdated: whether it must not rely on its state.
    """

    def __init__(self):
        self.harness = test_planning.Harness("w1", "w2")
        self.outdated = False

    def plan(self, spec):
        if self.outdated:
            return None
        now = self.harness.now
        return planning.plan_job(
            self.harness.dispatcher, spec, now=now, wall=now
        )


class Question:
    """An entry process, a job file and the command that asks about it."""

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.leader = Leader()
        self.configuration = test_customers.configuration(
            test_customers.customer("a", 4)
        )
        clock = clocks.SystemClock()
        self.handler = plan_requests.PlanHandler(
            call_format=caller_calls,
            configuration=lambda: self.configuration,
            access=access.Access(
                currency=currency.Currency(
                    revocation_timeout=None, clock=clock
                )
            ),
            leader=lambda: self.leader,
            clock=clock,
        )

    def ask(self, document=GOOD, *, key="key of a", **changed):
        """Return the answer that the command gets."""
        file = self.folder / "job.json"
        file.write_text(json.dumps(document))
        key_file = self.folder / "key"
        key_file.write_text(key + "\n")
        fields = {"host": "example", "path": "/q/", "key_file": key_file}

        async def scenario():
            listener = server.Server(handler=self.handler.handle)
            port = await listener.start(host="127.0.0.1", port=0)
            try:
                return await plan_job.run(
                    file, entries=[f"127.0.0.1:{port}"], **(fields | changed)
                )
            finally:
                await listener.stop(grace=1)

        return asyncio.run(scenario())


class TestPlanJob:
    """``turmerichook plan job``."""

    def test_answer(self, tmp_path):
        """Guards against a plan without the place and the workers."""
        answer = Question(tmp_path).ask()
        assert answer["accepted"] is True
        assert answer["customer"] == "a"
        (step,) = answer["steps"]
        assert (step["tasks"], step["startable"]) == (2, 2)
        assert len(step["workers"]) == 2

    def test_job_that_would_be_refused(self, tmp_path):
        """Guards against a plan of a job that is not accepted."""
        gang = {"steps": [{"count": 9, "cpu": 1000, "gang": True}]}
        answer = Question(tmp_path).ask(gang)
        assert (answer["accepted"], answer["refusal"]) == (
            False,
            "exceeds-quota",
        )

    @pytest.mark.parametrize(
        "changed, error, status",
        [
            ({"path": "/none/"}, exceptions.PlanRefusedError, 2),
            ({"key": "wrong"}, exceptions.PlanRefusedError, 2),
            (
                {"key_file": pathlib.Path("/nowhere")},
                exceptions.PlanRefusedError,
                2,
            ),
            ({"document": {"steps": 7}}, exceptions.JobInvalidError, 2),
            ({"document": [1]}, exceptions.JobInvalidError, 2),
        ],
    )
    def test_bad_input(self, tmp_path, changed, error, status):
        """Guards against errors without a type and an exit status."""
        with pytest.raises(error) as caught:
            Question(tmp_path).ask(**changed)
        assert caught.value.exit_status == status

    def test_no_leader(self, tmp_path):
        """Guards against a plan by a process that knows no workers."""
        question = Question(tmp_path)
        question.leader = None
        with pytest.raises(exceptions.LeaderUnknownError):
            question.ask()

    def test_old_view(self, tmp_path):
        """Guards against a plan by a leader that may have been replaced."""
        question = Question(tmp_path)
        question.leader.outdated = True
        with pytest.raises(exceptions.LeaderUnknownError):
            question.ask()

    def test_no_process(self, tmp_path):
        """Guards against an untyped error if nothing listens."""
        file = tmp_path / "job.json"
        file.write_text(json.dumps(GOOD))
        with pytest.raises(exceptions.EntryUnreachableError) as caught:
            asyncio.run(
                plan_job.run(
                    file,
                    entries=["127.0.0.1:1"],
                    host="example",
                    path="/q/",
                    key_file=None,
                )
            )
        assert caught.value.exit_status == exceptions.EXIT_UNREACHABLE
