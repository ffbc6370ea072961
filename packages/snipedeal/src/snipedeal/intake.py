"""Read HTTP requests within limits of size, memory and connections."""

import asyncio
import collections
import http
import os
import resource
import typing as t

import attrs
import httptools
from absl import logging
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

from snipedeal import defaults
from snipedeal.holdings import UNKNOWN
from snipedeal.holdings import HeldMemory
from snipedeal.holdings import Seats

if t.TYPE_CHECKING:
    from snipedeal.settings import NodeSettings


class Limit:
    """Names of the limits, in metrics and log lines."""

    HEAD = "head"
    EMPTY_LINES = "empty_lines"
    FRAMING = "framing"
    SYNTAX = "syntax"
    MEMORY = "memory"
    CONNECTIONS = "connections"
    RECEIVE_TIME = "receive_time"
    UNREAD = "unread"


class RefusedInputError(Exception):
    """Raised for input that exceeds a limit.

    :param limit: name of the limit.
    :param status: HTTP status for the caller.
    """

    def __init__(self, limit: str, status: int) -> None:
        super().__init__(limit)
        self.limit = limit
        self.status = status


class Intake:
    """State that the connections of a server share.

    :param settings: limits of the process.
    :param identify: returns the customer that an ``Authorization`` header names, empty
        if there is none.
    :param on_refused: called with the name of the limit that refused a caller.
    """

    def __init__(
        self,
        settings: "NodeSettings",
        identify: t.Callable[[str], str] = lambda authorization: UNKNOWN,
        on_refused: t.Callable[[str], None] = lambda limit: None,
    ) -> None:
        self.max_header_bytes = settings.max_header_bytes
        self.receive_timeout_s = settings.receive_timeout_ms / 1000
        self.memory = HeldMemory.of_process(
            settings.max_memory_mb or _machine_memory_mb()
        )
        self.seats: Seats[BoundedProtocol] = Seats(
            settings.max_connections or _default_connections()
        )
        self.identify = identify
        self._on_refused = on_refused
        self._unlogged: collections.Counter[str] = collections.Counter()
        self._log_timer: asyncio.TimerHandle | None = None

    def note_refused(self, limit: str, peer: str, customer: str) -> None:
        """Count a caller that was refused, and log it with others of this second."""
        self._on_refused(limit)
        self._unlogged[limit] += 1
        if self._log_timer is None:
            loop = asyncio.get_running_loop()
            self._log_timer = loop.call_later(1.0, self._log, limit, peer, customer)

    def _log(self, limit: str, peer: str, customer: str) -> None:
        self._log_timer = None
        logging.warning(
            "callers refused by limit: %s; the first one at %s, peer %s, customer %s; "
            "%d of %d bytes held",
            dict(self._unlogged),
            limit,
            peer,
            customer or "unknown",
            self.memory.total_bytes,
            self.memory.limit_bytes,
        )
        self._unlogged.clear()


class _PausedFlow(FlowControl):
    """Flow control that keeps reading paused while requests wait for their turn."""

    is_held = False

    def resume_reading(self) -> None:
        """Read on, unless requests wait for their turn."""
        if not self.is_held:
            super().resume_reading()


@attrs.define(eq=False)
class _Message:
    """What one request holds until its response is complete.

    :param owner: its customer.
    :param headers: its headers; thousands of short ones take many times their bytes.
    :param cycle: serves it, ``None`` until its head is complete.
    """

    owner: str = UNKNOWN
    held_bytes: int = 0
    headers: list[tuple[bytes, bytes]] = attrs.Factory(list)
    cycle: RequestResponseCycle | None = None


