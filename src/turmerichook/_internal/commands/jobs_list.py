"""``turmerichook jobs list``."""

from turmerichook._internal.commands import context as contexts
from turmerichook._internal.providers import store as stores
from turmerichook._internal.scheduling import jobs


# A page of records stays far below the limit of an answer, 4 MiB.
PAGE = 500


async def run(
    context: contexts.Context, state: str | None, team: str | None
) -> list[dict]:
    """Return the job records in the store, the newest first."""
    records = await _read_all(context.open_store())
    found = [
        {
            "id": record.spec.job,
            "team": record.spec.team,
            "state": record.state.value,
            "home": record.home,
            "tasks": record.spec.tasks,
            "accepted": record.accepted,
            "detail": record.detail,
        }
        for record in records
        if state in (None, record.state.value)
        and team in (None, record.spec.team)
    ]
    return sorted(found, key=lambda job: job["accepted"], reverse=True)


async def _read_all(store: stores.Store) -> list[jobs.JobRecord]:
    records: list[jobs.JobRecord] = []
    start = ""
    while True:
        page = await store.list(jobs.PREFIX, start=start, limit=PAGE)
        records += [jobs.unpack(entry.value) for entry in page.entries]
        if len(page.entries) < PAGE:
            return records
        start = page.entries[-1].key
