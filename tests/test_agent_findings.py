"""Agents whose targets say that they leave, or want no requests for a time."""

import asyncio

import attrs
import pytest

from snipedeal.membership import Membership
from snipedeal.membership import Vm
from snipedeal.membership import VmList
from snipedeal.messages import CapacityReport
from snipedeal.messages import DispatchDeclined
from snipedeal_router.gates import Gates
from snipedeal_standins.local_agent import CUSTOMER
from snipedeal_standins.local_agent import make_agent
from snipedeal_standins.local_agent import make_dispatch
from snipedeal_standins.rawhttp import CloseConnectionError
from snipedeal_standins.rawhttp import RawServer
from snipedeal_standins.rawhttp import render_response

STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s\r\n"


class LocalTarget:
    """A target whose responses have the headers and the status that a test sets."""

    def __init__(self):
        self.status = 200
        self.headers = {}
        self.requests = []
        self.server = RawServer(self._handle)

    async def _handle(self, request, writer):
        if request.path == "/load":
            writer.write(render_response(200, {}, b'{"max_batch": 4}'))
            raise CloseConnectionError
        self.requests.append(request)
        if self.status == 200 and request.path.startswith("/v1"):
            lines = "".join(f"{k}: {v}\r\n" for k, v in self.headers.items())
            writer.write(STREAM_HEAD % lines.encode() + b"data: 1\n\ndata: [DONE]\n\n")
        else:
            writer.write(render_response(self.status, self.headers, b"ok"))
        await writer.drain()
        raise CloseConnectionError


def on_agent(dialect):
    """Run an asynchronous test with a target and its agent."""

    def decorate(function):
        async def inner():
            target = LocalTarget()
            await target.server.start()
            agent = make_agent(f"http://127.0.0.1:{target.server.port}", dialect)
            agent.settings = attrs.evolve(
                agent.settings,
                leaving_header="Server-Leaving",
                holds_when_list_is_stale=False,
            )
            agent.sent = []
            agent.node.send = lambda router, message: agent.sent.append(message)
            await agent.start()
            try:
                async with asyncio.timeout(30):
                    while agent.state != "up":
                        await asyncio.sleep(0.01)
                    agent.refresh_state()
                    await function(agent, target)
            finally:
                await agent.close()
                await target.server.close()

        return lambda: asyncio.run(inner())

    return decorate


async def dispatch(agent, name, dialect):
    """Dispatch a request to an agent; wait until it has ended or is declined."""
    attempts = agent.plugins["attempts"]
    path = "/v1/chat/completions" if dialect == "openai" else "/x"
    message = attrs.evolve(make_dispatch(dialect), attempt=name, path=path)
    attempts._on_dispatch("router", message)
    while attempts.running:
        await asyncio.sleep(0.01)


def declined(agent):
    return [m.attempt for m in agent.sent if isinstance(m, DispatchDeclined)]


@pytest.mark.parametrize("dialect", ["plain", "openai"])
@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_agent_of_a_leaving_target_takes_no_further_request(dialect, status):
    @on_agent(dialect)
    async def play(agent, target):
        target.status, target.headers = status, {"Server-Leaving": "1"}
        await dispatch(agent, "a1", dialect)
        assert agent.state == "leaving"
        before = len(target.requests)
        await dispatch(agent, "a2", dialect)
        assert declined(agent) == ["a2"]
        assert len(target.requests) == before

    play()


@pytest.mark.parametrize("value", ["0", "", "yes"])
def test_other_values_of_the_leaving_header_mean_nothing_to_agents(value):
    @on_agent("plain")
    async def play(agent, target):
        target.headers = {"Server-Leaving": value}
        await dispatch(agent, "a1", "plain")
        assert agent.state == "up"

    play()


def test_agent_takes_requests_again_for_the_target_that_follows():
    @on_agent("plain")
    async def play(agent, target):
        target.headers = {"Server-Leaving": "1"}
        await dispatch(agent, "a1", "plain")
        assert agent.state == "leaving"
        await target.server.close()
        while agent.is_target_up:
            await asyncio.sleep(0.02)
        target.headers = {}
        await target.server.start(target.server.port)
        while agent.state != "up":
            await asyncio.sleep(0.02)

    play()


def test_target_that_answers_its_health_check_throughout_is_no_other_instance():
    @on_agent("plain")
    async def play(agent, target):
        target.headers = {"Server-Leaving": "1"}
        await dispatch(agent, "a1", "plain")
        health = agent.plugins["health"]
        # An attempt that can't connect closes the gate until the next health check.
        health.mark_down()
        assert await health.probe()
        assert agent.state == "leaving"

    play()


@pytest.mark.parametrize("dialect", ["plain", "openai"])
def test_agent_sends_nothing_for_as_long_as_its_target_asked(dialect):
    @on_agent(dialect)
    async def play(agent, target):
        loop = asyncio.get_running_loop()
        target.status, target.headers = 503, {"Retry-After": "0.8"}
        began = loop.time()
        await dispatch(agent, "a1", dialect)
        assert agent.state == "paused"
        target.status, target.headers = 200, {}
        before = len(target.requests)
        number = 1
        while agent.state == "paused":
            number += 1
            await dispatch(agent, f"a{number}", dialect)
            await asyncio.sleep(0.05)
        assert loop.time() - began > 0.75
        assert len(declined(agent)) == number - 1
        assert len(target.requests) == before
        reports = [m for m in agent.sent if isinstance(m, CapacityReport)]
        assert any(m.state == "paused" and 0 < m.pause_ms <= 800 for m in reports)
        agent.refresh_state()
        await dispatch(agent, "last", dialect)
        assert len(target.requests) == before + 1

    play()


def test_agent_resumes_no_stream_while_its_target_wants_no_requests():
    @on_agent("openai")
    async def play(agent, target):
        agent.pause(500)
        attempts = agent.plugins["attempts"]
        agent.gate.adopt("a1", CUSTOMER, 1.0)
        loop = asyncio.get_running_loop()
        began = loop.time()
        attempts._start("router", make_dispatch("openai"))
        attempt = attempts._attempts["a1"]
        attempt.task.cancel()
        attempt.task = agent.node.run_task(attempts._run_resumed(attempt), "resume")
        while not target.requests:
            await asyncio.sleep(0.01)
        assert loop.time() - began > 0.45

    play()


class _Links:
    def is_lost(self, name):
        return False


def test_router_knows_the_earliest_end_if_all_gates_pause():
    membership = Membership("router")
    vms = [
        Vm(n, "target", "z", f"tcp://127.0.0.1:{7_000 + i}", "s")
        for i, n in enumerate("ab")
    ]
    membership.apply(VmList(1, vms), 0)
    gates = Gates(membership, _Links())
    assert gates.pause_ms("s", 0) == 0
    gates.update_capacity("a", CapacityReport("s", 0, 4, "paused", 3_000), 0)
    assert gates.pause_ms("s", 0) == 0
    gates.update_capacity("b", CapacityReport("s", 0, 4, "paused", 900), 0)
    assert gates.pause_ms("s", 0) == 900
    assert gates.pause_ms("s", 950) == 0
    gates.update_capacity("b", CapacityReport("s", 2, 4, "up"), 950)
    assert gates.pause_ms("s", 960) == 0
