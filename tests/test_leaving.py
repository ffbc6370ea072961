"""Targets that say in responses that they leave, or want no requests for a time."""

import asyncio

import pytest
from test_direct import DESK
from test_direct import MODEL
from test_direct import PROMPT
from test_direct import on_edge

from snipedeal.limits import parse_retry_after
from snipedeal_direct import defaults
from snipedeal_direct.findings import PauseRamp
from snipedeal_standins.edge import route
from snipedeal_standins.replica import ReplicaSpec

THREE = [ReplicaSpec(f"desk-{i}", "desk") for i in range(3)]


def mark_leaving(edge, *names, value="1"):
    for name in names:
        edge.replicas[name].faults.leaving = value


def decline(edge, *names, retry_after, count=1):
    for name in names:
        faults = edge.replicas[name].faults
        faults.mode, faults.count, faults.retry_after = "declined", count, retry_after


async def request_until(edge, check, method="GET", path="/lookup/a", headers=None):
    connection = edge.caller_connection()
    async with asyncio.timeout(20):
        while not check():
            request_id = f"until-{sum(r.arrivals for r in edge.replicas.values())}"
            await connection.request(method, path, request_id, headers)


def load_of(edge, name, router=0):
    queues = edge.routers[router].dispatcher.queues
    return next(q.targets[name] for q in queues.values() if name in q.targets)


# -- leaving ---------------------------------------------------------------------------


@pytest.mark.parametrize("mode", ["", "error", "declined", "unframed"])
@pytest.mark.parametrize("method, path", [("GET", "/lookup/a"), ("POST", "/change/a")])
def test_target_that_says_it_leaves_gets_no_further_request(mode, method, path):
    @on_edge(DESK)
    async def play(edge):
        leaving = edge.replicas["desk-0"]
        mark_leaving(edge, "desk-0")
        leaving.faults.mode, leaving.faults.count = mode, 1
        await request_until(edge, lambda: leaving.arrivals, method, path)
        for number in range(20):
            answer = await edge.caller_connection().request(method, path, f"r{number}")
            assert answer.status == 200
        assert leaving.arrivals == 1

    play()


@on_edge(MODEL)
async def test_stream_head_that_says_leaving_counts_before_its_end(edge):
    leaving = edge.replicas["model-0"]
    mark_leaving(edge, "model-0")
    leaving.spec.event_ms = 300.0
    headers = dict(PROMPT)
    connection = edge.caller_connection()
    number = 0
    while not leaving.arrivals:
        number += 1
        headers["Snipedeal-Prompt-Prefix"] = f"a{number}:800,b{number}:200"
        await connection.send("POST", "/chat/a", f"s{number}", headers)
        await edge.wait_until(lambda n=number: len(edge.runs()) >= n)
        if not leaving.arrivals:
            await connection.receive()
    await edge.wait_until(lambda: load_of(edge, "model-0").is_leaving)
    answers = [
        await edge.caller_connection().request("POST", "/chat/a", f"n{n}", headers)
        for n in range(5)
    ]
    assert [answer.status for answer in answers] == [200] * 5
    assert leaving.arrivals == 1
    assert (await connection.receive()).is_complete


@on_edge(DESK)
async def test_leaving_outlives_a_lapsed_and_renewed_registration(edge):
    leaving = edge.replicas["desk-0"]
    mark_leaving(edge, "desk-0")
    await request_until(edge, lambda: leaving.arrivals)
    router = edge.routers[0]
    edge.unregister(leaving)
    targets = router.dispatcher.targets
    await edge.wait_until(lambda: len(targets()) == 1)
    edge.register(leaving)
    await edge.wait_until(lambda: len(targets()) == 2)
    for number in range(10):
        await edge.caller_connection().request("GET", "/lookup/a", f"r{number}")
    assert leaving.arrivals == 1


@on_edge(DESK)
async def test_leaving_holds_while_the_store_is_down_and_ends_with_a_new_start(edge):
    leaving = edge.replicas["desk-0"]
    edge.store.faults.mode = "silent"
    mark_leaving(edge, "desk-0")
    await request_until(edge, lambda: leaving.arrivals)
    for number in range(10):
        await edge.caller_connection().request("GET", "/lookup/a", f"r{number}")
    assert leaving.arrivals == 1
    edge.store.faults.mode = ""
    mark_leaving(edge, "desk-0", value="")
    edge.register(leaving, born=1_700_000_000_001)
    await request_until(edge, lambda: leaving.arrivals > 1)


