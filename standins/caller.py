"""Simulated callers that send requests and record the responses.

The record holds an entry of kind ``request`` when a request is sent,
``answer`` when a complete response was received, ``cut`` when the connection
failed or timed out before the response was complete, and ``refused`` when the
connection was refused.
"""

import dataclasses
import hashlib
import http.client
import itertools
import json
import random
import threading

from standins import recorder

TIMEOUT_S = 20.0
IDEMPOTENT = frozenset({"GET", "PUT", "DELETE"})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """A gateway and the service that requests are sent to."""

    node: str
    address: str
    service: str


class Caller:
    """Sends one request at a time."""

    def __init__(self, *, name: str, record: recorder.Recorder, seed: int):
        self.name = name
        self.record = record
        self.random = random.Random(seed)
        self.numbers = itertools.count(1)

    def send(self, target: Target, *, method: str = "POST") -> int:
        """Send a request and return its status, 0 without a full response."""
        request = f"{self.name}-{next(self.numbers)}"
        body = self.random.randbytes(self.random.randrange(1, 4000))
        self.record(
            {
                "kind": "request",
                "request": request,
                "node": target.node,
                "idempotent": method in IDEMPOTENT,
            }
        )
        try:
            status, answer = self._exchange(target, method, request, body)
        except (OSError, http.client.HTTPException, ValueError) as error:
            self._record_cut(target, request, error)
            return 0
        digest = hashlib.sha256(body).hexdigest()
        self.record(
            {
                "kind": "answer",
                "request": request,
                "node": target.node,
                "status": status,
                "own": answer.get("request") == request,
                "whole": answer.get("sha256") == digest,
                "outcome": answer.get("outcome"),
                "code": answer.get("code"),
            }
        )
        return status

    def _exchange(
        self, target: Target, method: str, request: str, body: bytes
    ) -> tuple[int, dict]:
        connection = http.client.HTTPConnection(
            target.address, timeout=TIMEOUT_S
        )
        try:
            connection.request(
                method,
                f"/services/{target.service}/toll",
                body,
                {"Request-Id": request, "Priority": "u=1"},
            )
            response = connection.getresponse()
            return response.status, json.loads(response.read())
        finally:
            connection.close()

    def _record_cut(
        self, target: Target, request: str, error: Exception
    ) -> None:
        # A refused connection never carried the request, so it does not count
        # as a request that was cut off in progress.
        refused = isinstance(error, ConnectionRefusedError)
        self.record(
            {
                "kind": "refused" if refused else "cut",
                "request": request,
                "node": target.node,
                "error": repr(error),
            }
        )


class Load:
    """Callers in threads that send requests at a fixed interval."""

    def __init__(
        self,
        *,
        targets: list[Target],
        record: recorder.Recorder,
        seed: int,
        interval_s: float,
    ):
        self.targets = targets
        self.record = record
        self.interval_s = interval_s
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self._run, args=(number, seed))
            for number in range(len(targets))
        ]

    def start(self) -> None:
        """Start one caller for each target."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Stop the callers and wait for their pending responses."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _run(self, number: int, seed: int) -> None:
        caller = Caller(
            name=f"caller{number}", record=self.record, seed=seed + number
        )
        methods = itertools.cycle(("POST", "PUT"))
        while not self.stopping.wait(self.interval_s):
            caller.send(self.targets[number], method=next(methods))
