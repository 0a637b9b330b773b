"""Steps around gateway processes, with endpoints behind faulty links."""

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

STEP_S = 90.0
# Byte counts around the steps of an exchange: connect, head, body, answer.
OFFSETS = (0, 1, 40, 180, 400, 900, 4000, 20000, 60000)
FAULTY_SHARE = 0.6
OVERLOAD_S = 5.0
SITE_RATE = rig.SITE.replace(
    "[teams.desks]", "[teams.desks]\nrequest_rate = 10"
)
SITE_OUT = rig.SITE.replace("[zones.a]", "[zones.a]\nstate = 'out'")


def run(context, work):
    """Run a coroutine in the scenario's event loop."""
    future = asyncio.run_coroutine_threadsafe(work, context.loop)
    return future.result(STEP_S)


def start_loop(context):
    """Start the scenario's rig and event loop."""
    context.loop = asyncio.new_event_loop()
    context.thread = threading.Thread(
        target=context.loop.run_forever, daemon=True
    )
    context.thread.start()
    context.rig = rig.Rig(folder=context.folder)
    context.seen = []
    context.numbers = itertools.count()
    context.source = random.Random(7)
    context.add_cleanup(stop_loop, context, context.rig, context.loop)


def stop_loop(context, running, loop):
    """End the rig's processes and its event loop."""
    asyncio.run_coroutine_threadsafe(running.stop(), loop).result(STEP_S)
    loop.call_soon_threadsafe(loop.stop)


def plan_of(context, kind):
    """Return a plan that hits some connections at some step."""

    def plan():
        if kind is proxy.Kind.NONE or context.source.random() > FAULTY_SHARE:
            return proxy.NO_FAULT
        seconds = 0.02
        if kind is proxy.Kind.STALL:
            seconds = 0.2
        return proxy.Fault(
            kind=kind,
            up=context.source.random() < 0.5,
            after=context.source.choice(OFFSETS),
            seconds=seconds,
        )

    return plan


@behave.given(
    '{count:d} endpoints in zone "{zone}" whose connections suffer '
    '"{fault}" at every step'
)
def step_faulty(context, count, zone, fault):
    start_loop(context)
    plan = plan_of(context, proxy.Kind(fault))
    for number in range(count):
        run(
            context,
            context.rig.add_replica(f"{zone}{number}", zone=zone, plan=plan),
        )


@behave.given('{first:d} endpoints in zone "a" and {second:d} in zone "b"')
def step_endpoints(context, first, second):
    start_loop(context)
    for zone, count in (("a", first), ("b", second)):
        for number in range(count):
            work = context.rig.add_replica(f"{zone}{number}", zone=zone)
            run(context, work)


@behave.given('a gateway in zone "{zone}"')
def step_gateway(context, zone):
    work = context.rig.start_gateway("g1", zone=zone)
    context.address = run(context, work)


# Load


async def mixed(context, count, fixed=None):
    """Send requests of all kinds one after the other."""
    connection = calls.Caller(address=context.address)
    for _ in range(count):
        method = context.source.choice(["GET", "POST", "POST", "PUT", "HEAD"])
        size = 0
        if method in ("POST", "PUT"):
            size = context.source.choice([0, 10, 3000, 50000])
        call = calls.Call(
            request=f"r{next(context.numbers)}",
            method=method,
            size=size,
            filling=context.source.choice([0, 0, 100, 40000]),
            headers=(
                ("request-timeout", "0.8"),
                # Answers with a length are protected by it as well.
                *context.source.choice([(), (("test-chunked", "yes"),)]),
            ),
        )
        if fixed is not None:
            call = dataclasses.replace(call, **fixed)
        context.seen.append(await connection.call(call))
    connection.close()


async def crowd(context, callers, count, fixed=None):
    """Let callers send at the same time."""
    jobs = (mixed(context, count, fixed) for _ in range(callers))
    await asyncio.gather(*jobs)


@behave.when("{callers:d} callers send {count:d} mixed requests each")
def step_mixed(context, callers, count):
    context.seen = []
    run(context, crowd(context, callers, count))
    # Runs of requests whose callers were told that they may have run.
    time.sleep(0.3)


@behave.then("the history has no violation")
def step_history(context):
    report = call_history.check(context.seen, context.rig.entries)
    context.report = report
    assert not report.faults, report.faults[:5]


@behave.then("at least {least:d} of {total:d} requests are answered")
def step_answered(context, least, total):
    report = call_history.check(context.seen, context.rig.entries)
    assert report.requests == total, report
    assert report.answered >= least, report


@behave.then("the links have failed at least {least:d} times")
def step_failed(context, least):
    faults = sum(r.link.faults for r in context.rig.replicas.values())
    assert faults >= least, faults


