"""A router that was paused or restarted does not act on what has ended meanwhile."""

import asyncio
import json
import time

from test_direct import DESK
from test_direct import MODEL
from test_direct import PROMPT
from test_direct import on_edge

from snipedeal_standins.edge import configuration
from snipedeal_standins.edge import route
from snipedeal_standins.replica import ReplicaFaults
from snipedeal_standins.replica import ReplicaSpec

ONE_SLOT = [ReplicaSpec("desk-0", "desk", slots=1, work_ms=300.0)]


@on_edge(
    ONE_SLOT,
    routes=[route("change", "non_idempotent", "desk", timeoutMs=3_000)],
)
async def test_call_whose_deadline_passed_in_a_pause_is_not_sent(edge):
    first = edge.caller_connection()
    await first.send("POST", "/change/a", "first")
    await edge.wait_until(lambda: len(edge.runs()) == 1)
    waiting = edge.caller_connection()
    await waiting.send("POST", "/change/a", "waiting", {"Snipedeal-Deadline-Ms": "600"})
    (router,) = edge.routers
    queue = router.dispatcher.queues["desk"]
    await edge.wait_until(lambda: len(queue.waiting) == 1)
    # Nothing in this process runs meanwhile, as with SIGSTOP.
    time.sleep(1.0)
    answer = await waiting.receive()
    assert answer.status == 503
    assert (await first.receive()).status == 200
    await asyncio.sleep(0.1)
    assert [run.id for run in edge.runs()] == ["first"]


@on_edge(MODEL)
async def test_deadline_that_a_target_gets_counts_the_time_in_a_pause(edge):
    faults = ReplicaFaults(mode="cut", count=1)
    for replica in edge.replicas.values():
        replica.spec.event_ms = 150.0
        replica.faults = faults
    connection = edge.caller_connection()
    await connection.send("POST", "/draft/a", "r1", PROMPT)
    await edge.wait_until(lambda: len(edge.runs()) == 1)
    time.sleep(1.0)
    assert (await connection.receive()).is_complete
    first, second = sorted(edge.runs(), key=lambda run: run.started_s)
    given = [int(run.headers["snipedeal-deadline-ms"]) for run in (first, second)]
    assert given[0] - given[1] >= 1_000


@on_edge(DESK, routers=2)
async def test_restarted_router_does_not_use_withdrawn_keys_and_targets(edge):
    edge.configure(5, tenants=[{"name": "two", "apiKeys": ["key-two"]}])
    edge.unregister(edge.replicas["desk-0"])
    await edge.wait_until(
        lambda: all(
            router.routing.version == 5 and len(router.dispatcher.targets()) == 1
            for router in edge.routers
        )
    )
    old = edge.routers.pop(0)
    await old.close()
    # An operator's older record and a late entry come again after the restart.
    restarted = await edge.add_router()
    await edge.wait_until(lambda: restarted.routing.version == 5)
    edge.store.put("keyed.op", "config", json.dumps(configuration(2)).encode())
    await edge.wait_until(lambda: len(restarted.dispatcher.targets()) == 1)
    number = edge.routers.index(restarted)
    for _ in range(10):
        answer = await edge.caller_connection(number).request("GET", "/lookup/a", "r")
        assert answer.status == 401
    two = {"Snipedeal-Credential": "key-two"}
    answer = await edge.caller_connection(number).request("GET", "/lookup/a", "r", two)
    assert answer.status == 200
    assert not edge.replicas["desk-0"].runs
    assert restarted.routing.version == 5
