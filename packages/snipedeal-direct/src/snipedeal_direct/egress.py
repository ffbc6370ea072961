"""HTTP/1.1 connections to targets, kept for several requests."""

import asyncio
import collections
import contextlib
import socket
import typing as t

import attrs
import httptools

from snipedeal.exceptions import SnipedealError
from snipedeal_direct import defaults

Address = tuple[str, int]


class ConnectError(SnipedealError):
    """No connection could be opened; nothing was sent."""


class BrokenAnswerError(SnipedealError):
    """A connection broke, or brought no answer, after a request was sent."""


@attrs.define(eq=False)
class AnswerHead:
    """Status and headers of an answer.

    :param headers: names in lower case.
    """

    status: int
    headers: list[tuple[bytes, bytes]]

    def get(self, name: bytes) -> bytes | None:
        """Return a header's value, ``None`` if it is missing."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class Connection(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.is_closed = False
        self.idle_since_s = 0.0
        self.idle_limit_s = defaults.IDLE_REUSE_S
        self.on_idle_end: t.Callable[[], None] | None = None
        self._transport: asyncio.Transport | None = None
        self._wakeup: asyncio.Future[None] | None = None
        self._is_busy = False
        self._sink: t.Callable[[bytes], bool] | None = None
        self._reset()

    # -- use -----------------------------------------------------------------

    def send(self, data: bytes, has_no_body: bool = False) -> None:
        """Send a request.

        :param has_no_body: whether the answer's body is left out (``HEAD``).
        """
        self._reset()
        self._has_no_body = has_no_body
        self._is_busy = True
        if self._transport is not None and not self.is_closed:
            self._transport.write(data)

    async def head(self) -> AnswerHead:
        """Return the head of the answer.

        :raises BrokenAnswerError: none came.
        """
        while self._answer is None:
            self._check()
            await self._wait()
        return self._answer

    async def read(self) -> bytes:
        """Return the next part of the body, empty after the last one.

        :raises BrokenAnswerError: the answer is not whole.
        """
        while not self._parts:
            if self._is_whole:
                return b""
            self._check()
            await self._wait()
        data = self._take_parts()
        self._resume()
        return data

    async def pump(
        self,
        sink: t.Callable[[bytes], bool],
        drained: t.Callable[[], t.Awaitable[None]],
    ) -> None:
        """Hand what is left of the body to a function as it comes.

        The function runs where bytes are received: a task that woke for each
        event of a stream would cost most of a router's processor time.

        :param sink: takes bytes; returns whether more may come at once.
        :param drained: waits until more may come.
        :raises BrokenAnswerError: the answer is not whole.
        """
        self._sink = sink
        try:
            self._pour()
            while not self._is_whole:
                self._check()
                if self._is_read_paused:
                    await drained()
                    self._resume()
                else:
                    await self._wait()
        finally:
            self._sink = None

    def finish(self) -> bool:
        """End the use of an answer; return whether the connection can be kept."""
        self._is_busy = False
        transport = self._transport
        is_kept = (
            self._is_whole
            and not self.is_closed
            and not self._has_extra
            and self._keeps_alive
            and self.idle_limit_s > 0
            and transport is not None
            and transport.get_write_buffer_size() == 0
        )
        if not is_kept:
            self.close()
        return is_kept

    def close(self) -> None:
        """Close the connection; the target drops what it does for it."""
        self.is_closed = True
        if self._transport is not None:
            self._transport.abort()

    # -- asyncio.Protocol ----------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set limits on silence."""
        self._transport = t.cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _limit_silence(sock)

    def data_received(self, data: bytes) -> None:
        """Read an answer."""
        if not self._is_busy or self._is_whole:
            # bytes that no request asked for belong to nobody.
            self._has_extra = True
            self._end_idle()
            self.close()
            return
        if self._answer is None:
            self._head_bytes += len(data)
            if self._head_bytes > defaults.ANSWER_HEADER_BYTES + len(data):
                self._fail("header too large")
                return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._is_whole:
                self._has_extra = True
            else:
                self._fail(f"not HTTP/1.1: {error}")
        if self._sink is not None:
            self._pour()
            return
        if self._size > defaults.ANSWER_QUEUE_BYTES:
            self._pause()
        self._wake()

    def eof_received(self) -> None:
        """Take the end of the stream, which ends an answer without length."""
        if self._is_busy and self._answer is not None and self._ends_with_stream:
            self._is_whole = True
        self._keeps_alive = False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the connection."""
        self.is_closed = True
        if not self._error:
            self._error = str(exc) if exc else "closed by the target"
        self._wake()
        if not self._is_busy:
            self._end_idle()

    # -- httptools -----------------------------------------------------------

    def on_message_begin(self) -> None:
        """Notice a second answer to one request."""
        if self._answer is not None and self._is_whole:
            self._has_extra = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        if not self._is_whole:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Hand out the head."""
        if self._is_whole:
            return
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            self._headers = []
            self._is_interim = True
            return
        self._keeps_alive = self._parser.should_keep_alive()
        self._answer = AnswerHead(status, self._headers)
        coding = self._answer.get(b"transfer-encoding")
        length = self._answer.get(b"content-length")
        self._ends_with_stream = coding is None and length is None
        if self._has_no_body or status in (204, 304):
            self._ends_with_stream = False
            self._is_whole = True
        limit = self._answer.get(b"keep-alive")
        if limit is not None:
            self.idle_limit_s = _read_idle_limit(limit)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if not self._is_whole:
            self._parts.append(body)
            self._size += len(body)

    def on_message_complete(self) -> None:
        """Note the end of the answer."""
        if self._is_interim:
            self._is_interim = False
            return
        self._is_whole = True

    # -- inner ---------------------------------------------------------------

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._answer: AnswerHead | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._parts: list[bytes] = []
        self._size = 0
        self._head_bytes = 0
        self._is_whole = False
        self._is_interim = False
        self._has_extra = False
        self._has_no_body = False
        self._ends_with_stream = False
        self._keeps_alive = True
        self._is_read_paused = False
        self._error = ""

    def _take_parts(self) -> bytes:
        data = b"".join(self._parts)
        self._parts.clear()
        self._size = 0
        return data

    def _pour(self) -> None:
        """Hand what has come to the sink, and wake the task when it matters."""
        assert self._sink is not None
        if self._parts and not self._sink(self._take_parts()):
            self._pause()
        if self._is_whole or self._is_read_paused or self._error:
            self._wake()

    def _pause(self) -> None:
        if not self._is_read_paused and self._transport is not None:
            self._is_read_paused = True
            self._transport.pause_reading()

    def _resume(self) -> None:
        if self._is_read_paused and self._transport is not None:
            self._is_read_paused = False
            self._transport.resume_reading()

    def _check(self) -> None:
        if self.is_closed or self._error:
            host, port = self.address
            raise BrokenAnswerError(
                self._error or "closed", "answer", peer=f"{host}:{port}"
            )

    def _fail(self, reason: str) -> None:
        self._error = reason
        self.close()
        self._wake()

    def _end_idle(self) -> None:
        if self.on_idle_end is not None:
            self.on_idle_end()
            self.on_idle_end = None

    async def _wait(self) -> None:
        self._wakeup = asyncio.get_running_loop().create_future()
        try:
            await self._wakeup
        finally:
            self._wakeup = None

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)