class BoundedProtocol(HttpToolsProtocol):
    """A caller's connection; ``uvicorn`` serves its requests one after the other.

    :param intake: what it shares with the other connections of the server.
    :param options: arguments of ``HttpToolsProtocol``.
    """

    def __init__(self, intake: Intake, **options: t.Any) -> None:
        super().__init__(**options)
        self._intake = intake
        self._refusal: RefusedInputError | None = None
        self._is_closing = False
        # Requests whose responses are not complete, the oldest first, and the one that
        # is being received.
        self._open: collections.deque[_Message] = collections.deque()
        self._message: _Message | None = None
        # Input that waits until earlier requests are answered.
        self._unparsed = b""
        self._is_parsing = False
        self._has_upgrade = False
        self._has_head = False
        self._head_bytes = 0
        self._body_bytes = 0
        # Bytes since the last one of the body or the start of the request, and those
        # since the end of the head.
        self._since_progress = 0
        self._framed_bytes = 0
        self._unsent_bytes = 0
        # What the connection holds beside its requests.
        self._own = _Message()
        self._receive_timer: asyncio.TimerHandle | None = None
        self._unread_timer: asyncio.TimerHandle | None = None

    # -- asyncio.Protocol --------------------------------------------------------

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take a seat; another connection may have to give way."""
        super().connection_made(transport)
        self.flow = _PausedFlow(transport)
        self._hold(self._own, defaults.CONNECTION_BYTES)
        chosen = self._intake.seats.add(self)
        if chosen is not None:
            chosen.give_way()
        self._limit_receive_time()

    def connection_lost(self, exc: Exception | None) -> None:
        """Free the seat and the memory."""
        self._is_closing = True
        self._intake.seats.remove(self)
        self._stop_timers()
        self._unparsed = b""
        for message in (self._own, *self._open):
            self._release(message)
        self._open.clear()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse input, or keep it until earlier requests are answered."""
        if self._is_closing:
            return
        self._unset_keepalive_if_required()
        self._unparsed += data
        self._hold(self._own, len(data))
        if not self._is_parsing:
            self._parse_unparsed()

    def pause_writing(self) -> None:
        """Count what the caller does not read; it may not do so for long."""
        super().pause_writing()
        self._note_unsent()
        if not self._intake.memory.admits(self._own.owner, 0):
            self._give_up_writing()
            return
        self._watch_unread()

    def resume_writing(self) -> None:
        """Count that the caller has read."""
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None
        self._note_unsent()
        super().resume_writing()

    @property
    def _peer(self) -> str:
        """Address of the caller, for the log."""
        return "" if self.client is None else f"{self.client[0]}:{self.client[1]}"

    # -- input -------------------------------------------------------------------

    def _parse_unparsed(self) -> None:
        """Parse in pieces, with the limits checked in between."""
        self._is_parsing = True
        try:
            while self._unparsed and not self._is_closing:
                if len(self.pipeline) >= defaults.PIPELINED_REQUESTS:
                    break
                piece = self._unparsed[: defaults.PARSED_BYTES]
                self._unparsed = self._unparsed[len(piece) :]
                self._hold(self._own, -len(piece))
                self._parse_piece(piece)
        except RefusedInputError as refusal:
            self._refuse(refusal)
        finally:
            self._is_parsing = False
        if self._is_closing:
            return
        self.flow.is_held = bool(self._unparsed)
        if self.flow.is_held:
            self.flow.pause_reading()
        self._limit_receive_time()

    def _parse_piece(self, piece: bytes) -> None:
        self._since_progress += len(piece)
        self._framed_bytes += len(piece)
        try:
            self._feed(piece)
        except httptools.HttpParserError:
            raise self._refusal or RefusedInputError(Limit.SYNTAX, 400) from None
        self._check_progress()
        if self._message is not None and not self._has_head:
            self._hold_head(self._message)

    def _hold_head(self, message: _Message) -> None:
        """Count what has come of a head.

        :raises RefusedInputError: there is no memory for it.
        """
        lines = len(self.headers) * defaults.RECEIVED_LINE_BYTES
        change = self._since_progress + lines - message.held_bytes
        if not self._intake.memory.admits(message.owner, change):
            raise RefusedInputError(Limit.MEMORY, 503)
        self._hold(message, change)

    def _feed(self, piece: bytes) -> None:
        """Feed the parser; ignore offers to upgrade, as RFC 9110, 7.8 allows."""
        while True:
            try:
                self.parser.feed_data(piece)
                return
            except httptools.HttpParserUpgrade as upgrade:
                piece = piece[upgrade.args[0] :]
            # The parser takes what follows for another protocol. A new one reads the
            # same head without the offer, and then the body.
            method = self.parser.get_method()
            lines = [b"%s %s HTTP/1.1\r\n" % (method, self.url)]
            lines += [b"%s: %s\r\n" % pair for pair in self.headers]
            self.parser = httptools.HttpRequestParser(self)
            self.parser.feed_data(b"".join(lines) + b"\r\n")

    def _check_progress(self) -> None:
        """Enforce the limits on what leads to no header or part of a body."""
        since = self._since_progress
        if self._message is None:
            if since > defaults.EMPTY_LINE_BYTES:
                raise RefusedInputError(Limit.EMPTY_LINES, 400)
        elif not self._has_head:
            if since > self._intake.max_header_bytes + defaults.REQUEST_LINE_BYTES:
                raise RefusedInputError(Limit.HEAD, 431)
        else:
            if since > max(defaults.FRAMING_BYTES, self._intake.max_header_bytes):
                raise RefusedInputError(Limit.FRAMING, 431)
            allowed = self._body_bytes * defaults.FRAMING_FACTOR
            if self._framed_bytes > defaults.FRAMING_BYTES + allowed:
                raise RefusedInputError(Limit.FRAMING, 400)

    def _fail(self, limit: str, status: int) -> t.NoReturn:
        """Stop the parser, which then reports the refusal."""
        self._refusal = RefusedInputError(limit, status)
        raise self._refusal

    # -- httptools ---------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Begin a request, or read one once more without its offer to upgrade."""
        super().on_message_begin()
        self._head_bytes = 0
        if self._has_upgrade:
            self._has_upgrade = False
            assert self._message is not None
            self._message.headers = self.headers
            return
        self._has_head = False
        self._body_bytes = 0
        self._message = _Message(headers=self.headers)
        self._open.append(self._message)
        self._intake.seats.note_beginning(self)

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        super().on_url(url)
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; drop a trailer, whose bytes count as framing."""
        if self._has_head:
            return
        # At least 3 bytes for the colon and the line break.
        self._count_head(len(name) + len(value) + 3)
        super().on_header(name, value)

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._intake.max_header_bytes:
            self._fail(Limit.HEAD, 431)

    def on_headers_complete(self) -> None:
        """Admit a request before its body is read."""
        if self.parser.should_upgrade():
            if self.parser.get_method() == b"CONNECT":
                self._fail(Limit.SYNTAX, 400)
            self._has_upgrade = True
            self.headers[:] = [pair for pair in self.headers if pair[0] != b"upgrade"]
            return
        assert self._message is not None
        cost = self._head_bytes * defaults.HEAD_COPIES
        cost += len(self.headers) * defaults.HEADER_LINE_BYTES
        cost += defaults.REQUEST_BYTES
        stated = 0
        authorization = b""
        for name, value in self.headers:
            if name == b"content-length":
                stated = int(value)
            elif name == b"authorization":
                authorization = value
        self._hold(self._message, -self._message.held_bytes)
        owner = self._intake.identify(authorization.decode("latin-1"))
        self._message.owner = self._own_as(owner)
        extra = min(stated, defaults.BODY_LIMIT_BYTES) * defaults.BODY_COPIES
        if not self._intake.memory.admits(owner, cost + extra):
            self._fail(Limit.MEMORY, 503)
        self._hold(self._message, cost)
        self._has_head = True
        self._since_progress = self._framed_bytes = 0
        self._intake.seats.note_busy(self)
        super().on_headers_complete()
        self._message.cycle = self.cycle

    def _own_as(self, owner: str) -> str:
        """Count what the connection itself holds for the customer of its requests."""
        if owner != self._own.owner:
            held = self._own.held_bytes
            self._hold(self._own, -held)
            self._own.owner = owner
            self._hold(self._own, held)
        return owner

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        assert self._message is not None
        self._since_progress = 0
        self._body_bytes += len(body)
        if self.cycle.response_complete:
            return
        size = len(body) * defaults.BODY_COPIES
        if not self._intake.memory.admits(self._message.owner, size):
            self._fail(Limit.MEMORY, 503)
        self._hold(self._message, size)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """End the request, unless it is read once more."""
        if self._has_upgrade:
            return
        super().on_message_complete()
        self._message = None
        self._since_progress = 0
        self._stop_receive_timer()

    def give_way(self) -> None:
        """Close the connection at once, to free its descriptor."""
        self._intake.note_refused(Limit.CONNECTIONS, self._peer, self._own.owner)
        self._is_closing = True
        if self._message is not None:
            self._write_refusal(503)
        self.transport.close()

    # -- responses ---------------------------------------------------------------

    def on_response_complete(self) -> None:
        """Free what the request held, and parse what waits."""
        if self._open:
            self._release(self._open.popleft())
        super().on_response_complete()
        if self._is_closing:
            self.transport.close()
        if self.transport.is_closing():
            return
        if not self._open:
            self._intake.seats.note_idle(self)
        if self._unparsed and not self._is_parsing:
            # Not at once: the response of each of thousands of requests would call it.
            self.loop.call_soon(self._parse_unparsed)

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection, unless its input waits to be parsed."""
        if not self._unparsed:
            super().timeout_keep_alive_handler()

    def _refuse(self, refusal: RefusedInputError) -> None:
        """Refuse what is not complete, and close the connection.

        A refusal is not mixed with the response to an earlier request: the connection
        closes after that.
        """
        if self._is_closing:
            return
        self._is_closing = True
        message = self._message
        owner = message.owner if message is not None else self._own.owner
        self._intake.note_refused(refusal.limit, self._peer, owner)
        self._stop_timers()
        self._hold(self._own, -len(self._unparsed))
        self._unparsed = b""
        self.pipeline.clear()
        if message is not None and message.cycle is None:
            self._release(message)
        if self._open and self._open[0] is not message:
            self.flow.pause_reading()
            return
        cycle = message.cycle if message is not None else None
        if cycle is not None and cycle.response_started:
            self.transport.abort()
            return
        if cycle is not None:
            # The application waits for the rest of the body.
            cycle.disconnected = True
            cycle.message_event.set()
        self._write_refusal(refusal.status)

    def _write_refusal(self, status: int) -> None:
        """Write a refusal; drop input for a while before the connection closes.

        Closing while the caller sends would reset the connection, and the caller would
        not read why its request was refused.
        """
        lines = [f"HTTP/1.1 {status} {http.HTTPStatus(status).phrase}"]
        lines += ["content-length: 0", "connection: close"]
        if status == 503:
            lines.append(f"retry-after: {defaults.RETRY_AFTER_S}")
        self.transport.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        self.flow.is_held = False
        self.flow.resume_reading()
        self._intake.seats.note_idle(self)
        self.loop.call_later(defaults.REFUSAL_LINGER_S, self.transport.close)

    # -- accounts and timers -------------------------------------------------------

    def _hold(self, message: _Message, change: int) -> None:
        message.held_bytes += change
        self._intake.memory.add(message.owner, change)

    def _release(self, message: _Message) -> None:
        """Free what a request holds."""
        self._hold(message, -message.held_bytes)
        message.headers.clear()

    def _note_unsent(self) -> None:
        before = self._unsent_bytes
        self._unsent_bytes = self.transport.get_write_buffer_size()
        self._hold(self._own, self._unsent_bytes - before)

    def _watch_unread(self) -> None:
        delay_s = self._intake.receive_timeout_s
        self._unread_timer = self.loop.call_later(delay_s, self._check_unread)

    def _check_unread(self) -> None:
        """End a response of which nothing is read."""
        before = self._unsent_bytes
        self._note_unsent()
        if self._unsent_bytes >= before:
            self._give_up_writing()
        else:
            self._watch_unread()

    def _give_up_writing(self) -> None:
        self._is_closing = True
        self._intake.note_refused(Limit.UNREAD, self._peer, self._own.owner)
        self.transport.abort()

    def _limit_receive_time(self) -> None:
        """Start the timeout of a request that is not complete, or has not begun."""
        is_waiting = self._message is not None or not self._open
        if is_waiting and self._receive_timer is None:
            self._receive_timer = self.loop.call_later(
                self._intake.receive_timeout_s, self._on_receive_timeout
            )

    def _on_receive_timeout(self) -> None:
        if self._message is None:
            self.transport.close()
        else:
            self._refuse(RefusedInputError(Limit.RECEIVE_TIME, 408))

    def _stop_receive_timer(self) -> None:
        if self._receive_timer is not None:
            self._receive_timer.cancel()
            self._receive_timer = None

    def _stop_timers(self) -> None:
        self._stop_receive_timer()
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None


def _machine_memory_mb() -> float:
    """Return the memory of the VM, MB."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 1_000_000


def _default_connections() -> int:
    """Return the connections that the process's descriptors are enough for.

    The rest is for connections to other processes, and files.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return defaults.CONNECTIONS_LIMIT
    wanted = int(soft * defaults.CONNECTIONS_FRACTION)
    return max(1, min(defaults.CONNECTIONS_LIMIT, wanted))
