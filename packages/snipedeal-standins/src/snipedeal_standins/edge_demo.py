"""Demo of real routers on loopback in front of a simulated platform.

The store and the replicas run in this process; each router is a separate
process. Callers send a mixed load while one router is stopped with SIGTERM and
another is killed, and both are restarted. Some prompts have a part that crashes
engines, and one engine names a rate limit. A plain replica asks for a pause, another
says that it leaves, and the store has an odd entry. A table shows the outcomes.
"""

import asyncio
import collections
import contextlib
import json
import pathlib
import random
import signal
import sys
import tempfile
import typing as t

import attrs
import defopt

from snipedeal_standins.edge import CUSTOMER
from snipedeal_standins.edge import CallerConnection
from snipedeal_standins.edge import Response
from snipedeal_standins.edge import configuration
from snipedeal_standins.metastore import MetaStore
from snipedeal_standins.ports import free_port
from snipedeal_standins.replica import Replica
from snipedeal_standins.replica import ReplicaSpec

_START_TIMEOUT_S = 30
#: Part of prompts that crashes the demo's engines, and how often it is sent.
CRASHING_PART = "deadbeef"
_CRASHING_FRACTION = 0.05
#: Time after which a crashed engine is back, s.
_RESTART_DELAY_S = 0.5
#: Requests a second that one of the demo's engines says it takes.
_RATE_LIMIT = "8"
#: Seconds for which one of the demo's plain replicas wants no requests.
_PAUSE_S = "0.8"
#: An entry of the store as another writer may leave it.
_ODD_ENTRY = b'{"x": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"
#: Kinds of requests that may be executed at most once.
AT_MOST_ONCE_KINDS = ("change", "chat")
#: Kinds of requests whose response is a stream.
STREAM_KINDS = ("chat", "draft")
#: Number of events in a complete stream.
STREAM_EVENTS = 5


@attrs.define(eq=False)
class RouterProcess:
    """A router that runs as a separate process.

    :param store: ``host:port`` of the metadata store.
    :param directory: where the settings and the log of the router are written.
    :param lag_limit_ms: its ``max_lag_ms``, ``None`` for the default. Most uses
        tolerate event-loop lag, because the machine may run other work.
    """

    name: str
    store: str
    directory: pathlib.Path
    lag_limit_ms: float | None = 2_000
    listen: int = attrs.Factory(free_port)
    ready: int = attrs.Factory(free_port)
    metrics: int = attrs.Factory(free_port)
    peer: int = attrs.Factory(free_port)
    process: asyncio.subprocess.Process | None = None

    def settings(self) -> dict[str, t.Any]:
        """Return the content of the router's settings file."""
        settings = {
            "name": self.name,
            "zone": "zone-a",
            "listen": f"127.0.0.1:{self.listen}",
            "ready": f"127.0.0.1:{self.ready}",
            "metrics": f"127.0.0.1:{self.metrics}",
            "peer": f"127.0.0.1:{self.peer}",
            "source": {"adapter": "snipedeal_platform", "address": self.store},
            "bounds": {
                "grace_s": 8,
                "retry_ratio": 0.2,
                "retry_window_s": 10,
                "retry_slack": 50,
            },
        }
        if self.lag_limit_ms is not None:
            settings["max_lag_ms"] = self.lag_limit_ms
        return settings

    async def start(self) -> None:
        """Start the process and wait until the router is ready."""
        path = self.directory / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()), encoding="utf-8")
        with (self.directory / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "snipedeal_direct", str(path), stdout=log
            )
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.02)

    async def is_ready(self) -> bool:
        """Return whether the router's readiness endpoint responds with 200."""
        connection = CallerConnection(("127.0.0.1", self.ready))
        try:
            await connection.send("GET", "/-/readyz", "ready")
            return (await connection.receive()).status == 200
        except OSError:
            return False
        finally:
            await connection.close()

    def signal(self, number: int) -> None:
        """Send a signal to the process; do nothing if it has already exited."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process exits and return its exit status."""
        assert self.process is not None
        return await self.process.wait()


