"""Accept HTTP/1.1 connections of callers, enforce limits, write responses."""

import asyncio
import collections
import socket
import typing as t

from snipedeal.clock import Clock
from snipedeal.integrity import reset_on_close
from snipedeal_direct import defaults
from snipedeal_direct.exchange import Exchange
from snipedeal_direct.fields import Fields
from snipedeal_direct.heads import status_line
from snipedeal_direct.journal import warning
from snipedeal_direct.memory import Holding
from snipedeal_direct.memory import Kind
from snipedeal_direct.memory import MemoryAccount
from snipedeal_direct.memory import Progress
from snipedeal_direct.meter import LoopMeter
from snipedeal_direct.meter import Work
from snipedeal_direct.model import CallerLimits
from snipedeal_direct.overload import IntakeBudget
from snipedeal_direct.parsing import HttpRequest
from snipedeal_direct.parsing import RefusedInputError
from snipedeal_direct.parsing import RequestReader
from snipedeal_direct.relief import Relief


class CallerConnection(asyncio.BufferedProtocol):
    """A caller's connection; pipelined requests are handled one at a time.

    :param server: the server that accepted the connection.
    :ivar holding: the memory that it holds.
    """

    def __init__(self, server: "IngressServer") -> None:
        self.is_lost = False
        self.holding = Holding(server.account)
        self.progress = Progress()
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._reader = RequestReader(
            server.limits, server.clock.now_ms, self._on_head, self._on_complete
        )
        self._pipelined: collections.deque[HttpRequest] = collections.deque()
        self._current: Exchange | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_closing = False
        self._is_read_paused = False
        # Data that waits for time to read it.
        self._unread: list[bytes] = []
        self._stated_bytes = 0
        # Whether the caller waits for 100 before it sends the body.
        self._owes_continue = False
        # Whether unread data waits for the queue of complete requests to shrink.
        self._awaits_queue = False
        self._is_starting = False
        # Whether responses were unsent when last counted, and the bytes written since.
        self._has_unsent = False
        self._written_bytes = 0
        # Bytes received after a refusal.
        self._discarded_bytes = 0
        self._can_write: asyncio.Event = asyncio.Event()
        self._can_write.set()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received, queued or handled."""
        return not (
            self._current is not None
            or self._reader.began_ms
            or self._pipelined
            or self._unread
        )

    @property
    def is_drained(self) -> bool:
        """Whether writing may go on; ``False`` while the write buffer is full."""
        return self._can_write.is_set()

    @property
    def peer(self) -> str:
        """Address of the caller, for the log."""
        name = self._transport and self._transport.get_extra_info("peername")
        return f"{name[0]}:{name[1]}" if name else ""

    @property
    def unsent_bytes(self) -> int:
        """Size of the write buffer, bytes."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    # -- asyncio.BufferedProtocol ----------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its idle timeout."""
        self._transport = t.cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(defaults.CALLER_BUFFER_BYTES)
        self._server.connections.add(self)
        self.holding.set(Kind.CONNECTIONS, defaults.CONNECTION_BYTES)
        self._server.note_idle(self)
        self._server.make_room(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the open exchange that the caller has disconnected."""
        self._server.forget(self)
        self.is_lost = True
        self._can_write.set()
        self._stop_timer()
        self._drop_input()
        self.holding.clear()
        exchange, self._current = self._current, None
        if exchange is not None and not exchange.is_ended and exchange.on_disconnect:
            exchange.on_disconnect()

    def pause_writing(self) -> None:
        """Apply back-pressure while the write buffer is full."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Release the back-pressure."""
        self._can_write.set()
        self.note_unsent()
        if self._pipelined:
            self._start_next_request()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections receive into, one at a time."""
        return self._server.receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Receive the bytes in the common buffer."""
        if self._is_closing:
            self._discarded_bytes += nbytes
            if self._discarded_bytes > self._server.limits().max_body_bytes:
                self._close()
            return
        self.data_received(bytes(self._server.receive_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the parser and enforce the limits."""
        if self._is_closing:
            return
        if self._unread or not self._server.has_intake_time:
            self._leave_unread(data)
        else:
            self._server.receive(self._receive, data)

    def _leave_unread(self, data: bytes) -> None:
        """Keep data until the server has time to read it."""
        if not self._unread:
            self._reader.received_ms = self._server.clock.now_ms()
            self._stop_timer()
            self._server.idle.pop(self, None)
            self._server.defer(self, len(data) > defaults.PARSED_BYTES)
        self._unread.append(data)
        unread_bytes = self.holding.get(Kind.UNREAD)
        unread_bytes += len(data) + defaults.PART_OVERHEAD_BYTES
        self.holding.set(Kind.UNREAD, unread_bytes)
        if not self._is_read_paused and (
            unread_bytes > defaults.INTAKE_BUFFER_BYTES or self._server.account.is_tight
        ):
            self._pause_reading()
        self._check_memory()

    def read_deferred(self) -> None:
        """Read the data that was left unread, unless enough requests are queued."""
        if len(self._pipelined) >= defaults.PIPELINED_LIMIT and not self._is_closing:
            self._awaits_queue = True
            return
        data = b"".join(self._unread)
        self._unread.clear()
        self.holding.set(Kind.UNREAD, 0)
        if not data or self._is_closing:
            return
        if self._is_read_paused and len(self._pipelined) < defaults.PIPELINED_LIMIT:
            self._resume_reading()
        self._server.receive(self._receive, data)
        if not self._unread:
            self._reader.received_ms = 0.0

    def _receive(self, data: bytes) -> None:
        if not self._reader.began_ms:
            self._server.idle.pop(self, None)
        self.progress.moved_bytes += len(data)
        consumed = len(data)
        try:
            consumed = self._reader.feed(data)
        except RefusedInputError as error:
            self._refuse(error.status, error.detail)
        if self._is_closing or self._transport is None:
            return
        if (
            len(self._pipelined) >= defaults.PIPELINED_LIMIT
            and not self._is_read_paused
        ):
            self._pause_reading()
        if self._reader.began_ms:
            held = max(self._reader.held_bytes, self._stated_bytes)
            self.holding.set(Kind.INCOMPLETE, held)
            self._check_memory()
            self._limit_receive_time()
        elif self._pipelined:
            self._check_memory()
        if consumed < len(data) and not self._is_closing:
            # Others get their turn before a caller that sends many requests at once.
            self._leave_unread(data[consumed:])

    def _check_memory(self) -> None:
        """Give up what is not complete if the process holds too much."""
        relief = self._server.relief
        relief.watch(self)
        if not relief.tolerates(self) and (
            self._reader.began_ms or self._pipelined or self._unread
        ):
            self.give_way("memory")

    def _pause_reading(self) -> None:
        assert self._transport is not None
        self._is_read_paused = True
        self._transport.pause_reading()

    def _resume_reading(self) -> None:
        assert self._transport is not None
        self._is_read_paused = False
        self._transport.resume_reading()

    def _limit_receive_time(self) -> None:
        """Start the timeout of a request that is not complete yet.

        Most requests arrive in one piece and need none.
        """
        if self._is_closing or not self._reader.began_ms:
            return
        if not self._reader.has_head and self._current is None:
            self._server.beginning.setdefault(self)
        if self._timer is not None:
            return
        limits = self._server.limits()
        # The body must be complete within the idle timeout.
        timeout_ms = (
            limits.idle_timeout_ms
            if self._reader.has_head
            else limits.header_timeout_ms
        )
        self._set_timer(timeout_ms, self._on_request_timeout)

    # -- requests ----------------------------------------------------------------

    def _on_head(self, length: int | None, expects: bool) -> None:
        """Admit a body, of unknown length if it is chunked; start its own timeout."""
        self._stop_timer()
        self._server.beginning.pop(self, None)
        if length is None or length > defaults.MEMORY_EACH_BYTES:
            owner = self._server.owner_of(self._reader.headers)
            is_admitted = self._server.relief.admits(length or 0, owner)
            self.holding.set_owner(owner)
            if not is_admitted:
                self._server.relief.note_closed(self, "body_refused")
                raise RefusedInputError(503, "no memory for the body")
            self._stated_bytes = length or 0
            self.holding.set(Kind.INCOMPLETE, self._stated_bytes)
            self._server.relief.watch(self)
        self._owes_continue = expects
        self._write_continue()

    def _write_continue(self) -> None:
        """Ask for the body that a caller holds back, unless a response is written."""
        if not self._owes_continue or self._current is not None or self._pipelined:
            return
        self._owes_continue = False
        # Part of the body tells that the caller does not wait.
        if not self._reader.body_bytes and not self._is_closing:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _on_complete(self, request: HttpRequest) -> None:
        """Queue a complete request."""
        if self._is_closing:
            return
        self._stop_timer()
        self._owes_continue = False
        self._server.beginning.pop(self, None)
        if self.holding.get(Kind.INCOMPLETE):
            self._stated_bytes = 0
            self.holding.set(Kind.INCOMPLETE, 0)
        self.add_request_bytes(request.held_bytes)
        self._pipelined.append(request)
        self._start_next_request()

    def add_request_bytes(self, change: int) -> None:
        """Count a change of what complete requests hold, bytes."""
        self.holding.set(Kind.REQUESTS, self.holding.get(Kind.REQUESTS) + change)

    # -- responses -----------------------------------------------------------------

    def write(self, data: bytes) -> None:
        """Write to the caller."""
        if self._transport is not None and not self.is_lost:
            self._transport.write(data)
            if self._transport.get_write_buffer_size() or self._has_unsent:
                self._written_bytes += len(data)
                self.note_unsent()

    def note_unsent(self) -> None:
        """Count what the caller has not taken."""
        unsent = self.unsent_bytes
        before = self.holding.get(Kind.UNSENT)
        self.progress.moved_bytes += max(0, self._written_bytes + before - unsent)
        self._written_bytes = 0
        self._has_unsent = unsent > 0
        if unsent != before:
            self.holding.set(Kind.UNSENT, unsent)
            self._server.relief.watch(self)

    async def drained(self) -> None:
        """Wait until the write buffer has drained."""
        await self._can_write.wait()

    def closes_after(self, request: HttpRequest) -> bool:
        """Return whether to close the connection after the response to a request."""
        return (
            self._is_closing
            or not request.keeps_alive
            or self._server.is_near_limit
            # Requests that were read are answered first.
            or (self._server.is_closing and not self._pipelined)
        )

    def end_exchange(self, closes: bool) -> None:
        """Start the next request, or close the connection."""
        if self._current is not None:
            self.add_request_bytes(-self._current.request.held_bytes)
        self._current = None
        if closes:
            self._close()
            return
        if self._is_read_paused and not self._unread and self._transport is not None:
            self._resume_reading()
        self._start_next_request()
        if self._awaits_queue and len(self._pipelined) < defaults.PIPELINED_LIMIT:
            self._awaits_queue = False
            self._server.defer(self, is_large=True)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if self.is_idle:
            self._close()

    def give_way(self, reason: str) -> None:
        """Refuse what is not complete, or end a response that is not read."""
        self._server.relief.note_closed(self, reason)
        is_receiving = self._reader.began_ms or self._unread or self._pipelined
        if reason != "unread" and is_receiving:
            self._refuse(503, "no memory")
        elif self.holding.get(Kind.UNSENT):
            self.abort()
        else:
            self.close_if_idle()

    def abort(self, is_reset: bool = False) -> None:
        """Close the connection, with a reset if asked, and discard unsent data."""
        self._is_closing = True
        self._stop_timer()
        if self._transport is not None:
            if is_reset:
                reset_on_close(self._transport)
            self._transport.abort()

    # -- internals -------------------------------------------------------------------

    def _start_next_request(self) -> None:
        """Start queued requests until one is not answered at once."""
        if self._is_starting:
            # Recursion would not end before the queue does.
            return
        self._is_starting = True
        try:
            # A caller that reads no responses would otherwise fill the write buffer.
            while self._may_start and self._pipelined and self._can_write.is_set():
                self._server.idle.pop(self, None)
                self._current = Exchange(self, self._pipelined.popleft())
                self._server.on_request(self._current)
        finally:
            self._is_starting = False
        self._write_continue()
        if self._may_start and not self._pipelined and not self._reader.began_ms:
            self._server.note_idle(self)

    @property
    def _may_start(self) -> bool:
        return self._current is None and not self.is_lost and not self._is_closing

    def _on_request_timeout(self) -> None:
        self._refuse(408, "the request did not come in time")

    def _refuse(self, status: int, detail: str) -> None:
        """Reject an invalid request and close the connection.

        While an earlier request is handled, nothing is written and the connection
        closes after that response.
        """
        self._is_closing = True
        self._server.on_bad_request(status, detail)
        is_sending_body = status in (413, 503) and self._reader.has_head
        self._drop_input()
        if self._current is None:
            line = status_line(status)
            text = b"Content-Length: 0\r\nConnection: close\r\n\r\n"
            self.write(line + text)
            if is_sending_body and not self._server.is_near_limit:
                self._discard_input()
            else:
                self._close()

    def _discard_input(self) -> None:
        """Close after the idle timeout, or earlier to make room, like an idle one.

        Closing while the caller sends would reset the connection, and the caller would
        not read why its request was refused.
        """
        self._stop_timer()
        if self._is_read_paused:
            self._resume_reading()
        self._server.note_idle(self)

    def _drop_input(self) -> None:
        """Free what was received and is not being handled."""
        self._reader.release()
        for request in self._pipelined:
            self.add_request_bytes(-request.held_bytes)
        self._pipelined.clear()
        self._unread.clear()
        self._stated_bytes = 0
        self.holding.set(Kind.UNREAD, 0)
        self.holding.set(Kind.INCOMPLETE, 0)

    def _close(self) -> None:
        self._is_closing = True
        self._stop_timer()
        if self._transport is not None:
            self._transport.close()
            if self.unsent_bytes:
                # A caller that reads nothing would keep the connection without end.
                self._set_timer(self._server.limits().idle_timeout_ms, self.abort)

    def _set_timer(self, delay_ms: float, action: t.Callable[[], None]) -> None:
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_ms / 1000, action)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class IngressServer:
    """Listen for connections of callers.

    :param on_request: called with each complete request.
    :param on_bad_request: called with the status and the reason for each
        invalid request.
    :param limits: returns the limits in force.
    :param max_connections: open connections above which idle ones are closed.
    :param meter: counts the time that reading requests takes.
    :param intake: bounds that time.
    :param account: counts the memory that connections hold.
    :param owner_of: returns the customer that the headers of a request name, empty if
        there is none, ``None`` if callers need no key.
    """

    def __init__(
        self,
        clock: Clock,
        on_request: t.Callable[[Exchange], None],
        on_bad_request: t.Callable[[int, str], None],
        limits: t.Callable[[], CallerLimits],
        max_connections: int,
        meter: LoopMeter | None = None,
        intake: IntakeBudget | None = None,
        account: MemoryAccount | None = None,
        owner_of: t.Callable[[Fields], str | None] = lambda headers: None,
    ) -> None:
        self.owner_of = owner_of
        self.max_connections = max_connections
        self.account = account or MemoryAccount.of_process(defaults.MAX_MEMORY_MB)
        self.receive_buffer = memoryview(bytearray(defaults.RECEIVE_BYTES))
        self._meter = meter or LoopMeter(clock)
        self._intake = intake or IntakeBudget()
        # Connections with unread data, in the order in which it came.
        self._deferred: collections.deque[CallerConnection] = collections.deque()
        # The same for those with much data; reading it takes others' time.
        self._deferred_large: collections.deque[CallerConnection] = collections.deque()
        self._deferred_timer: asyncio.TimerHandle | None = None
        self._deferred_reads = 0
        self.clock = clock
        self.on_request = on_request
        self.on_bad_request = on_bad_request
        self.limits = limits
        self.is_closing = False
        self.connections: set[CallerConnection] = set()
        self.relief = Relief(self.account, lambda: self.limits().idle_timeout_ms)
        # Connections that have sent a part of a head, the oldest first.
        self.beginning: dict[CallerConnection, None] = {}
        # Monotonic ms at which they became idle; in that order.
        self.idle: dict[CallerConnection, float] = {}
        self._idle_timer: asyncio.TimerHandle | None = None
        self._server: asyncio.Server | None = None
        self._has_warned_full = False

    @property
    def is_near_limit(self) -> bool:
        """Whether connections close after each response, to free descriptors."""
        limit = self.max_connections * defaults.CLOSE_AFTER_RESPONSE_FRACTION
        return len(self.connections) > limit

    def forget(self, connection: CallerConnection) -> None:
        """Remove a connection that is closed."""
        self.connections.discard(connection)
        self.idle.pop(connection, None)
        self.beginning.pop(connection, None)
        self.relief.forget(connection)

    def note_idle(self, connection: CallerConnection) -> None:
        """Close a connection after the idle timeout, unless it is used again."""
        self.idle.pop(connection, None)
        self.idle[connection] = self.clock.now_ms()
        if self._idle_timer is None:
            self._schedule_idle_check(self.limits().idle_timeout_ms)

    def _schedule_idle_check(self, delay_ms: float) -> None:
        loop = asyncio.get_running_loop()
        self._idle_timer = loop.call_later(delay_ms / 1000, self._check_idle)

    def _check_idle(self) -> None:
        """Close connections that were idle for too long; schedule the next check."""
        self._idle_timer = None
        timeout_ms = self.limits().idle_timeout_ms
        now_ms = self.clock.now_ms()
        while self.idle:
            connection, since_ms = next(iter(self.idle.items()))
            left_ms = since_ms + timeout_ms - now_ms
            if left_ms > 0:
                self._schedule_idle_check(left_ms)
                return
            del self.idle[connection]
            connection.close_if_idle()

    @property
    def has_intake_time(self) -> bool:
        """Whether a request may be read now rather than later."""
        if self._deferred or self._deferred_large:
            return False
        return self._intake.has_time(self._meter.now_ms())

    def receive(self, action: t.Callable[[bytes], None], data: bytes) -> None:
        """Run an action on received bytes and count its time."""
        began = self._meter.begin()
        try:
            action(data)
        finally:
            self._intake.spend(self._meter.end(Work.INTAKE, began))

    def defer(self, connection: CallerConnection, is_large: bool = False) -> None:
        """Read a connection's data once there is time."""
        (self._deferred_large if is_large else self._deferred).append(connection)
        if self._deferred_timer is None:
            self._schedule_deferred()

    def _schedule_deferred(self) -> None:
        loop = asyncio.get_running_loop()
        delay_s = defaults.INTAKE_DELAY_MS / 1000
        self._deferred_timer = loop.call_later(delay_s, self._read_deferred)

    def _read_deferred(self) -> None:
        self._deferred_timer = None
        now_ms = self._meter.now_ms()
        until_ms = now_ms + defaults.INTAKE_BURST_MS
        while now_ms < until_ms and self._intake.has_time(now_ms):
            # The latest can still be served in time; the oldest must not wait without
            # end.
            self._deferred_reads += 1
            is_oldest = self._deferred_reads % defaults.INTAKE_OLDEST_EVERY == 0
            if self._deferred_large and (is_oldest or not self._deferred):
                take = self._deferred_large.popleft
            elif self._deferred:
                take = self._deferred.popleft if is_oldest else self._deferred.pop
            else:
                break
            take().read_deferred()
            now_ms = self._meter.now_ms()
        if self._deferred or self._deferred_large:
            self._schedule_deferred()

    def make_room(self, newest: CallerConnection) -> None:
        """Close the connection that is needed least if the limit is exceeded.

        A single caller may open more connections than the process has file
        descriptors; without this, no other caller could connect. Idle connections go
        first, then those that have sent a part of a head only, then the new one.
        """
        if len(self.connections) <= self.max_connections:
            self._has_warned_full = self._has_warned_full and self.is_near_limit
            return
        # A connection stays in the set until it is closed, but is chosen once.
        chosen = next(iter(self.idle), newest)
        if chosen is newest:
            chosen = next(iter(self.beginning), newest)
        self.idle.pop(chosen, None)
        self.beginning.pop(chosen, None)
        chosen.give_way("descriptors")
        if not self._has_warned_full:
            self._has_warned_full = True
            warning("connections.full", open=len(self.connections), idle=len(self.idle))

    async def start(self, host: str, port: int) -> None:
        """Start listening."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self),
            host,
            port,
            # The event loop accepts as many at once, before any of them can be closed.
            backlog=defaults.ACCEPTED_AT_ONCE,
            reuse_address=True,
        )
        for listening in self._server.sockets:
            number = listening.fileno()
            with socket.fromfd(number, listening.family, listening.type) as sock:
                sock.listen(defaults.ACCEPT_BACKLOG)

    def close_idle(self) -> None:
        """Close connections without a request in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones stay usable."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """Stop listening and abort the open connections."""
        self.stop_listening()
        self.relief.close()
        for timer in (self._idle_timer, self._deferred_timer):
            if timer is not None:
                timer.cancel()
        self._idle_timer = self._deferred_timer = None
        for deferred in (self._deferred, self._deferred_large):
            while deferred:
                deferred.popleft().read_deferred()
        for connection in list(self.connections):
            connection.abort()
