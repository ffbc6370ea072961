"""Run the router processes of the deploy file between stand-ins, for the cases."""

import asyncio
import contextlib
import json
import os
import pathlib
import re
import signal
import tempfile
import time
import tomllib
import typing as t

from snipedeal_standins.edge import CallerConnection
from snipedeal_standins.edge import Response
from snipedeal_standins.edge import configuration
from snipedeal_standins.metastore import MetaStore
from snipedeal_standins.ports import free_port
from snipedeal_standins.replica import Replica
from snipedeal_standins.replica import ReplicaSpec

ROOT = pathlib.Path(__file__).resolve().parents[1]
#: Longest run of a case, s.
TIME_LIMIT_S = 115.0
#: Time in which routers must become ready, s.
START_LIMIT_S = 20.0
#: Bounds of the small deployment, as its settings have them.
BOUNDS = {
    "stableMs": 3000,
    "drainMs": 2000,
    "graceS": 8,
    "configApplyMs": 2000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 56,
    "quotaWindowS": 4,
}
#: Memory of a router's machine, MB.
MEMORY_MB = 300
_PLACEHOLDER = re.compile(r"{{([\w.]+)(\|json)?}}")

#: Exit statuses; ``run.sh`` maps them, since Python ends with 1 after any error.
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 20


class Record:
    """Write what was sent, answered and run to a file, one JSON line an event."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start_s

    def write(self, event: str, **fields: t.Any) -> None:
        """Write an event."""
        line = {"s": round(self.now_s(), 3), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Router:
    """A router process, started with the command of the deploy file."""

    def __init__(self, name: str, store: str, directory: pathlib.Path) -> None:
        self.name = name
        self.listen = free_port()
        self.ready = free_port()
        self.peer = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self._settings = directory / f"{name}.json"
        self._log = directory / f"{name}.log"
        self._store = store

    def _render_settings(self, template: str) -> str:
        fields: dict[str, t.Any] = {
            "node": self.name,
            "zone": "zone-a",
            "listen.front": f"127.0.0.1:{self.listen}",
            "listen.ready": f"127.0.0.1:{self.ready}",
            "ip": "127.0.0.1",
            "internalPorts.0": self.peer,
            "limits.maxFds": 4100,
            "platform.address": self._store,
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
        }
        # On one loopback address, the port of the metrics has to differ as well.
        text = template.replace(":7401", f":{free_port()}")

        def fill(match: re.Match[str]) -> str:
            value = fields[match[1]]
            return json.dumps(value) if match[2] else str(value)

        return _PLACEHOLDER.sub(fill, text)

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["router"]
        template = (ROOT / role["template"]).read_text()
        self._settings.write_text(self._render_settings(template))
        words = role["run"].split()[:-1]
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words,
                str(self._settings),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process, unless it has ended."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    async def is_ready(self) -> bool:
        """Return whether the router answers its status check with 200."""
        connection = CallerConnection(("127.0.0.1", self.ready))
        try:
            await connection.send_raw(b"GET /-/readyz HTTP/1.1\r\nHost: r\r\n\r\n")
            async with asyncio.timeout(1):
                return (await connection.receive()).status == 200
        except (OSError, TimeoutError):
            return False
        finally:
            await connection.close()

    def caller(self) -> CallerConnection:
        """Return a new connection to the router; it opens on the first send."""
        return CallerConnection(("127.0.0.1", self.listen))

    def memory_mb(self) -> float:
        """Return the process's resident memory, MB; zero if it has ended."""
        if not self.is_running:
            return 0.0
        with contextlib.suppress(OSError):
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
            found = re.search(r"VmRSS:\s+(\d+) kB", status)
            return int(found[1]) / 1024 if found else 0.0
        return 0.0


