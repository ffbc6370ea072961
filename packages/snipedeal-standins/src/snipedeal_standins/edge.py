"""Run real routers, a simulated platform and callers in one event loop."""

import asyncio
import json
import typing as t

import attrs

from snipedeal.clock import Clock
from snipedeal_direct.journal import LogWriter
from snipedeal_direct.router import DirectRouter
from snipedeal_direct.settings import BoundSettings
from snipedeal_direct.settings import DirectSettings
from snipedeal_direct.settings import SourceSettings
from snipedeal_standins.metastore import MetaStore
from snipedeal_standins.ports import free_port
from snipedeal_standins.rawhttp import read_chunks
from snipedeal_standins.rawhttp import read_headers
from snipedeal_standins.replica import Replica
from snipedeal_standins.replica import ReplicaSpec

HOST = "callers.example"
API_KEY = "key-one"
#: Time after which a crashed replica is back, s.
RESTART_DELAY_S = 0.3
CUSTOMER = "one"


def route(name: str, kind: str, service: str, **changes: t.Any) -> dict[str, t.Any]:
    """Return a route with the path prefix ``/NAME/``; ``changes`` override fields."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 5000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        **changes,
    }


def configuration(version: int, **changes: t.Any) -> dict[str, t.Any]:
    """Return a configuration with a plain and a model service.

    :param changes: top-level fields that replace the defaults.
    """
    return {
        "version": version,
        "routes": [
            route("lookup", "idempotent", "desk"),
            route("change", "non_idempotent", "desk"),
            route("open", "idempotent", "desk", public=True),
            route("chat", "streaming", "model", sticky=True),
            route("draft", "streaming", "model", sticky=True, resumable=True),
        ],
        "services": [
            {"name": "desk", "healthPath": "/healthz", "maxConnections": 110},
            {
                "name": "model",
                "healthPath": "/healthz",
                "maxConnections": 370,
                "engine": {"slots": 64, "kvCapacityTokens": 500_000},
            },
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 100_000,
            "headerTimeoutMs": 2_000,
            "idleTimeoutMs": 5_000,
            "tokensPerS": 95_000,
        },
        "tenants": [
            {"name": CUSTOMER, "apiKeys": [API_KEY], "priority": 1},
            {"name": "two", "apiKeys": ["key-two"], "priority": 1},
        ],
        **changes,
    }


@attrs.frozen
class Response:
    """A response as the caller received it.

    :param status: HTTP status code; 0 if the connection ended before a status line.
    :param is_complete: whether the complete response was received.
    :param is_closed: whether the connection is closed after the response.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool = True
    is_closed: bool = False


