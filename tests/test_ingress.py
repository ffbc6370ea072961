"""Connections of callers with several requests on the way."""

import asyncio

from test_intake import Intake
from test_intake import request


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
