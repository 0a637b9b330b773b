"""Asks the advisor which workers may run the steps that wait for it."""

import asyncio
import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import dispatcher as dispatchers
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import feeds as feeds_
from turmerichook._internal.dispatch import orders
from turmerichook._internal.logs import setup as logs
from turmerichook import exceptions

# How soon new tasks of an advised queue are noticed, and the pause after a
# question without an answer.
ADVICE_PAUSE = datetime.timedelta(milliseconds=50)
ADVICE_RETRY_PAUSE = datetime.timedelta(milliseconds=250)


class Advising:
    """Questions of one term, one after the other.

    :param changed: set when an answer may let tasks start.
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
        """Ask about one step after the other while tasks wait for it."""
        while True:
            now = self.clock.uptime()
            question = self.dispatcher.next_question(now, self.feeds.wall())
            if question is None:
                await self.clock.sleep(ADVICE_PAUSE)
                continue
            advice = await self._ask(question)
            if advice is None:
                await self.clock.sleep(ADVICE_RETRY_PAUSE)
                continue
            self.dispatcher.book.advice.take(question, advice, now)
            self.changed.set()

    async def _ask(self, question: orders.Question) -> orders.Advice | None:
        """Return the advisor's answer, if it gives a usable one."""
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
