"""Calls to the advisor, the service that names the workers for a step."""

import datetime
import json

from turmerichook._internal.dispatch import orders
from turmerichook._internal.http import addresses
from turmerichook._internal.http import calls
from turmerichook._internal.models import ids
from turmerichook._internal.platform import fields
from turmerichook._internal.platform import worker_calls
from turmerichook import exceptions

# Added to the expected decision time to give the time-out of an HTTP call.
TIMEOUT_MARGIN = datetime.timedelta(seconds=1)


class PlatformAdvisor:
    """Implements ``orders.Advisor`` with the platform's HTTP call."""

    def __init__(self, *, address: str):
        host, port = addresses.split(address)
        self.pool = calls.CallPool(
            host=host,
            port=port,
            # The advisor serves one call at a time from each host.
            connections=1,
            connect_timeout=worker_calls.CONNECT_TIMEOUT_S,
        )

    async def advise(self, question: orders.Question) -> orders.Advice:
        terms = question.terms
        document = {
            "step": worker_calls.step_name(question.step),
            "workers": list(question.workers),
        }
        decision_time = terms.decision + terms.each_worker * len(
            question.workers
        )
        try:
            answer = await self.pool.call(
                method="POST",
                target="/v1/advise",
                body=json.dumps(document).encode(),
                headers=[(b"content-type", b"application/json")],
                timeout=(decision_time + TIMEOUT_MARGIN).total_seconds(),
            )
            if answer.status != 200:
                raise exceptions.MessageError(
                    message=f"status {answer.status}"
                )
            return _decode_advice(fields.parse(answer.body), terms.validity)
        except (
            exceptions.ExchangeError,
            exceptions.MessageError,
        ) as error:
            raise exceptions.AdvisorUnavailableError(
                message=error.message
            ) from error

    def close(self) -> None:
        self.pool.close()


def _decode_advice(
    document: dict, validity: datetime.timedelta
) -> orders.Advice:
    tickets: dict[ids.WorkerId, str] = {}
    for row in fields.array(document, "good"):
        if (
            not isinstance(row, list)
            or len(row) != 2
            or not all(isinstance(part, str) for part in row)
        ):
            raise exceptions.MessageError(
                message="an entry of 'good' must be [worker, ticket], not"
                f" {str(row)[:50]}"
            )
        tickets[ids.WorkerId(row[0])] = row[1]
    if "validity-ms" in document:
        validity = fields.milliseconds(document, "validity-ms")
    return orders.Advice(tickets=tickets, validity=validity)
