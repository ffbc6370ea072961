"""Responses that are not whole must not reach callers as whole, on both paths."""

import asyncio
import contextlib
import socket
import struct

import attrs
import pytest

from snipedeal_direct import defaults
from snipedeal_standins.edge import API_KEY
from snipedeal_standins.edge import HOST
from snipedeal_standins.edge import Edge
from snipedeal_standins.edge import configuration
from snipedeal_standins.fleet import Fleet
from snipedeal_standins.local_agent import make_agent
from snipedeal_standins.local_agent import make_dispatch
from snipedeal_standins.plans import bearer_key
from snipedeal_standins.rawhttp import read_headers
from snipedeal_standins.replica import Replica
from snipedeal_standins.replica import ReplicaSpec
from snipedeal_standins.scenarios import small_plan

#: Time after which a case counts as stuck, s; far beyond the deadlines of its calls.
STUCK_S = 30
DEADLINE_MS = 1_500
#: More than a target receives before it reads, but no more than the router's socket
#: buffer takes.
SMALL_UPLOAD = 300_000
#: Far more than the socket buffers of both ends hold.
LARGE_UPLOAD = 24_000_000

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = OK + b"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: {}\n\n"
WHOLE = OK + b"Content-Length: 4\r\n\r\ngood"


@attrs.frozen
class Case:
    """How a target answers one request.

    :param data: bytes that it writes.
    :param end: ``close``, ``reset`` or ``hold`` the connection after that, or close
        only its own direction at first (``half``).
    :param upload: size of the request's body, bytes.
    :param reads: whether it reads the body before it answers.
    :param pause_s: time between the answer and the end.
    """

    data: bytes
    end: str = "close"
    upload: int = 2
    reads: bool = True
    pause_s: float = 0.0


def status_line(text):
    return Case(b"HTTP/1.1 " + text + b"\r\nContent-Length: 2\r\n\r\nno", "hold")


def length(value, body, end="close"):
    return Case(OK + b"Content-Length: " + value + b"\r\n\r\n" + body, end)


