"""Flood one router that has a part of a core, and measure its goodput.

The router is a process of its own, stopped and continued by signals so that it runs
for a part of the time. The store and the replicas run in this process, the callers in
another one. Run as a module, this sends the callers' load and prints the result.
"""

import asyncio
import collections
import contextlib
import json
import os
import pathlib
import signal
import sys
import time
import typing as t

import attrs
import defopt

from snipedeal_standins.edge import HOST
from snipedeal_standins.edge import configuration
from snipedeal_standins.edge_demo import RouterProcess
from snipedeal_standins.metastore import MetaStore
from snipedeal_standins.replica import Replica
from snipedeal_standins.replica import ReplicaSpec

#: Time in which a throttled process is stopped and continued once, ms.
THROTTLE_PERIOD_MS = 20.0
#: Time within which a complete answer counts as goodput, s.
ANSWER_LIMIT_S = 1.0
#: Parts of a prompt that all requests share, and their tokens.
_SHARED_PARTS = 20
_SHARED_TOKENS = 100
#: Tokens of the part of a prompt that belongs to its request.
_OWN_TOKENS = 1_000
_OUTPUT_TOKENS = 40
#: Engines, and prompt tokens that each prefills in a ms: 120 prompts a second in all.
_ENGINES = 8
_PREFILL_RATE = 15.0
#: Connections that the callers keep open from the start, and at most.
_KEPT_CONNECTIONS = 200
_CONNECTIONS = 1_800
#: Wait for the answers of the last requests, s.
_LAST_ANSWERS_S = 2.0


@attrs.frozen
class FloodResult:
    """What the callers of one run got.

    :param sent: requests sent.
    :param in_time: complete answers within ``ANSWER_LIMIT_S``.
    :param refused: requests refused, by status code and in all.
    :param unanswered: requests without a complete answer.
    :param refusal_ms: median time until a refusal.
    """

    seconds: float
    sent: int
    in_time: int
    late: int
    refused: int
    unanswered: int
    refusal_ms: float

    @property
    def goodput(self) -> float:
        """Complete answers in time, a second."""
        return self.in_time / self.seconds


@attrs.frozen
class FloodCustomer:
    """A customer of the flooded router.

    :param rate: requests a second.
    """

    key: str
    rate: float


# -- the router ----------------------------------------------------------------


@contextlib.asynccontextmanager
async def throttled(pid: int, share: float) -> t.AsyncIterator[None]:
    """Let a process run for a part of the time only."""
    if share >= 1.0:
        yield
        return
    arguments = ["-c", _THROTTLE, str(pid), str(share), str(THROTTLE_PERIOD_MS)]
    process = await asyncio.create_subprocess_exec(sys.executable, *arguments)
    try:
        yield
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
        os.kill(pid, signal.SIGCONT)


#: Program that stops and continues a process; an event loop would be late.
_THROTTLE = """
import os, signal, sys, time
pid, share, period_s = int(sys.argv[1]), float(sys.argv[2]), float(sys.argv[3]) / 1000
at_s = time.monotonic()
try:
    while os.getppid() != 1:
        os.kill(pid, signal.SIGCONT)
        time.sleep(max(0.0, at_s + share * period_s - time.monotonic()))
        os.kill(pid, signal.SIGSTOP)
        at_s += period_s
        time.sleep(max(0.0, at_s - time.monotonic()))
except ProcessLookupError:
    pass
"""


class FloodedRouter:
    """A router process with its store and engines.

    :param directory: where the router's settings and log are written.
    :param share: part of a core that the router gets.
    """

    def __init__(self, directory: pathlib.Path, share: float) -> None:
        self._share = share
        self._store = MetaStore()
        self._replicas = [
            Replica(
                ReplicaSpec(
                    f"model-{number}",
                    "model",
                    slots=64,
                    read_rate=_PREFILL_RATE,
                    events=10,
                )
            )
            for number in range(_ENGINES)
        ]
        self._directory = directory
        self._router: RouterProcess | None = None

    async def start(self) -> None:
        """Start the engines and the router; wait until it is ready."""
        await self._store.start()
        document = configuration(1)
        document["limits"]["tokensPerS"] = 1_000_000
        self._store.put("keyed.op", "config", json.dumps(document).encode())
        for replica in self._replicas:
            await replica.start()
            value = json.dumps(replica.registration()).encode()
            self._store.put("keyed.servers", replica.spec.id, value)
        router = RouterProcess("router-0", self._store.address, self._directory)
        router.lag_limit_ms = None
        self._router = router
        await router.start()

    async def close(self) -> None:
        """Kill the router and stop the rest."""
        if self._router is not None:
            self._router.signal(signal.SIGKILL)
            await self._router.wait()
        for replica in self._replicas:
            await replica.close()
        await self._store.close()

    async def run(
        self, customers: t.Sequence[FloodCustomer], seconds: float
    ) -> dict[str, FloodResult]:
        """Send an open load; return what each customer got, by key."""
        assert self._router is not None and self._router.process is not None
        load = {customer.key: customer.rate for customer in customers}
        arguments = [str(self._router.listen), json.dumps(load), str(seconds)]
        async with throttled(self._router.process.pid, self._share):
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "snipedeal_standins.flood",
                *arguments,
                stdout=asyncio.subprocess.PIPE,
            )
            output, _ = await process.communicate()
        return {
            key: FloodResult(**result) for key, result in json.loads(output).items()
        }


