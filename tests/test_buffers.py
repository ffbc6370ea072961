"""Memory that received bytes take, of one connection and of all together."""

import asyncio
import base64
import json
import tracemalloc

import aiohttp
import pytest
from test_pump import FakeTransport
from test_pump import chunk

from snipedeal import defaults as core_defaults
from snipedeal.buffers import BufferBudget
from snipedeal.exceptions import LogUnavailableError
from snipedeal.exceptions import SnipedealError
from snipedeal.membership import Vm
from snipedeal.platform import LogClient
from snipedeal.platform import VmListClient
from snipedeal_direct import defaults
from snipedeal_direct.egress import BrokenResponseError
from snipedeal_direct.egress import Connection
from snipedeal_direct.egress import Pool
from snipedeal_direct.peers import CONFIG_PATH
from snipedeal_direct.peers import FEED_PATH
from snipedeal_direct.peers import Peer
from snipedeal_platform.store import TOPIC_BYTES
from snipedeal_platform.store import StoreClient
from snipedeal_router.fleet import _fetch
from snipedeal_standins.edge import Edge
from snipedeal_standins.endless import EndlessServer

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
#: Memory that one read may take beside the bytes that are allowed for it.
MEMORY_LIMIT_BYTES = 16 * 1024 * 1024

ENDLESS = {
    "head": (OK + b"X-Own: ", b"A"),
    "headers": (OK, b"a:b\r\n"),
    "body": (OK + b"\r\n", b"A"),
    "chunks": (CHUNKED, b"1\r\nA\r\n"),
}


def open_connection(budget):
    connection = Connection(("host", 1), budget)
    connection.connection_made(FakeTransport())
    connection.send(b"GET / HTTP/1.1\r\n\r\n")
    return connection


