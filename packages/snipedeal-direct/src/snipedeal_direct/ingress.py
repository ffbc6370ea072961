"""Callers' side: HTTP/1.1 connections, their limits and their answers."""

import asyncio
import collections
import http
import typing as t

import attrs
import httptools

from snipedeal.clock import Clock
from snipedeal_direct import defaults
from snipedeal_direct.journal import warn
from snipedeal_direct.model import CallerLimits
from snipedeal_direct.model import Headers

#: Headers that concern one connection only (RFC 9110, section 7.6.1).
HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


@attrs.define(eq=False)
class Request:
    """A whole request as it was read.

    :param headers: names in lower case, in the order they came.
    :param read_ms: monotonic time at which its last byte was read.
    """

    method: str
    path: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keeps_alive: bool
    version: str
    began_ms: float
    read_ms: float

    def header(self, name: bytes) -> str:
        """Return a header's value, empty if it is missing."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return ""


def status_line(status: int, reason: bytes = b"") -> bytes:
    """Return the first line of an answer."""
    if not reason:
        try:
            reason = http.HTTPStatus(status).phrase.encode()
        except ValueError:
            reason = b"Unknown"
    return b"HTTP/1.1 %d %s\r\n" % (status, reason)


class Exchange:
    """A request of a caller and the way to answer it.

    :param connection: where it came from.
    """

    def __init__(self, connection: "CallerConnection", request: Request) -> None:
        self.request = request
        self.on_gone: t.Callable[[], None] | None = None
        self.has_begun = False
        self.is_ended = False
        self._connection = connection
        self._is_chunked = False
        self._has_body = request.method != "HEAD"

    @property
    def is_gone(self) -> bool:
        """Whether the caller has left."""
        return self._connection.is_lost

    @property
    def is_drained(self) -> bool:
        """Whether the caller has read most of what was written."""
        return self._connection.is_drained

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a whole answer."""
        if self.is_ended or self.is_gone:
            return
        closes = self._connection.closes_after(self.request)
        lines = [status_line(status)]
        lines += [b"%s: %s\r\n" % pair for pair in headers]
        lines.append(b"Content-Length: %d\r\n" % len(body))
        if closes:
            lines.append(b"Connection: close\r\n")
        lines.append(b"\r\n")
        if self._has_body:
            lines.append(body)
        self.has_begun = True
        self._connection.write(b"".join(lines))
        self._end(closes)

    def begin(self, status: int, headers: Headers) -> None:
        """Write the head of an answer whose length is not known."""
        if self.is_gone:
            return
        self.has_begun = True
        self._is_chunked = self.request.version != "1.0"
        lines = [status_line(status)]
        lines += [b"%s: %s\r\n" % pair for pair in headers]
        if self._is_chunked:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        if self._connection.closes_after(self.request):
            lines.append(b"Connection: close\r\n")
        lines.append(b"\r\n")
        self._connection.write(b"".join(lines))

    def write(self, data: bytes) -> None:
        """Write a part of an answer that was begun."""
        if not data or self.is_gone or not self._has_body:
            return
        if self._is_chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._connection.write(data)

    def finish(self) -> None:
        """End an answer that was begun; it is whole."""
        if self.is_ended or self.is_gone:
            return
        if self._is_chunked:
            if self._has_body:
                self._connection.write(b"0\r\n\r\n")
            self._end(self._connection.closes_after(self.request))
        else:
            self._end(True)

    def abort(self) -> None:
        """End an answer so that it can't be taken for a whole one."""
        if not self.is_ended:
            self.is_ended = True
            self._connection.abort()

    async def drained(self) -> None:
        """Wait until the caller has read most of what was written."""
        await self._connection.drained()

    def _end(self, closes: bool) -> None:
        self.is_ended = True
        self._connection.end_exchange(closes)


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; requests on it are answered in order.

    :param server: the server that accepted it.
    """

    def __init__(self, server: "IngressServer") -> None:
        self.is_lost = False
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: collections.deque[Request] = collections.deque()
        self._current: Exchange | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_broken = False
        self._is_paused = False
        self._can_write: asyncio.Event = asyncio.Event()
        self._can_write.set()
        self._reset_message()

    @property
    def is_idle(self) -> bool:
        """Whether nothing was asked, or is being asked, on it."""
        return self._current is None and not self._began_ms and not self._waiting

    @property
    def is_drained(self) -> bool:
        """Whether the caller has read most of what was written."""
        return self._can_write.is_set()

    # -- asyncio.Protocol ------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a new connection."""
        self._transport = t.cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(defaults.CALLER_BUFFER_BYTES)
        self._server.connections.add(self)
        self._wait_for_request()
        self._server.make_room()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell whoever works for this caller that it has left."""
        self._server.connections.discard(self)
        self._server.idle.pop(self, None)
        self.is_lost = True
        self._can_write.set()
        self._stop_timer()
        self._waiting.clear()
        exchange, self._current = self._current, None
        if exchange is not None and not exchange.is_ended and exchange.on_gone:
            exchange.on_gone()

    def pause_writing(self) -> None:
        """Note that the caller reads slowly."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Note that the caller has caught up."""
        self._can_write.set()

    def data_received(self, data: bytes) -> None:
        """Read requests."""
        if self._is_broken:
            return
        if not self._began_ms:
            self._began_ms = self._server.clock.now_ms() or 1
            self._server.idle.pop(self, None)
            self._set_timer(self._server.limits().header_timeout_ms, self._too_slow)
        if not self._has_headers:
            self._header_bytes += len(data)
        self._in_feed = len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, "upgrades are not offered")
        except httptools.HttpParserError as error:
            self._refuse(400, f"not HTTP/1.1: {error}")
        if self._is_broken or self._transport is None:
            return
        limits = self._server.limits()
        if not self._has_headers and self._header_bytes > limits.max_header_bytes:
            self._refuse(431, "header too large")
        if len(self._waiting) >= defaults.PIPELINED_LIMIT and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()

    # -- httptools ---------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Begin a request."""
        began_ms = self._began_ms
        self._reset_message()
        self._began_ms = began_ms or self._server.clock.now_ms() or 1
        self._header_bytes = self._in_feed

    def on_url(self, url: bytes) -> None:
        """Take a part of the request's path."""
        self._path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers.append((name.lower(), value))
        self._header_size += len(name) + len(value) + 4

    def on_headers_complete(self) -> None:
        """Check the header's bounds."""
        self._has_headers = True
        limits = self._server.limits()
        if self._header_size + len(self._path) > limits.max_header_bytes:
            self._refuse(431, "header too large")
            return
        for name, value in self._headers:
            if name == b"content-length" and int(value) > limits.max_body_bytes:
                self._refuse(413, "body too large")
                return
            if name == b"expect" and value.lower() == b"100-continue":
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._set_timer(limits.idle_timeout_ms, self._too_slow)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if self._is_broken:
            return
        self._body.append(body)
        self._body_size += len(body)
        if self._body_size > self._server.limits().max_body_bytes:
            self._refuse(413, "body too large")

    def on_message_complete(self) -> None:
        """Hand over a whole request."""
        if self._is_broken:
            return
        self._stop_timer()
        request = Request(
            method=self._parser.get_method().decode(),
            path=self._path,
            headers=self._headers,
            body=b"".join(self._body),
            keeps_alive=self._parser.should_keep_alive(),
            version=self._parser.get_http_version(),
            began_ms=self._began_ms,
            read_ms=self._server.clock.now_ms(),
        )
        self._reset_message()
        self._waiting.append(request)
        self._next()

    # -- answers -------------------------------------------------------------------

    def write(self, data: bytes) -> None:
        """Write to the caller."""
        if self._transport is not None and not self.is_lost:
            self._transport.write(data)

    async def drained(self) -> None:
        """Wait until the caller has read most of what was written."""
        await self._can_write.wait()

    def closes_after(self, request: Request) -> bool:
        """Whether the connection closes after the answer to a request."""
        return (
            self._server.is_closing
            or self._server.is_crowded
            or not request.keeps_alive
            or self._is_broken
        )

    def end_exchange(self, closes: bool) -> None:
        """Go on to the next request, or close."""
        self._current = None
        if closes:
            self._close()
            return
        if self._is_paused and self._transport is not None:
            self._is_paused = False
            self._transport.resume_reading()
        self._next()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is under way."""
        if self.is_idle:
            self._close()

    def abort(self) -> None:
        """Break the connection off."""
        self._is_broken = True
        self._stop_timer()
        if self._transport is not None:
            self._transport.abort()

    # -- inner -----------------------------------------------------------------------

    def _next(self) -> None:
        if self._current is not None or self.is_lost:
            return
        if not self._waiting:
            if not self._began_ms:
                self._wait_for_request()
            return
        self._current = Exchange(self, self._waiting.popleft())
        self._server.on_request(self._current)

    def _reset_message(self) -> None:
        self._path = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_size = 0
        self._header_bytes = 0
        self._has_headers = False
        self._body: list[bytes] = []
        self._body_size = 0
        self._began_ms = 0.0
        self._in_feed = 0

    def _wait_for_request(self) -> None:
        self._server.idle[self] = None
        self._set_timer(self._server.limits().idle_timeout_ms, self._close)

    def _too_slow(self) -> None:
        self._refuse(408, "the request did not come in time")

    def _refuse(self, status: int, detail: str) -> None:
        """Answer something that is no acceptable request, and close."""
        self._is_broken = True
        self._server.on_bad_request(status, detail)
        if self._current is None:
            line = status_line(status)
            text = b"Content-Length: 0\r\nConnection: close\r\n\r\n"
            self.write(line + text)
            self._close()

    def _close(self) -> None:
        self._is_broken = True
        self._stop_timer()
        if self._transport is not None:
            self._transport.close()

    def _set_timer(self, delay_ms: float, action: t.Callable[[], None]) -> None:
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_ms / 1000, action)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class IngressServer:
    """Accept callers' connections.

    :param on_request: called with each whole request.
    :param on_bad_request: called with the status and the reason where
        something is refused that is no acceptable request.
    :param limits: returns the bounds in force.
    :param most_connections: connections that may be open at once.
    """

    def __init__(
        self,
        clock: Clock,
        on_request: t.Callable[[Exchange], None],
        on_bad_request: t.Callable[[int, str], None],
        limits: t.Callable[[], CallerLimits],
        most_connections: int,
    ) -> None:
        self.most_connections = most_connections
        self.clock = clock
        self.on_request = on_request
        self.on_bad_request = on_bad_request
        self.limits = limits
        self.is_closing = False
        self.connections: set[CallerConnection] = set()
        # in the order in which they became idle.
        self.idle: dict[CallerConnection, None] = {}
        self._server: asyncio.Server | None = None
        self._was_full = False

    @property
    def is_crowded(self) -> bool:
        """Whether connections should not be kept after their answers."""
        limit = self.most_connections * defaults.CROWDED_SHARE
        return len(self.connections) > limit

    def make_room(self) -> None:
        """Close the connection that is idle longest, if there are too many.

        Without descriptors nobody could connect any more. Answers the load of a
        customer whose callers open more connections than the process may have.
        """
        if len(self.connections) <= self.most_connections:
            self._was_full = self._was_full and self.is_crowded
            return
        # the newest one is idle as well: it has asked nothing yet.
        oldest = next(iter(self.idle), None)
        if oldest is not None:
            oldest.close_if_idle()
        if not self._was_full:
            self._was_full = True
            warn("connections.full", open=len(self.connections), idle=len(self.idle))

    async def start(self, host: str, port: int) -> None:
        """Begin to listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self),
            host,
            port,
            backlog=defaults.ACCEPT_BACKLOG,
            reuse_address=True,
        )

    def close_idle(self) -> None:
        """Close connections on which nothing is under way."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def stop_listening(self) -> None:
        """Accept no more connections; those that are open go on."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """Stop listening and break off what is left."""
        self.stop_listening()
        for connection in list(self.connections):
            connection.abort()
