"""Tests of retries, queueing, endpoint selection, limits and parsing."""

import collections
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from turmerichook._internal.http import heads
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.routing import concurrency
from turmerichook._internal.routing import endpoints
from turmerichook._internal.routing import health
from turmerichook._internal.routing import queues
from turmerichook._internal.routing import rates
from turmerichook._internal.routing import requests
from turmerichook._internal.routing import retries
from turmerichook._internal.routing import selection
from turmerichook._internal.routing import sharing

BOUNDED = settings(derandomize=True, max_examples=200, deadline=None)
URGENCIES = strategies.sampled_from(list(site.Urgency))


def target(task, *, zone="a", limit=8.0, latency=0.01):
    """Return a healthy endpoint whose slow start is over."""
    return selection.Target(
        endpoint=endpoints.Endpoint(
            service="booking",
            task=task,
            zone=zone,
            address="127.0.0.1:1",
            slots=8,
            connections=64,
            leaving=False,
        ),
        limit=concurrency.Limit(
            value=limit, ceiling=8.0, latency=latency, min_latency=latency
        ),
        health=health.Health(slow_start_at=-1000.0),
    )


def choose(targets, *, seed=1, probe=True, tried=(), now=0.0):
    """Choose an endpoint as a gateway in zone a does."""
    return selection.choose(
        targets=targets,
        criteria=selection.SelectionCriteria(
            probe=probe, failed_tasks=frozenset(tried)
        ),
        zone="a",
        link_rtts={"a": 0.0, "b": 0.01},
        now=now,
        source=random.Random(seed),
    )


class TestRetries:
    """Retries do not run a request twice and do not multiply the load."""

    failures = strategies.builds(
        retries.Failure,
        effect=strategies.sampled_from(list(retries.Effect)),
        attempts=strategies.integers(1, 5),
        idempotent=strategies.booleans(),
        replayable=strategies.booleans(),
        marked_as_retry=strategies.booleans(),
        remaining_s=strategies.floats(-1, 10),
    )

    @BOUNDED
    @given(failures)
    def test_safe(self, failure):
        # Guards against a retry that runs a non-idempotent request a second
        # time, or that exceeds the attempts, the deadline or the body buffer.
        verdict = retries.decide(failure, retries.Budget())
        if verdict is retries.RetryDecision.RETRY:
            unknown = failure.effect is retries.Effect.UNKNOWN
            assert failure.idempotent or not unknown
            assert failure.replayable
            assert failure.attempts < retries.MAX_ATTEMPTS
            assert failure.remaining_s > 0
            sent = failure.effect is not retries.Effect.NOTHING_SENT
            assert not (failure.marked_as_retry and sent)

    @BOUNDED
    @given(strategies.lists(strategies.booleans(), max_size=300))
    def test_budget(self, failing):
        # Guards against a retry storm: when many requests fail, retries must
        # stay within a tenth of the requests, plus the initial tokens.
        budget = retries.Budget()
        taken = 0
        for fails in failing:
            budget.deposit()
            taken += fails and budget.withdraw()
        assert taken <= retries.MAX_TOKENS + 0.1 * len(failing) + 1e-6


class TestQueue:
    """Waiting requests are dequeued in a fair order and none is lost."""

    @BOUNDED
    @given(
        strategies.lists(
            strategies.tuples(
                URGENCIES,
                strategies.sampled_from("xyz"),
                strategies.floats(1, 100),
                strategies.sampled_from(["offer", "pop", "remove"]),
            ),
            max_size=60,
        )
    )
    def test_every_entry_has_one_end(self, steps):
        # Guards against entries that are lost, duplicated or dequeued out of
        # order after any sequence of offers, pops and removals.
        queue = queues.Queue(capacity=5)
        waiting = []
        for urgency, team, deadline, step in steps:
            if step == "offer":
                entry = queues.Entry(
                    urgency=urgency,
                    team=team,
                    weight=1.0,
                    deadline=deadline,
                    resume_data=None,
                )
                shed, out = queue.offer(entry, now=0.0, exchange_time=0.1)
                if out is not None:
                    least = max(queues.PRIORITY[e.urgency] for e in waiting)
                    assert queues.PRIORITY[out.urgency] == least
                    assert least > queues.PRIORITY[urgency]
                    waiting.remove(out)
                if shed is None:
                    waiting.append(entry)
            elif step == "pop":
                entry = queue.pop()
                assert (entry is None) == (not waiting)
                if entry is not None:
                    most = min(queues.PRIORITY[e.urgency] for e in waiting)
                    assert queues.PRIORITY[entry.urgency] == most
                    waiting.remove(entry)
            elif waiting:
                queue.remove(waiting[0])
                queue.remove(waiting.pop(0))
            assert len(queue) == len(waiting) <= 5

    def test_teams_take_turns_by_weight(self):
        # Guards against a team that delays the others by sending more
        # requests, or requests with earlier deadlines.
        queue = queues.Queue()
        for number in range(300):
            for team, weight in (("x", 2.0), ("y", 1.0)):
                queue.offer(
                    queues.Entry(
                        urgency=site.Urgency.URGENT,
                        team=team,
                        weight=weight,
                        deadline=1000.0 + (number if team == "x" else 0),
                        resume_data=None,
                    ),
                    now=0.0,
                    exchange_time=0.0,
                )
        served = collections.Counter(queue.pop().team for _ in range(90))
        assert served == {"x": 60, "y": 30}

    def test_idle_time_does_not_count_as_wait(self):
        # Guards against shed requests at the start of a burst. They are shed
        # if the idle time since the last exchange is counted as the time
        # between two completions.
        queue = queues.Queue()
        for now, requests_waiting in (
            (5.0, False),
            (900.0, True),
            (900.1, True),
        ):
            queue.record_completion(now, requests_waiting=requests_waiting)
        assert 0.0 < queue.completion_interval < 0.2

    def test_request_that_would_miss_its_deadline_is_shed(self):
        # Guards against requests that wait although they will miss their
        # deadline, as requests with an earlier arrival are ahead of them.
        queue = queues.Queue()
        queue.completion_interval = 0.1
        for deadline in (5.0, 5.0, 0.05):
            entry = queues.Entry(
                urgency=site.Urgency.URGENT,
                team="x",
                weight=1.0,
                deadline=deadline,
                resume_data=None,
            )
            shed, _ = queue.offer(entry, now=0.0, exchange_time=0.01)
        assert shed is queues.Shed.CANNOT_MEET_DEADLINE