@behave.when("{count:d} connections send nonsense or break off")
def step_nonsense(context, count):
    pieces = [
        b"GET /services/booking HTTP/1.1\r\nhost: a\r\n\r\n",
        b"POST /services/booking HTTP/1.1\r\nhost: a\r\n"
        b"content-length: 100000\r\n\r\nabc",
        b"POST /services/booking HTTP/1.1\r\nhost: a\r\n"
        b"transfer-encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n",
        b"GET " + b"x" * 40000,
        b"\x00\x01\x02\xff\r\n\r\n",
        b"GET /services/booking HTT",
    ]

    async def nonsense():
        host, _, port = context.address.rpartition(":")
        for number in range(count):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(context.source.choice(pieces))
            if number % 3:
                writer.transport.abort()
            else:
                writer.close()

    run(context, nonsense())


@behave.then("the gateway answers and has no request in flight")
def step_idle(context):
    deadline = time.monotonic() + 10
    while time.monotonic() < deadline:
        _, text = run(context, context.rig.get("g1", "/metrics"))
        if re.search(r"in_flight\{.*\} 0\n", text):
            return
        time.sleep(0.1)
    raise AssertionError(text)


@behave.then("the resident memory of the gateway is below {limit:d} MB")
def step_memory(context, limit):
    pid = context.rig.gateways["g1"].pid
    with open(f"/proc/{pid}/status") as status:
        found = re.search(r"VmRSS:\s+(\d+) kB", status.read())
    assert int(found.group(1)) < limit * 1024, found.group(0)


# Leaving


@behave.when(
    "callers send requests for {total:d} s and after {wait:d} s {event}"
)
def step_event(context, total, wait, event):
    context.seen = []
    context.unready = None

    async def load():
        end = time.monotonic() + total
        jobs = [until(context, end) for _ in range(6)]
        await asyncio.gather(*jobs, happen(context, wait, event))

    run(context, load())


async def until(context, end):
    """Send requests until a time, or until the gateway is gone."""
    connection = calls.Caller(address=context.address)
    while time.monotonic() < end:
        # Some requests outlast the notice of a planned stop.
        work = context.source.choice(["0.02"] * 9 + ["1.2"])
        call = calls.Call(
            request=f"u{next(context.numbers)}",
            method="POST",
            size=500,
            headers=(("test-work", work),),
        )
        seen = await connection.call(call)
        stopped = context.rig.gateways["g1"].poll() is not None
        if context.unready and not seen.status and not seen.body:
            # The listener is closed: the caller goes to another gateway.
            ran = any(
                entry["request"] == call.request
                for entry in context.rig.entries
            )
            if stopped or not ran:
                return
        context.seen.append(seen)
    connection.close()


async def happen(context, wait, event):
    """Let something leave or come back."""
    await asyncio.sleep(wait)
    found = context.rig
    match event.replace('"', "").split():
        case ["endpoint", name, "leaves"]:
            found.replicas[name].leaving = True
        case ["endpoint", name, "is", "replaced"]:
            old = found.replicas.pop(name)
            await old.link.stop()
            await old.server.stop()
            port = int(old.address.rpartition(":")[2])
            await found.add_replica(f"{name}-next", port=port)
        case ["zone", _, "goes", "out"]:
            found.generation += 1
            found.site = SITE_OUT
        case ["zone", _, "comes", "back"]:
            found.generation += 1
            found.site = rig.SITE
        case ["the", "gateway", "is", "stopped"]:
            found.gateways["g1"].send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            context.unready = await found.get("g1", "/readyz")
    context.moment = time.time()
    found.announce()


@behave.then("no request was cut or refused")
def step_none_refused(context):
    report = call_history.check(context.seen, context.rig.entries)
    assert not report.faults, report.faults[:5]
    assert report.requests > 50, report
    assert report.answered == report.requests, report


@behave.then("no request was cut")
def step_none_cut(context):
    report = call_history.check(context.seen, context.rig.entries)
    assert not report.faults, report.faults[:5]
    assert report.requests > 50, report
    assert not report.cut, report


@behave.then(
    'endpoint "{name}" started no request later than {limit:d} s after that'
)
def step_left(context, name, limit):
    late = [
        entry
        for entry in context.rig.entries
        if entry["by"] == name and entry["time"] > context.moment + limit
    ]
    assert not late, late[:3]


@behave.then('endpoint "{name}" has run requests again')
def step_back(context, name):
    assert any(
        entry["by"] == name and entry["time"] > context.moment
        for entry in context.rig.entries
    )


@behave.then(
    "the gateway said that it was not ready before it stopped listening"
)
def step_unready(context):
    status, body = context.unready
    assert status == 503 and "stopping" in body, context.unready


@behave.then("the gateway ended with status {status:d}")
def step_status(context, status):
    found = run(context, context.rig.wait_gateway("g1", 10))
    assert found == status, found


@behave.when("a second gateway starts that knows only its peer")
def step_second(context):
    async def start():
        found = context.rig
        # Both know each other's address from their settings.
        found.gateways["g1"].kill()
        found.gateways["g1"].wait()
        found.peer["g2"] = found.addresses.free()
        await found.restart_gateway("g1", peers=("g2",))
        await found.start_gateway("g2", peers=("g1",), announce=False)

    run(context, start())


