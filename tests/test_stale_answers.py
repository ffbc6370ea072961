"""Answers on connections that carried an earlier request, and answers cut short."""

import pytest
from test_direct import DESK
from test_direct import MODEL
from test_direct import PROMPT
from test_direct import on_edge

from snipedeal_direct import defaults
from snipedeal_standins.rawhttp import CloseConnectionError
from snipedeal_standins.rawhttp import render_response
from snipedeal_standins.replica import Replica

REFUSALS = {
    "not executed": render_response(503, {"Snipedeal-Not-Executed": "1"}, b""),
    "another replica": render_response(421, {}, b""),
}
#: Answers that a replica may write once more without the ID of their request.
ANSWERS = {
    "success": render_response(200, {"Snipedeal-Replica-Signature": "x.old"}, b"old"),
    "failure": render_response(500, {"Snipedeal-Replica-Signature": "x.old"}, b"old"),
    "stream": render_response(200, {"Content-Type": "text/event-stream"}, b"id: 1\n\n"),
}


def repeat_refusal(replica, data):
    """Make a replica write an earlier refusal once more before its next answer."""
    send = replica._send_response

    async def send_after_refusal(run, mode, writer):
        writer.write(data)
        await writer.drain()
        await send(run, mode, writer)

    replica._send_response = send_after_refusal


@pytest.mark.parametrize("name", REFUSALS)
def test_refusal_left_from_an_earlier_request_is_not_believed(name, monkeypatch):
    monkeypatch.setattr(defaults, "AT_MOST_ONCE_REUSE_S", 1e9)

    @on_edge(DESK)
    async def play(edge):
        connection = edge.caller_connection()
        while not all(replica.runs for replica in edge.replicas.values()):
            await connection.request("POST", "/change/x", f"warm-{len(edge.runs())}")
        for replica in edge.replicas.values():
            repeat_refusal(replica, REFUSALS[name])
        answer = await connection.request("POST", "/change/x", "once")
        assert len([run for run in edge.runs() if run.id == "once"]) == 1
        assert answer.status == 502

    play()


@pytest.mark.parametrize("name", ANSWERS)
@pytest.mark.parametrize("method, path", [("GET", "/lookup/x"), ("POST", "/change/x")])
def test_answer_without_an_id_on_a_used_connection_is_not_forwarded(
    name, method, path, monkeypatch
):
    monkeypatch.setattr(defaults, "AT_MOST_ONCE_REUSE_S", 1e9)

    @on_edge(DESK)
    async def play(edge):
        connection = edge.caller_connection()
        while not all(replica.runs for replica in edge.replicas.values()):
            await connection.request(method, path, f"warm-{len(edge.runs())}")
        for replica in edge.replicas.values():
            repeat_refusal(replica, ANSWERS[name])
        answer = await connection.request(method, path, "once")
        assert b"old" not in answer.body
        assert b"id: 1" not in answer.body
        if method == "POST":
            assert len([run for run in edge.runs() if run.id == "once"]) == 1
            assert answer.status == 502

    play()


def answer_resumed(replica, write):
    """Make a replica answer requests that resume a stream with ``write``."""
    run_request = replica._run

    async def run(run, mode, writer):
        if int(run.headers.get("last-event-id", "0") or 0):
            replica.runs.append(run)
            await write(replica, run, writer)
        else:
            await run_request(run, mode, writer)

    replica._run = run


async def write_whole(replica: Replica, run, writer):
    headers = replica._response_headers(run, "")
    writer.write(render_response(200, headers, b"whole, but no stream"))


async def write_error(replica: Replica, run, writer):
    headers = replica._response_headers(run, "")
    writer.write(render_response(500, headers, b"no"))


async def write_half_head(replica: Replica, run, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-str")
    await writer.drain()
    raise CloseConnectionError


async def write_large(replica: Replica, run, writer):
    headers = replica._response_headers(run, "")
    writer.write(render_response(200, headers, b"x" * 600_000))


async def write_no_event(replica: Replica, run, writer):
    headers = replica._response_headers(run, "")
    headers["Content-Type"] = "text/event-stream"
    lines = [f"{name}: {value}" for name, value in headers.items()]
    writer.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) + "\r\n\r\n").encode())
    await writer.drain()
    raise CloseConnectionError


@pytest.mark.parametrize(
    "write", [write_whole, write_error, write_half_head, write_large, write_no_event]
)
def test_resumed_stream_has_nothing_but_events_and_is_cut(write):
    @on_edge(MODEL)
    async def play(edge):
        for replica in edge.replicas.values():
            replica.faults.mode, replica.faults.count = "reset", 1
            answer_resumed(replica, write)
        connection = edge.caller_connection()
        answer = await connection.request("POST", "/draft/x", "r1", PROMPT)
        assert answer.status == 200
        assert not answer.is_complete
        assert b"HTTP/1.1" not in answer.body
        assert b"whole" not in answer.body

    play()


def end_stream_at_reset(replica, replicas):
    """Make the stream one event shorter at all replicas when this one resets it."""
    send = replica._send_stream

    async def send_then_shorten(run, mode, writer):
        try:
            await send(run, mode, writer)
        except CloseConnectionError:
            for other in replicas:
                other.spec.events -= 1
            raise

    replica._send_stream = send_then_shorten


@on_edge(MODEL)
async def test_stream_that_breaks_after_its_last_event_is_whole(edge):
    for replica in edge.replicas.values():
        replica.faults.mode, replica.faults.count = "reset", 1
        replica.faults.after_events = replica.spec.events
        replica.spec.events += 1
        end_stream_at_reset(replica, edge.replicas.values())
    connection = edge.caller_connection()
    answer = await connection.request("POST", "/draft/x", "r1", PROMPT)
    assert sum(run.end == "reset" for run in edge.runs()) == 1
    assert answer.is_complete
    assert answer.body.count(b"id:") == edge.replicas["model-0"].spec.events


HEADS = {
    "half a head": b"HTTP/1.1 200 OK\r\nSnipedeal-Request-Atte",
    "a status line": b"HTTP/1.1 200 OK\r\n",
    "an interim response": b"HTTP/1.1 100 Continue\r\n\r\n",
    "half a head with a length": b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n",
    "nothing": b"",
}


@pytest.mark.parametrize("name", HEADS)
@pytest.mark.parametrize("path", ["/change/x", "/chat/x"])
def test_head_that_stops_in_its_middle_is_no_success(name, path):
    @on_edge(DESK + MODEL)
    async def play(edge):
        async def write(run, mode, writer):
            edge.replicas[run.headers["snipedeal-expect-replica"]].runs.append(run)
            writer.write(HEADS[name])
            await writer.drain()
            raise CloseConnectionError

        for replica in edge.replicas.values():
            replica._run = write
        connection = edge.caller_connection()
        answer = await connection.request("POST", path, "r1", PROMPT)
        assert answer.status == 502

    play()
