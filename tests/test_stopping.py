"""Requests that arrive while a router stops, until its process would be killed."""

import asyncio
import itertools

import attrs
import pytest
from test_direct import PROMPT
from test_direct import on_edge

from snipedeal_direct import defaults
from snipedeal_direct.router import reload
from snipedeal_router.dispatcher import Dispatcher
from snipedeal_router.requests import Refusal
from snipedeal_router.requests import Request
from snipedeal_standins.edge import route
from snipedeal_standins.replica import ReplicaSpec

GRACE_S = 5.0
ROUTES = [
    route("lookup", "idempotent", "desk", timeoutMs=1500, targetLatencyMs=200),
    route("change", "non_idempotent", "desk", timeoutMs=1500, targetLatencyMs=200),
    route("chat", "streaming", "model", sticky=True, timeoutMs=1500),
]
SLOW = [ReplicaSpec(f"desk-{i}", "desk", work_ms=700.0, slots=40) for i in range(2)]
QUICK = [ReplicaSpec(f"desk-{i}", "desk", work_ms=5.0, slots=40) for i in range(2)]
MODEL = [ReplicaSpec("model-0", "model", slots=64, read_rate=400.0, event_ms=60.0)]


async def call_until_closed(edge, answers, numbers, method, path, is_kept, delay_s):
    """Send requests, one after the other, until the router takes none any more."""
    await asyncio.sleep(delay_s)
    connection = None
    headers = PROMPT if path.startswith("/chat") else None
    while True:
        if connection is None:
            connection = edge.caller_connection()
            try:
                await connection.open()
            except ConnectionError:
                return
        request_id = f"{path[1:7]}-{next(numbers)}"
        try:
            answer = await connection.request(method, path, request_id, headers)
        except ConnectionError:
            answer = None
        answers[request_id] = answer
        if answer is None or answer.status == 0 or answer.is_closed or not is_kept:
            await connection.close()
            connection = None
        # A caller waits before it repeats a refused request.
        await asyncio.sleep(0.05 if answer and answer.status == 503 else 0.005)


@pytest.mark.parametrize("specs", [SLOW, QUICK], ids=["load", "calm"])
def test_what_is_sent_on_late_in_the_grace_is_answered(specs):
    @on_edge([*specs, *MODEL], routes=ROUTES)
    async def play(edge):
        router = edge.routers.pop()
        edge.routers.append(router)
        bounds = attrs.evolve(router.settings.bounds, grace_s=GRACE_S)
        reload(router, attrs.evolve(router.settings, bounds=bounds))
        answers, numbers = {}, itertools.count()
        callers = [
            asyncio.create_task(
                call_until_closed(
                    edge, answers, numbers, method, path, is_kept, number * 0.09
                )
            )
            for method, path in (
                ("GET", "/lookup/a"),
                ("POST", "/change/a"),
                ("POST", "/chat/a"),
            )
            for is_kept in (True, False)
            for number in range(8)
        ]
        await asyncio.sleep(0.5)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        await router.drain()
        await router.close()
        assert loop.time() - began_s < GRACE_S
        await asyncio.wait_for(asyncio.gather(*callers), 10)
        runs = {run.id: run for run in edge.runs()}
        assert len(answers) > 60
        for request_id, answer in answers.items():
            is_run = request_id in runs
            if answer is None or answer.status == 0:
                assert not is_run, f"{request_id} was sent on and not answered"
                continue
            if answer.status in (503, 429):
                assert not is_run, f"{request_id} ran and was refused as not run"
            if not is_run:
                continue
            is_late = runs[request_id].started_s - began_s > (
                defaults.STOP_ACCEPT_MS / 1000 + 0.1
            )
            if request_id.startswith("change"):
                assert answer.status == 200, f"{request_id} ran without its answer"
            assert answer.is_complete or not is_late, f"{request_id} was cut"

    play()


@on_edge(QUICK, routes=ROUTES)
async def test_request_that_ends_before_the_grace_does_is_taken_late(edge):
    router = edge.routers[0]
    bounds = attrs.evolve(router.settings.bounds, grace_s=GRACE_S)
    reload(router, attrs.evolve(router.settings, bounds=bounds))
    connection = edge.caller_connection()
    router.stopping_since_ms = router.clock.now_ms() - defaults.STOP_ACCEPT_MS - 200
    short = {"Snipedeal-Deadline-Ms": "400"}
    assert (await connection.request("POST", "/change/a", "r1", short)).status == 200
    assert (await connection.request("POST", "/change/a", "r2")).status == 503
    assert [run.id for run in edge.runs()] == ["r1"]


@pytest.mark.parametrize("may_have_run, status", [(True, 502), (False, 503)])
def test_request_that_may_have_run_is_not_refused_as_not_run(may_have_run, status):
    request = Request(
        id="r",
        customer="one",
        service="desk",
        spec=None,
        weight=1.0,
        method="POST",
        path="/",
        headers={},
        body=b"",
        fingerprint="f",
        is_idempotent=False,
        arrived_ms=0,
        deadline_ms=1,
        may_have_run=may_have_run,
    )
    dispatcher = Dispatcher.__new__(Dispatcher)
    dispatcher._end = lambda ended, code: None
    dispatcher.refuse(request, 503, "shutdown", "the router is closing", "close")
    assert isinstance(request.refusal, Refusal)
    assert request.refusal.status == status
