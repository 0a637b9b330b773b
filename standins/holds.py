"""Breakpoints at which a test can suspend a stand-in.

A stand-in calls ``wait_at`` with a label at each step, such as
``store PUT jobs/memorial before`` or ``worker start job/memorial/0 after``.
A breakpoint whose pattern matches the label suspends the step until the
breakpoint is released, so that a test can inject a fault at exactly this
step. After the release, the step either continues or closes the connection
that it serves without a response.

Breakpoints are controlled over HTTP: ``PUT /holds`` with
``{"pattern": ..., "count": 1}`` sets one, ``GET /holds`` returns the labels of
the suspended steps, ``DELETE /holds`` releases all breakpoints, and
``DELETE /holds?drop=1`` releases them and closes the connections.
"""

import asyncio
import dataclasses
import fnmatch
import json

from turmerichook._internal.http import server

PATH = "/holds"


class DroppedError(Exception):
    """The step's connection must be closed without a response."""


@dataclasses.dataclass(kw_only=True)
class Breakpoint:
    """Suspends the next ``count`` steps whose labels match a pattern."""

    pattern: str
    count: int
    released: asyncio.Event
    drop: bool = False


class Breakpoints:
    """The breakpoints of one stand-in process."""

    def __init__(self):
        self.breakpoints: list[Breakpoint] = []
        self.suspended: list[str] = []

    async def wait_at(self, label: str) -> None:
        """Return at once, or after the release of a matching breakpoint.

        :raises DroppedError: if the breakpoint was released with ``drop``.
        """
        breakpoint_ = self._match(label)
        if breakpoint_ is None:
            return
        breakpoint_.count -= 1
        self.suspended.append(label)
        try:
            await breakpoint_.released.wait()
        finally:
            self.suspended.remove(label)
        if breakpoint_.drop:
            raise DroppedError(label)

    async def control(self, exchange: server.Exchange) -> None:
        """Handle a control request."""
        body = await exchange.read_all()
        match exchange.head.method:
            case "PUT":
                document = json.loads(body)
                self.breakpoints.append(
                    Breakpoint(
                        pattern=document["pattern"],
                        count=document.get("count", 1),
                        released=asyncio.Event(),
                    )
                )
            case "DELETE":
                self._release(drop="drop=1" in exchange.head.query)
        await exchange.respond_json(document={"waiting": self.suspended})

    def _match(self, label: str) -> Breakpoint | None:
        for breakpoint_ in self.breakpoints:
            if breakpoint_.count and fnmatch.fnmatchcase(
                label, breakpoint_.pattern
            ):
                return breakpoint_
        return None

    def _release(self, *, drop: bool) -> None:
        for breakpoint_ in self.breakpoints:
            breakpoint_.drop = drop
            breakpoint_.released.set()
        self.breakpoints = []
