"""Asks the advisor which workers may run the waiting steps."""

import asyncio
import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import dispatcher as dispatchers
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import feeds as feeds_
from turmerichook._internal.dispatch import orders
from turmerichook._internal.logs import setup as logs
from turmerichook import exceptions

# Interval for checking whether there is a question, and the pause after a
# question that the advisor did not answer.
ADVICE_POLL_INTERVAL = datetime.timedelta(milliseconds=50)
ADVICE_RETRY_INTERVAL = datetime.timedelta(milliseconds=250)


class AdvisorLoop:
    """Asks the advisor one question at a time during a term of the leader.

    :param changed: event that is set when an answer may allow tasks to start.
    """

    def __init__(
        self,
        *,
        advisor: orders.Advisor,
        dispatcher: dispatchers.Dispatcher,
        feeds: feeds_.Feeds,
        changed: asyncio.Event,
        clock: clocks.Clock,
    ):
        self.advisor = advisor
        self.dispatcher = dispatcher
        self.feeds = feeds
        self.changed = changed
        self.clock = clock
        self.reachable = True

    async def run(self) -> None:
        """Ask questions until cancelled, each about one waiting step."""
        while True:
            now = self.clock.uptime()
            question = self.dispatcher.next_question(now, self.feeds.wall())
            if question is None:
                await self.clock.sleep(ADVICE_POLL_INTERVAL)
                continue
            advice = await self._ask(question)
            if advice is None:
                await self.clock.sleep(ADVICE_RETRY_INTERVAL)
                continue
            self.dispatcher.run_tracker.advice.take(question, advice, now)
            self.changed.set()

    async def _ask(self, question: orders.Question) -> orders.Advice | None:
        """Return the advisor's answer; None if the advisor is unavailable."""
        try:
            advice = await self.advisor.advise(question)
        except exceptions.AdvisorUnavailableError as error:
            if self.reachable:
                logs.emit(events.DispatchEvent.ADVISOR_LOST, error=str(error))
            self.reachable = False
            return None
        if not self.reachable:
            logs.emit(events.DispatchEvent.ADVISOR_REGAINED)
        self.reachable = True
        logs.emit(
            events.DispatchEvent.ADVICE_TAKEN,
            job=question.step.job,
            step=question.step.step,
            asked=len(question.workers),
            good=len(advice.tickets),
            valid_ms=advice.validity // clocks.MILLISECOND,
        )
        return advice
