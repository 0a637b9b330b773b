"""Room on the workers, and where it has grown.

A step that found no worker need not be held against all of them again, only
against those that have changed since. In a backlog that no worker has room
for, a round of placement so costs as much as there were changes.

What is returned are candidates: whether a worker may run a task is decided by
the conditions of ``obstacles``.
"""

import collections.abc
import dataclasses
import datetime
import heapq
import operator

from turmerichook._internal.dispatch import filling
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import obstacles
from turmerichook._internal.dispatch import placement
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model

NEVER = datetime.timedelta.max
# A step that has not been held against any worker yet.
UNTRIED = -1
# Changes that are kept, in units of the number of workers. A step that has
# not been tried since earlier ones is held against all workers.
CHANGES_KEPT = 4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Needs:
    """What each task of a step asks of a worker.

    :param millicores: processors that count against the capacity.
    :param idle: processors that a filler finds useful, in thousandths.
    :param serving: whether a task has a latency target.
    """

    label: str
    rack: ids.RackId
    millicores: int
    memory_mib: int
    accelerators: int
    filler: bool
    idle: int
    serving: bool
    long_running: bool

    def cover(self, other: "Needs") -> bool:
        """Tell whether no resource is asked for less than by ``other``."""
        return (
            self.millicores >= other.millicores
            and self.memory_mib >= other.memory_mib
            and self.accelerators >= other.accelerators
            and self.idle >= other.idle
        )


def needs_of(step: model.Step) -> Needs:
    """Return what the tasks of a step ask for."""
    committed = step.committed
    return Needs(
        label=step.label,
        rack=step.rack,
        millicores=committed.millicores,
        memory_mib=committed.memory_mib,
        accelerators=committed.accelerators,
        filler=step.filler,
        idle=step.demand.millicores,
        serving=bool(step.latency_target) and not step.filler,
        long_running=step.long_running,
    )


class Seat:
    """What placement has read of a worker, as of one of its versions.

    :ivar recheck: when the worker may be open again by time alone.
    """

    __slots__ = (
        "accelerators",
        "hot",
        "idle",
        "memory_mib",
        "millicores",
        "number",
        "recheck",
        "score",
        "serving",
        "version",
        "worker",
    )

    def __init__(self, *, worker: fleet.Worker, number: int):
        self.worker = worker
        self.number = number
        self.version = -1
        self.recheck = NEVER
        self.close()
        self.score = 0.0
        # Processors that more fillers would get, in thousandths.
        self.idle = 0.0
        # Whether tasks with a latency target run here, and whether one of
        # them is over it.
        self.serving = self.hot = False

    def close(self) -> None:
        """Note that the worker gets no tasks: it has less than no room."""
        self.millicores = self.memory_mib = self.accelerators = -1

    def read(
        self,
        closed: collections.abc.Container[ids.ZoneId],
        now: datetime.timedelta,
    ) -> None:
        """Read the worker as it is now."""
        worker = self.worker
        self.version = worker.version
        self.recheck = min(
            (
                t
                for t in (worker.full_until, worker.suspended_until)
                if t > now
            ),
            default=NEVER,
        )
        if obstacles.closure(worker, closed, now) is not None:
            self.close()
            return
        capacity, used = worker.entry.capacity, worker.used
        self.millicores = capacity.millicores - used.millicores
        self.memory_mib = capacity.memory_mib - used.memory_mib
        self.accelerators = capacity.accelerators - used.accelerators
        self.score = placement.base_score(worker)
        self.idle = filling.unused(worker)
        self.serving = any(True for _ in worker.serving())
        self.hot = worker.hot_since is not None


