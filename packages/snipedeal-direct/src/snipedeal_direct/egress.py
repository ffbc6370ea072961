"""Pool of HTTP/1.1 keep-alive connections to targets, peers and the store."""

import asyncio
import collections
import contextlib
import socket
import typing as t

import httptools

from snipedeal.buffers import BufferBudget
from snipedeal.exceptions import SnipedealError
from snipedeal.integrity import find_end_fault
from snipedeal.integrity import is_final_status
from snipedeal_direct import defaults
from snipedeal_direct.heads import ResponseHead
from snipedeal_direct.memory import MemoryAccount
from snipedeal_direct.memory import make_response_budget

Address = tuple[str, int]


class ConnectError(SnipedealError):
    """Raised when no connection could be opened; nothing was sent."""


class BrokenResponseError(SnipedealError):
    """Raised when a request was sent but no valid, complete response came."""


class Connection(asyncio.Protocol):
    """A client connection that carries one request at a time.

    :param address: host and port of the server.
    :param budget: counts the received bytes of all connections.
    :ivar is_reused: whether it has carried an earlier request.
    """

    def __init__(self, address: Address, budget: BufferBudget) -> None:
        self.address = address
        self._budget = budget
        self._held_bytes = 0
        self.is_closed = False
        self.is_reused = False
        self.idle_since_s = 0.0
        self.idle_limit_s = defaults.DEFAULT_IDLE_REUSE_S
        self.on_idle_close: t.Callable[[], None] | None = None
        self._transport: asyncio.Transport | None = None
        self._wakeup: asyncio.Future[None] | None = None
        self._is_busy = False
        self._is_write_paused = False
        self._sink: t.Callable[[bytes], bool] | None = None
        self._reset()

    # -- requests and responses ----------------------------------------------

    def send(self, data: bytes, has_no_body: bool = False, body: bytes = b"") -> None:
        """Send a request.

        :param data: its head, and its body unless that is given separately.
        :param has_no_body: whether the response has no body (``HEAD``).
        :param body: its body; a large one is written as the target takes it, so that
            the transport does not hold it a second time.
        """
        self._reset()
        self._has_no_body = has_no_body
        self._is_busy = True
        if self._transport is None or self.is_closed:
            return
        if len(body) <= defaults.SENT_PART_BYTES:
            self._transport.write(data + body)
            return
        self._unsent = memoryview(body)
        self._transport.write(data)
        self._send_more()

    def _send_more(self) -> None:
        """Write parts of a large body until the write buffer is full."""
        assert self._transport is not None
        while self._unsent and not self._is_write_paused and not self.is_closed:
            part = self._unsent[: defaults.SENT_PART_BYTES]
            self._unsent = self._unsent[len(part) :]
            self._transport.write(part)

    def pause_writing(self) -> None:
        """Leave the rest of the body while the write buffer is full."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Write more of the body."""
        self._is_write_paused = False
        if not self.is_closed:
            self._send_more()

    @property
    def ends_at_eof(self) -> bool:
        """Whether the body has neither a length nor chunks and ends at the close."""
        return self._ends_at_eof

    async def head(self) -> ResponseHead:
        """Return the head of the response.

        :raises BrokenResponseError: the connection ended before the head, or the
            head is invalid.
        """
        while self._response is None:
            self._raise_if_failed()
            await self._wait()
        return self._response

    async def read(self) -> bytes:
        """Return the next part of the body, empty at its end.

        :raises BrokenResponseError: the response is incomplete.
        """
        while not self._parts:
            if self._is_complete:
                return b""
            self._raise_if_failed()
            await self._wait()
        data = self._take_parts()
        self._resume()
        return data

    async def body(self, limit_bytes: int) -> bytes:
        """Return the rest of the body.

        :raises BrokenResponseError: it is incomplete or longer than ``limit_bytes``.
        """
        parts = []
        size = 0
        while data := await self.read():
            parts.append(data)
            size += len(data)
            if size > limit_bytes:
                self.fail("body too large")
                self._raise_if_failed()
            self.retain(size)
        return b"".join(parts)

    def retain(self, size: int) -> None:
        """Count bytes that the reader keeps of what it took from this connection.

        :param size: all that it keeps now, bytes.
        """
        self._retained_bytes = size
        self._count_held()

    async def pipe_to(
        self,
        sink: t.Callable[[bytes], bool],
        drained: t.Callable[[], t.Awaitable[None]],
    ) -> None:
        """Pass the rest of the body to a callback as it arrives.

        The callback runs in ``data_received``: waking a task for each event of a
        stream would take most of a router's CPU time.

        :param sink: receives bytes; returns ``False`` to pause reading.
        :param drained: waits until reading may resume.
        :raises BrokenResponseError: the response is incomplete.
        """
        self._sink = sink
        try:
            self._deliver_to_sink()
            while not self._is_complete:
                self._raise_if_failed()
                if self._is_read_paused:
                    await drained()
                    self._resume()
                else:
                    await self._wait()
        finally:
            self._sink = None

    def finish(self) -> bool:
        """Finish a response; close the connection unless it can be reused.

        :return: whether the connection can be reused.
        """
        self._is_busy = False
        self._release_held()
        transport = self._transport
        is_kept = (
            self._is_complete
            and not self.is_closed
            and not self._has_unexpected_data
            and self._keeps_alive
            and self.idle_limit_s > 0
            and transport is not None
            and transport.get_write_buffer_size() == 0
            and not self._unsent
        )
        if not is_kept:
            self.close()
        return is_kept

    def fail(self, reason: str) -> None:
        """Give up on an invalid response; its reader gets an error."""
        self._error = reason
        self.close()
        self._is_complete = False
        # Frees what is buffered; the reader may keep the connection for a while.
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._take_parts()
        self._wake()

    def close(self) -> None:
        """Abort the connection, so that the server stops work on its request."""
        self.is_closed = True
        self._release_held()
        self._unsent = memoryview(b"")
        if self._transport is not None:
            self._transport.abort()

    # -- asyncio.Protocol ----------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its socket options."""
        self._transport = t.cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _set_socket_options(sock)

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the parser, with back-pressure."""
        if self.is_closed:
            return
        if not self._is_busy or self._is_complete:
            # Bytes outside a response can't be assigned to any request, so the
            # connection must not be reused.
            self._has_unexpected_data = True
            self._notify_idle_close()
            self.close()
            return
        if self._bytes_since_body > defaults.RESPONSE_HEADER_BYTES:
            part = "header" if self._response is None else "trailer or chunk size"
            self.fail(f"{part} too large")
            return
        self._bytes_since_body += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._is_complete:
                self._has_unexpected_data = True
            else:
                self.fail(f"not HTTP/1.1: {error}")
        if self._sink is not None:
            self._deliver_to_sink()
            self._count_held()
            return
        self._count_held()
        if self._buffered_bytes > defaults.RESPONSE_QUEUE_BYTES:
            self._pause()
        self._wake()

    def eof_received(self) -> None:
        """Complete a response whose body ends with the connection."""
        if self._is_busy and self._response is not None and self._ends_at_eof:
            fault = find_end_fault(self._transport)
            if self._unsent:
                fault = "the target closed before it had the whole request"
            if fault:
                self.fail(fault)
            self._is_complete = not fault
        self._keeps_alive = False

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake a waiting reader, or report that an idle connection closed."""
        self.is_closed = True
        self._unsent = memoryview(b"")
        self._release_held()
        if not self._error:
            self._error = str(exc) if exc else "closed by the target"
        self._wake()
        if not self._is_busy:
            self._notify_idle_close()

    # -- httptools -----------------------------------------------------------

    def on_message_begin(self) -> None:
        """Detect a second response to one request."""
        if self._response is not None and self._is_complete:
            self._has_unexpected_data = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; drop trailers."""
        if self._response is None and len(self._headers) <= defaults.RESPONSE_HEADERS:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Store the head of a final response; skip 1xx responses."""
        if self._is_complete:
            return
        if len(self._headers) > defaults.RESPONSE_HEADERS:
            self.fail("too many headers")
            return
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            self._headers = []
            self._is_interim = True
            return
        if not is_final_status(status):
            self.fail(f"{status} is not an HTTP status")
            return
        self._keeps_alive = self._parser.should_keep_alive()
        self._response = ResponseHead(status, self._headers)
        self._ends_at_eof = not self._response.has_framing
        if self._has_no_body or self._response.is_without_body:
            self._ends_at_eof = False
            self._is_complete = True
        limit = self._response.get(b"keep-alive")
        if limit is not None:
            self.idle_limit_s = _parse_idle_limit(limit)

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body."""
        self._bytes_since_body = 0
        if not self._is_complete:
            self._parts.append(body)
            self._buffered_bytes += len(body)

    def on_message_complete(self) -> None:
        """Mark a final response as complete."""
        if self._is_interim:
            self._is_interim = False
            return
        self._is_complete = True

    # -- internals -----------------------------------------------------------

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        # Rest of the request's body that is not written yet.
        self._unsent = memoryview(b"")
        self._response: ResponseHead | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._parts: list[bytes] = []
        self._buffered_bytes = 0
        # Bytes received since the start of the response or the last byte of its body.
        self._bytes_since_body = 0
        # Bytes that the reader took and keeps.
        self._retained_bytes = 0
        self._is_complete = False
        self._is_interim = False
        self._has_unexpected_data = False
        self._has_no_body = False
        self._ends_at_eof = False
        self._keeps_alive = True
        self._is_read_paused = False
        self._error = ""

    def _count_held(self) -> None:
        """Count the bytes held; give up if all connections together hold too many."""
        if self.is_closed:
            return
        held = (
            self._bytes_since_body
            + len(self._headers) * defaults.HEADER_OVERHEAD_BYTES
            + self._buffered_bytes
            + len(self._parts) * defaults.PART_OVERHEAD_BYTES
            + self._retained_bytes
        )
        before, self._held_bytes = self._held_bytes, held
        if not self._budget.resize(before, held) and not self._is_complete:
            self.fail("no memory for more of the response")

    def _release_held(self) -> None:
        self._budget.release(self._held_bytes)
        self._held_bytes = 0

    def _take_parts(self) -> bytes:
        data = b"".join(self._parts)
        self._parts.clear()
        self._buffered_bytes = 0
        return data

    def _deliver_to_sink(self) -> None:
        """Pass buffered bytes to the sink; wake the task on end, pause or error."""
        assert self._sink is not None
        if self._parts and not self._sink(self._take_parts()):
            self._pause()
        if self._is_complete or self._is_read_paused or self._error:
            self._wake()

    def _pause(self) -> None:
        if not self._is_read_paused and self._transport is not None:
            self._is_read_paused = True
            self._transport.pause_reading()

    def _resume(self) -> None:
        if self._is_read_paused and self._transport is not None:
            self._is_read_paused = False
            self._transport.resume_reading()

    def _raise_if_failed(self) -> None:
        if self.is_closed or self._error:
            host, port = self.address
            raise BrokenResponseError(
                self._error or "closed", "answer", peer=f"{host}:{port}"
            )

    def _notify_idle_close(self) -> None:
        if self.on_idle_close is not None:
            self.on_idle_close()
            self.on_idle_close = None

    async def _wait(self) -> None:
        self._wakeup = asyncio.get_running_loop().create_future()
        try:
            await self._wakeup
        finally:
            self._wakeup = None

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)


def _set_socket_options(sock: t.Any) -> None:
    """Set timeouts that detect an unreachable peer, and disable Nagle's algorithm."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, defaults.KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, defaults.KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, defaults.KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, defaults.UNACKNOWLEDGED_LIMIT_MS),
        (socket.TCP_NODELAY, 1),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def _parse_idle_limit(value: bytes) -> float:
    """Return how long an idle connection may be reused, s.

    :param value: value of the Keep-Alive header.
    """
    for item in value.decode("latin-1").split(","):
        name, _, text = item.strip().partition("=")
        if name.lower() == "timeout":
            with contextlib.suppress(ValueError, OverflowError):
                idle_s = min(float(text), defaults.IDLE_REUSE_LIMIT_S)
                return max(0.0, idle_s) * defaults.IDLE_REUSE_FRACTION
    return defaults.DEFAULT_IDLE_REUSE_S