@on_edge(DESK, routers=3)
async def test_other_routers_learn_that_a_target_leaves(edge):
    first = edge.routers[0]
    await edge.wait_until(
        lambda: all(router.peers.live_count == 2 for router in edge.routers)
    )
    edge.store.faults.mode = "silent"
    mark_leaving(edge, "desk-0")
    await request_until(edge, lambda: edge.replicas["desk-0"].arrivals)
    await edge.wait_until(
        lambda: all(load_of(edge, "desk-0", n).is_leaving for n in range(3))
    )
    # A router that was started since learns of it from those that repeat it.
    edge.store.faults.mode = ""
    late = await edge.add_router()
    await edge.wait_until(lambda: len(late.dispatcher.targets()) == 2)
    await edge.wait_until(lambda: load_of(edge, "desk-0", 3).is_leaving)
    assert first.metrics.targets_leaving.labels("desk")._value.get() == 1


@on_edge(DESK)
async def test_another_replica_at_the_address_does_not_speak_for_the_target(edge):
    replica = edge.replicas["desk-0"]
    mark_leaving(edge, "desk-0")
    replica.faults.mode, replica.faults.count = "misplaced", 1
    await request_until(edge, lambda: replica.arrivals)
    assert not load_of(edge, "desk-0").is_leaving


@pytest.mark.parametrize("value", ["0", "", "2", "x" * 9_000, "1, 1", "\xe9"])
def test_other_values_of_the_leaving_header_mean_nothing(value):
    @on_edge(DESK)
    async def play(edge):
        mark_leaving(edge, "desk-0", value=value)
        await request_until(edge, lambda: edge.replicas["desk-0"].arrivals >= 2)
        assert not load_of(edge, "desk-0").is_leaving

    play()


@on_edge(DESK)
async def test_request_is_refused_at_once_if_all_targets_leave(edge):
    mark_leaving(edge, "desk-0", "desk-1")
    await request_until(edge, lambda: all(r.arrivals for r in edge.replicas.values()))
    loop = asyncio.get_running_loop()
    began = loop.time()
    answer = await edge.caller_connection().request("POST", "/change/a", "late")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert loop.time() - began < 1.0


# -- pauses ----------------------------------------------------------------------------


@pytest.mark.parametrize(
    "values, expected",
    [
        ([b"3"], 3.0),
        ([b"0.25"], 0.25),
        ([b" 2 "], 2.0),
        ([b"0"], 0.0),
        ([b"1", b"4", b"2"], 4.0),
        ([b"nonsense", b"2"], 2.0),
        ([], None),
        ([b""], None),
        ([b"-1"], None),
        ([b"nan"], None),
        ([b"inf"], None),
        ([b"1e999"], None),
        ([b"1_0"], None),
        ([b"9" * 5_000], None),
        ([b"\xff"], None),
        ([b"Wed, 21 Oct 2026 07:28:00 GMT"], None),
        ([b"1e12"], 600.0),
    ],
)
def test_retry_after_is_read_as_bounded_seconds(values, expected):
    assert parse_retry_after(values) == expected


@pytest.mark.parametrize("method, path", [("GET", "/lookup/a"), ("POST", "/change/a")])
def test_target_gets_no_request_until_the_time_it_asked_for_has_passed(method, path):
    @on_edge(DESK)
    async def play(edge):
        paused = edge.replicas["desk-0"]
        decline(edge, "desk-0", retry_after=("1.5",))
        await request_until(edge, lambda: paused.arrivals, method, path)
        began = asyncio.get_running_loop().time()
        number = 0
        while asyncio.get_running_loop().time() - began < 1.3:
            number += 1
            answer = await edge.caller_connection().request(method, path, f"r{number}")
            assert answer.status == 200
        assert paused.arrivals == 1
        await request_until(edge, lambda: paused.arrivals > 1, method, path)

    play()