class CallerConnection:
    """A caller's HTTP/1.1 connection to a router."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(*self._address)

    async def close(self) -> None:
        """Abort the connection without flushing its buffers."""
        if self.writer is not None:
            self.writer.transport.abort()

    async def send_raw(self, data: bytes) -> None:
        """Send bytes unchanged, opening the connection on first use."""
        if self.writer is None:
            await self.open()
        assert self.writer is not None
        self.writer.write(data)
        await self.writer.drain()

    async def send(
        self,
        method: str,
        path: str,
        request_id: str,
        headers: t.Mapping[str, str] | None = None,
        body: bytes = b"",
    ) -> None:
        """Send a request with an API key.

        ``headers`` override the default headers; an empty value omits a header.
        """
        fields = {
            "Host": HOST,
            "Snipedeal-Request-Attempt-Id": request_id,
            "Snipedeal-Deadline-Ms": "5000",
            "Snipedeal-Credential": API_KEY,
            "Content-Length": str(len(body)),
        }
        fields |= dict(headers or {})
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items() if value]
        await self.send_raw(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    async def receive(self) -> Response:
        """Read a response; if it ends early, return the part received."""
        assert self.reader is not None
        line = await self.reader.readline()
        if not line:
            return Response(0, {}, b"", is_complete=False, is_closed=True)
        status = int(line.split(b" ")[1])
        headers = await read_headers(self.reader)
        try:
            if "chunked" in headers.get("transfer-encoding", ""):
                body = await read_chunks(self.reader)
            else:
                length = int(headers.get("content-length", "0"))
                body = await self.reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            partial = getattr(error, "partial", b"")
            return Response(status, headers, partial, is_complete=False, is_closed=True)
        is_closed = headers.get("connection", "") == "close"
        return Response(status, headers, body, is_closed=is_closed)

    async def request(self, *args: t.Any, **kwargs: t.Any) -> Response:
        """Send a request and read its response."""
        await self.send(*args, **kwargs)
        return await self.receive()


class Edge:
    """Run a simulated store and replicas with real routers in front of them."""

    def __init__(self) -> None:
        self.store = MetaStore()
        self.replicas: dict[str, Replica] = {}
        self.crashed: list[Replica] = []
        self._restarts: set[asyncio.Task[None]] = set()
        self.routers: list[DirectRouter] = []
        self._caller_connections: list[CallerConnection] = []

    async def start(
        self, specs: t.Sequence[ReplicaSpec], routers: int = 1, **config: t.Any
    ) -> None:
        """Start everything; wait until all routers are ready and list all replicas."""
        await self.store.start()
        self.configure(1, **config)
        for spec in specs:
            await self.add_replica(spec)
        for _ in range(routers):
            await self.add_router()
        await self.wait_until(
            lambda: all(self._has_all_replicas(r) for r in self.routers)
        )

    async def close(self) -> None:
        """Stop everything."""
        for task in list(self._restarts):
            task.cancel()
        for connection in self._caller_connections:
            await connection.close()
        for router in self.routers:
            await router.close()
        for replica in self.replicas.values():
            await replica.close()
        await self.store.close()

    def configure(self, version: int, **changes: t.Any) -> None:
        """Publish a configuration."""
        value = json.dumps(configuration(version, **changes)).encode()
        self.store.put("keyed.op", "config", value)

    def register(self, replica: Replica, **changes: t.Any) -> None:
        """Write a replica's registration to the store."""
        value = json.dumps(replica.registration(**changes)).encode()
        self.store.put("keyed.servers", replica.spec.id, value)

    def unregister(self, replica: Replica) -> None:
        """Delete a replica's registration; an empty value deletes its key."""
        self.store.put("keyed.servers", replica.spec.id, b"")

    async def add_replica(self, spec: ReplicaSpec, port: int = 0) -> Replica:
        """Start and register a replica."""
        replica = Replica(spec)
        replica.on_crash = self._on_crash
        await replica.start(port)
        self.replicas[spec.id] = replica
        self.register(replica)
        return replica

    def _on_crash(self, replica: Replica) -> None:
        task = asyncio.create_task(self._restart_replica(replica))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart_replica(self, replica: Replica) -> None:
        """Replace a crashed replica by one with another ID at the same address."""
        self.crashed.append(self.replicas.pop(replica.spec.id))
        await asyncio.sleep(RESTART_DELAY_S)
        self.unregister(replica)
        successor = await replica.restart()
        self.replicas[successor.spec.id] = successor
        self.register(successor)

    async def add_router(self) -> DirectRouter:
        """Start a router."""
        router = make_router(f"router-{len(self.routers)}", self.store.address)
        await router.start()
        self.routers.append(router)
        return router

    def caller_connection(self, router: int = 0) -> CallerConnection:
        """Return a caller's connection to a router; it opens on the first send."""
        host, _, port = self.routers[router].settings.listen.rpartition(":")
        connection = CallerConnection((host, int(port)))
        self._caller_connections.append(connection)
        return connection

    def runs(self) -> list[t.Any]:
        """Return the runs of all replicas."""
        replicas = [*self.replicas.values(), *self.crashed]
        return [run for replica in replicas for run in replica.runs]

    async def wait_until(self, check: t.Callable[[], bool]) -> None:
        """Wait until ``check`` returns true; raise ``TimeoutError`` after 30 s."""
        async with asyncio.timeout(30):
            while not check():
                await asyncio.sleep(0.01)

    def _has_all_replicas(self, router: DirectRouter) -> bool:
        target_ids = {target.id for target in router.dispatcher.targets()}
        return router.is_ready and target_ids == set(self.replicas)


def make_router(name: str, store: str) -> DirectRouter:
    """Return a router on free loopback ports.

    :param store: ``host:port`` of the metadata store.
    """
    listen, ready, metrics, peer = (f"127.0.0.1:{free_port()}" for _ in range(4))
    settings = DirectSettings(
        name=name,
        zone="zone-a",
        listen=listen,
        ready=ready,
        metrics=metrics,
        peer=peer,
        source=SourceSettings("snipedeal_platform", store),
        bounds=BoundSettings(
            grace_s=8, retry_ratio=0.2, retry_window_s=10, retry_slack=50
        ),
        # Prevents refusals due to event-loop lag: callers and replicas share the
        # router's loop, on a machine that may be busy.
        max_lag_ms=1e12,
    )
    return DirectRouter(settings, LogWriter(name, 0, Clock()))