def receive_until_closed(connection, case, most_bytes):
    begin, repeated = case
    connection.data_received(begin)
    data = repeated * (65_536 // len(repeated))
    for _ in range(most_bytes // len(data)):
        # A paused transport delivers nothing.
        if connection.is_closed or connection._transport.is_paused:
            return
        connection.data_received(data)


@pytest.mark.parametrize("name", ENDLESS)
def test_endless_responses_on_many_connections_do_not_exhaust_memory(name):
    async def scenario():
        budget = BufferBudget(2_097_152, defaults.RECEIVED_BYTES_EACH)
        tracemalloc.start()
        connections = [open_connection(budget) for _ in range(100)]
        for connection in connections:
            receive_until_closed(connection, ENDLESS[name], 262_144)
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        most = budget.limit_bytes + 100 * defaults.RECEIVED_BYTES_EACH
        assert budget.used_bytes <= most
        # Beside it, objects of the parsers, and one block on its way.
        assert peak_bytes < most + 4 * 1_048_576

        other = open_connection(budget)
        other.data_received(OK + b"Content-Length: 5\r\n\r\nwhole")
        assert await other.body(100) == b"whole"
        for connection in (*connections, other):
            connection.close()
        assert budget.used_bytes == 0

    asyncio.run(scenario())


def test_bytes_that_a_reader_keeps_count_until_the_response_ends():
    async def scenario():
        budget = BufferBudget(1_000_000, 1_000)
        connection = open_connection(budget)
        connection.data_received(CHUNKED + chunk(b"A" * 50_000))
        reading = asyncio.create_task(connection.body(100_000))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert budget.used_bytes >= 50_000
        connection.data_received(chunk(b""))
        assert len(await reading) == 50_000
        connection.finish()
        assert budget.used_bytes == 0

    asyncio.run(scenario())


def test_response_given_up_for_memory_is_not_taken_for_complete():
    async def scenario():
        budget = BufferBudget(10_000, 1_000)
        connection = open_connection(budget)
        connection.data_received(CHUNKED + chunk(b"A" * 50_000))
        connection.data_received(chunk(b"A") + chunk(b""))
        assert connection.is_closed
        with pytest.raises(BrokenResponseError):
            await connection.body(100_000)

    asyncio.run(scenario())


async def check_bounded(read):
    """Run a read that must fail; check the memory that it takes."""
    tracemalloc.start()
    try:
        async with asyncio.timeout(30):
            with pytest.raises(SnipedealError):
                await read()
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < MEMORY_LIMIT_BYTES


def make_store(address):
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    return StoreClient((host, int(port)), Pool(loop.time), lambda call, outcome: None)


@pytest.mark.parametrize("name", ENDLESS)
@pytest.mark.parametrize("call", ["read", "newest"])
def test_read_of_an_endless_store_does_not_exhaust_memory(call, name):
    async def scenario():
        server = EndlessServer(*ENDLESS[name], 0.0)
        await server.start()
        store = make_store(server.address)
        try:
            if call == "read":
                await check_bounded(lambda: store.read("t", 0, 20_000))
            else:
                await check_bounded(lambda: store.newest("t"))
        finally:
            await server.close()

    asyncio.run(scenario())


def test_topic_whose_pages_never_end_does_not_exhaust_memory():
    value = base64.b64encode(b"A" * 700_000).decode()
    page = json.dumps(
        {"items": [{"key": "k", "value": value}], "end": 1, "hasMore": True}
    ).encode()
    response = OK + b"Content-Length: %d\r\n\r\n" % len(page) + page
    served = 0

    async def serve(reader, writer):
        nonlocal served
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(response)
                served += 1
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    async def scenario():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        async with asyncio.timeout(30):
            with pytest.raises(LogUnavailableError):
                await make_store(f"{host}:{port}").newest("t")
        server.close()

    asyncio.run(scenario())
    assert served <= TOPIC_BYTES / len(page) + 1


@pytest.mark.parametrize("name", ENDLESS)
@pytest.mark.parametrize("client", [LogClient, VmListClient])
def test_endless_response_of_a_platform_service_does_not_exhaust_memory(client, name):
    async def scenario():
        server = EndlessServer(*ENDLESS[name], 0.0)
        await server.start()
        async with aiohttp.ClientSession() as session:
            service = client(f"http://{server.address}", session)
            if client is LogClient:
                await check_bounded(lambda: service.read("s", 0))
            else:
                await check_bounded(service.read)
            while server.connections:
                await asyncio.sleep(0.01)
        await server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("path", [CONFIG_PATH, FEED_PATH + b"targets"])
@pytest.mark.parametrize("name", ENDLESS)
def test_endless_response_of_a_peer_does_not_exhaust_memory(name, path):
    async def scenario():
        edge = Edge()
        server = EndlessServer(*ENDLESS[name], 0.0)
        await server.start()
        try:
            await edge.start([])
            (router,) = edge.routers
            host, _, port = server.address.rpartition(":")
            peer = Peer("endless", (host, int(port)))
            await check_bounded(lambda: router.peers._fetch(peer, path))
            await edge.wait_until(lambda: not server.connections)
        finally:
            await edge.close()
            await server.close()

    asyncio.run(scenario())


def test_response_with_too_many_headers_is_broken():
    async def scenario():
        connection = open_connection(BufferBudget(1_000_000, 1_000))
        connection.data_received(OK + b"a: b\r\n" * 1_000 + b"\r\n")
        with pytest.raises(BrokenResponseError):
            await connection.head()

    asyncio.run(scenario())


def test_replies_of_many_processes_to_the_command_line_are_bounded(monkeypatch):
    monkeypatch.setattr(core_defaults, "FLEET_REPLY_LIMIT_BYTES", 1_048_576)
    monkeypatch.setattr(core_defaults, "FLEET_REPLIES_BYTES", 2_097_152)

    async def scenario():
        server = EndlessServer(*ENDLESS["body"], 0.0)
        await server.start()
        vms = [
            Vm(f"r{n}", "router", "zone", "tcp://127.0.0.1:1", http=server.address)
            for n in range(20)
        ]
        budget = BufferBudget(core_defaults.FLEET_REPLIES_BYTES, 1_000)
        tracemalloc.start()
        async with aiohttp.ClientSession() as session:
            fetches = (_fetch(session, vm, "/status", budget) for vm in vms)
            replies = await asyncio.gather(*fetches)
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        await server.close()
        assert server.sent_bytes > core_defaults.FLEET_REPLIES_BYTES
        assert all("too large" in reply.error for reply in replies)
        assert peak_bytes < MEMORY_LIMIT_BYTES

    asyncio.run(scenario())
