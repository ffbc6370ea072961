"""Stand-in of the users' platform: a replica, plain or with a batching engine.

An engine reads prompts one after the other and then makes events; a part that
it has read before is not read again.
"""

import asyncio
import time
import typing as t

import attrs

from snipedeal_standins.rawhttp import HangupError
from snipedeal_standins.rawhttp import RawRequest
from snipedeal_standins.rawhttp import RawServer
from snipedeal_standins.rawhttp import render


@attrs.define
class Run:
    """A request that the replica began to work on.

    :param end: ``whole``, ``cut`` where the caller left, or a fault's name.
    """

    id: str
    headers: dict[str, str]
    method: str
    target: str
    body: bytes
    began_s: float
    unread: int = 0
    end: str = ""


@attrs.define
class ReplicaSpec:
    """How a replica works.

    :param work_ms: time of a plain request.
    :param read_rate: prompt tokens that an engine reads in a ms; 0 for a plain
        service.
    :param event_ms: time between events of a stream.
    :param events: events of a stream.
    """

    id: str
    service: str
    slots: int = 6
    queue: int = 24
    work_ms: float = 10.0
    read_rate: float = 0.0
    event_ms: float = 2.0
    events: int = 5
    zone: str = "zone-a"


@attrs.define
class ReplicaFaults:
    """What the replica does wrong, for the next ``count`` requests.

    :param mode: ``error`` answers 500, ``reset`` resets after the run,
        ``cut`` breaks off in the middle, ``extra`` answers twice, ``other``
        answers for another request, ``silent`` never answers, ``unframed``
        answers without a length, ``declined`` says that it has not run it.
    :param after_events: events that are made before a stream breaks off.
    """

    mode: str = ""
    count: int = 0
    after_events: int = 2


class Replica:
    """Serve requests and remember which of them ran."""

    def __init__(self, spec: ReplicaSpec) -> None:
        self.spec = spec
        self.faults = ReplicaFaults()
        self.runs: list[Run] = []
        self.arrivals = 0
        self.running = 0
        self._slots = asyncio.Semaphore(spec.slots)
        self._reader = asyncio.Lock()
        self._kept: set[str] = set()
        self._server = RawServer(self._handle)

    @property
    def address(self) -> str:
        """``host:port`` of the replica."""
        return f"127.0.0.1:{self._server.port}"

    @property
    def connections(self) -> int:
        """Connections that it accepted."""
        return self._server.connections

    def entry(self, state: str = "ready", **changes: t.Any) -> dict[str, t.Any]:
        """Return its registration."""
        spec = self.spec
        return {
            "service": spec.service,
            "address": self.address,
            "zone": spec.zone,
            "version": "v1",
            "slots": spec.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
            **changes,
        }

    async def start(self, port: int = 0) -> None:
        """Begin to serve."""
        await self._server.start(port)

    async def close(self) -> None:
        """Stop, and break off what is open."""
        await self._server.close()

    async def _handle(self, request: RawRequest, writer: t.Any) -> None:
        self.arrivals += 1
        headers = request.headers
        request_id = headers.get("snipedeal-request-attempt-id", "")
        expected = headers.get("snipedeal-expect-replica", self.spec.id)
        if expected != self.spec.id:
            answer = {"Snipedeal-Replica-Id": self.spec.id}
            writer.write(render(421, answer, b""))
            return
        mode = self._fault()
        if not request_id or mode == "declined":
            status = 503 if request_id else 400
            writer.write(render(status, {"Snipedeal-Not-Executed": "1"}, b""))
            return
        async with self._slots:
            self.running += 1
            run = Run(
                request_id,
                headers,
                request.method,
                request.target,
                request.body,
                time.monotonic(),
            )
            try:
                await self._run(run, mode, writer)
                run.end = run.end or "whole"
            except HangupError:
                run.end = mode
                raise
            except asyncio.CancelledError:
                run.end = "cut"
                raise
            finally:
                self.running -= 1

    async def _run(self, run: Run, mode: str, writer: t.Any) -> None:
        if mode == "silent":
            self.runs.append(run)
            await asyncio.sleep(3600)
        if self.spec.read_rate:
            await self._read_prompt(run)
            self.runs.append(run)
            await self._stream(run, mode, writer)
        else:
            self.runs.append(run)
            await asyncio.sleep(self.spec.work_ms / 1000)
            await self._answer(run, mode, writer)

    async def _read_prompt(self, run: Run) -> None:
        parts = _parts(run.headers)
        tokens = int(run.headers.get("snipedeal-token-usage", "0,0").split(",")[0])
        async with self._reader:
            kept = 0
            for name, size in parts:
                if name not in self._kept:
                    break
                kept += size
            run.unread = max(0, tokens - kept)
            await asyncio.sleep(run.unread / self.spec.read_rate / 1000)
            self._kept.update(name for name, _ in parts)

    async def _answer(self, run: Run, mode: str, writer: t.Any) -> None:
        body = f"answer of {self.spec.id} to {run.id}".encode()
        status = 500 if mode == "error" else 200
        headers = self._headers(run, mode)
        if mode == "reset":
            raise HangupError(is_reset=True)
        if mode == "cut":
            writer.write(render(status, headers, body)[:-4])
            await writer.drain()
            raise HangupError(is_reset=True)
        if mode == "unframed":
            lines = [f"{name}: {value}" for name, value in headers.items()]
            head = "HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) + "\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
            run.end = "whole"
            raise HangupError
        writer.write(render(status, headers, body))
        if mode == "extra":
            writer.write(render(200, headers, b"a second answer"))

    async def _stream(self, run: Run, mode: str, writer: t.Any) -> None:
        last = int(run.headers.get("last-event-id", "0") or 0)
        headers = self._headers(run, mode)
        headers["Content-Type"] = "text/event-stream"
        lines = [f"{name}: {value}" for name, value in headers.items()]
        lines.append("Transfer-Encoding: chunked")
        head = "HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) + "\r\n\r\n"
        if mode == "error":
            writer.write(render(500, headers, b"no"))
            return
        writer.write(head.encode())
        for number in range(last + 1, self.spec.events + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if mode in ("cut", "reset") and number > last + self.faults.after_events:
                # half of an event, and then nothing more.
                writer.write(_chunk(event[: len(event) // 2]))
                await writer.drain()
                raise HangupError(is_reset=True)
            writer.write(_chunk(event))
            await writer.drain()
            await asyncio.sleep(self.spec.event_ms / 1000)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _headers(self, run: Run, mode: str) -> dict[str, str]:
        owner = "somebody-else" if mode == "other" else run.id
        return {
            "Snipedeal-Request-Attempt-Id": owner,
            "Snipedeal-Replica-Signature": f"{self.spec.id}.{run.id}",
        }

    def _fault(self) -> str:
        if self.faults.count <= 0:
            return ""
        self.faults.count -= 1
        return self.faults.mode


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _parts(headers: t.Mapping[str, str]) -> list[tuple[str, int]]:
    listed = []
    for entry in headers.get("snipedeal-prompt-prefix", "").split(","):
        name, _, tokens = entry.partition(":")
        if name:
            listed.append((name, int(tokens or 0)))
    return listed
