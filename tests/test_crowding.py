"""Callers that open more connections than a router may have."""

import asyncio

from snipedeal_standins.edge import Edge
from snipedeal_standins.replica import ReplicaSpec

LIMIT = 8


def play(work):
    async def run():
        edge = Edge()
        try:
            await edge.start([ReplicaSpec("desk-0", "desk", work_ms=300.0)])
            server = edge.routers[0]._ingress
            server.most_connections = LIMIT
            await work(edge, server)
        finally:
            await edge.close()

    asyncio.run(run())


def test_connections_that_are_idle_longest_make_room():
    async def work(edge, server):
        links = [edge.link() for _ in range(LIMIT)]
        for link in links:
            await link.open()
        await edge.until(lambda: len(server.connections) == LIMIT)
        # a request under way is not broken off for a new connection.
        busy = asyncio.create_task(links[0].ask("POST", "/change/x", "c1"))
        await edge.until(lambda: bool(edge.runs()))
        late = edge.link()
        await late.open()
        await edge.until(lambda: len(server.connections) == LIMIT)
        assert await links[1].reader.read() == b""
        answer = await late.ask("POST", "/change/x", "c2")
        assert (await busy).status == answer.status == 200

    play(work)


def test_answers_of_a_crowded_router_end_their_connections():
    async def work(edge, server):
        link = edge.link()
        assert not (await link.ask("GET", "/lookup/x", "c1")).is_closed
        others = [edge.link() for _ in range(LIMIT - 1)]
        for other in others:
            await other.open()
        await edge.until(lambda: len(server.connections) == LIMIT)
        assert (await link.ask("GET", "/lookup/x", "c2")).is_closed
        await edge.until(lambda: len(server.connections) == LIMIT - 1)
        assert not server.idle.keys() - server.connections

    play(work)


def test_router_with_room_keeps_connections():
    async def work(edge, server):
        links = [edge.link() for _ in range(LIMIT // 2)]
        for number, link in enumerate(links):
            answer = await link.ask("GET", "/lookup/x", f"c{number}")
            assert not answer.is_closed
        assert len(server.connections) == len(links)

    play(work)
