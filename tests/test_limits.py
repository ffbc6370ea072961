"""Rate limits that targets name."""

import asyncio
import collections
import random

import pytest
from test_crashes import FIVE_MODELS
from test_crashes import send_prompt
from test_direct import on_edge
from test_queueing import make_call
from test_queueing import make_queue

from snipedeal.limits import RateLimit
from snipedeal.limits import divide_limits
from snipedeal.limits import parse_rate_limit
from snipedeal_direct import peers


@pytest.mark.parametrize(
    ("value", "limit"),
    [
        (b"5.2", 5.2),
        (b"0", 0.0),
        (b" 12 ", 12.0),
        (b"1e9", 1e9),
        (None, None),
        (b"", None),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"five", None),
    ],
)
def test_rate_limit_that_is_no_finite_number_is_none(value, limit):
    assert parse_rate_limit(value) == limit


def allowed_requests(limit, seconds=4):
    """Return the requests that a target may get in a span, by the stated target."""
    return 1.5 * limit * seconds + 5


async def send_evenly(edge, seconds, rate=60):
    """Send sound requests through all routers; return the statuses and the time, s."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    calls = []
    for number in range(int(seconds * rate)):
        router = number % len(edge.routers)
        request_id = f"r{loop.time()}"
        call = send_prompt(edge, router, request_id, "head", f"doc{request_id}")
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(1 / rate)
    answers = await asyncio.gather(*calls)
    return [answer.status for answer in answers], loop.time() - started_s


def set_limit(edge, value, names=("model-0", "model-1", "model-2")):
    for name in names:
        edge.replicas[name].faults.rate_limit = value
    return [edge.replicas[name] for name in names]


def limits_known(router):
    queue = router.dispatcher.queues.get("model")
    loads = queue.targets if queue else {}
    return {name: load.limit.limit for name, load in loads.items() if load.limit}


async def teach_limit(edge, name, router=0):
    """Send requests through one router until it knows a target's limit."""
    while name not in limits_known(edge.routers[router]):
        request_id = f"teach{asyncio.get_running_loop().time()}"
        await send_prompt(edge, router, request_id, request_id, request_id)


@on_edge(FIVE_MODELS, routers=3)
async def test_targets_do_not_get_more_than_the_rate_limit_that_they_name(edge):
    limited = set_limit(edge, "2.0")
    await send_evenly(edge, 2)
    before = {replica.spec.id: replica.arrivals for replica in limited}
    statuses, seconds = await send_evenly(edge, 4)
    sent = {r.spec.id: r.arrivals - before[r.spec.id] for r in limited}
    assert max(sent.values()) <= allowed_requests(2.0, seconds), sent
    assert statuses.count(200) > sum(sent.values())


@on_edge(FIVE_MODELS, routers=3)
async def test_limit_spreads_to_routers_without_an_answer_of_the_target(edge):
    set_limit(edge, "3", ["model-1"])
    edge.store.faults.mode = "reset"
    await teach_limit(edge, "model-1")
    await edge.wait_until(
        lambda: all(limits_known(r) == {"model-1": 3.0} for r in edge.routers)
    )


def test_lost_report_of_a_limit_is_repeated(monkeypatch):
    monkeypatch.setattr(peers.Peers, "report_limit", lambda self, load: None)

    @on_edge(FIVE_MODELS, routers=3)
    async def play(edge):
        set_limit(edge, "3", ["model-1"])
        await teach_limit(edge, "model-1")
        await edge.wait_until(
            lambda: all(limits_known(r) == {"model-1": 3.0} for r in edge.routers)
        )

    play()


@on_edge(FIVE_MODELS, routers=2)
async def test_new_router_hears_of_a_limit_from_its_peers(edge):
    set_limit(edge, "3", ["model-1"])
    await teach_limit(edge, "model-1")
    await edge.add_router()
    await edge.wait_until(lambda: limits_known(edge.routers[2]) == {"model-1": 3.0})


@on_edge(FIVE_MODELS, routers=2)
async def test_all_routers_restarted_learn_a_limit_again(edge):
    set_limit(edge, "3", ["model-1"])
    await teach_limit(edge, "model-1")
    for router in edge.routers:
        await router.close()
    edge.routers.clear()
    for _ in range(2):
        await edge.add_router()
    await edge.wait_until(
        lambda: all(len(r.dispatcher.targets()) == 5 for r in edge.routers)
    )
    await teach_limit(edge, "model-1")
    await edge.wait_until(
        lambda: all(limits_known(r) == {"model-1": 3.0} for r in edge.routers)
    )


@on_edge(FIVE_MODELS, routers=2)
async def test_limit_ends_at_all_routers_once_the_target_names_none(edge):
    set_limit(edge, "30", ["model-1"])
    await teach_limit(edge, "model-1")
    set_limit(edge, "", ["model-1"])
    while limits_known(edge.routers[0]):
        request_id = f"end{asyncio.get_running_loop().time()}"
        await send_prompt(edge, 0, request_id, request_id, request_id)
    await edge.wait_until(lambda: not limits_known(edge.routers[1]))


@on_edge(FIVE_MODELS, routers=1)
async def test_new_instance_of_a_target_begins_without_a_limit(edge):
    set_limit(edge, "3", ["model-1"])
    await teach_limit(edge, "model-1")
    edge.register(edge.replicas["model-1"], born=1_700_000_000_001)
    await edge.wait_until(lambda: not limits_known(edge.routers[0]))