UPLOADS = {
    f"{kind} {end} {size} {pause_s}": Case(data, end, size, False, pause_s)
    for kind, data in (("body", OK + b"\r\npart"), ("events", EVENTS))
    for end in ("reset", "close", "half")
    for size in (SMALL_UPLOAD, LARGE_UPLOAD)
    for pause_s in (0.0, 0.05)
}
STATUS_LINES = {
    text.decode(): status_line(text)
    for text in (b"000 X", b"99 X", b"099 X", b"1000 X", b"abc X", b"2 0 X", b"600 X")
} | {
    "101": status_line(b"101 Switching Protocols"),
    "999": status_line(b"999 X"),
    "-200": status_line(b"-200 X"),
    "none": status_line(b""),
}
TRUNCATED = {
    "reset after the body": Case(OK + b"\r\npart", "reset", pause_s=0.05),
    "events, then reset": Case(EVENTS, "reset", pause_s=0.05),
    "http/1.0, then reset": Case(b"HTTP/1.0 200 OK\r\n\r\npart", "reset", pause_s=0.05),
    "error, then reset": Case(
        b"HTTP/1.1 400 Bad Request\r\n\r\npart", "reset", pause_s=0.05
    ),
    "coding, then reset": Case(
        OK + b"Transfer-Encoding: gzip\r\n\r\npart", "reset", pause_s=0.05
    ),
    "http/1.0, length too long": Case(
        b"HTTP/1.0 200 OK\r\nContent-Length: 9\r\n\r\npart"
    ),
    "interim only": Case(b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "interim only, held": Case(b"HTTP/1.1 103 Early Hints\r\n\r\n", "hold"),
    "length too long": length(b"9", b"part"),
    "length too long, reset": length(b"9", b"part", "reset"),
    "two lengths": length(b"4\r\nContent-Length: 2", b"part"),
    "list of lengths": length(b"4, 2", b"part"),
    "negative length": length(b"-4", b"part"),
    "length is no number": length(b"four", b"part"),
    "length and chunks": length(
        b"2\r\nTransfer-Encoding: chunked", b"4\r\npart\r\n0\r\n\r\n"
    ),
    "chunks end early": Case(CHUNKED + b"4\r\npart\r\n"),
    "chunk ends early": Case(CHUNKED + b"9\r\npart"),
    "chunks reset": Case(CHUNKED + b"4\r\npart\r\n", "reset", pause_s=0.05),
    "last chunk ends early": Case(CHUNKED + b"4\r\npart\r\n0\r\n"),
    "chunk size is no number": Case(CHUNKED + b"4\r\npart\r\nx\r\n\r\n"),
}
#: Responses that are whole by RFC 9112, 6.3, with the status and body of each.
COMPLETE = {
    "ends with its connection": (Case(OK + b"\r\nwhole"), 200, b"whole"),
    "http/1.0": (Case(b"HTTP/1.0 200 OK\r\n\r\nwhole"), 200, b"whole"),
    "http/1.0, length": (
        Case(b"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole"),
        200,
        b"whole",
    ),
    "length": (length(b"5", b"whole", "reset"), 200, b"whole"),
    "length, early answer": (
        attrs.evolve(length(b"5", b"whole", "hold"), upload=SMALL_UPLOAD, reads=False),
        200,
        b"whole",
    ),
    "interim, then final": (
        Case(b"HTTP/1.1 103 Early Hints\r\n\r\n" + WHOLE),
        200,
        b"good",
    ),
    "599": (
        Case(b"HTTP/1.1 599 X\r\nContent-Length: 4\r\n\r\nlast", "hold"),
        599,
        b"last",
    ),
}
#: Responses that are whole and followed by bytes that belong to no response.
EXCESS = {
    "length too short": (length(b"5", b"wholeextra"), 200, b"whole"),
    "204 with a body": (Case(b"HTTP/1.1 204 No\r\n\r\nbody"), 204, b""),
    "204 with a length": (
        Case(b"HTTP/1.1 204 No\r\nContent-Length: 4\r\n\r\nbody"),
        204,
        b"",
    ),
    "304 with a body": (
        Case(b"HTTP/1.1 304 No\r\nContent-Length: 4\r\n\r\nbody"),
        304,
        b"",
    ),
}
NOT_WHOLE = UPLOADS | STATUS_LINES | TRUNCATED


@attrs.define
class Target:
    """Raw server on some ports; it plays the case once, then answers well.

    :ivar ports_called: port of each request, in order.
    """

    case: Case
    ports_called: list = attrs.Factory(list)
    _servers: list = attrs.Factory(list)

    async def start(self, count, port=0):
        for _ in range(count):
            listener = socket.socket()
            # Small buffers here and in the reader leave an upload unread.
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
            listener.bind(("127.0.0.1", port))
            server = await asyncio.start_server(self._serve, sock=listener, limit=4096)
            self._servers.append(server)
        return [server.sockets[0].getsockname()[1] for server in self._servers]

    async def close(self):
        for server in self._servers:
            server.close()

    async def _serve(self, reader, writer):
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._answer(reader, writer)
        finally:
            writer.transport.abort()

    async def _answer(self, reader, writer):
        line = await reader.readline()
        if not line:
            return
        size = int((await read_headers(reader)).get("content-length", 0))
        if line.startswith((b"GET /load", b"GET /health")):
            # The agent's own requests.
            writer.write(OK + b'Content-Length: 15\r\n\r\n{"max_batch":4}')
            await writer.drain()
            return
        self.ports_called.append(writer.get_extra_info("sockname")[1])
        if len(self.ports_called) > 1:
            await reader.readexactly(size)
            writer.write(WHOLE)
            await writer.drain()
            await reader.read()
            return
        if self.case.reads:
            await reader.readexactly(size)
        writer.write(self.case.data)
        await writer.drain()
        await asyncio.sleep(self.case.pause_s)
        if self.case.end == "half":
            writer.write_eof()
            await asyncio.sleep(0.05)
        elif self.case.end == "hold":
            await asyncio.sleep(2 * DEADLINE_MS / 1000)
        elif self.case.end == "reset":
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


@attrs.frozen
class Outcome:
    """What became of one call through a router.

    :param response: response that the caller got.
    :param attempts: attempts at targets by outcome.
    :param failure_share: largest smoothed share of failed answers of a target.
    """

    response: object
    ports_called: list
    attempts: dict
    failure_share: float


async def call_through_router(target, method, path):
    """Send one call through a direct router with two ports of the target."""
    edge = Edge()
    service = "model" if path.startswith("/chat") else "desk"
    limits = configuration(1)["limits"] | {"maxBodyBytes": 2 * LARGE_UPLOAD}
    try:
        await edge.start([], limits=limits)
        (router,) = edge.routers
        for number, port in enumerate(await target.start(2)):
            name = f"target-{number}"
            replica = edge.replicas[name] = Replica(ReplicaSpec(name, service))
            await replica.start()
            edge.register(replica, address=f"127.0.0.1:{port}")
        await edge.wait_until(lambda: len(router.dispatcher.targets()) == 2)
        connection = edge.caller_connection()
        headers = {
            "Snipedeal-Deadline-Ms": str(DEADLINE_MS),
            "Snipedeal-Token-Usage": "100,20",
        }
        body = b"x" * target.case.upload
        if method == "HEAD":
            await connection.send(method, path, "c1", headers)
            head = await connection.reader.readuntil(b"\r\n\r\n")
            response = head, await connection.reader.read(1)
        else:
            await connection.send(method, path, "c1", headers, body)
            response = await connection.receive()
        loads = router.dispatcher.queues[service].targets.values()
        await edge.wait_until(lambda: not sum(load.running for load in loads))
        attempts = {
            sample.labels["outcome"]: sample.value
            for metric in router.metrics.attempts.collect()
            for sample in metric.samples
            if sample.name.endswith("_total")
        }
        now_ms = router.clock.now_ms()
        failure_share = max(load.health.failure_share(now_ms) for load in loads)
        return Outcome(response, target.ports_called, attempts, failure_share)
    finally:
        await edge.close()


def run_call(call, case):
    """Run one call against a target that plays a case."""

    async def scenario():
        target = Target(case)
        try:
            async with asyncio.timeout(STUCK_S):
                return await call(target)
        finally:
            await target.close()

    return asyncio.run(scenario())


def route_call(case, method, path):
    return run_call(lambda target: call_through_router(target, method, path), case)


@pytest.mark.parametrize("name", NOT_WHOLE)
def test_router_does_not_forward_response_that_is_not_whole(name):
    """A request that may run only once is answered 502 and not sent again."""
    case = NOT_WHOLE[name]
    outcome = route_call(case, "POST", "/change/x")
    assert len(outcome.ports_called) == 1
    if case.data.startswith(EVENTS):
        # Events are forwarded as they come; the response must not end well.
        assert outcome.response.status in (200, 502)
        assert outcome.response.status == 502 or not outcome.response.is_complete
    else:
        is_late = case.end == "hold" and name not in STATUS_LINES
        assert outcome.response.status == (504 if is_late else 502)
    assert set(outcome.attempts) <= {"broken", "timeout"}
    assert outcome.failure_share > 0


@pytest.mark.parametrize("name", NOT_WHOLE)
def test_router_repeats_idempotent_request_after_response_that_is_not_whole(name):
    case = NOT_WHOLE[name]
    outcome = route_call(case, "POST", "/lookup/x")
    if case.data.startswith(EVENTS):
        assert outcome.response.status == 200
        assert not outcome.response.is_complete or outcome.response.body == b"good"
    elif case.end == "hold" and name not in STATUS_LINES:
        assert outcome.response.status == 504
    else:
        assert (outcome.response.status, outcome.response.body) == (200, b"good")
        assert len(set(outcome.ports_called)) == len(outcome.ports_called) == 2
        assert outcome.attempts == {"broken": 1.0, "whole": 1.0}
    assert outcome.failure_share > 0


@pytest.mark.parametrize("name", [n for n in NOT_WHOLE if "events" in n])
def test_router_does_not_end_stream_that_is_not_whole(name):
    outcome = route_call(NOT_WHOLE[name], "POST", "/chat/x")
    assert outcome.response.status == 502 or not outcome.response.is_complete
    assert outcome.attempts == {"broken": 1.0}
    assert outcome.failure_share > 0


def test_router_does_not_end_stream_without_events():
    """A target may be killed between the head of its response and the first event."""
    case = Case(OK + b"Content-Type: text/event-stream\r\n\r\n")
    outcome = route_call(case, "POST", "/chat/x")
    assert outcome.response.status == 502
    assert outcome.attempts == {"broken": 1.0}


def test_router_cuts_response_that_it_forwards_before_its_end():
    """Responses beyond the buffer limit are forwarded before their end is known."""
    data = OK + b"\r\n" + b"x" * (2 * defaults.BUFFERED_RESPONSE_BYTES)
    case = Case(data, "reset", pause_s=0.2)
    outcome = route_call(case, "POST", "/change/x")
    assert outcome.response.status == 200
    assert not outcome.response.is_complete
    assert outcome.attempts == {"broken": 1.0}
    assert outcome.failure_share > 0


def test_router_resets_http_1_0_caller_whose_response_is_not_whole():
    """Without chunks, only a reset tells such a caller that the response was cut."""

    async def call(target):
        edge = Edge()
        try:
            await edge.start([])
            (router,) = edge.routers
            (port,) = await target.start(1)
            replica = edge.replicas["target"] = Replica(ReplicaSpec("target", "model"))
            await replica.start()
            edge.register(replica, address=f"127.0.0.1:{port}")
            await edge.wait_until(lambda: router.dispatcher.targets())
            connection = edge.caller_connection()
            fields = {
                "Host": HOST,
                "Snipedeal-Request-Attempt-Id": "c1",
                "Snipedeal-Credential": API_KEY,
                "Snipedeal-Token-Usage": "100,20",
            }
            lines = [f"{name}: {value}\r\n" for name, value in fields.items()]
            head = "GET /chat/x HTTP/1.0\r\n" + "".join(lines) + "\r\n"
            await connection.send_raw(head.encode())
            assert b" 200 " in await connection.reader.readline()
            with pytest.raises(ConnectionResetError):
                await connection.reader.read()
        finally:
            await edge.close()

    run_call(call, Case(EVENTS, "reset", pause_s=0.2))


@pytest.mark.parametrize("name", COMPLETE | EXCESS)
def test_router_forwards_response_that_is_whole(name):
    """A check that is too strict would cost callers good responses."""
    case, status, body = (COMPLETE | EXCESS)[name]
    outcome = route_call(case, "POST", "/change/x")
    assert outcome.response.is_complete
    assert (outcome.response.status, outcome.response.body) == (status, body)
    assert len(outcome.ports_called) == 1


@pytest.mark.parametrize("body", [b"", b"body"])
def test_router_forwards_response_to_head_without_a_body(body):
    case = Case(OK + b"Content-Length: 4\r\n\r\n" + body, "hold")
    outcome = route_call(case, "HEAD", "/lookup/x")
    head, rest = outcome.response
    assert head.startswith(b"HTTP/1.1 200 ")
    assert rest == b""


async def run_at_agent(target, dialect, method="POST"):
    """Run one attempt; return outcome, status, body, and the metric of outcomes."""
    (port,) = await target.start(1)
    agent = make_agent(f"http://127.0.0.1:{port}", dialect)
    await agent.start()
    attempts = agent.plugins["attempts"]
    dispatch = attrs.evolve(
        make_dispatch(dialect, remaining_ms=DEADLINE_MS),
        body=b'{"x": "%s"}' % (b"x" * target.case.upload),
        method=method,
    )
    try:
        attempts._start("router", dispatch)
        (attempt,) = attempts.running
        while attempt.final_message is None:
            await asyncio.sleep(0.01)
        outcome = attempt.final_message.outcome
        counted = agent.node.metrics.requests.labels("s", outcome)._value.get()
        body = b"".join(attempt.retained_chunks)
        return outcome, attempt.status, body, counted
    finally:
        await agent.close()


@pytest.mark.parametrize("dialect", ["plain", "openai"])
@pytest.mark.parametrize("name", NOT_WHOLE)
def test_agent_does_not_report_response_that_is_not_whole_as_complete(name, dialect):
    outcome, _, _, counted = run_call(
        lambda target: run_at_agent(target, dialect), NOT_WHOLE[name]
    )
    assert outcome in ("lost", "crashed")
    assert counted == 1


@pytest.mark.parametrize("name", COMPLETE)
def test_agent_reports_response_that_is_whole_as_complete(name):
    case, status, body = COMPLETE[name]
    outcome = run_call(lambda target: run_at_agent(target, "plain"), case)
    assert outcome == ("ok", status, body, 1)


@pytest.mark.parametrize("name", EXCESS)
def test_agent_reports_no_bytes_after_the_end_of_a_response(name):
    """aiohttp rejects such a response if the bytes come in the same segment."""
    case, status, body = EXCESS[name]
    outcome = run_call(lambda target: run_at_agent(target, "plain"), case)
    assert outcome in (("ok", status, body, 1), ("lost", 0, b"", 1))


def test_agent_reports_response_to_head_without_a_body():
    case = Case(OK + b"Content-Length: 4\r\n\r\n", "hold")
    outcome = run_call(lambda target: run_at_agent(target, "plain", "HEAD"), case)
    assert outcome == ("ok", 200, b"", 1)


def test_agent_reports_no_body_of_a_response_to_head():
    case = Case(OK + b"Content-Length: 4\r\n\r\nbody", "hold")
    outcome = run_call(lambda target: run_at_agent(target, "plain", "HEAD"), case)
    assert outcome in (("ok", 200, b"", 1), ("lost", 0, b"", 1))


class RawFleet(Fleet):
    """Fleet of processes whose targets are raw servers of the test."""

    target: Target

    async def start_simulated_target(self, plan):
        await self.target.start(1, self._ports[plan.name].target)


async def call_fleet(directory, name, method):
    """Send one request through a router and agents; return answer and ports called."""
    fleet = RawFleet(small_plan({"one": 1.0}, 1, 0, 2), directory)
    fleet.target = target = Target(NOT_WHOLE[name])
    try:
        async with asyncio.timeout(60):
            await fleet.start()
            headers = {
                "Authorization": f"Bearer {bearer_key('one')}",
                "Idempotency-Key": "key",
            }
            url = f"{fleet.router_urls[0]}/plain/x"
            async with fleet.session.request(method, url, headers=headers) as answer:
                return answer.status, await answer.read(), target.ports_called
    finally:
        await fleet.close()
        await target.close()


LOST = ("reset after the body", "600 X")


@pytest.mark.parametrize("name", LOST)
def test_router_answers_502_after_its_agent_lost_a_response(name, tmp_path):
    """What an agent reports as lost must not become an answer or a second run."""
    status, body, ports = asyncio.run(call_fleet(tmp_path, name, "POST"))
    assert status == 502
    assert b"part" not in body
    assert len(ports) == 1


@pytest.mark.parametrize("name", LOST)
def test_router_repeats_idempotent_request_after_its_agent_lost_a_response(
    name, tmp_path
):
    status, body, ports = asyncio.run(call_fleet(tmp_path, name, "GET"))
    assert (status, body) == (200, b"good")
    assert len(ports) == 2


def test_router_repeats_lost_idempotent_request_at_another_target(tmp_path):
    """A target that cuts responses would use up all attempts of a request."""
    _, _, ports = asyncio.run(call_fleet(tmp_path, LOST[0], "GET"))
    assert len(set(ports)) == 2
