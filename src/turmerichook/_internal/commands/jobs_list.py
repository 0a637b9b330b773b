"""``turmerichook jobs list``."""

from turmerichook._internal.commands import context as contexts
from turmerichook._internal.scheduling import jobs


async def run(
    context: contexts.Context, state: str | None, team: str | None
) -> list[dict]:
    """Return the job records in the store, the newest first."""
    listing = await context.open_store().list(jobs.PREFIX)
    records = [jobs.unpack(entry.value) for entry in listing.entries]
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