@behave.then("it becomes ready and answers requests")
def step_second_ready(context):
    run(context, context.rig.until_ready("g2"))
    context.address = context.rig.listen["g2"]
    context.seen = []
    run(context, crowd(context, 4, 5))
    step_history(context)
    assert context.report.answered == 20, context.report


# Single requests


def single(context, **fields):
    """Send one request on a new connection."""
    number = len(context.rig.entries)
    call = calls.Call(request=f"s{number}", **fields)
    context.caller = calls.Caller(address=context.address)
    context.answer = run(context, context.caller.call(call))


@behave.when(
    'a caller sends "{method}" that is to be answered with {status:d}'
)
def step_no_body(context, method, status):
    single(context, method=method, headers=(("test-status", str(status)),))


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
    seen = run(context, context.caller.call(call))
    context.seen = [seen]
    step_history(context)
    assert context.report.answered == 1


@behave.when("a caller sends {size:d} bytes to an endpoint that answers early")
def step_early(context, size):
    single(context, method="POST", size=size, headers=(("test-early", "yes"),))


@behave.then("the next requests of other callers are right")
def step_next(context):
    context.seen = []
    run(context, crowd(context, 8, 10))
    step_history(context)
    assert context.report.answered == 80, context.report


@behave.when("a caller sends a request with a timeout of {seconds:d} s")
def step_timeout(context, seconds):
    single(context, headers=(("request-timeout", str(seconds)),))


@behave.then(
    "the endpoint saw a timeout below {seconds:d} s and attempt {number:d}"
)
def step_saw(context, seconds, number):
    document = context.answer.document()
    assert 0 < float(document["timeout"]) < seconds, document
    assert int(document["attempt"]) == number, document


@behave.given('every slot of endpoint "{name}" is taken by others')
def step_taken(context, name):
    context.rig.replicas[name].server.present = 1000


@behave.when("a caller sends {count:d} requests that must run once")
def step_once(context, count):
    context.seen = []
    fixed = {"method": "POST", "size": 100, "filling": 0}
    run(context, crowd(context, 1, count, fixed))


@behave.then("all were answered and each ran once")
def step_each_once(context):
    step_history(context)
    assert context.report.answered == len(context.seen), context.report
    assert context.report.runs == len(context.seen), context.report


@behave.when('a caller sends a request to "{path}" with header "{header}"')
def step_refusable(context, path, header):
    name, _, value = header.partition(": ")
    single(context, path=path, headers=((name, value),))


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
    assert f"request_rate = {rate}\n" in SITE_RATE
    context.rig.generation += 1
    context.rig.site = SITE_RATE
    run(context, announce(context))


async def announce(context):
    """Announce a change and wait until it is in force."""
    context.rig.announce()
    await asyncio.sleep(0.5)


@behave.when("a caller sends {count:d} requests at once")
def step_at_once(context, count):
    context.seen = []
    run(context, crowd(context, count, 1, {"method": "POST", "filling": 0}))


@behave.then('some are refused with code "{code}" and none of these ran')
def step_rate_refused(context, code):
    step_history(context)
    refused = [seen for seen in context.seen if seen.code == code]
    assert 20 <= len(refused) < len(context.seen), len(refused)
    assert all(seen.outcome == "not-run" for seen in refused)


@behave.when("callers offer twice the load that the endpoints can carry")
def step_overload(context):
    # 2 endpoints of 8 slots carry 16 requests of 100 ms at once: 160 a
    # second, little enough for the generator on a busy machine.
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
        context.seen.append((urgency, await connection.call(call)))
        connection.close()

    async def load():
        jobs = []
        began = time.monotonic()
        for number in range(int(320 * OVERLOAD_S)):
            due = began + number / 320
            await asyncio.sleep(max(0, due - time.monotonic()))
            urgency = 0 if number % 4 == 0 else 6
            jobs.append(asyncio.create_task(send(number, urgency)))
        await asyncio.gather(*jobs)

    context.seen = []
    run(context, load())
    context.by_urgency = collections.defaultdict(list)
    for urgency, seen in context.seen:
        context.by_urgency[urgency].append(seen)
    context.seen = [seen for _, seen in context.seen]


@behave.then("at least {share:d}% of the urgent requests are answered")
def step_urgent(context, share):
    urgent = context.by_urgency[0]
    answered = sum(seen.status == 200 for seen in urgent)
    assert answered * 100 >= share * len(urgent), (answered, len(urgent))


@behave.then('deferrable requests are shed with outcome "{outcome}"')
def step_shed(context, outcome):
    shed = [s for s in context.by_urgency[6] if s.status == 503]
    assert len(shed) > 100, len(shed)
    assert {seen.outcome for seen in shed} == {outcome}