class TestSelection:
    """Endpoints are chosen by zone, latency, load and health."""

    def test_own_zone_is_preferred(self):
        # Guards against requests that are sent to another zone although the
        # own zone has an endpoint of the same latency.
        targets = [target("1"), target("2"), target("3", zone="b")]
        for seed in range(50):
            chosen = choose(targets, seed=seed)
            assert chosen.why is selection.SelectionReason.OWN_ZONE

    def test_other_zone_if_own_zone_is_full(self):
        # Guards against requests that wait for the own zone, whose endpoint
        # is at its limit, while another zone has capacity.
        targets = [target("1"), target("2", zone="b")]
        targets[0].in_flight = 8
        assert choose(targets).why is selection.SelectionReason.OWN_ZONE_FULL

    def test_other_zone_if_own_zone_is_slow(self):
        # Guards against requests that stay in the own zone although its
        # latency is far above that of another zone, link included.
        targets = [target("1", latency=1.0), target("2", zone="b")]
        assert choose(targets).why is selection.SelectionReason.OWN_ZONE_SLOW

    def test_loaded_endpoint_is_avoided(self):
        # Guards against an endpoint that is overloaded by other gateways.
        # Their requests show only in the load that the endpoint reports.
        targets = [target("1"), target("2")]
        targets[0].load, targets[0].load_at = 1.5, 0.0
        chosen_tasks = {
            choose(targets, seed=s).target.endpoint.task for s in "abcd"
        }
        assert chosen_tasks == {"2"}

    def test_no_request_during_pause_after_rejection(self):
        # Guards against requests that use up their attempts at an endpoint
        # that has just rejected a request as overloaded.
        targets = [target("1"), target("2")]
        targets[0].paused_until = 1.0
        chosen_tasks = {
            choose(targets, seed=s).target.endpoint.task for s in "abcd"
        }
        assert chosen_tasks == {"2"}
        targets[1].in_flight = 8
        assert choose(targets).reason is outcomes.Reason.NO_ROOM
        assert choose(targets, now=1.0).target is targets[0]

    def test_ejected_endpoint_if_no_other_exists(self):
        # Guards against refused requests of a service whose only endpoint is
        # ejected, as that endpoint might have recovered.
        endpoint = target("1")
        endpoint.health.state = health.State.EJECTED
        endpoint.health.ejected_until = 100.0
        assert choose([endpoint]).why is selection.SelectionReason.ALL_EJECTED

    @BOUNDED
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("ab"),
                strategies.integers(0, 9),
                strategies.sampled_from(list(health.State)),
            ),
            max_size=8,
        ),
        strategies.booleans(),
        strategies.integers(0, 1000),
    )
    def test_never_over_the_limit(self, shapes, probe, seed):
        # Guards against a chosen endpoint that is at its limit already, or
        # that is being probed and has a request in flight.
        targets = []
        for number, (zone, in_flight, state) in enumerate(shapes):
            made = target(str(number), zone=zone)
            made.in_flight = in_flight
            made.health.state = state
            made.health.ejected_until = 100.0
            targets.append(made)
        chosen = choose(targets, seed=seed, probe=probe)
        if isinstance(chosen, outcomes.Absent):
            assert not targets or chosen.reason in (
                outcomes.Reason.NO_ROOM,
                outcomes.Reason.NO_ENDPOINT,
            )
            return
        assert chosen.target.has_capacity(0.0)
        if chosen.target.health.state is health.State.PROBING:
            assert probe and chosen.target.in_flight == 0


