"""Streams that break after their latency target has passed are still resumed."""

import pytest
from test_direct import PROMPT
from test_direct import on_edge
from test_queueing import make_call
from test_queueing import make_queue

from snipedeal_standins.replica import ReplicaFaults
from snipedeal_standins.replica import ReplicaSpec

SLOW = [
    ReplicaSpec(f"model-{i}", "model", slots=64, read_rate=200.0, event_ms=500.0)
    for i in range(2)
]


@on_edge(SLOW)
async def test_stream_that_breaks_long_after_its_latency_target_is_resumed(edge):
    faults = ReplicaFaults(mode="cut", count=1, after_events=4)
    for replica in edge.replicas.values():
        replica.faults = faults
    connection = edge.caller_connection()
    answer = await connection.request("POST", "/draft/a", "r1", PROMPT)
    assert answer.is_complete
    id_lines = [line for line in answer.body.split(b"\n") if line.startswith(b"id:")]
    assert id_lines == [b"id: %d" % n for n in range(1, 6)]
    assert len(edge.runs()) == 2


@pytest.mark.parametrize("is_begun", [True, False])
def test_late_call_waits_for_a_target_only_if_its_stream_has_begun(is_begun):
    queue = make_queue(targets=1)
    queue.targets["t0"].own.running = 64
    call = make_call(1, 0.0)
    call.is_begun = is_begun
    assert (queue.add(call, 5_000.0) is None) is is_begun
    assert queue.expire(5_100.0) == []
    if is_begun:
        ((expired, refusal),) = queue.expire(9_000.0)
        assert (expired, refusal.reason) == (call, "too_late")


def test_begun_stream_goes_before_calls_that_wait():
    queue = make_queue(targets=1)
    queue.targets["t0"].own.running = 64
    for number in range(4):
        assert queue.add(make_call(number, 0.0), 0.0) is None
    begun = make_call(9, -2_000.0)
    begun.is_begun = True
    assert queue.add(begun, 0.0) is None
    queue.targets["t0"].own.running = 0
    assert queue.dispatch(10.0)[0].call is begun
