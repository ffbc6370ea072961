"""Real routers on loopback before a stand-in of the users' platform.

The store and the replicas run in this process, the routers are processes of
their own. A mixed load runs through them while one is stopped and another is
killed and started again; a table shows what callers got.
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
from snipedeal_standins.edge import Answer
from snipedeal_standins.edge import CallerLink
from snipedeal_standins.edge import configuration
from snipedeal_standins.edge import free_port
from snipedeal_standins.metastore import MetaStore
from snipedeal_standins.replica import Replica
from snipedeal_standins.replica import ReplicaSpec

_START_LIMIT_S = 30
#: Kinds of requests that may run once, and kinds that are answered by a stream.
ONCE_KINDS = ("change", "chat")
STREAM_KINDS = ("chat", "draft")
STREAM_EVENTS = 5


@attrs.define(eq=False)
class RouterProcess:
    """A router that runs as a process."""

    name: str
    store: str
    directory: pathlib.Path
    listen: int = attrs.Factory(free_port)
    ready: int = attrs.Factory(free_port)
    metrics: int = attrs.Factory(free_port)
    peer: int = attrs.Factory(free_port)
    process: asyncio.subprocess.Process | None = None

    def settings(self) -> dict[str, t.Any]:
        """Return its settings."""
        return {
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
            # the machine may be busy with other work.
            "max_lag_ms": 2_000,
        }

    async def start(self) -> None:
        """Start it and wait until it is ready."""
        path = self.directory / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()), encoding="utf-8")
        with (self.directory / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "snipedeal_direct", str(path), stdout=log
            )
        async with asyncio.timeout(_START_LIMIT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.02)

    async def is_ready(self) -> bool:
        """Ask whether it takes callers."""
        link = CallerLink(("127.0.0.1", self.ready))
        try:
            await link.send("GET", "/-/readyz", "ready")
            return (await link.receive()).status == 200
        except OSError:
            return False
        finally:
            await link.close()

    def signal(self, number: int) -> None:
        """Send a signal to the process that was started."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def ended(self) -> int:
        """Wait for its end; return the exit status."""
        assert self.process is not None
        return await self.process.wait()


@attrs.define(eq=False)
class EdgeFleet:
    """Store, replicas and router processes."""

    directory: pathlib.Path
    store: MetaStore = attrs.Factory(MetaStore)
    replicas: list[Replica] = attrs.Factory(list)
    routers: list[RouterProcess] = attrs.Factory(list)

    async def start(self, specs: t.Sequence[ReplicaSpec], routers: int) -> None:
        """Start everything."""
        await self.store.start()
        text = json.dumps(configuration(1)).encode()
        self.store.put("keyed.op", "config", text)
        for spec in specs:
            replica = Replica(spec)
            await replica.start()
            self.replicas.append(replica)
            entry = json.dumps(replica.entry()).encode()
            self.store.put("keyed.servers", spec.id, entry)
        for number in range(routers):
            router = RouterProcess(
                f"router-{number}", self.store.address, self.directory
            )
            self.routers.append(router)
            await router.start()

    async def close(self) -> None:
        """End every process that was started, and the stand-ins."""
        for router in self.routers:
            if router.process is not None and router.process.returncode is None:
                router.signal(signal.SIGKILL)
                await router.ended()
        for replica in self.replicas:
            await replica.close()
        await self.store.close()