class Room:
    """The workers' room, with a log of the changes that may have added some.

    :ivar position: the log's length, by which a step knows what it has seen.
    """

    def __init__(self):
        self.seats: dict[ids.WorkerId, Seat] = {}
        self.zones: dict[ids.ZoneId, bool] = {}
        self.numbers = 0
        # The last changes; ``dropped`` earlier ones are not kept.
        self.changes: list[Seat] = []
        self.dropped = 0
        # Where the changes of this round begin.
        self.begin = 0
        # Workers whose room is kept together in this round.
        self.kept: set[ids.WorkerId] = set()
        # How many of them there were, and the most of each resource on any
        # other worker that has changed; None if not known.
        self.most: tuple[int, int, int, int] | None = None
        # No worker has more idle processors in this round; None if not known.
        self.most_idle: float | None = None
        self.closed: collections.abc.Container[ids.ZoneId] = ()
        self.now = datetime.timedelta()

    @property
    def position(self) -> int:
        """The number of changes so far."""
        return self.dropped + len(self.changes)

    def update(
        self,
        workers: collections.abc.Collection[fleet.Worker],
        closed: collections.abc.Container[ids.ZoneId],
        now: datetime.timedelta,
    ) -> None:
        """Begin a round: read the workers that have changed."""
        self.closed, self.now = closed, now
        self._trim(CHANGES_KEPT * len(workers))
        self.begin = self.position
        # Their room may be open to other tasks again.
        self.changes += [self.seats[w] for w in self.kept if w in self.seats]
        self.kept = set()
        self.most = self.most_idle = None
        zones = {zone: zone in closed for zone in self.zones}
        read_all, self.zones = zones != self.zones, zones
        for worker in workers:
            seat = self.seats.get(worker.worker)
            if seat is None or seat.worker is not worker:
                seat = self._add_seat(worker)
            elif (
                seat.version == worker.version
                and now < seat.recheck
                and not read_all
            ):
                continue
            self._read(seat)
            if seat.millicores >= 0:
                self.changes.append(seat)
        if len(self.seats) > len(workers):
            self._remove_seats({worker.worker for worker in workers})

    def refresh(self, worker: fleet.Worker) -> None:
        """Read a worker again that has got a task in this round."""
        self._read(self.seats[worker.worker])
        self.most = None

    def may_fit(self, needs: Needs, tried: int) -> bool:
        """Tell quickly whether a step may fit on a changed worker.

        :param tried: position up to which no worker had room.
        """
        if tried < self.begin:
            return True
        if self.most is None or self.most[0] != len(self.kept):
            self.most = (len(self.kept), *self._measure())
        _, millicores, memory_mib, accelerators = self.most
        return (
            needs.millicores <= millicores
            and needs.memory_mib <= memory_mib
            and needs.accelerators <= accelerators
        )

    def may_fill(self, needs: Needs) -> bool:
        """Tell quickly whether some worker has idle processors enough."""
        if self.most_idle is None:
            seats = self.seats.values()
            self.most_idle = max((seat.idle for seat in seats), default=0.0)
        return needs.idle <= self.most_idle

    def seats_for(
        self, needs: Needs, service: ids.ServiceId, tried: int
    ) -> list[Seat]:
        """Return workers with room that have changed, in a steady order.

        Idle processors, which only fillers ask for, are not looked at.
        """
        changed: collections.abc.Iterable[Seat] = self.seats.values()
        if tried >= self.dropped:
            changed = sorted(
                set(self.changes[tried - self.dropped :]),
                key=operator.attrgetter("number"),
            )
        millicores, memory_mib = needs.millicores, needs.memory_mib
        label = needs.label
        found: list[Seat] = []
        for seat in changed:
            # Most workers of a busy fleet fail the first comparison.
            if millicores > seat.millicores or memory_mib > seat.memory_mib:
                continue
            entry = seat.worker.entry
            if needs.accelerators > seat.accelerators:
                continue
            if entry.service == service and (
                not label or label in entry.labels
            ):
                found.append(seat)
        return found

    def seats_for_filler(
        self, needs: Needs, service: ids.ServiceId, *, overdue: bool
    ) -> list[Seat]:
        """Return all workers that a filler may go to, its harm apart.

        :param overdue: whether it may go where nothing is idle.
        """
        return [
            seat
            for seat in self.seats_for(needs, service, UNTRIED)
            if not seat.hot and (overdue or needs.idle <= seat.idle)
        ]

    def _add_seat(self, worker: fleet.Worker) -> Seat:
        former = self.seats.pop(worker.worker, None)
        if former is not None:
            former.close()
        self.numbers += 1
        seat = Seat(worker=worker, number=self.numbers)
        self.seats[worker.worker] = seat
        return seat

    def _remove_seats(
        self, left: collections.abc.Container[ids.WorkerId]
    ) -> None:
        for worker_id in [w for w in self.seats if w not in left]:
            self.seats.pop(worker_id).close()

    def _read(self, seat: Seat) -> None:
        seat.read(self.closed, self.now)
        entry = seat.worker.entry
        if entry is not None and entry.zone not in self.zones:
            self.zones[entry.zone] = entry.zone in self.closed

    def _trim(self, kept: int) -> None:
        surplus = len(self.changes) - kept
        if surplus > kept:
            del self.changes[:surplus]
            self.dropped += surplus

    def _measure(self) -> tuple[int, int, int]:
        """Return the most of each resource on a worker that has changed."""
        seats = [
            seat
            for seat in self.changes[self.begin - self.dropped :]
            if seat.worker.worker not in self.kept
        ]
        return (
            max((seat.millicores for seat in seats), default=-1),
            max((seat.memory_mib for seat in seats), default=-1),
            max((seat.accelerators for seat in seats), default=-1),
        )


def best(seats: list[Seat], needs: Needs, count: int) -> list[Seat]:
    """Return as many of the best workers as some tasks of a step can need.

    A task makes no other worker better, and may have to avoid one worker. The
    score of serving tasks, and of fillers beside them, depends on more than
    load and rack, so that none of these workers is left out.
    """
    if needs.serving or len(seats) <= count + 1:
        return seats
    beside = [s for s in seats if s.serving] if needs.filler else []
    if beside:
        seats = [seat for seat in seats if not seat.serving]

    def score(seat: Seat) -> float:
        if needs.rack and needs.rack != seat.worker.entry.rack:
            return seat.score + placement.WRONG_RACK_PENALTY
        return seat.score

    found = heapq.nsmallest(count + 1, seats, key=score)
    return sorted(found + beside, key=operator.attrgetter("number"))