@on_edge(DESK, routes=[route("lookup", "idempotent", "desk", targetLatencyMs=50)])
async def test_requests_are_refused_at_once_with_the_earliest_end_of_all_pauses(edge):
    decline(edge, "desk-0", retry_after=("3.5",))
    decline(edge, "desk-1", retry_after=("2",))
    await request_until(edge, lambda: all(r.arrivals for r in edge.replicas.values()))
    loop = asyncio.get_running_loop()
    began = loop.time()
    answer = await edge.caller_connection().request("GET", "/lookup/a", "r1")
    assert answer.status == 503
    assert loop.time() - began < 1.0
    left_s = (
        load_of(edge, "desk-1").pause_left_ms(edge.routers[0].clock.now_ms()) / 1000
    )
    spread_s = defaults.PAUSE_RAMP_MS / 1000
    assert left_s <= float(answer.headers["retry-after"]) + 0.01
    assert float(answer.headers["retry-after"]) <= 2.0 + spread_s < 3.5
    assert sum(replica.arrivals for replica in edge.replicas.values()) == 2


@on_edge(DESK)
async def test_request_waits_for_a_pause_that_ends_in_time(edge):
    decline(edge, "desk-0", "desk-1", retry_after=("0.4",))
    await request_until(edge, lambda: all(r.arrivals for r in edge.replicas.values()))
    answer = await edge.caller_connection().request("GET", "/lookup/a", "r1")
    assert answer.status == 200


@on_edge(DESK)
async def test_shorter_pause_that_is_named_later_does_not_end_a_longer_one(edge):
    load = load_of(edge, "desk-0")
    dispatcher = edge.routers[0].dispatcher
    now_ms = edge.routers[0].clock.now_ms()
    dispatcher.pause(load, 5_000.0, "r1")
    dispatcher.pause(load, 1_000.0, "r2")
    assert load.pause_left_ms(now_ms) > 4_000


@on_edge(DESK)
async def test_pause_outlives_a_lapsed_registration_but_not_a_new_start(edge):
    paused = edge.replicas["desk-0"]
    decline(edge, "desk-0", retry_after=("60",))
    await request_until(edge, lambda: paused.arrivals)
    router = edge.routers[0]
    edge.unregister(paused)
    await edge.wait_until(lambda: len(router.dispatcher.targets()) == 1)
    edge.register(paused)
    await edge.wait_until(lambda: len(router.dispatcher.targets()) == 2)
    for number in range(6):
        await edge.caller_connection().request("GET", "/lookup/a", f"r{number}")
    assert paused.arrivals == 1
    edge.register(paused, born=1_700_000_000_001)
    await request_until(edge, lambda: paused.arrivals > 1)


def test_target_gets_its_load_back_step_by_step_after_a_pause():
    ramp = PauseRamp()
    assert ramp.fraction(0.0) == 1.0
    ramp.extend(1_000.0)
    assert ramp.left_ms(0.0) == 1_000.0
    assert ramp.fraction(999.0) == 0.0
    steps = [ramp.fraction(1_000.0 + ms) for ms in (0, 100, 500, 900, 1_000, 5_000)]
    assert steps == sorted(steps)
    assert 0 < steps[0] < 0.2
    assert steps[-1] == 1.0
    assert defaults.PAUSE_RAMP_MS <= 5_000


@pytest.mark.parametrize("word", ["leaving", "pause"])
def test_word_of_a_target_counts_in_an_answer_that_is_not_believed(word, monkeypatch):
    monkeypatch.setattr(defaults, "AT_MOST_ONCE_REUSE_S", 1e9)

    @on_edge(DESK)
    async def play(edge):
        replica = edge.replicas["desk-0"]
        connection = edge.caller_connection()
        while not all(other.runs for other in edge.replicas.values()):
            number = len(edge.runs())
            await connection.request("POST", "/change/a", f"warm-{number}")
        before = replica.arrivals
        # The refusal has no request ID, and its connection was in use before.
        decline(edge, "desk-0", retry_after=("60",) if word == "pause" else ())
        if word == "leaving":
            mark_leaving(edge, "desk-0")
        await request_until(
            edge, lambda: replica.arrivals > before, "POST", "/change/a"
        )
        now_ms = edge.routers[0].clock.now_ms()
        assert not load_of(edge, "desk-0").is_usable(now_ms)
        for number in range(12):
            await connection.request("POST", "/change/a", f"r{number}")
        assert replica.arrivals == before + 1

    play()
