"""Steps that send requests through gateways over faulty connections.

Proxies between the gateways and the endpoints cause the faults.
"""

import asyncio
import collections
import dataclasses
import itertools
import random
import re
import signal
import threading
import time

import behave

from standins import call_history
from standins import calls
from standins import proxy
from standins import rig

STEP_TIMEOUT_S = 90.0
# Bytes transferred on a connection before its fault. They lie around the steps
# of an exchange: connecting, request head, request body and answer.
FAULT_OFFSETS_BYTES = (0, 1, 40, 180, 400, 900, 4000, 20000, 60000)
FAULTY_CONNECTION_SHARE = 0.6
OVERLOAD_DURATION_S = 5.0
SITE_WITH_RATE = rig.SITE.replace(
    "[teams.desks]", "[teams.desks]\nrequest_rate = 10"
)
SITE_ZONE_OUT = rig.SITE.replace("[zones.a]", "[zones.a]\nstate = 'out'")


def run(context, coroutine):
    """Run a coroutine in the scenario's event loop and return its result."""
    future = asyncio.run_coroutine_threadsafe(coroutine, context.loop)
    return future.result(STEP_TIMEOUT_S)


def start_loop(context):
    """Start the scenario's event loop and prepare its gateways' harness."""
    context.loop = asyncio.new_event_loop()
    context.thread = threading.Thread(
        target=context.loop.run_forever, daemon=True
    )
    context.thread.start()
    context.harness = rig.Rig(folder=context.folder)
    context.answers = []
    context.request_numbers = itertools.count()
    context.random_source = random.Random(7)
    context.add_cleanup(stop_loop, context, context.harness, context.loop)


def stop_loop(context, harness, loop):
    """Stop the harness's processes, then the event loop."""
    asyncio.run_coroutine_threadsafe(harness.stop(), loop).result(
        STEP_TIMEOUT_S
    )
    loop.call_soon_threadsafe(loop.stop)


def fault_plan(context, kind):
    """Return a function that chooses the fault of each new connection.

    A share of ``FAULTY_CONNECTION_SHARE`` of the connections fails, each in a
    random direction and after a random number of bytes. None fails if the
    kind of fault is ``NONE``.
    """

    def choose_fault():
        if (
            kind is proxy.Kind.NONE
            or context.random_source.random() > FAULTY_CONNECTION_SHARE
        ):
            return proxy.NO_FAULT
        seconds = 0.02
        if kind is proxy.Kind.STALL:
            seconds = 0.2
        return proxy.Fault(
            kind=kind,
            up=context.random_source.random() < 0.5,
            after=context.random_source.choice(FAULT_OFFSETS_BYTES),
            seconds=seconds,
        )

    return choose_fault


@behave.given(
    '{count:d} endpoints in zone "{zone}" whose connections suffer '
    '"{fault}" at every step'
)
def step_faulty(context, count, zone, fault):
    start_loop(context)
    plan = fault_plan(context, proxy.Kind(fault))
    for number in range(count):
        run(
            context,
            context.harness.add_replica(
                f"{zone}{number}", zone=zone, plan=plan
            ),
        )


@behave.given('{first:d} endpoints in zone "a" and {second:d} in zone "b"')
def step_endpoints(context, first, second):
    start_loop(context)
    for zone, count in (("a", first), ("b", second)):
        for number in range(count):
            coroutine = context.harness.add_replica(
                f"{zone}{number}", zone=zone
            )
            run(context, coroutine)


@behave.given('a gateway in zone "{zone}"')
def step_gateway(context, zone):
    coroutine = context.harness.start_gateway("g1", zone=zone)
    context.address = run(context, coroutine)


# Steps that send many requests


async def send_mixed(context, count, overrides=None):
    """Send requests of random kinds one after the other.

    :param overrides: fields of ``Call`` that are the same for all requests.
    """
    connection = calls.Caller(address=context.address)
    for _ in range(count):
        method = context.random_source.choice(
            ["GET", "POST", "POST", "PUT", "HEAD"]
        )
        size = 0
        if method in ("POST", "PUT"):
            size = context.random_source.choice([0, 10, 3000, 50000])
        call = calls.Call(
            request=f"r{next(context.request_numbers)}",
            method=method,
            size=size,
            filling=context.random_source.choice([0, 0, 100, 40000]),
            headers=(
                ("request-timeout", "0.8"),
                # A truncated answer must be detected by its content-length as
                # well as by its chunks.
                *context.random_source.choice(
                    [(), (("test-chunked", "yes"),)]
                ),
            ),
        )
        if overrides is not None:
            call = dataclasses.replace(call, **overrides)
        context.answers.append(await connection.call(call))
    connection.close()