class Deployment:
    """A small deployment: a store, replicas and router processes."""

    def __init__(self, record: Record, directory: pathlib.Path) -> None:
        self.record = record
        self.store = MetaStore()
        self.replicas: list[Replica] = []
        self.routers: list[Router] = []
        self._directory = directory
        self._others: list[Deployment] = []

    def another(self) -> "Deployment":
        """Return another deployment beside this one, which closes it."""
        directory = self._directory / f"deployment-{len(self._others) + 1}"
        directory.mkdir()
        other = Deployment(self.record, directory)
        self._others.append(other)
        return other

    async def start(
        self, specs: t.Sequence[ReplicaSpec], routers: int, **config: t.Any
    ) -> None:
        """Start everything; wait until all routers are ready."""
        await self.store.start()
        self.configure(1, **config)
        for spec in specs:
            await self.add_replica(Replica(spec))
        for number in range(routers):
            await self.add_router(f"edge-{number}", self.store.address)
        await self.wait_until_ready()

    async def add_router(self, name: str, store: str) -> None:
        """Start a router.

        :param store: address of the store.
        """
        router = Router(name, store, self._directory)
        self.routers.append(router)
        await router.start()

    async def wait_until_ready(self) -> None:
        """Wait until all routers are ready, and know the replicas and each other."""
        for router in self.routers:
            await self.wait_ready(router)
        await asyncio.sleep(2)

    def configure(self, version: int, **changes: t.Any) -> None:
        """Put a configuration."""
        value = json.dumps(configuration(version, **changes)).encode()
        self.store.put("keyed.op", "config", value)

    async def add_replica(self, replica: Replica, port: int = 0) -> None:
        """Start and register a replica."""
        await replica.start(port)
        self.replicas.append(replica)
        self.register(replica)

    def register(self, replica: Replica, **changes: t.Any) -> None:
        """Write a replica's entry to the store."""
        value = json.dumps(replica.registration(**changes)).encode()
        self.store.put("keyed.servers", replica.spec.id, value)

    def unregister(self, replica: Replica) -> None:
        """Delete a replica's entry."""
        self.store.put("keyed.servers", replica.spec.id, b"")

    async def wait_ready(self, router: Router) -> None:
        """Wait until a router is ready."""
        async with asyncio.timeout(START_LIMIT_S):
            while not await router.is_ready():
                await asyncio.sleep(0.1)

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for other in self._others:
            await other.close()
        for router in self.routers:
            router.signal(signal.SIGKILL)
            if router.process is not None:
                await router.process.wait()
        for replica in self.replicas:
            await replica.close()
        await self.store.close()


async def exchange(
    connection: CallerConnection, limit_s: float, *args: t.Any, **kwargs: t.Any
) -> Response:
    """Send a request and return its response, with status 0 if there is none.

    :param limit_s: time after which the caller leaves.
    """
    try:
        async with asyncio.timeout(limit_s):
            return await connection.request(*args, **kwargs)
    except (OSError, TimeoutError, ValueError, IndexError):
        return Response(0, {}, b"", is_complete=False, is_closed=True)


Case = t.Callable[[Deployment, bool], t.Awaitable[bool]]


def main(folder: pathlib.Path, case: Case) -> int:
    """Run a case; return the exit status.

    :param case: plays it, with or without the trouble; returns whether the rule held.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    return asyncio.run(_run(folder, case, has_trouble))


async def _run(folder: pathlib.Path, case: Case, has_trouble: bool) -> int:
    record = Record(folder / "record.txt")
    with tempfile.TemporaryDirectory() as name:
        deployment = Deployment(record, pathlib.Path(name))
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                has_held = await case(deployment, has_trouble)
            result = HELD if has_held else BROKEN
        except (OSError, TimeoutError) as error:
            record.write("could not run", error=repr(error))
            result = COULD_NOT_RUN
        finally:
            await deployment.close()
            if logs := os.environ.get("ROUTER_LOGS"):
                for path in pathlib.Path(name).glob("*.log"):
                    (pathlib.Path(logs) / path.name).write_bytes(path.read_bytes())
    outcome = {HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[result]
    record.write("end", rule=outcome, trouble=has_trouble)
    record.close()
    print(f"{folder.name}: trouble={has_trouble}: {outcome}")
    return result
