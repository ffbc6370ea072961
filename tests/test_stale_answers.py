"""Answers on connections that carried an earlier request, and answers cut short."""

import pytest
from test_direct import DESK
from test_direct import on_edge

from snipedeal_direct import defaults
from snipedeal_standins.rawhttp import render_response

REFUSALS = {
    "not executed": render_response(503, {"Snipedeal-Not-Executed": "1"}, b""),
    "another replica": render_response(421, {}, b""),
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