async def send_concurrently(context, callers, count, overrides=None):
    """Let several callers send requests at the same time."""
    senders = (send_mixed(context, count, overrides) for _ in range(callers))
    await asyncio.gather(*senders)


@behave.when("{callers:d} callers send {count:d} mixed requests each")
def step_mixed(context, callers, count):
    context.answers = []
    run(context, send_concurrently(context, callers, count))
    # Endpoints may still run requests whose callers got the answer that the
    # request may have run. Their runs must be recorded before the check.
    time.sleep(0.3)


@behave.then("the history has no violation")
def step_history(context):
    report = call_history.check(context.answers, context.harness.entries)
    context.report = report
    assert not report.faults, report.faults[:5]


@behave.then("at least {least:d} of {total:d} requests are answered")
def step_answered(context, least, total):
    report = call_history.check(context.answers, context.harness.entries)
    assert report.requests == total, report
    assert report.answered >= least, report


@behave.then("the links have failed at least {least:d} times")
def step_failed(context, least):
    faults = sum(r.link.faults for r in context.harness.replicas.values())
    assert faults >= least, faults


@behave.when("{count:d} connections send nonsense or break off")
def step_nonsense(context, count):
    malformed_requests = [
        b"GET /services/booking HTTP/1.1\r\nhost: a\r\n\r\n",
        b"POST /services/booking HTTP/1.1\r\nhost: a\r\n"
        b"content-length: 100000\r\n\r\nabc",
        b"POST /services/booking HTTP/1.1\r\nhost: a\r\n"
        b"transfer-encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n",
        b"GET " + b"x" * 40000,
        b"\x00\x01\x02\xff\r\n\r\n",
        b"GET /services/booking HTT",
    ]

    async def send_malformed():
        host, _, port = context.address.rpartition(":")
        for number in range(count):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(context.random_source.choice(malformed_requests))
            if number % 3:
                writer.transport.abort()
            else:
                writer.close()

    run(context, send_malformed())


@behave.then("the gateway answers and has no request in flight")
def step_idle(context):
    deadline = time.monotonic() + 10
    while time.monotonic() < deadline:
        _, text = run(context, context.harness.get("g1", "/metrics"))
        if re.search(r"in_flight\{.*\} 0\n", text):
            return
        time.sleep(0.1)
    raise AssertionError(text)


@behave.then("the resident memory of the gateway is below {limit:d} MB")
def step_memory(context, limit):
    pid = context.harness.gateways["g1"].pid
    with open(f"/proc/{pid}/status") as status:
        resident = re.search(r"VmRSS:\s+(\d+) kB", status.read())
    assert int(resident.group(1)) < limit * 1024, resident.group(0)


# Steps in which an endpoint, a zone or a gateway is taken out or stops


@behave.when(
    "callers send requests for {total:d} s and after {wait:d} s {event}"
)
def step_event(context, total, wait, event):
    context.answers = []
    context.readyz_answer = None

    async def load():
        end = time.monotonic() + total
        senders = [send_until(context, end) for _ in range(6)]
        await asyncio.gather(*senders, trigger_event(context, wait, event))

    run(context, load())


async def send_until(context, end):
    """Send requests until a time, or until the gateway has stopped.

    :param end: the time on the monotonic clock.
    """
    connection = calls.Caller(address=context.address)
    while time.monotonic() < end:
        # About one request in ten takes longer than the notice time of a
        # planned stop, after which the gateway closes its listener.
        work_s = context.random_source.choice(["0.02"] * 9 + ["1.2"])
        call = calls.Call(
            request=f"u{next(context.request_numbers)}",
            method="POST",
            size=500,
            headers=(("test-work", work_s),),
        )
        answer = await connection.call(call)
        stopped = context.harness.gateways["g1"].poll() is not None
        if context.readyz_answer and not answer.status and not answer.body:
            # The gateway has closed its listener. A caller would turn to
            # another gateway, so this request does not count.
            has_run = any(
                entry["request"] == call.request
                for entry in context.harness.entries
            )
            if stopped or not has_run:
                return
        context.answers.append(answer)
    connection.close()