def _limit_silence(sock: t.Any) -> None:
    """Make the kernel end a connection whose other side went silent."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, defaults.PROBE_IDLE_S),
        (socket.TCP_KEEPINTVL, defaults.PROBE_INTERVAL_S),
        (socket.TCP_KEEPCNT, defaults.PROBE_COUNT),
        (socket.TCP_USER_TIMEOUT, defaults.UNACKNOWLEDGED_LIMIT_MS),
        (socket.TCP_NODELAY, 1),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def _read_idle_limit(value: bytes) -> float:
    """Return how long a connection is used again, s, by its Keep-Alive."""
    for item in value.decode("latin-1").split(","):
        name, _, text = item.strip().partition("=")
        if name.lower() == "timeout":
            with contextlib.suppress(ValueError):
                return int(text) * defaults.IDLE_REUSE_SHARE
    return defaults.IDLE_REUSE_S


class Pool:
    """Idle connections by address.

    :param time_s: returns monotonic seconds.
    :param on_connect: called with the address for each new connection.
    """

    def __init__(
        self,
        time_s: t.Callable[[], float],
        on_connect: t.Callable[[Address], None] = lambda address: None,
    ) -> None:
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
        """Return an idle connection, or a new one.

        :param max_idle_s: longest time that the connection may have been idle.
        :raises ConnectError: no connection could be opened in time.
        """
        idle = self._idle.get(address)
        now_s = self._time_s()
        while idle:
            connection = idle.pop()
            connection.on_idle_end = None
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
                    lambda: Connection(address), *address
                )
        except (OSError, TimeoutError) as error:
            reason = str(error) or "timed out"
            host, port = address
            raise ConnectError(reason, "connect", peer=f"{host}:{port}") from error
        return protocol

    def give_back(self, connection: Connection) -> None:
        """Keep a connection for the next request, if it can be kept."""
        if not connection.finish():
            return
        idle = self._idle.setdefault(connection.address, collections.deque())
        connection.idle_since_s = self._time_s()
        connection.on_idle_end = lambda: self._drop(connection)
        idle.append(connection)

    def forget(self, address: Address) -> None:
        """Close idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.on_idle_end = None
            connection.close()

    def expire(self) -> None:
        """Close connections that were idle for too long."""
        now_s = self._time_s()
        for address, idle in list(self._idle.items()):
            while idle and now_s - idle[0].idle_since_s >= idle[0].idle_limit_s:
                connection = idle.popleft()
                connection.on_idle_end = None
                connection.close()
            if not idle:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.forget(address)

    def _drop(self, connection: Connection) -> None:
        idle = self._idle.get(connection.address)
        if idle is not None:
            with contextlib.suppress(ValueError):
                idle.remove(connection)
