"""Remove replicas shortly after one router's channels to the store were reset."""

import asyncio
import contextlib
import itertools
import pathlib
import sys
import typing as t

import harness

from snipedeal_standins.replica import Replica
from snipedeal_standins.replica import ReplicaSpec

ROUTERS = 3
REPLICAS = 4
ROUNDS = 14
ROUND_S = 6.5
#: Time from the reset to the removal of an entry, s.
REMOVAL_DELAY_S = 0.4
#: Time for which a replica serves after its entry was removed, s.
SERVE_ON_S = 4.0
#: Callers of each router, and the pause between their requests, s.
CALLERS = 4
PAUSE_S = 0.03


class ResettingProxy:
    """Forward connections to the store; reset all of them on demand."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        """Listen on a free port; return the address."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def reset(self) -> None:
        """Reset the open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and reset the open connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            to_reader, to_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, to_writer}
        await asyncio.gather(
            self._pump(reader, to_writer), self._pump(to_reader, writer)
        )
        self._writers -= {writer, to_writer}

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                writer.write(data)
                await writer.drain()
        writer.transport.abort()


class SeenReplica(Replica):
    """A replica that reports each request as it arrives.

    :param on_request: called with the replica's ID and that of the request.
    """

    def __init__(
        self, spec: ReplicaSpec, on_request: t.Callable[[str, str], None]
    ) -> None:
        super().__init__(spec)
        self._on_request = on_request

    async def _handle(self, request: t.Any, writer: t.Any) -> None:
        request_id = request.headers.get("snipedeal-request-attempt-id", "")
        self._on_request(self.spec.id, request_id)
        await super()._handle(request, writer)


class LateRemoval:
    """The case: its deployment, its callers and what was seen."""

    def __init__(self, deployment: harness.Deployment, has_trouble: bool) -> None:
        self._deployment = deployment
        self._record = deployment.record
        self._has_trouble = has_trouble
        self._proxies: list[ResettingProxy] = []
        self._removed_s: dict[str, float] = {}
        self._reset_s: dict[int, float] = {}
        self._tasks: set[asyncio.Task[t.Any]] = set()
        self._is_over = False
        self.late: list[float] = []

    def _note_request(self, replica_id: str, request_id: str) -> None:
        """Check a request, whose ID begins with the number of its router."""
        now_s = self._record.now_s()
        removed_s = self._removed_s.get(replica_id)
        if removed_s is None:
            return
        router = int(request_id.partition("-")[0])
        after_s = now_s - removed_s
        stable_s = harness.BOUNDS["stableMs"] / 1000
        is_in_touch = now_s - self._reset_s.get(router, -stable_s) >= stable_s
        is_late = is_in_touch and after_s > harness.BOUNDS["drainMs"] / 1000
        if is_late:
            self.late.append(round(after_s, 3))
        self._record.write(
            "arrived",
            request=request_id,
            replica=replica_id,
            after_removal_s=round(after_s, 3),
            in_touch=is_in_touch,
            late=is_late,
        )

    async def _add_replica(self, number: int) -> Replica:
        spec = ReplicaSpec(f"i-desk-{number}", "desk", work_ms=5.0)
        replica = SeenReplica(spec, self._note_request)
        await self._deployment.add_replica(replica)
        return replica

    async def _call(self, router: int, caller: int) -> None:
        """Send requests that may be repeated, on a kept channel."""
        connection = self._deployment.routers[router].caller()
        for count in itertools.count():
            if self._is_over:
                break
            answer = await harness.exchange(
                connection, 3.0, "GET", "/lookup/a", f"{router}-{caller}-{count}"
            )
            if answer.is_closed:
                await connection.close()
                connection = self._deployment.routers[router].caller()
            await asyncio.sleep(PAUSE_S)
        await connection.close()

    async def _replace(self, replica: Replica, number: int) -> Replica:
        """Add a replica and remove the entry of another, which serves on."""
        successor = await self._add_replica(number)
        await asyncio.sleep(1.0)
        if self._has_trouble:
            router = number % ROUTERS
            self._reset_s[router] = self._record.now_s()
            self._proxies[router].reset()
            self._record.write("reset", router=router)
        await asyncio.sleep(REMOVAL_DELAY_S)
        self._deployment.unregister(replica)
        self._removed_s[replica.spec.id] = self._record.now_s()
        self._record.write("removed", replica=replica.spec.id)
        await asyncio.sleep(SERVE_ON_S)
        await replica.close()
        return successor

    async def play(self) -> bool:
        """Play the case; return whether the rule held."""
        deployment = self._deployment
        await deployment.store.start()
        deployment.configure(1)
        replicas = [await self._add_replica(number) for number in range(REPLICAS)]
        for number in range(ROUTERS):
            proxy = ResettingProxy(deployment.store.address)
            self._proxies.append(proxy)
            await deployment.add_router(f"edge-{number}", await proxy.start())
        await deployment.wait_until_ready()
        for router, caller in itertools.product(range(ROUTERS), range(CALLERS)):
            self._tasks.add(asyncio.create_task(self._call(router, caller)))
        for number in range(ROUNDS):
            ends_s = self._record.now_s() + ROUND_S
            replicas.append(await self._replace(replicas.pop(0), REPLICAS + number))
            await asyncio.sleep(max(0.0, ends_s - self._record.now_s()))
        self._is_over = True
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for proxy in self._proxies:
            proxy.close()
        self._record.write("result", late=len(self.late), after_removal_s=self.late)
        return not self.late


async def play(deployment: harness.Deployment, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    return await LateRemoval(deployment, has_trouble).play()


if __name__ == "__main__":
    sys.exit(harness.main(pathlib.Path(__file__).parent, play))