async def trigger_event(context, wait, event):
    """Take out or bring back what the event names, after a wait.

    :param event: the event in the text of the step, such as
        ``zone "b" goes out``.
    """
    await asyncio.sleep(wait)
    harness = context.harness
    match event.replace('"', "").split():
        case ["endpoint", name, "leaves"]:
            harness.replicas[name].leaving = True
        case ["endpoint", name, "is", "replaced"]:
            old = harness.replicas.pop(name)
            await old.link.stop()
            await old.server.stop()
            port = int(old.address.rpartition(":")[2])
            await harness.add_replica(f"{name}-next", port=port)
        case ["zone", _, "goes", "out"]:
            harness.generation += 1
            harness.site = SITE_ZONE_OUT
        case ["zone", _, "comes", "back"]:
            harness.generation += 1
            harness.site = rig.SITE
        case ["the", "gateway", "is", "stopped"]:
            harness.gateways["g1"].send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            context.readyz_answer = await harness.get("g1", "/readyz")
    context.event_time = time.time()
    harness.announce()


@behave.then("no request was cut or refused")
def step_none_refused(context):
    report = call_history.check(context.answers, context.harness.entries)
    assert not report.faults, report.faults[:5]
    assert report.requests > 50, report
    assert report.answered == report.requests, report


@behave.then("no request was cut")
def step_none_cut(context):
    report = call_history.check(context.answers, context.harness.entries)
    assert not report.faults, report.faults[:5]
    assert report.requests > 50, report
    assert not report.cut, report


@behave.then(
    'endpoint "{name}" started no request later than {limit:d} s after that'
)
def step_left(context, name, limit):
    late_runs = [
        entry
        for entry in context.harness.entries
        if entry["by"] == name and entry["time"] > context.event_time + limit
    ]
    assert not late_runs, late_runs[:3]


@behave.then('endpoint "{name}" has run requests again')
def step_back(context, name):
    assert any(
        entry["by"] == name and entry["time"] > context.event_time
        for entry in context.harness.entries
    )


@behave.then(
    "the gateway said that it was not ready before it stopped listening"
)
def step_unready(context):
    status, body = context.readyz_answer
    assert status == 503 and "stopping" in body, context.readyz_answer


@behave.then("the gateway ended with status {status:d}")
def step_status(context, status):
    exit_status = run(context, context.harness.wait_gateway("g1", 10))
    assert exit_status == status, exit_status


@behave.when("a second gateway starts that knows only its peer")
def step_second(context):
    async def start():
        harness = context.harness
        # The settings of each gateway name the address of the other one.
        harness.gateways["g1"].kill()
        harness.gateways["g1"].wait()
        harness.peer["g2"] = harness.addresses.free()
        await harness.restart_gateway("g1", peers=("g2",))
        await harness.start_gateway("g2", peers=("g1",), announce=False)

    run(context, start())


@behave.then("it becomes ready and answers requests")
def step_second_ready(context):
    run(context, context.harness.until_ready("g2"))
    context.address = context.harness.listen["g2"]
    context.answers = []
    run(context, send_concurrently(context, 4, 5))
    step_history(context)
    assert context.report.answered == 20, context.report


# Steps that send single requests


def send_single(context, **fields):
    """Send one request on a new connection.

    The answer is kept as ``context.answer``.
    """
    number = len(context.harness.entries)
    call = calls.Call(request=f"s{number}", **fields)
    context.caller = calls.Caller(address=context.address)
    context.answer = run(context, context.caller.call(call))


@behave.when(
    'a caller sends "{method}" that is to be answered with {status:d}'
)
def step_no_body(context, method, status):
    send_single(
        context, method=method, headers=(("test-status", str(status)),)
    )


@behave.then("the answer has status {status:d} and no body")
def step_empty(context, status):
    assert context.answer.status == status, context.answer
    assert context.answer.whole and not context.answer.body


@behave.then("the answer has status {status:d}")
def step_answer_status(context, status):
    assert context.answer.status == status, context.answer


@behave.then("the same connection carries another request")
def step_again(context):
    assert context.caller.writer is not None
    call = calls.Call(request="again", method="POST", size=10)
    answer = run(context, context.caller.call(call))
    context.answers = [answer]
    step_history(context)
    assert context.report.answered == 1


@behave.when("a caller sends {size:d} bytes to an endpoint that answers early")
def step_early(context, size):
    send_single(
        context, method="POST", size=size, headers=(("test-early", "yes"),)
    )


