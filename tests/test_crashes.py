"""Targets that crash, before direct routers."""

import attrs
import pytest
from test_direct import MODEL
from test_direct import on_edge

from snipedeal_direct import crashes

CRASHING = "deadbeef"


def prompt(*parts):
    """Return the headers of a prompt whose last part follows the given ones."""
    entries = [f"{part}:100" for part in (*parts, "own")]
    return {
        "Snipedeal-Model": "m",
        "Snipedeal-Token-Usage": f"{100 * len(entries)},20",
        "Snipedeal-Prompt-Prefix": ",".join(entries),
    }


@attrs.define
class Events:
    """Log events of all routers in the process."""

    lines: list = attrs.Factory(list)

    def note(self, event, **fields):
        self.lines.append((event, fields))

    def named(self, name):
        return [fields for event, fields in self.lines if event == name]


@pytest.fixture
def events(monkeypatch):
    recorded = Events()
    monkeypatch.setattr(crashes, "info", recorded.note)
    return recorded


def set_crashing(edge, part=CRASHING):
    for replica in edge.replicas.values():
        replica.faults.crashing_parts.add(part)


def test_crash_is_logged_with_the_unanswered_calls_and_their_parts(events):
    @on_edge(MODEL)
    async def play(edge):
        set_crashing(edge)
        connection = edge.caller_connection()
        answer = await connection.request(
            "POST", "/chat/x", "r1", prompt("a", CRASHING)
        )
        assert answer.status == 502

    play()
    (line,) = events.named("target.crashed")
    assert line["unanswered"] == ["r1"]
    assert line["parts"] == ["a", CRASHING]


def test_reset_connection_is_not_logged_as_a_crash(events):
    @on_edge(MODEL)
    async def play(edge):
        for replica in edge.replicas.values():
            replica.faults.mode, replica.faults.count = "reset", 1
            replica.faults.after_events = 0
        connection = edge.caller_connection()
        answer = await connection.request("POST", "/chat/x", "r1", prompt("a"))
        assert not answer.is_complete or answer.status == 502

    play()
    assert events.named("target.crashed") == []