class Pool:
    """Pool of idle connections, by address.

    :param time_s: returns the monotonic time, s.
    :param on_connect: called with the address before each new connection.
    :param account: counts the memory that connections hold.
    :ivar budget: counts the received bytes of all connections.
    """

    def __init__(
        self,
        time_s: t.Callable[[], float],
        on_connect: t.Callable[[Address], None] = lambda address: None,
        account: MemoryAccount | None = None,
    ) -> None:
        self.budget = make_response_budget(account)
        self._time_s = time_s
        self._on_connect = on_connect
        self._idle: dict[Address, collections.deque[Connection]] = {}

    async def connect(
        self,
        address: Address,
        *,
        timeout_ms: float = defaults.CONNECT_TIMEOUT_MS,
        max_idle_s: float = float("inf"),
    ) -> Connection:
        """Return the connection that became idle last, or open a new one.

        :param timeout_ms: time limit for opening a connection.
        :param max_idle_s: connections that have been idle for longer are closed.
        :raises ConnectError: no connection could be opened in time.
        """
        idle = self._idle.get(address)
        now_s = self._time_s()
        while idle:
            connection = idle.pop()
            connection.on_idle_close = None
            idle_s = now_s - connection.idle_since_s
            if connection.is_closed:
                continue
            if idle_s < min(connection.idle_limit_s, max_idle_s):
                return connection
            connection.close()
        loop = asyncio.get_running_loop()
        self._on_connect(address)
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                _, protocol = await loop.create_connection(
                    lambda: Connection(address, self.budget), *address
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            reason = str(error) or "timed out"
            host, port = address
            raise ConnectError(reason, "connect", peer=f"{host}:{port}") from error
        return protocol

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool if it can be reused."""
        if not connection.finish():
            return
        connection.is_reused = True
        idle = self._idle.setdefault(connection.address, collections.deque())
        connection.idle_since_s = self._time_s()
        connection.on_idle_close = lambda: self._remove_idle(connection)
        idle.append(connection)

    def forget(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.on_idle_close = None
            connection.close()

    def expire(self) -> None:
        """Close connections that have exceeded their idle limit."""
        now_s = self._time_s()
        for address, idle in list(self._idle.items()):
            while idle and now_s - idle[0].idle_since_s >= idle[0].idle_limit_s:
                connection = idle.popleft()
                connection.on_idle_close = None
                connection.close()
            if not idle:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.forget(address)

    def _remove_idle(self, connection: Connection) -> None:
        idle = self._idle.get(connection.address)
        if idle is not None:
            with contextlib.suppress(ValueError):
                idle.remove(connection)