@attrs.define(eq=False)
class EdgeFleet:
    """A simulated store and replicas, with router processes."""

    directory: pathlib.Path
    store: MetaStore = attrs.Factory(MetaStore)
    replicas: list[Replica] = attrs.Factory(list)
    routers: list[RouterProcess] = attrs.Factory(list)
    _restarts: set[asyncio.Task[None]] = attrs.Factory(set)

    @property
    def crashes(self) -> int:
        """Number of replicas that have crashed."""
        return sum(replica.is_crashed for replica in self.replicas)

    async def start(self, specs: t.Sequence[ReplicaSpec], routers: int) -> None:
        """Start the store and the replicas, then the routers one by one."""
        await self.store.start()
        value = json.dumps(configuration(1)).encode()
        self.store.put("keyed.op", "config", value)
        for spec in specs:
            replica = Replica(spec)
            replica.on_crash = self._on_crash
            await replica.start()
            self._add_replica(replica)
        for number in range(routers):
            router = RouterProcess(
                f"router-{number}", self.store.address, self.directory
            )
            self.routers.append(router)
            await router.start()

    def _add_replica(self, replica: Replica) -> None:
        self.replicas.append(replica)
        entry = json.dumps(replica.registration()).encode()
        self.store.put("keyed.servers", replica.spec.id, entry)

    def _on_crash(self, replica: Replica) -> None:
        task = asyncio.create_task(self._restart(replica))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart(self, replica: Replica) -> None:
        await asyncio.sleep(_RESTART_DELAY_S)
        self.store.put("keyed.servers", replica.spec.id, b"")
        self._add_replica(await replica.restart())

    async def close(self) -> None:
        """Kill the router processes still running and stop the simulated services."""
        for router in self.routers:
            if router.process is not None and router.process.returncode is None:
                router.signal(signal.SIGKILL)
                await router.wait()
        for task in self._restarts:
            task.cancel()
        for replica in self.replicas:
            await replica.close()
        await self.store.close()


@attrs.define(eq=False)
class Load:
    """A mixed load of callers with persistent connections.

    :param outcomes: number of requests by kind of request and outcome.
    :param refused: ids of requests that were refused with 429 or 503.
    :param violations: descriptions of the violated guarantees.
    :param crashes: engines that crashed.
    """

    fleet: EdgeFleet
    rng: random.Random
    outcomes: collections.Counter[tuple[str, str]] = attrs.Factory(collections.Counter)
    refused: set[str] = attrs.Factory(set)
    violations: list[str] = attrs.Factory(list)
    crashes: int = 0
    _count: int = 0

    async def run(self, callers: int, requests: int) -> None:
        """Run concurrent callers that each send ``requests`` requests."""
        await asyncio.gather(*(self._run_caller(requests) for _ in range(callers)))

    def check_runs(self) -> None:
        """Check the runs of all replicas against the refusals callers received."""
        self.violations += check_runs(self.fleet.replicas, self.refused)

    async def _run_caller(self, requests: int) -> None:
        connection: CallerConnection | None = None
        for _ in range(requests):
            kind = self.rng.choice(("lookup", "change", "chat", "draft"))
            self._count += 1
            request_id = f"{kind}-{self._count}"
            router = self.rng.choice(self.fleet.routers)
            if connection is None:
                connection = CallerConnection(("127.0.0.1", router.listen))
            try:
                answer = await self._send_request(connection, kind, request_id)
            except OSError:
                self.outcomes[kind, "no connection"] += 1
                await connection.close()
                connection = None
                await asyncio.sleep(0.05)
                continue
            self._record_outcome(kind, request_id, answer)
            if answer.is_closed or not answer.is_complete:
                await connection.close()
                connection = None
        if connection is not None:
            await connection.close()

    async def _send_request(
        self, connection: CallerConnection, kind: str, request_id: str
    ) -> Response:
        headers = {}
        if kind in STREAM_KINDS:
            part = f"s{self.rng.randrange(8)}"
            if self.rng.random() < _CRASHING_FRACTION:
                part = CRASHING_PART
            headers = prompt_headers(request_id, part)
        method = "GET" if kind == "lookup" else "POST"
        return await connection.request(method, f"/{kind}/x", request_id, headers)

    def _record_outcome(self, kind: str, request_id: str, answer: Response) -> None:
        if not answer.is_complete:
            self.outcomes[kind, "broken off"] += 1
            return
        self.outcomes[kind, str(answer.status)] += 1
        if answer.status in (429, 503):
            self.refused.add(request_id)
        if answer.status != 200:
            return
        self.violations += check_response(kind, request_id, answer)