@attrs.define(eq=False)
class Load:
    """A mixed load of callers that keep their connections open.

    :param outcomes: what callers got, by kind of request.
    :param wrong: answers that break a promise, in words.
    """

    fleet: EdgeFleet
    chance: random.Random
    outcomes: collections.Counter[tuple[str, str]] = attrs.Factory(collections.Counter)
    refused: set[str] = attrs.Factory(set)
    wrong: list[str] = attrs.Factory(list)
    _count: int = 0

    async def run(self, callers: int, requests: int) -> None:
        """Run callers that each send some requests."""
        await asyncio.gather(*(self._call(requests) for _ in range(callers)))

    def check_runs(self) -> None:
        """Compare what ran with what callers were told."""
        self.wrong += check_runs(self.fleet.replicas, self.refused)

    async def _call(self, requests: int) -> None:
        link: CallerLink | None = None
        for _ in range(requests):
            kind = self.chance.choice(("lookup", "change", "chat", "draft"))
            self._count += 1
            request_id = f"{kind}-{self._count}"
            router = self.chance.choice(self.fleet.routers)
            if link is None:
                link = CallerLink(("127.0.0.1", router.listen))
            try:
                answer = await self._ask(link, kind, request_id)
            except OSError:
                self.outcomes[kind, "no connection"] += 1
                await link.close()
                link = None
                await asyncio.sleep(0.05)
                continue
            self._judge(kind, request_id, answer)
            if answer.is_closed or not answer.is_whole:
                await link.close()
                link = None
        if link is not None:
            await link.close()

    async def _ask(self, link: CallerLink, kind: str, request_id: str) -> Answer:
        headers = {}
        if kind in STREAM_KINDS:
            headers = prompt_headers(request_id, self.chance.randrange(8))
        method = "GET" if kind == "lookup" else "POST"
        return await link.ask(method, f"/{kind}/x", request_id, headers)

    def _judge(self, kind: str, request_id: str, answer: Answer) -> None:
        if not answer.is_whole:
            self.outcomes[kind, "broken off"] += 1
            return
        self.outcomes[kind, str(answer.status)] += 1
        if answer.status in (429, 503):
            self.refused.add(request_id)
        if answer.status != 200:
            return
        self.wrong += check_answer(kind, request_id, answer)


def check_runs(replicas: t.Iterable[Replica], refused: t.Container[str]) -> list[str]:
    """Compare what ran with what callers were told; return what is wrong.

    :param refused: requests that were answered as not run.
    """
    wrong = []
    runs = collections.Counter(run.id for replica in replicas for run in replica.runs)
    for request_id, times in runs.items():
        if request_id in refused:
            wrong.append(f"{request_id} was refused as not run, and ran")
        if times > 1 and request_id.startswith(ONCE_KINDS):
            wrong.append(f"{request_id} ran {times} times")
    return wrong


def check_answer(kind: str, request_id: str, answer: Answer) -> list[str]:
    """Compare a whole success with what was asked; return what is wrong."""
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


def prompt_headers(request_id: str, shared: int) -> dict[str, str]:
    """Return the headers that describe a prompt with some shared part."""
    return {
        "Snipedeal-Model": "m",
        "Snipedeal-Token-Usage": "1200,20",
        "Snipedeal-Prompt-Prefix": f"aa:200,s{shared}:600,{request_id}:400",
    }


def specs() -> list[ReplicaSpec]:
    """Return two plain replicas and two engines."""
    return [ReplicaSpec(f"desk-{n}", "desk") for n in range(2)] + [
        ReplicaSpec(f"model-{n}", "model", slots=64, read_rate=200.0) for n in range(2)
    ]


async def play(directory: pathlib.Path, seed: int, callers: int = 8) -> Load:
    """Run a load while a router stops, and another is killed and starts again."""
    fleet = EdgeFleet(directory)
    try:
        await fleet.start(specs(), routers=3)
        load = Load(fleet, random.Random(seed))
        work = asyncio.create_task(load.run(callers, 60))
        await asyncio.sleep(0.5)
        stopped, killed = fleet.routers[0], fleet.routers[1]
        stopped.signal(signal.SIGTERM)
        killed.signal(signal.SIGKILL)
        await killed.ended()
        await killed.start()
        status = await stopped.ended()
        if status != 0:
            load.wrong.append(f"{stopped.name} ended with {status}")
        await stopped.start()
        await work
        load.check_runs()
        return load
    finally:
        await fleet.close()


def demo(*, seed: int = 1) -> int:
    """Run the demo and print what callers got.

    :param seed: of the load's choices.
    """
    with tempfile.TemporaryDirectory() as directory:
        load = asyncio.run(play(pathlib.Path(directory), seed))
    print(f"customer {CUSTOMER}, three routers; one stopped, one killed meanwhile")
    for (kind, outcome), count in sorted(load.outcomes.items()):
        print(f"{kind:8} {outcome:15} {count:6}")
    for line in load.wrong:
        print("WRONG", line)
    return 1 if load.wrong else 0


if __name__ == "__main__":
    sys.exit(defopt.run(demo))
