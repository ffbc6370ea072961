"""Requests that are left unread while there is no time to read them."""

import asyncio

import pytest

from snipedeal.clock import Clock
from snipedeal_direct import defaults
from snipedeal_direct.ingress import CallerConnection
from snipedeal_direct.ingress import IngressServer
from snipedeal_direct.meter import LoopMeter
from snipedeal_direct.model import CallerLimits
from snipedeal_direct.overload import IntakeBudget


class FakeTransport:
    """A transport that records what is written and whether reading is paused."""

    def __init__(self):
        self.written = b""
        self.is_closed = False
        self.is_paused = False

    def set_write_buffer_limits(self, high):
        pass

    def get_write_buffer_size(self):
        return 0

    def write(self, data):
        self.written += data

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def close(self):
        self.is_closed = True

    abort = close


def request(number, body=b""):
    head = f"POST /r/{number} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class Intake:
    """A server whose time for reading requests is used up at first."""

    def __init__(self, limits=None):
        self.read = []
        self.budget = IntakeBudget(share=0.5)
        self.server = IngressServer(
            Clock(),
            self._on_request,
            lambda status, detail: self.read.append(status),
            lambda: limits or CallerLimits(),
            100,
            LoopMeter(),
            self.budget,
        )
        self.budget.has_time(self.server.clock.monotonic() * 1000)
        self.budget.spend(defaults.INTAKE_BURST_MS + 20.0)

    def connect(self):
        connection = CallerConnection(self.server)
        transport = FakeTransport()
        connection.connection_made(transport)
        return connection, transport

    def _on_request(self, exchange):
        self.read.append(exchange.request.path.decode())
        exchange.respond(200, [], b"")


def run(scenario, **options):
    async def play():
        intake = Intake(**options)
        try:
            return await scenario(intake)
        finally:
            await intake.server.close()

    return asyncio.run(play())


def test_request_is_read_once_there_is_time():
    async def scenario(intake):
        connection, transport = intake.connect()
        connection.data_received(request(1))
        before = list(intake.read)
        await asyncio.sleep(0.2)
        return before, intake.read, transport.written

    before, read, written = run(scenario)
    assert not before
    assert read == ["/r/1"]
    assert written.startswith(b"HTTP/1.1 200")


def test_latest_requests_are_read_first_and_one_of_four_is_the_oldest():
    async def scenario(intake):
        for number in range(8):
            connection, _ = intake.connect()
            connection.data_received(request(number))
        await asyncio.sleep(0.2)
        return intake.read

    order = [7, 6, 5, 0, 4, 3, 2, 1]
    assert run(scenario) == [f"/r/{number}" for number in order]


def test_request_that_arrives_in_pieces_is_read_whole():
    async def scenario(intake):
        connection, _ = intake.connect()
        data = request(1, b"0123456789")
        for start in range(0, len(data), 7):
            connection.data_received(data[start : start + 7])
        await asyncio.sleep(0.2)
        return intake.read

    assert run(scenario) == ["/r/1"]


def test_unread_request_of_a_caller_that_left_is_dropped():
    async def scenario(intake):
        connection, _ = intake.connect()
        connection.data_received(request(1))
        connection.connection_lost(None)
        await asyncio.sleep(0.2)
        return intake.read

    assert not run(scenario)


def test_time_of_an_unread_request_counts_from_its_arrival():
    async def scenario(intake):
        arrived = []
        intake.server.on_request = lambda exchange: arrived.append(exchange.request)
        connection, _ = intake.connect()
        before_ms = intake.server.clock.now_ms()
        connection.data_received(request(1))
        await asyncio.sleep(0.2)
        return arrived[0].read_ms - before_ms

    assert run(scenario) <= 10


def test_unread_requests_are_answered_when_the_server_closes():
    async def scenario(intake):
        connection, transport = intake.connect()
        connection.data_received(request(1))
        await intake.server.close()
        return intake.read, transport.written

    read, written = run(scenario)
    assert read == ["/r/1"]
    assert written.startswith(b"HTTP/1.1 200")


def test_request_whose_rest_is_unread_does_not_time_out():
    limits = CallerLimits(header_timeout_ms=30)

    async def scenario(intake):
        connection, _ = intake.connect()
        data = request(1)
        intake.server.receive(connection._receive, data[:9])
        connection.data_received(data[9:])
        intake.budget.spend(20.0)
        await asyncio.sleep(0.3)
        return intake.read

    assert run(scenario, limits=limits) == ["/r/1"]


def test_connections_keep_the_order_in_which_they_became_idle():
    async def scenario(intake):
        intake.budget.share = float("inf")
        first, _ = intake.connect()
        second, _ = intake.connect()
        first.data_received(request(1) + request(2))
        return list(intake.server.idle) == [second, first]

    assert run(scenario)


def test_connection_with_an_unread_request_is_not_idle():
    async def scenario(intake):
        connection, transport = intake.connect()
        connection.data_received(request(1))
        connection.close_if_idle()
        is_closed = transport.is_closed
        await asyncio.sleep(0.2)
        return is_closed, intake.read

    assert run(scenario) == (False, ["/r/1"])


def test_large_unread_request_stays_in_the_socket():
    async def scenario(intake):
        connection, transport = intake.connect()
        body = b"x" * (defaults.INTAKE_BUFFER_BYTES + 1)
        connection.data_received(request(1, body))
        is_paused = transport.is_paused
        await asyncio.sleep(0.2)
        return is_paused, transport.is_paused, intake.read

    assert run(scenario) == (True, False, ["/r/1"])


@pytest.mark.parametrize("part", [b"POST /r/1 HT", request(1, b"0123456789")[:-5]])
def test_request_that_does_not_become_complete_times_out(part):
    limits = CallerLimits(header_timeout_ms=50, idle_timeout_ms=80)

    async def scenario(intake):
        intake.budget.share = float("inf")
        connection, transport = intake.connect()
        connection.data_received(part)
        await asyncio.sleep(0.2)
        return intake.read, transport.is_closed

    assert run(scenario, limits=limits) == ([408], True)


def test_connections_are_closed_after_the_idle_timeout():
    limits = CallerLimits(idle_timeout_ms=100)

    async def scenario(intake):
        intake.budget.share = float("inf")
        (_, first), (used, second) = intake.connect(), intake.connect()
        await asyncio.sleep(0.06)
        used.data_received(request(1))
        await asyncio.sleep(0.07)
        states = [first.is_closed, second.is_closed]
        await asyncio.sleep(0.1)
        return states, second.is_closed

    assert run(scenario, limits=limits) == ([True, False], True)
