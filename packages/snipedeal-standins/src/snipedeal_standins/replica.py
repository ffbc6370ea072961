"""Simulated replica of the users' platform: a plain service or a model engine.

An engine prefills one prompt at a time and then streams events. A leading part
of the prompt that is already in the prefix cache is not prefilled again.
"""

import asyncio
import time
import typing as t

import attrs

from snipedeal_standins.rawhttp import CloseConnectionError
from snipedeal_standins.rawhttp import RawRequest
from snipedeal_standins.rawhttp import RawServer
from snipedeal_standins.rawhttp import render_response


@attrs.define
class Run:
    """A request that the replica began to execute.

    An engine records it after the prefill, except in the fault mode ``silent``.

    :param started_s: monotonic time in s at which the request got a slot.
    :param uncached_tokens: prompt tokens that had to be prefilled.
    :param end: ``whole`` after a response, ``cut`` if the caller disconnected, or
        the mode of the fault that closed the connection; empty while it runs.
    """

    id: str
    headers: dict[str, str]
    method: str
    target: str
    body: bytes
    started_s: float
    uncached_tokens: int = 0
    end: str = ""


@attrs.define
class ReplicaSpec:
    """Size and speed of a replica.

    :param slots: maximum number of requests executed concurrently.
    :param work_ms: duration of a plain request.
    :param read_rate: prefill rate of an engine in tokens per ms; 0 for a plain
        service.
    :param event_ms: interval between the events of a stream, in ms.
    :param events: number of events in a stream.
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
    """Faults that the replica injects into the next ``count`` requests.

    :param mode: ``error`` responds with 500; ``cut`` resets the connection in the
        middle of the response; ``reset`` does so before a plain response and in
        the middle of a stream; ``extra`` responds twice; ``other`` responds with
        another request's id; ``silent`` never responds; ``unframed`` responds
        without a length; ``declined`` reports that the request was not executed;
        ``misplaced`` answers as another replica at the address would.
        ``extra`` and ``unframed`` do not affect streams.
    :param after_events: number of events sent before a stream is reset.
    :param crashing_parts: IDs of prompt parts, not the last of a prompt, that crash the
        replica when it begins to answer; not limited by ``count``.
    :param crashing_paths: paths of plain requests that crash the replica; not limited
        by ``count``.
    :param rate_limit: value of the ``Server-Limit`` header in answers, empty for none;
        not limited by ``count``. The replica does not enforce it.
    :param leaving: value of the ``Server-Leaving`` header in answers, empty for none;
        not limited by ``count``.
    :param retry_after: values of the ``Retry-After`` headers of declined requests.
    """

    mode: str = ""
    count: int = 0
    after_events: int = 2
    crashing_parts: set[str] = attrs.Factory(set)
    crashing_paths: set[str] = attrs.Factory(set)
    rate_limit: str = ""
    leaving: str = ""
    retry_after: tuple[str, ...] = ()


@attrs.frozen
class Decline:
    """A request that was declined with a time for which no others are wanted.

    :param at_s: monotonic time of the response.
    :param wait_s: the time that it named, s.
    """

    request_id: str
    at_s: float
    wait_s: float


class Replica:
    """Serve requests and record which of them were executed."""

    def __init__(self, spec: ReplicaSpec) -> None:
        self.spec = spec
        self.faults = ReplicaFaults()
        self.runs: list[Run] = []
        self.arrivals = 0
        # IDs of the requests received, those declined with a Retry-After, and when.
        self.received: list[tuple[str, float]] = []
        self.declined: list[Decline] = []
        self.running = 0
        self.is_crashed = False
        self.on_crash: t.Callable[[Replica], None] = lambda replica: None
        self._crash_task: asyncio.Task[None] | None = None
        self._slots = asyncio.Semaphore(spec.slots)
        self._prefill_lock = asyncio.Lock()
        self._cached_parts: set[str] = set()
        self._server = RawServer(self._handle)

    @property
    def address(self) -> str:
        """``host:port`` of the replica."""
        return f"127.0.0.1:{self._server.port}"

    @property
    def connections(self) -> int:
        """Number of connections accepted so far."""
        return self._server.connections

    def registration(self, state: str = "ready", **changes: t.Any) -> dict[str, t.Any]:
        """Return the replica's registration in the metadata store."""
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

    async def restart(self) -> "Replica":
        """Start the instance that replaces a crashed one, at the same address."""
        successor = Replica(attrs.evolve(self.spec, id=self.successor_id))
        successor.faults = self.faults
        successor.on_crash = self.on_crash
        await successor.start(self._server.port)
        return successor

    async def start(self, port: int = 0) -> None:
        """Start serving on loopback; port 0 picks a free one."""
        await self._server.start(port)

    async def close(self) -> None:
        """Stop serving and abort open connections."""
        await self._server.close()

    @property
    def successor_id(self) -> str:
        """ID of the instance that replaces this one after a crash."""
        name, _, number = self.spec.id.partition("+crash")
        return f"{name}+crash{int(number or 0) + 1}"

    def crash(self) -> None:
        """End at once: refuse connections and reset the open ones."""
        if not self.is_crashed:
            self.is_crashed = True
            self._crash_task = asyncio.create_task(self._server.close())
            self.on_crash(self)

    async def _handle(self, request: RawRequest, writer: t.Any) -> None:
        self.arrivals += 1
        headers = request.headers
        request_id = headers.get("snipedeal-request-attempt-id", "")
        self.received.append((request_id, time.monotonic()))
        expected = headers.get("snipedeal-expect-replica", self.spec.id)
        mode = self._next_fault_mode()
        if expected != self.spec.id or mode == "misplaced":
            response_headers = {"Snipedeal-Replica-Id": self.spec.id}
            if self.faults.leaving:
                response_headers["Server-Leaving"] = self.faults.leaving
            writer.write(render_response(421, response_headers, b""))
            return
        if not request_id or mode == "declined":
            status = 503 if request_id else 400
            if self.faults.retry_after:
                wait_s = max(map(float, self.faults.retry_after))
                self.declined.append(Decline(request_id, time.monotonic(), wait_s))
            writer.write(self._render_declined(status))
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
            except CloseConnectionError:
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
            await self._prefill(run)
            self.runs.append(run)
            parts = _parse_prompt_prefix(run.headers)
            if any(part in self.faults.crashing_parts for part, _ in parts[:-1]):
                self.crash()
                await asyncio.sleep(3600)
            await self._send_stream(run, mode, writer)
        else:
            self.runs.append(run)
            if run.target in self.faults.crashing_paths:
                self.crash()
                await asyncio.sleep(3600)
            await asyncio.sleep(self.spec.work_ms / 1000)
            await self._send_response(run, mode, writer)

    async def _prefill(self, run: Run) -> None:
        parts = _parse_prompt_prefix(run.headers)
        tokens = int(run.headers.get("snipedeal-token-usage", "0,0").split(",")[0])
        async with self._prefill_lock:
            cached_tokens = 0
            for name, size in parts:
                if name not in self._cached_parts:
                    break
                cached_tokens += size
            run.uncached_tokens = max(0, tokens - cached_tokens)
            await asyncio.sleep(run.uncached_tokens / self.spec.read_rate / 1000)
            self._cached_parts.update(name for name, _ in parts)

    async def _send_response(self, run: Run, mode: str, writer: t.Any) -> None:
        body = f"answer of {self.spec.id} to {run.id}".encode()
        status = 500 if mode == "error" else 200
        headers = self._response_headers(run, mode)
        if mode == "reset":
            raise CloseConnectionError(is_reset=True)
        if mode == "cut":
            writer.write(render_response(status, headers, body)[:-4])
            await writer.drain()
            raise CloseConnectionError(is_reset=True)
        if mode == "unframed":
            lines = [f"{name}: {value}" for name, value in headers.items()]
            head = "HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) + "\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
            run.end = "whole"
            raise CloseConnectionError
        writer.write(render_response(status, headers, body))
        if mode == "extra":
            writer.write(render_response(200, headers, b"a second answer"))

    async def _send_stream(self, run: Run, mode: str, writer: t.Any) -> None:
        last = int(run.headers.get("last-event-id", "0") or 0)
        headers = self._response_headers(run, mode)
        headers["Content-Type"] = "text/event-stream"
        lines = [f"{name}: {value}" for name, value in headers.items()]
        lines.append("Transfer-Encoding: chunked")
        head = "HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) + "\r\n\r\n"
        if mode == "error":
            writer.write(render_response(500, headers, b"no"))
            return
        writer.write(head.encode())
        for number in range(last + 1, self.spec.events + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if mode in ("cut", "reset") and number > last + self.faults.after_events:
                # Sends half an event and then resets the connection.
                writer.write(_chunk(event[: len(event) // 2]))
                await writer.drain()
                raise CloseConnectionError(is_reset=True)
            writer.write(_chunk(event))
            await writer.drain()
            await asyncio.sleep(self.spec.event_ms / 1000)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _render_declined(self, status: int) -> bytes:
        lines = [f"HTTP/1.1 {status} Unavailable", "Snipedeal-Not-Executed: 1"]
        lines += [f"Retry-After: {value}" for value in self.faults.retry_after]
        if self.faults.leaving:
            lines.append(f"Server-Leaving: {self.faults.leaving}")
        return "\r\n".join([*lines, "Content-Length: 0", "", ""]).encode()

    def _response_headers(self, run: Run, mode: str) -> dict[str, str]:
        request_id = "somebody-else" if mode == "other" else run.id
        headers = {
            "Snipedeal-Request-Attempt-Id": request_id,
            "Snipedeal-Replica-Signature": f"{self.spec.id}.{run.id}",
        }
        if self.faults.rate_limit:
            headers["Server-Limit"] = self.faults.rate_limit
        if self.faults.leaving:
            headers["Server-Leaving"] = self.faults.leaving
        return headers

    def _next_fault_mode(self) -> str:
        if self.faults.count <= 0:
            return ""
        self.faults.count -= 1
        return self.faults.mode


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _parse_prompt_prefix(headers: t.Mapping[str, str]) -> list[tuple[str, int]]:
    parts = []
    for entry in headers.get("snipedeal-prompt-prefix", "").split(","):
        name, _, tokens = entry.partition(":")
        if name:
            parts.append((name, int(tokens or 0)))
    return parts
