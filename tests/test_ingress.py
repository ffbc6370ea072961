"""Connections of callers with several requests on the way."""

import asyncio

from test_intake import Intake
from test_intake import request

from snipedeal_direct import defaults
from snipedeal_direct.memory import Kind


class Server(Intake):
    """A server with time to read, whose requests stay open."""

    def __init__(self):
        super().__init__()
        self.open = []
        self.budget.share = float("inf")

    def _on_request(self, exchange):
        self.open.append(exchange)

    async def receive(self, connection, data):
        connection.data_received(data)
        while connection._unread:
            await asyncio.sleep(0.01)


def run(scenario):
    async def play():
        server = Server()
        try:
            await scenario(server)
        finally:
            await server.server.close()

    asyncio.run(play())


def test_body_of_a_pipelined_request_is_asked_for_after_the_response():
    """Guards against 100 Continue in the middle of another response."""

    async def scenario(server):
        connection, transport = server.connect()
        await server.receive(connection, request(1))
        (exchange,) = server.open
        exchange.begin(200, [])
        exchange.write(b"part")
        upload = (
            b"POST /u HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n"
        )
        await server.receive(connection, upload)
        exchange.write(b"rest")
        assert b"100 Continue" not in transport.written
        exchange.finish()
        assert transport.written.endswith(b"0\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n")
        await server.receive(connection, b"body")
        assert server.open[-1].request.body == b"body"
        assert transport.written.count(b"100 Continue") == 1

    run(scenario)


def test_requests_that_wait_on_a_connection_are_answered_before_it_closes():
    """Guards against requests that are lost when the process stops."""

    async def scenario(server):
        connection, transport = server.connect()
        await server.receive(connection, request(1))
        server.open[0].begin(200, [])
        await server.receive(connection, request(2))
        server.server.is_closing = True
        server.open[0].finish()
        assert not transport.is_closed
        server.open[1].respond(503, [], b"")
        assert b"HTTP/1.1 503" in transport.written
        assert b"Connection: close" in transport.written
        assert transport.is_closed

    run(scenario)


def test_connection_closes_after_a_response_that_said_so():
    async def scenario(server):
        connection, transport = server.connect()
        server.server.is_closing = True
        await server.receive(connection, request(1))
        server.open[0].begin(200, [])
        assert b"Connection: close" in transport.written
        await server.receive(connection, request(2))
        server.open[0].finish()
        assert transport.is_closed
        assert len(server.open) == 1

    run(scenario)


def test_reading_pauses_after_many_small_pieces_that_wait():
    """Guards against pieces of a byte, each of which holds far more than that."""

    async def scenario(server):
        connection, transport = server.connect()
        server.budget.share = 0.0
        server.budget.spend(1e9)
        connection.data_received(b"P")
        pieces = 1
        while not transport.is_paused and pieces < 60_000:
            connection.data_received(b"x")
            pieces += 1
        held = connection.holding.get(Kind.UNREAD)
        assert transport.is_paused
        assert held < 2 * defaults.INTAKE_BUFFER_BYTES

    run(scenario)
