"""Run routers as processes between stand-ins of the platform, replicas and clients.

The store and the replicas are the project's own stand-ins. The settings are those of
a small deployment (``sites/uwazi-portal.toml``), on loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import typing as t

from snipedeal_standins.metastore import MetaStore
from snipedeal_standins.rawhttp import RawServer
from snipedeal_standins.replica import Replica
from snipedeal_standins.replica import ReplicaSpec

ROOT = pathlib.Path(__file__).resolve().parents[1]
if ROOT.name == "target":
    # The built copy lies in target/review-2.
    ROOT = ROOT.parent

HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "portal.example"
KEY = "k7b2ex5wa5xwyhks8nbk"
TENANT = "hule930"
MODEL, DESK = "msemaji", "daftari"
START_TIMEOUT_S = 20.0
#: Memory of an edge machine in the site file, bytes (MB of 10**6).
MEMORY_LIMIT_BYTES = 300 * 1_000_000


def has_trouble() -> bool:
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def make_route(name: str, kind: str, service: str, **fields: t.Any) -> dict[str, t.Any]:
    """Return a route with the path prefix ``/NAME/``."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 15_000,
        "targetLatencyMs": 1_000,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
        "gapAimMs": 500,
        **fields,
    }


def make_configuration(version: int = 1) -> dict[str, t.Any]:
    """Return a configuration with the routes and limits of the site."""
    return {
        "version": version,
        "routes": [
            make_route("budget-digest", "streaming", MODEL, sticky=True),
            make_route(
                "citizen-ask",
                "streaming",
                MODEL,
                sticky=True,
                resumable=True,
                maxAttempts=2,
            ),
            make_route("publish-notice", "non_idempotent", DESK, timeoutMs=1_500),
            make_route(
                "record-lookup", "idempotent", DESK, timeoutMs=1_500, maxAttempts=2
            ),
        ],
        "services": [
            {
                "name": MODEL,
                "healthPath": "/healthz",
                "maxConnections": 370,
                "engine": {"slots": 64, "kvCapacityTokens": 520_984},
            },
            {"name": DESK, "healthPath": "/healthz", "maxConnections": 110},
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
            "tokensPerS": 95_000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


def free_port() -> int:
    """Return a free TCP port on the loopback interface."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Record:
    """Write what happened to ``record.txt`` in a case's folder."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._start_s:8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Router:
    """A router that runs as a separate process, with the deploy file's command."""

    def __init__(self, name: str, zone: str, store: str, folder: pathlib.Path) -> None:
        self.name = name
        self.listen, self.ready, self.metrics, self.peer = (
            free_port() for _ in range(4)
        )
        self.process: asyncio.subprocess.Process | None = None
        self.log_path = folder / f"{name}.log"
        self._settings_path = folder / f"{name}.json"
        settings = {
            "name": name,
            "zone": zone,
            "listen": f"127.0.0.1:{self.listen}",
            "ready": f"127.0.0.1:{self.ready}",
            "metrics": f"127.0.0.1:{self.metrics}",
            "peer": f"127.0.0.1:{self.peer}",
            "max_descriptors": 4_100,
            "source": {"adapter": "snipedeal_platform", "address": store},
            "bounds": {
                "grace_s": 8,
                "retry_ratio": 0.2,
                "retry_window_s": 10,
                "retry_slack": 58,
                "share_window_s": 4,
            },
        }
        self._settings_path.write_text(json.dumps(settings), encoding="utf-8")

    async def start(self, *, is_awaited: bool = True) -> None:
        """Start the process; wait until it is ready."""
        variables = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["SNIPEDEAL_BOOT"] = str(self._settings_path)
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "snipedeal_direct",
                str(self._settings_path),
                cwd=ROOT,
                env=variables,
                stdout=log,
                stderr=log,
            )
        if not is_awaited:
            return
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    @property
    def pid(self) -> int:
        """Process ID."""
        assert self.process is not None
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def resident_bytes(self) -> int:
        """Return the resident memory of the process, 0 if it has ended."""
        try:
            text = pathlib.Path(f"/proc/{self.pid}/statm").read_text(encoding="ascii")
        except OSError:
            return 0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal unless the process has ended."""
        if self.is_running:
            assert self.process is not None
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the readiness probe gets a 200."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
        except OSError:
            return False
        try:
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            async with asyncio.timeout(1):
                line = await reader.readline()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()


class Stage:
    """The store, the replicas and the routers of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder)
        self.store = MetaStore()
        self.replicas: list[Replica] = []
        self.routers: list[Router] = []
        self._sequence = 0
        self._temporary = tempfile.TemporaryDirectory()
        self._servers: list[RawServer] = []
        self._heartbeats: asyncio.Task[None] | None = None

    async def start(self, replicas: t.Sequence[Replica], routers: int) -> None:
        """Start the store, register the replicas, and start the routers."""
        await self.store.start()
        configuration = json.dumps(make_configuration()).encode()
        self.store.put("keyed.op", "config", configuration)
        self.replicas = list(replicas)
        for replica in self.replicas:
            await replica.start()
        self._register()
        self._heartbeats = asyncio.create_task(self._keep_registered())
        folder = pathlib.Path(self._temporary.name)
        for number in range(routers):
            zone = f"dar-{'abc'[number % 3]}"
            self.routers.append(
                Router(f"edge-{zone}-{number}", zone, self.store.address, folder)
            )
        await asyncio.gather(*(router.start() for router in self.routers))
        # Replicas and peers become known.
        await asyncio.sleep(1.0)

    def _register(self) -> None:
        self._sequence += 1
        for replica in self.replicas:
            entry = replica.registration(sequence=self._sequence)
            self.store.put("keyed.servers", replica.spec.id, json.dumps(entry).encode())

    async def _keep_registered(self) -> None:
        while True:
            await asyncio.sleep(1.2)
            self._register()

    async def close(self) -> None:
        """End all processes that were started, and close the stand-ins."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for router in self.routers:
            if router.is_running:
                router.send_signal(signal.SIGKILL)
                assert router.process is not None
                await router.process.wait()
        for replica in self.replicas:
            await replica.close()
        await self.store.close()
        self._temporary.cleanup()
        self.record.close()


def make_desk(number: int, **fields: t.Any) -> Replica:
    """Return a replica of the plain service."""
    zone = f"dar-{'abc'[number % 3]}"
    return Replica(
        ReplicaSpec(
            f"i-desk{number}", DESK, slots=6, queue=24, work_ms=45, zone=zone, **fields
        )
    )


def make_engine(number: int, **fields: t.Any) -> Replica:
    """Return a replica of the model service."""
    zone = f"dar-{'abc'[number % 3]}"
    spec = {"read_rate": 48.2, "event_ms": 5.0, "events": 4, **fields}
    return Replica(
        ReplicaSpec(f"i-model{number}", MODEL, slots=64, queue=134, zone=zone, **spec)
    )


def run_case(
    folder: pathlib.Path,
    play: t.Callable[[Stage], t.Coroutine[t.Any, t.Any, bool]],
    limit_s: float = 110.0,
) -> int:
    """Play a case; return the exit status.

    :param play: returns whether the rule was broken.
    """
    return asyncio.run(_run_case(folder, play, limit_s))


async def _run_case(
    folder: pathlib.Path,
    play: t.Callable[[Stage], t.Coroutine[t.Any, t.Any, bool]],
    limit_s: float,
) -> int:
    stage = Stage(folder)
    try:
        async with asyncio.timeout(limit_s):
            is_broken = await play(stage)
    except Exception as error:
        # An error of the case itself must not look like a broken rule.
        stage.record.write(f"the case could not run: {error!r}")
        print(f"not run: {error!r}", file=sys.stderr)
        return NOT_RUN
    finally:
        await stage.close()
    print("the rule was broken" if is_broken else "the rule held")
    return BROKEN if is_broken else HELD


class Answer(t.NamedTuple):
    """An answer as a client read it.

    :param status: 0 if the channel ended before a status line.
    :param interim: a line that stands where the size of a chunk is due, else empty.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool
    interim: bytes = b""


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer; an incomplete one is returned as such."""
    status, headers, body = 0, {}, b""
    try:
        line = await reader.readuntil(b"\r\n")
        status = int(line.split(b" ")[1])
        while (line := (await reader.readuntil(b"\r\n")).strip()) != b"":
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        if headers.get("transfer-encoding") == "chunked":
            while line := await reader.readuntil(b"\r\n"):
                if line.startswith(b"HTTP/"):
                    return Answer(status, headers, body, False, line.strip())
                size = int(line, 16)
                if not size:
                    break
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        else:
            size = int(headers.get("content-length", "0"))
            body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return Answer(status, headers, body, False)
    return Answer(status, headers, body, True)
