"""Points at which a test can hold a stand-in.

A stand-in calls ``reach`` with a label at each step, such as
``store PUT jobs/memorial before`` or ``worker start job/memorial/0 after``.
A rule whose pattern matches the label keeps the step waiting until the rule
is released, so that a fault can strike exactly there. A released rule either
lets the step go on or drops the connection that it serves.

Control over HTTP: ``PUT /holds`` with ``{"pattern": ..., "count": 1}``,
``GET /holds`` for the labels that wait, ``DELETE /holds?drop=1`` to release
all rules.
"""

import asyncio
import dataclasses
import fnmatch
import json

from turmerichook._internal.http import server

PATH = "/holds"


class DroppedError(Exception):
    """The step's connection is to be cut off without an answer."""


@dataclasses.dataclass(kw_only=True)
class Rule:
    """Holds the next ``count`` steps that match a pattern."""

    pattern: str
    count: int
    released: asyncio.Event
    drop: bool = False


class Holds:
    """The rules of one stand-in process."""

    def __init__(self):
        self.rules: list[Rule] = []
        self.waiting: list[str] = []

    async def reach(self, label: str) -> None:
        """Pass a step, or wait for the release of its rule.

        :raises DroppedError: if the rule was released with ``drop``.
        """
        rule = self._match(label)
        if rule is None:
            return
        rule.count -= 1
        self.waiting.append(label)
        try:
            await rule.released.wait()
        finally:
            self.waiting.remove(label)
        if rule.drop:
            raise DroppedError(label)

    async def control(self, exchange: server.Exchange) -> None:
        """Answer a control call."""
        body = await exchange.read_all()
        match exchange.head.method:
            case "PUT":
                document = json.loads(body)
                self.rules.append(
                    Rule(
                        pattern=document["pattern"],
                        count=document.get("count", 1),
                        released=asyncio.Event(),
                    )
                )
            case "DELETE":
                self._release(drop="drop=1" in exchange.head.query)
        await exchange.respond_json(document={"waiting": self.waiting})

    def _match(self, label: str) -> Rule | None:
        for rule in self.rules:
            if rule.count and fnmatch.fnmatchcase(label, rule.pattern):
                return rule
        return None

    def _release(self, *, drop: bool) -> None:
        for rule in self.rules:
            rule.drop = drop
            rule.released.set()
        self.rules = []
