"""Tell from logs where the time of each job went, by queue and size.

``python -m tools.job_account FILE...`` reads the JSON lines of entry
processes. Text before the JSON object of a line is ignored, and so are lines
without one. Jobs of long-running tasks are left out, as they do not end by
themselves.

The time of a job is that of its slowest tasks: of each step, the task that
ended last. Times are in seconds, means over the jobs of a row.
"""

import collections
import collections.abc
import dataclasses
import datetime
import enum
import json
import statistics
import sys
import typing

from turmerichook._internal.dispatch import waiting_step

# Shares of a queue's jobs, the largest first, that get a row of their own.
SIZES = (("largest tenth", 0.1), ("next fifth", 0.3), ("others", 1.0))


class Verdict(enum.Enum):
    """What became of a job."""

    IN_TIME = "in time"
    LATE = "late"
    TOO_LATE = "too late"
    FAILED = "failed"
    NOT_ENDED = "not ended"


@dataclasses.dataclass(kw_only=True)
class Task:
    """Times of a task, in seconds.

    :param placed: when each of its runs was assigned to a worker.
    :param release: time from the last assignment until the start was sent.
    :param ended: end of the last run; None if it has not ended.
    :param done: whether the task is done.
    """

    placed: list[float] = dataclasses.field(default_factory=list)
    release: float = 0.0
    ended: float | None = None
    done: bool = False


@dataclasses.dataclass(kw_only=True)
class Job:
    """One job, as the logs show it; times are in seconds.

    :param work: estimated processor time.
    :param objective: time allowed from the acceptance to the end.
    """

    queue: str
    work: float
    objective: float
    accepted: float
    taken: float
    ended: float | None = None
    state: str = ""
    tasks: dict[str, Task] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(Task)
    )

    @property
    def verdict(self) -> Verdict:
        """What became of the job."""
        if self.state == "failed":
            return Verdict.FAILED
        if self.ended is None:
            return Verdict.NOT_ENDED
        age = self.ended - self.accepted
        if age <= self.objective:
            return Verdict.IN_TIME
        if age <= waiting_step.USEFUL_TIME_FACTOR * self.objective:
            return Verdict.LATE
        return Verdict.TOO_LATE


@dataclasses.dataclass(kw_only=True)
class Stages:
    """Where the time of a job went, in seconds.

    :param intake: from the acceptance until the leader knew the job.
    :param waiting: for a worker with room.
    :param release: from an assignment until the start was sent.
    :param repeats: from the first assignment of a task until its last one.
    :param running: from the start that was sent until the end was reported.
    :param saving: from the last end until the final state was stored.
    """

    intake: float = 0.0
    waiting: float = 0.0
    release: float = 0.0
    repeats: float = 0.0
    running: float = 0.0
    saving: float = 0.0


def read(lines: collections.abc.Iterable[str]) -> tuple[list[Job], float]:
    """Return the jobs that the lines tell of, and the time of the last line.

    Jobs that were cancelled are left out.
    """
    jobs: dict[str, Job] = {}
    last = 0.0
    for line in lines:
        start = line.find("{")
        if start < 0 or '"job":' not in line:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            continue
        moment = datetime.datetime.fromisoformat(fields["time"]).timestamp()
        last = max(last, moment)
        _apply(jobs, fields, moment)
    return [job for job in jobs.values() if job.state != "canceled"], last


def _apply(
    jobs: dict[str, Job], fields: dict[str, typing.Any], moment: float
) -> None:
    name = fields["job"]
    if fields["event"] == "job-taken":
        if name not in jobs and not fields.get("long_running", False):
            jobs[name] = Job(
                queue=fields["queue"],
                work=fields["work_ms"] / 1000,
                objective=fields["objective_ms"] / 1000,
                accepted=moment - fields["age_ms"] / 1000,
                taken=moment,
            )
        return
    job = jobs.get(name)
    if job is None:
        return
    match fields["event"]:
        case "task-placed":
            job.tasks[fields["task"]].placed.append(moment)
        case "run-ended" if fields["known"]:
            task = job.tasks[fields["task"]]
            task.ended = moment
            task.release = fields.get("release_ms", 0) / 1000
            task.done = fields["kind"] == "done"
        case "job-ended":
            job.ended, job.state = moment, fields["state"]


def stages(job: Job, last: float) -> Stages:
    """Return where the time of a job went, up to ``last`` if it goes on."""
    found = Stages(intake=job.taken - job.accepted)
    end = job.ended if job.ended is not None else last
    ready = job.taken
    for task in _slowest_tasks(job):
        if not task.placed:
            continue
        found.waiting += max(0.0, task.placed[0] - ready)
        found.repeats += task.placed[-1] - task.placed[0]
        if not task.done or task.ended is None:
            found.running += end - task.placed[-1]
            return found
        found.release += task.release
        found.running += task.ended - task.placed[-1] - task.release
        ready = task.ended
    if job.ended is None:
        found.waiting += end - ready
    else:
        found.saving += max(0.0, end - ready)
    return found


def _slowest_tasks(job: Job) -> list[Task]:
    """Return the task of each step that ended last, or has not ended."""
    by_step: dict[str, Task] = {}
    for name, task in job.tasks.items():
        step = name.rpartition(".")[0]
        slowest = by_step.get(step)
        if slowest is None or _end(task) > _end(slowest):
            by_step[step] = task
    return sorted(by_step.values(), key=_end)


def _end(task: Task) -> float:
    if task.done and task.ended is not None:
        return task.ended
    return float("inf")


def by_size(jobs: list[Job]) -> list[tuple[str, list[Job]]]:
    """Return the jobs in groups by their work, the largest first."""
    ordered = sorted(jobs, key=lambda job: -job.work)
    groups: list[tuple[str, list[Job]]] = []
    begin = 0
    for name, share in SIZES:
        end = round(share * len(ordered))
        groups.append((name, ordered[begin:end]))
        begin = end
    return groups


def render(jobs: list[Job], last: float) -> str:
    """Return the account as a table in Markdown."""
    verdicts = [verdict.value for verdict in Verdict]
    names = [field.name for field in dataclasses.fields(Stages)]
    header = ["queue", "size", "jobs", "work", *verdicts, *names]
    rows = [header, ["---"] * len(header)]
    for queue in sorted({job.queue for job in jobs}):
        in_queue = [job for job in jobs if job.queue == queue]
        for size, group in [("all", in_queue), *by_size(in_queue)]:
            if group:
                rows.append([queue, size, *_cells(group, last)])
    return "\n".join("| " + " | ".join(row) + " |" for row in rows)


def _cells(group: list[Job], last: float) -> list[str]:
    counts = collections.Counter(job.verdict for job in group)
    accounts = [dataclasses.astuple(stages(job, last)) for job in group]
    return [
        str(len(group)),
        f"{statistics.fmean(job.work for job in group):.0f}",
        *(str(counts[verdict]) for verdict in Verdict),
        *(
            f"{statistics.fmean(column):.2f}"
            for column in zip(*accounts, strict=True)
        ),
    ]


def main(paths: list[str]) -> None:
    """Print the account of the logs in files."""
    lines: list[str] = []
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as file:
            lines += file
    print(render(*read(lines)))


if __name__ == "__main__":
    main(sys.argv[1:])