def rate_shares(limit, demand):
    return divide_limits({"t": limit}, demand)["t"]


def make_fleet(demand):
    return {f"router-{n:03}": units for n, units in enumerate(demand)}


@pytest.mark.parametrize("limit", [0.0, 0.5, 1.0, 5.2, 40.0, 1e6])
@pytest.mark.parametrize("routers", [1, 5, 40, 330])
def test_parts_of_a_limit_add_up_and_are_large_enough_to_use(limit, routers):
    parts = rate_shares(limit, make_fleet([100.0] * routers))
    assert sum(parts.values()) == pytest.approx(max(limit, 0.2))
    assert len(parts) == 1 or min(parts.values()) >= 1.0


def test_limit_goes_to_the_routers_with_demand():
    parts = rate_shares(6.0, make_fleet([0.0] * 38 + [100.0, 200.0]))
    assert parts == {"router-038": 2.0, "router-039": 4.0}
    assert sum(rate_shares(6.0, make_fleet([0.0] * 40)).values()) == 6.0


def rates_by_router(limits, demand, least=1):
    rates = dict.fromkeys(demand, 0.0)
    for parts in divide_limits(limits, demand, least).values():
        for name, rate in parts.items():
            rates[name] += rate
    return rates


def test_every_router_has_a_part_where_all_targets_are_limited():
    limits = {f"t{number}": 5.0 for number in range(4)}
    rates = rates_by_router(limits, make_fleet([100.0] * 40), least=10)
    assert min(rates.values()) == pytest.approx(0.5)


def test_customers_of_busy_routers_get_no_less_of_the_limits_than_others():
    rng = random.Random(1)
    demand = make_fleet([rng.paretovariate(1.2) for _ in range(25)])
    limits = {f"t{number:02}": rng.uniform(4.0, 6.0) for number in range(23)}
    rates = rates_by_router(limits, demand, least=2)
    scale = sum(limits.values()) / sum(demand.values())
    served = [rates[name] / (scale * units) for name, units in demand.items()]
    assert min(served) >= 0.5 * max(served)
    assert sum(rates.values()) == pytest.approx(sum(limits.values()))


@pytest.mark.parametrize("routers", [1, 5, 40, 330])
@pytest.mark.parametrize("limit", [0.0, 0.3, 1.0, 5.2, 60.0])
def test_requests_of_all_routers_in_any_span_stay_within_the_limit(limit, routers):
    rng = random.Random(routers)
    parts = rate_shares(
        limit, make_fleet([rng.uniform(10, 100) for _ in range(routers)])
    )
    paces = [RateLimit(limit, rate) for rate in parts.values()]
    sent_ms = []
    # All save up first, then send whatever they may.
    for now_ms in [0.0, *range(60_000, 90_000, 20)]:
        for pace in paces:
            while pace.admits(now_ms):
                if now_ms >= 60_000:
                    pace.spend(now_ms)
                    sent_ms.append(now_ms)
                else:
                    break
    start = 0
    for end, at_ms in enumerate(sent_ms):
        while sent_ms[start] < at_ms - 4_000:
            start += 1
        assert end - start + 1 <= allowed_requests(limit)
    assert len(sent_ms) >= 0.9 * 30 * limit - 1


def limited_queue(limits, rate=1.0, targets=3):
    """Return a queue whose first targets name limits, without savings."""
    queue = make_queue(targets)
    for number, limit in enumerate(limits):
        queue.targets[f"t{number}"].note_limit(limit, 0.0)
    queue.update_limits("me", ["me"], 0.0)
    return queue


def test_calls_go_to_other_targets_before_any_waits_or_is_refused():
    queue = limited_queue([0.5, 0.5])
    calls = [make_call(number, 0.0, shared=f"p{number}") for number in range(6)]
    assert [queue.add(call, 0.0) for call in calls] == [None] * 6
    chosen = queue.dispatch(0.0)
    assert [item.load.target.id for item in chosen] == ["t2"] * 6


def test_call_that_all_rate_limits_delay_too_long_is_refused_on_arrival():
    queue = limited_queue([0.5, 0.5, 0.5])
    refusal = queue.add(make_call(1, 0.0), 0.0)
    assert (refusal.status, refusal.reason) == (503, "too_late")
    assert refusal.retry_after_s > 0


def test_long_prompts_get_the_requests_that_limited_targets_take():
    queue = limited_queue([5.0], targets=2)
    sent = collections.Counter()
    sent_tokens = collections.Counter()
    for number, now_ms in enumerate(range(0, 20_000, 50)):
        tokens = 12_000 if number % 4 == 0 else 800
        call = make_call(number, now_ms, tokens, 1_000.0, shared=f"p{number}")
        queue.add(call, now_ms)
        for item in queue.dispatch(now_ms):
            sent[item.load.target.id] += 1
            sent_tokens[item.load.target.id] += item.call.prompt.tokens
            queue.targets[item.load.target.id].end(item.in_flight)
    assert sent["t0"] == pytest.approx(100, abs=15)
    assert sent_tokens["t0"] / sent["t0"] > 5 * sent_tokens["t1"] / sent["t1"]


def test_response_to_an_earlier_request_does_not_end_a_limit():
    load = make_queue(1).targets["t0"]
    assert load.note_limit(4.0, 100.0)
    assert not load.note_limit(None, 50.0)
    assert load.limit.limit == 4.0
    assert load.note_limit(None, 200.0)
    assert load.limit is None
    assert not load.note_limit(4.0, 150.0)
