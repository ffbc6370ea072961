"""Streams that are slow but sound are served; stalled ones end at the deadline."""

import asyncio

import attrs
import pytest
from test_direct import PROMPT
from test_direct import on_edge

from snipedeal import defaults
from snipedeal_standins.edge import route
from snipedeal_standins.local_agent import CUSTOMER
from snipedeal_standins.local_agent import make_agent
from snipedeal_standins.local_agent import make_dispatch
from snipedeal_standins.rawhttp import CloseConnectionError
from snipedeal_standins.rawhttp import RawServer
from snipedeal_standins.rawhttp import render_response
from snipedeal_standins.replica import ReplicaSpec

SLOW = [ReplicaSpec("model-0", "model", slots=64, read_rate=200.0, event_ms=700.0)]
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"


@on_edge(SLOW)
async def test_router_forwards_a_stream_with_long_pauses_to_its_end(edge):
    connection = edge.caller_connection()
    answer = await connection.request("POST", "/chat/a", "r1", PROMPT)
    assert answer.is_complete
    assert answer.body.count(b"data: piece") == 5


@pytest.mark.parametrize("drip", [b":", b"x", b"\n", b": comment\n"])
def test_router_ends_a_stream_that_drips_at_the_timeout(drip):
    @on_edge(
        SLOW,
        routes=[route("chat", "streaming", "model", sticky=True, timeoutMs=900)],
    )
    async def play(edge):
        async def send(run, mode, writer):
            headers = replica._response_headers(run, mode)
            lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            writer.write(HEAD[:-2] + lines.encode() + b"\r\nid: 1\ndata: 1\n\n")
            while True:
                writer.write(drip)
                await writer.drain()
                await asyncio.sleep(0.05)

        (replica,) = edge.replicas.values()
        replica._send_stream = send
        loop = asyncio.get_running_loop()
        began = loop.time()
        connection = edge.caller_connection()
        await connection.send("POST", "/chat/a", "r1", PROMPT)
        answer = await asyncio.wait_for(connection.receive(), 10)
        assert not answer.is_complete
        assert loop.time() - began < 5
        await edge.wait_until(lambda: edge.runs()[0].end == "cut")

    play()


async def run_at_agent(write, remaining_ms=5_000):
    """Run one streamed attempt; return its outcome, its chunks and the incidents.

    :param write: writes the response to the request of a number.
    """
    requests = []

    async def answer(request, writer):
        if request.path == "/load":
            writer.write(render_response(200, {}, b'{"max_batch": 4}'))
            raise CloseConnectionError
        requests.append(request)
        await write(len(requests), writer)

    server = RawServer(answer)
    await server.start()
    agent = make_agent(f"http://127.0.0.1:{server.port}")
    await agent.start()
    agent.gate.is_open = True
    incidents, sent = [], []
    agent.plugins["incidents"].publish = incidents.append
    agent.node.send = lambda router, message: sent.append(message)
    attempts = agent.plugins["attempts"]
    try:
        agent.gate.adopt("a1", CUSTOMER, 1.0)
        dispatch = attrs.evolve(make_dispatch(remaining_ms=remaining_ms))
        attempts._start("router", dispatch)
        attempt = attempts._attempts["a1"]
        async with asyncio.timeout(30):
            while attempt.final_message is None:
                await asyncio.sleep(0.01)
        return attempt.final_message.outcome, attempt.offset, incidents
    finally:
        await agent.close()
        await server.close()


def test_agent_waits_for_an_engine_that_is_silent_but_sound(monkeypatch):
    monkeypatch.setattr(defaults, "TARGET_READ_TIMEOUT_MS", 100)
    began = []

    async def write(number, writer):
        loop = asyncio.get_running_loop()
        began.append(loop.time())
        writer.write(HEAD)
        await writer.drain()
        # Each connection is silent until 1.2 s after the first request.
        await asyncio.sleep(max(0.0, began[0] + 1.2 - loop.time()))
        writer.write(b"data: 1\n\ndata: [DONE]\n\n")
        await writer.drain()
        raise CloseConnectionError

    outcome, chunks, incidents = asyncio.run(run_at_agent(write))
    assert (outcome, chunks, incidents) == ("ok", 1, [])


def test_agent_ends_a_stream_that_drips_at_the_deadline_without_an_incident():
    async def write(number, writer):
        writer.write(HEAD + b"data: 1\n\n")
        while True:
            writer.write(b":")
            await writer.drain()
            await asyncio.sleep(0.05)

    outcome, _, incidents = asyncio.run(run_at_agent(write, remaining_ms=800))
    assert (outcome, incidents) == ("lost", [])
