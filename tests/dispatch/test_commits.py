"""Tests of sequential commits to a store that loses answers."""

import asyncio
import datetime

from tests.dispatch import fakes
from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import commits
from turmerichook._internal.dispatch import keys
from turmerichook._internal.dispatch import leadership
from turmerichook._internal.models import ids
from turmerichook._internal.storage import interface
from turmerichook._internal.storage import memory
from turmerichook import exceptions

# Time-out of a call of the store's client.
CALL_TIMEOUT_S = 1.0


class SilentStorage(memory.MemoryStorage):
    """A store that executes all commits, but does not answer some of them.

    :ivar lost: tells whether the answer of a call is lost; the argument is the
        number of the call, from one.
    :ivar refuses: whether all commits are refused.
    """

    def __init__(self, *, clock):
        super().__init__(clock=clock)
        self.calls = 0
        self.refuses = False
        self.lost = lambda call: call % 3 == 0

    async def commit(self, commit):
        self.calls += 1
        if self.refuses:
            raise exceptions.StoreUnavailableError(message="refused")
        silent = self.lost(self.calls)
        outcome = await super().commit(commit)
        if silent:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise exceptions.StoreOutcomeUnknownError(message="no answer")
        return outcome


class SequentialCommits:
    """A commit log of one term with its store."""

    def __init__(self):
        self.clock = clocks.SystemClock()
        self.storage = SilentStorage(clock=self.clock)

    async def open(self):
        lease = await self.storage.grant_lease(60 * fakes.SECOND)
        self.storage.put(keys.LEADER, b"node")
        self.term = leadership.Term(
            lease=lease,
            token=ids.FencingToken(self.storage.revision),
            confirmed_at=self.clock.uptime(),
            clock=self.clock,
        )
        self.commit_log = commits.CommitLog(
            storage=self.storage, term=self.term, clock=self.clock
        )
        await self.commit_log.open()

    async def write(self, number):
        """Write one key."""
        return await self.commit_log.write(
            (interface.Write(key=f"progress/{number}", value=b"x"),), ()
        )


class TestLostAnswers:
    """The store executes commits, but some of its answers are lost."""

    def test_next_commit_does_not_wait_for_the_time_out(self):
        """Guards against commits that stop for a time-out at each lost answer.

        A commit is conditional on the previous one, so it cannot be sent until
        the outcome of the previous commit is known.
        """

        async def scenario():
            commit_sequence = SequentialCommits()
            await commit_sequence.open()
            began = commit_sequence.clock.monotonic()
            written = [
                await commit_sequence.write(number) for number in range(12)
            ]
            elapsed = commit_sequence.clock.monotonic() - began
            return written, elapsed, len(commit_sequence.storage.items)

        written, elapsed, items = asyncio.run(scenario())
        assert all(written)
        # The leader's key, the sequence, and each commit once.
        assert items == 14
        # Five answers are lost, each with a call time-out of one second.
        assert elapsed < datetime.timedelta(seconds=2.5)

    def test_several_lost_answers_in_a_row(self):
        """Guards against commits that stop if two answers in a row are lost.

        With only two parallel calls, a commit waits for a time-out when both
        answers are lost. Under the fault ``platform_lost`` this happened four
        times in 4.5 s, each time for 1.15 s.
        """

        async def scenario():
            commit_sequence = SequentialCommits()
            commit_sequence.storage.lost = lambda call: call % 4 != 0
            await commit_sequence.open()
            began = commit_sequence.clock.monotonic()
            written = [
                await commit_sequence.write(number) for number in range(4)
            ]
            return written, commit_sequence.clock.monotonic() - began

        written, elapsed = asyncio.run(scenario())
        assert all(written)
        assert elapsed < datetime.timedelta(seconds=2.5)

    def test_former_leader_learns_of_its_successor(self):
        """Guards against a conflict that is taken for a successful commit.

        The conflict of a repeated call can mean that the first call took
        effect, or that there is a later leader.
        """

        async def scenario():
            commit_sequence = SequentialCommits()
            await commit_sequence.open()
            written = [
                await commit_sequence.write(number) for number in range(4)
            ]
            commit_sequence.storage.put(keys.LEADER, b"other")
            written.append(await commit_sequence.write(4))
            return written, commit_sequence.term.end_reason

        written, reason = asyncio.run(scenario())
        assert written == [True] * 4 + [False]
        assert reason == "superseded"

    def test_refused_calls_are_repeated_with_a_pause(self):
        """Guards against refused calls that are repeated without a pause.

        The store charges for each call.
        """

        async def scenario():
            commit_sequence = SequentialCommits()
            await commit_sequence.open()
            commit_sequence.storage.refuses = True
            before = commit_sequence.storage.calls
            write = asyncio.create_task(commit_sequence.write(0))
            await asyncio.sleep(0.5)
            calls = commit_sequence.storage.calls - before
            commit_sequence.storage.refuses = False
            return await write, calls

        written, calls = asyncio.run(scenario())
        assert written
        assert calls <= 5