def check_runs(replicas: t.Iterable[Replica], refused: t.Container[str]) -> list[str]:
    """Check executions against refusals and return descriptions of violations.

    A refused request must not have run, and a request of ``AT_MOST_ONCE_KINDS``
    must have run at most once.

    :param refused: ids of requests that were refused as not executed.
    """
    violations = []
    runs = collections.Counter(run.id for replica in replicas for run in replica.runs)
    for request_id, times in runs.items():
        if request_id in refused:
            violations.append(f"{request_id} was refused as not run, and ran")
        if times > 1 and request_id.startswith(AT_MOST_ONCE_KINDS):
            violations.append(f"{request_id} ran {times} times")
    return violations


def check_response(kind: str, request_id: str, answer: Response) -> list[str]:
    """Check a complete 200 response and return descriptions of violations.

    It must be signed for this request, and a stream must have all its events in
    order.
    """
    signature = answer.headers.get("snipedeal-replica-signature", "")
    if not signature.endswith(f".{request_id}"):
        return [f"{request_id} got the answer of {signature}"]
    if kind not in STREAM_KINDS:
        return []
    numbers = [
        int(line[3:]) for line in answer.body.split(b"\n") if line.startswith(b"id:")
    ]
    if numbers != list(range(1, len(numbers) + 1)) or len(numbers) < STREAM_EVENTS:
        return [f"{request_id} has the events {numbers}"]
    return []


def prompt_headers(request_id: str, part: str) -> dict[str, str]:
    """Return the headers of a prompt whose prefix other requests share.

    :param part: ID of the second part of the prefix.
    """
    return {
        "Snipedeal-Model": "m",
        "Snipedeal-Token-Usage": "1200,20",
        "Snipedeal-Prompt-Prefix": f"aa:200,{part}:600,{request_id}:400",
    }


def replica_specs() -> list[ReplicaSpec]:
    """Return the specs of two plain replicas and three engines."""
    return [ReplicaSpec(f"desk-{n}", "desk") for n in range(2)] + [
        ReplicaSpec(f"model-{n}", "model", slots=64, read_rate=200.0) for n in range(3)
    ]


async def run_load_with_restarts(
    directory: pathlib.Path, seed: int, callers: int = 8
) -> Load:
    """Run a load while one router is stopped, another killed, and both restarted."""
    fleet = EdgeFleet(directory)
    try:
        await fleet.start(replica_specs(), routers=3)
        for replica in fleet.replicas:
            replica.faults.crashing_parts.add(CRASHING_PART)
        fleet.replicas[-1].faults.rate_limit = _RATE_LIMIT
        fleet.store.put("keyed.servers", "stranger", _ODD_ENTRY)
        shedding, leaving = fleet.replicas[0].faults, fleet.replicas[1].faults
        shedding.mode, shedding.count = "declined", 3
        shedding.retry_after = (_PAUSE_S,)
        leaving.leaving = "1"
        load = Load(fleet, random.Random(seed))
        load_task = asyncio.create_task(load.run(callers, 60))
        await asyncio.sleep(0.5)
        stopped, killed = fleet.routers[0], fleet.routers[1]
        stopped.signal(signal.SIGTERM)
        killed.signal(signal.SIGKILL)
        await killed.wait()
        await killed.start()
        status = await stopped.wait()
        if status != 0:
            load.violations.append(f"{stopped.name} ended with {status}")
        await stopped.start()
        await load_task
        load.check_runs()
        load.crashes = fleet.crashes
        return load
    finally:
        await fleet.close()


def demo(*, seed: int = 1) -> int:
    """Run the demo and print the callers' outcomes.

    :param seed: seed of the load's random choices.
    """
    with tempfile.TemporaryDirectory() as directory:
        load = asyncio.run(run_load_with_restarts(pathlib.Path(directory), seed))
    print(f"customer {CUSTOMER}, three routers; one stopped, one killed meanwhile")
    for (kind, outcome), count in sorted(load.outcomes.items()):
        print(f"{kind:8} {outcome:15} {count:6}")
    print(f"{load.crashes} engines crashed by prompts with one part")
    for line in load.violations:
        print("WRONG", line)
    return 1 if load.violations else 0


if __name__ == "__main__":
    sys.exit(defopt.run(demo))