@behave.then("the next requests of other callers are right")
def step_next(context):
    context.answers = []
    run(context, send_concurrently(context, 8, 10))
    step_history(context)
    assert context.report.answered == 80, context.report


@behave.when("a caller sends a request with a timeout of {seconds:d} s")
def step_timeout(context, seconds):
    send_single(context, headers=(("request-timeout", str(seconds)),))


@behave.then(
    "the endpoint saw a timeout below {seconds:d} s and attempt {number:d}"
)
def step_saw(context, seconds, number):
    document = context.answer.document()
    assert 0 < float(document["timeout"]) < seconds, document
    assert int(document["attempt"]) == number, document


@behave.given('every slot of endpoint "{name}" is taken by others')
def step_taken(context, name):
    context.harness.replicas[name].server.active_requests = 1000


@behave.when("a caller sends {count:d} requests that must run once")
def step_once(context, count):
    context.answers = []
    overrides = {"method": "POST", "size": 100, "filling": 0}
    run(context, send_concurrently(context, 1, count, overrides))


@behave.then("all were answered and each ran once")
def step_each_once(context):
    step_history(context)
    assert context.report.answered == len(context.answers), context.report
    assert context.report.runs == len(context.answers), context.report


@behave.when('a caller sends a request to "{path}" with header "{header}"')
def step_refusable(context, path, header):
    name, _, value = header.partition(": ")
    send_single(context, path=path, headers=((name, value),))


@behave.then(
    'it is refused with {status:d}, code "{code}" and outcome "{outcome}"'
)
def step_refused(context, status, code, outcome):
    answer = context.answer
    assert answer.status == status, answer
    document = answer.document()
    assert (document["code"], document["outcome"]) == (code, outcome)
    assert answer.outcome == outcome


@behave.given("the team may send {rate:d} requests a second")
def step_rate(context, rate):
    assert f"request_rate = {rate}\n" in SITE_WITH_RATE
    context.harness.generation += 1
    context.harness.site = SITE_WITH_RATE
    run(context, announce(context))


async def announce(context):
    """Announce a change of configuration and give it time to be in force."""
    context.harness.announce()
    await asyncio.sleep(0.5)


@behave.when("a caller sends {count:d} requests at once")
def step_at_once(context, count):
    context.answers = []
    run(
        context,
        send_concurrently(context, count, 1, {"method": "POST", "filling": 0}),
    )


@behave.then('some are refused with code "{code}" and none of these ran')
def step_rate_refused(context, code):
    step_history(context)
    refused = [answer for answer in context.answers if answer.code == code]
    assert 20 <= len(refused) < len(context.answers), len(refused)
    assert all(answer.outcome == "not-run" for answer in refused)


@behave.when("callers offer twice the load that the endpoints can carry")
def step_overload(context):
    # 2 endpoints of 8 slots run 16 requests of 100 ms at a time, which is 160
    # requests a second. Twice that rate is low enough for the load generator
    # on a busy machine.
    async def send(number, urgency):
        call = calls.Call(
            request=f"o{number}",
            method="POST",
            size=50,
            headers=(
                ("priority", f"u={urgency}"),
                ("request-timeout", "1.5"),
                ("test-work", "0.1"),
            ),
        )
        connection = calls.Caller(address=context.address)
        context.answers.append((urgency, await connection.call(call)))
        connection.close()

    async def load():
        sending = []
        began = time.monotonic()
        for number in range(int(320 * OVERLOAD_DURATION_S)):
            due = began + number / 320
            await asyncio.sleep(max(0, due - time.monotonic()))
            urgency = 0 if number % 4 == 0 else 6
            sending.append(asyncio.create_task(send(number, urgency)))
        await asyncio.gather(*sending)

    context.answers = []
    run(context, load())
    context.by_urgency = collections.defaultdict(list)
    for urgency, answer in context.answers:
        context.by_urgency[urgency].append(answer)
    context.answers = [answer for _, answer in context.answers]


@behave.then("at least {share:d}% of the urgent requests are answered")
def step_urgent(context, share):
    urgent = context.by_urgency[0]
    answered = sum(answer.status == 200 for answer in urgent)
    assert answered * 100 >= share * len(urgent), (answered, len(urgent))


@behave.then('deferrable requests are shed with outcome "{outcome}"')
def step_shed(context, outcome):
    shed = [s for s in context.by_urgency[6] if s.status == 503]
    assert len(shed) > 100, len(shed)
    assert {answer.outcome for answer in shed} == {outcome}