class TestHealth:
    """Failing endpoints are ejected, probed and get traffic back slowly."""

    def test_ejected_share_is_limited(self):
        # Guards against the ejection of so many endpoints that the remaining
        # ones are overloaded.
        assert health.may_eject(ejected=1, endpoints=4)
        assert not health.may_eject(ejected=2, endpoints=4)
        assert not health.may_eject(ejected=0, endpoints=1)

    def test_ejection_probing_and_slow_start(self):
        # Guards against an endpoint that stays ejected after it recovered, or
        # that gets its full traffic at once after its probes.
        endpoint_health = health.Health(slow_start_at=-1000.0)
        for _ in range(health.CONSECUTIVE_FAILURES):
            change = health.record_failure(
                endpoint_health, 0.0, may_be_ejected=True
            )
        assert change is health.Change.EJECTED
        assert (
            endpoint_health.current_state(health.EJECTION_S)
            is health.State.PROBING
        )
        for _ in range(health.PROBE_SUCCESSES):
            change = health.record_success(endpoint_health, 6.0)
        assert change is health.Change.RETURNED
        assert (
            endpoint_health.traffic_share(6.0)
            == health.SLOW_START_INITIAL_SHARE
        )
        assert endpoint_health.traffic_share(6.0 + health.SLOW_START_S) == 1.0

    def test_failed_probe_doubles_the_ejection(self):
        # Guards against an endpoint that stays down and is probed at the same
        # short interval for ever.
        endpoint_health = health.Health(
            slow_start_at=0.0, state=health.State.PROBING
        )
        endpoint_health.ejections = 1
        health.record_failure(endpoint_health, 0.0, may_be_ejected=False)
        assert endpoint_health.ejected_until == 2 * health.EJECTION_S


class TestLimits:
    """Concurrency limits, shares and rates stay within their bounds."""

    @BOUNDED
    @given(
        strategies.integers(1, 64),
        strategies.floats(0.1, 64),
        strategies.lists(strategies.floats(0.0, 10.0), max_size=60),
    )
    def test_bounds(self, ceiling, share, latencies):
        # Guards against a limit below 1, with which an endpoint would get no
        # more requests, or above the endpoint's slots.
        limit = concurrency.initial_limit(share=share, ceiling=ceiling)
        for number, latency in enumerate(latencies):
            if latency > 9:
                concurrency.record_rejection(limit, float(number))
            else:
                concurrency.record_response(
                    limit, latency=latency, in_flight=99, now=float(number)
                )
            assert 1 <= limit.max_in_flight <= ceiling

    def test_connection_shares(self):
        # Guards against gateways that together open more connections than an
        # endpoint accepts.
        for gateways in (6, 7, 60, 64):
            share = sharing.connection_share(connections=64, gateways=gateways)
            assert 1 <= share * gateways <= 64

    def test_subset_of_endpoints(self):
        # Guards against endpoints that all gateways use although they are more
        # than its slots: here 60 gateways, 30 endpoints and 8 slots each.
        targets = [target(str(n), zone="abc"[n % 3]) for n in range(30)]
        available = [each.endpoint for each in targets]
        users = collections.Counter()
        for number in range(60):
            chosen = sharing.subset(
                endpoints=available, node=f"g{number}", gateways=60
            )
            assert {e.zone for e in chosen} == set("abc")
            users.update(e.task for e in chosen)
        assert sum(users.values()) / 30 <= 12
        for gateways in (6, 7, 8):
            few = sharing.subset(
                endpoints=available, node="g", gateways=gateways
            )
            assert len(few) == 30

    def test_team_rate_is_divided_among_gateways(self):
        # Guards against a team that exceeds its rate because each gateway
        # grants it more than an equal part.
        teams = rates.TeamRates()
        taken = sum(
            teams.take_token(team="x", rate=60.0, gateways=6, now=n / 100)
            == 0.0
            for n in range(1000)
        )
        assert 100 <= taken <= 10 * 10 + 20 + 1


class TestRequests:
    """Request headers are parsed as documented, whatever their value."""

    @BOUNDED
    @given(
        strategies.sampled_from(
            [b"priority", b"request-timeout", b"request-attempt"]
        ),
        strategies.binary(max_size=12),
    )
    def test_any_value(self, name, value):
        # Guards against a header value of a caller that raises an unexpected
        # error in the gateway or gives a value out of range.
        head = heads.RequestHead(
            method="POST", target="/services/x/y", headers=[(name, value)]
        )
        parsed = requests.parse(head)
        if isinstance(parsed, requests.ServiceRequest):
            assert 0 <= parsed.timeout <= requests.MAX_TIMEOUT_S
            assert parsed.attempt >= 1
            assert not parsed.idempotent

    def test_urgency_of_priority_header(self):
        # Guards against requests that are queued with another urgency than
        # their Priority header states.
        for value, urgency in (
            (b"u=0", site.Urgency.URGENT),
            (b"i, u=4", site.Urgency.NORMAL),
            (b"u=5;x", site.Urgency.DEFERRABLE),
            (b"u=9", None),
        ):
            head = heads.RequestHead(
                method="GET",
                target="/services/x",
                headers=[(b"priority", value)],
            )
            assert requests.parse(head).urgency is urgency
