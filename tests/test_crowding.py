"""A router whose callers open more connections than its limit."""

import asyncio

from snipedeal_standins.edge import Edge
from snipedeal_standins.replica import ReplicaSpec

LIMIT = 8


def run_scenario(scenario):
    async def run():
        edge = Edge()
        try:
            await edge.start([ReplicaSpec("desk-0", "desk", work_ms=300.0)])
            server = edge.routers[0]._ingress
            server.max_connections = LIMIT
            await scenario(edge, server)
        finally:
            await edge.close()

    asyncio.run(run())


def test_longest_idle_connection_is_closed_for_a_new_one():
    async def scenario(edge, server):
        connections = [edge.caller_connection() for _ in range(LIMIT)]
        for connection in connections:
            await connection.open()
        await edge.wait_until(lambda: len(server.connections) == LIMIT)
        # A connection with a request in progress must not be closed for a new one.
        busy = asyncio.create_task(connections[0].request("POST", "/change/x", "c1"))
        await edge.wait_until(lambda: bool(edge.runs()))
        new_connection = edge.caller_connection()
        await new_connection.open()
        await edge.wait_until(lambda: len(server.connections) == LIMIT)
        assert await connections[1].reader.read() == b""
        answer = await new_connection.request("POST", "/change/x", "c2")
        assert (await busy).status == answer.status == 200

    run_scenario(scenario)


def test_router_near_the_limit_closes_connections_after_answers():
    async def scenario(edge, server):
        connection = edge.caller_connection()
        assert not (await connection.request("GET", "/lookup/x", "c1")).is_closed
        others = [edge.caller_connection() for _ in range(LIMIT - 1)]
        for other in others:
            await other.open()
        await edge.wait_until(lambda: len(server.connections) == LIMIT)
        assert (await connection.request("GET", "/lookup/x", "c2")).is_closed
        await edge.wait_until(lambda: len(server.connections) == LIMIT - 1)
        assert not server.idle.keys() - server.connections

    run_scenario(scenario)


def test_router_below_the_limit_keeps_connections_open():
    async def scenario(edge, server):
        connections = [edge.caller_connection() for _ in range(LIMIT // 2)]
        for number, connection in enumerate(connections):
            answer = await connection.request("GET", "/lookup/x", f"c{number}")
            assert not answer.is_closed
        assert len(server.connections) == len(connections)

    run_scenario(scenario)
