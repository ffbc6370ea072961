"""Targets that crash, before direct routers."""

import asyncio

import attrs
import pytest
from test_direct import MODEL
from test_direct import on_edge

from snipedeal_direct import crashes
from snipedeal_standins.replica import ReplicaSpec

CRASHING = "deadbeef"
FIVE_MODELS = [
    ReplicaSpec(f"model-{i}", "model", slots=64, read_rate=200.0) for i in range(5)
]


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


#: Targets that may end by requests with one part before it must be contained, and
#: requests with it that may reach targets after that.
CRASHES_UNTIL_CONTAINED = 5
REQUESTS_AFTER_CONTAINED = 3


async def send_prompt(edge, router, request_id, *parts):
    """Send a stream request on a connection of its own; return the answer."""
    connection = edge.caller_connection(router)
    answer = await connection.request("POST", "/chat/x", request_id, prompt(*parts))
    await connection.close()
    return answer


def runs_with(edge, part):
    name = "snipedeal-prompt-prefix"
    return [run for run in edge.runs() if f"{part}:" in run.headers[name]]


@on_edge(FIVE_MODELS, routers=3)
async def test_requests_with_one_crashing_part_do_not_crash_target_after_target(edge):
    set_crashing(edge)
    sound = []
    for number in range(20):
        router = number % 3
        await send_prompt(
            edge, router, f"bad-{number}", "first", f"b{number}", CRASHING
        )
        sound.append(
            await send_prompt(edge, router, f"good-{number}", "first", f"g{number}")
        )
        await asyncio.sleep(0.1)
    limit = CRASHES_UNTIL_CONTAINED + REQUESTS_AFTER_CONTAINED
    assert len(runs_with(edge, CRASHING)) <= limit
    assert [answer.status for answer in sound[10:]] == [200] * 10