# -- the callers ---------------------------------------------------------------


class _Caller(asyncio.Protocol):
    """A kept connection; one request at a time."""

    def __init__(self, load: "_Load") -> None:
        self._load = load
        self._transport: asyncio.Transport | None = None
        self._answer = b""
        self._sent_s = 0.0
        self._key = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = t.cast(asyncio.Transport, transport)

    def send(self, key: str, request: bytes) -> None:
        assert self._transport is not None
        self._key, self._answer = key, b""
        self._sent_s = time.monotonic()
        self._transport.write(request)

    def data_received(self, data: bytes) -> None:
        self._answer += data
        head, separator, body = self._answer.partition(b"\r\n\r\n")
        if not separator:
            return
        status = int(head.split(b" ", 2)[1])
        if status == 200 and not body.endswith(b"0\r\n\r\n"):
            return
        key, self._key = self._key, ""
        self._load.note(key, status, time.monotonic() - self._sent_s)
        assert self._transport is not None
        if b"\r\nConnection: close" in head:
            self._transport.close()
        else:
            self._load.idle.append(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self._load.idle:
            self._load.idle.remove(self)
        if self._key:
            self._load.note(self._key, 0, 0.0)
        self._load.connections -= 1


class _Load:
    """Requests at fixed times, whatever becomes of the earlier ones."""

    def __init__(self, port: int) -> None:
        self.idle: collections.deque[_Caller] = collections.deque()
        self.connections = 0
        self._port = port
        self._answers: dict[str, list[tuple[int, float]]] = {}
        self._sent: collections.Counter[str] = collections.Counter()
        self._opening: set[asyncio.Task[None]] = set()
        # Prompts of earlier runs are cached.
        self._run_id = f"{time.monotonic_ns():x}"

    def note(self, key: str, status: int, took_s: float) -> None:
        self._answers.setdefault(key, []).append((status, took_s))

    async def run(
        self, rates: t.Mapping[str, float], seconds: float
    ) -> dict[str, FloodResult]:
        due = sorted(
            (number / rate, key)
            for key, rate in rates.items()
            for number in range(int(rate * seconds))
        )
        await asyncio.gather(*(self._open() for _ in range(_KEPT_CONNECTIONS)))
        started_s = time.monotonic()
        for number, (at_s, key) in enumerate(due):
            wait_s = started_s + at_s - time.monotonic()
            if wait_s > 0.001:
                await asyncio.sleep(wait_s)
            elif not number % 50:
                await asyncio.sleep(0)
            self._send(key, number)
        await asyncio.sleep(_LAST_ANSWERS_S)
        return {key: self._result(key, seconds) for key in rates}

    def _send(self, key: str, number: int) -> None:
        self._sent[key] += 1
        request = _render_request(key, f"{self._run_id}-{number}")
        if self.idle:
            self.idle.popleft().send(key, request)
        elif self.connections < _CONNECTIONS:
            task = asyncio.create_task(self._open(key, request))
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)

    async def _open(self, key: str = "", request: bytes = b"") -> None:
        """Open a connection, and send a request if there is one."""
        self.connections += 1
        loop = asyncio.get_running_loop()
        try:
            _, caller = await loop.create_connection(
                lambda: _Caller(self), "127.0.0.1", self._port
            )
        except OSError:
            self.connections -= 1
            return
        if request:
            caller.send(key, request)
        else:
            self.idle.append(caller)

    def _result(self, key: str, seconds: float) -> FloodResult:
        answers = self._answers.get(key, [])
        whole = [took_s for status, took_s in answers if status == 200]
        refused = sorted(took_s for status, took_s in answers if status == 503)
        in_time = sum(took_s <= ANSWER_LIMIT_S for took_s in whole)
        return FloodResult(
            seconds=seconds,
            sent=self._sent[key],
            in_time=in_time,
            late=len(whole) - in_time,
            refused=len(refused),
            unanswered=self._sent[key] - len(whole) - len(refused),
            refusal_ms=refused[len(refused) // 2] * 1000 if refused else 0.0,
        )


def _render_request(key: str, request_id: str) -> bytes:
    parts = [f"{number:08x}:{_SHARED_TOKENS}" for number in range(_SHARED_PARTS)]
    parts.append(f"{request_id}:{_OWN_TOKENS}")
    tokens = _SHARED_PARTS * _SHARED_TOKENS + _OWN_TOKENS
    fields = {
        "Host": HOST,
        "Snipedeal-Request-Attempt-Id": request_id,
        "Snipedeal-Deadline-Ms": "4000",
        "Snipedeal-Credential": key,
        "Snipedeal-Model": "m",
        "Snipedeal-Token-Usage": f"{tokens},{_OUTPUT_TOKENS}",
        "Snipedeal-Prompt-Prefix": ",".join(parts),
        "Content-Length": "0",
    }
    lines = ["POST /chat/x HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def send_load(port: int, rates: str, seconds: float) -> None:
    """Send an open load to a router and print what each customer got, as JSON.

    :param port: port on which the router listens.
    :param rates: JSON object, requests a second by API key.
    :param seconds: length of the load.
    """

    async def run() -> dict[str, FloodResult]:
        return await _Load(port).run(json.loads(rates), seconds)

    results = asyncio.run(run())
    print(json.dumps({key: attrs.asdict(result) for key, result in results.items()}))


if __name__ == "__main__":
    defopt.run(send_load)
