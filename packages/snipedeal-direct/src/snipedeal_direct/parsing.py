"""Parse requests of callers within limits of size."""

import typing as t

import attrs
import httptools

from snipedeal.exceptions import SnipedealError
from snipedeal_direct import defaults
from snipedeal_direct.fields import Fields
from snipedeal_direct.model import CallerLimits

_FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding", b"expect"))


@attrs.define(eq=False)
class HttpRequest:
    """A complete request.

    :param headers: its headers, without trailers.
    :param body: ``bytes``, or for large bodies a ``bytearray`` that isn't changed.
    :param began_ms: monotonic time at which its first byte was read, ms.
    :param read_ms: monotonic time at which its last byte was read, ms.
    :param held_bytes: memory that it takes, bytes.
    """

    method: str
    path: bytes
    headers: Fields
    body: bytes
    keeps_alive: bool
    version: str
    began_ms: float
    read_ms: float
    held_bytes: int = 0

    def header(self, name: bytes) -> str:
        """Return the first value of a header, empty if it is missing."""
        value = self.headers.get(name)
        return "" if value is None else value.decode("latin-1")


class RefusedInputError(SnipedealError):
    """Raised for a request that is invalid or exceeds a limit.

    :param status: HTTP status for the caller.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail, "read")
        self.status = status
        self.detail = detail


class RequestReader:
    """Parse the requests of one connection; ``httptools`` calls its ``on_`` methods.

    :param limits: returns the limits in force.
    :param now_ms: returns the monotonic time, ms.
    :param on_head: called with the length that a request states for its body, ``None``
        for a chunked one, and whether the caller waits for 100; it may raise
        ``RefusedInputError``.
    :param on_request: called with each complete request.
    """

    def __init__(
        self,
        limits: t.Callable[[], CallerLimits],
        now_ms: t.Callable[[], float],
        on_head: t.Callable[[int | None, bool], None],
        on_request: t.Callable[[HttpRequest], None],
    ) -> None:
        self._limits = limits
        self._now_ms = now_ms
        self._on_head = on_head
        self._on_request = on_request
        self._parser = httptools.HttpRequestParser(self)
        self._refusal: RefusedInputError | None = None
        # Whether the parser has ended the request after its head, for an upgrade.
        self._has_upgrade = False
        # Whether no message has ended in the bytes that are being parsed, and their
        # number.
        self._is_fresh = True
        self._piece_bytes = 0
        # Requests that have become complete in the call of ``feed``.
        self._completed = 0
        self.received_ms = 0.0
        self._reset()

    def _reset(self) -> None:
        self._path = b""
        self._headers = Fields()
        # Length that the request states for its body, whether it comes in chunks, and
        # whether the caller waits for 100 before it sends it.
        self._stated_bytes = 0
        self._is_chunked = False
        self._expects = False
        self._head_bytes = 0
        self.has_head = False
        self._has_started = False
        self._body: bytearray | None = None
        # Bytes since the last one of the body, or since the start of the request; the
        # parser keeps header lines that are not complete.
        self._bytes_since_body = 0
        # Bytes since the end of the head.
        self._framed_bytes = 0
        self.began_ms = 0.0

    @property
    def held_bytes(self) -> int:
        """Memory that a request in progress takes, bytes."""
        held = self._bytes_since_body + len(self._path) + self._head_bytes
        held += self._headers.overhead_bytes
        if self._body is not None:
            # A bytearray reserves an eighth more than it has.
            held += len(self._body) * 9 // 8
        return held

    @property
    def headers(self) -> Fields:
        """Headers of the request in progress, as far as they have come."""
        return self._headers

    @property
    def body_bytes(self) -> int:
        """Bytes of the body received so far."""
        return 0 if self._body is None else len(self._body)

    def release(self) -> None:
        """Free what was received of a request in progress."""
        self._parser = httptools.HttpRequestParser(self)
        self._has_upgrade = False
        self._reset()

    def feed(self, data: bytes) -> int:
        """Parse received bytes; return how many.

        The rest is left once ``PIPELINED_LIMIT`` requests are complete.

        :raises RefusedInputError: they are invalid or exceed a limit.
        """
        if not self.began_ms:
            # 0 means that no request has begun.
            self.began_ms = self.received_ms or self._now_ms() or 1
        if len(data) <= defaults.PARSED_BYTES:
            self._feed(data)
            return len(data)
        self._completed = 0
        view = memoryview(data)
        for start in range(0, len(view), defaults.PARSED_BYTES):
            if self._completed >= defaults.PIPELINED_LIMIT:
                return start
            self._feed(view[start : start + defaults.PARSED_BYTES])
        return len(data)

    def _feed(self, piece: bytes | memoryview) -> None:
        size = self._piece_bytes = len(piece)
        self._is_fresh = True
        self._bytes_since_body += size
        self._framed_bytes += size
        try:
            self._parse(piece)
        except httptools.HttpParserError as error:
            refusal = self._refusal or RefusedInputError(400, f"not HTTP/1.1: {error}")
            raise refusal from None
        if self.began_ms:
            self._check_progress()

    def _parse(self, piece: bytes | memoryview) -> None:
        """Feed the parser; ignore offers to upgrade, as RFC 9110, 7.8 allows."""
        while True:
            try:
                self._parser.feed_data(piece)
                return
            except httptools.HttpParserUpgrade as upgrade:
                piece = piece[upgrade.args[0] :]
            # The parser takes what follows for another protocol. A new one reads the
            # same head without the offer, and then the body.
            head = self._render_without_upgrade()
            self._parser = httptools.HttpRequestParser(self)
            self._parser.feed_data(head)

    def _render_without_upgrade(self) -> bytes:
        method, version = self._parser.get_method(), self._parser.get_http_version()
        lines = [b"%s %s HTTP/%s\r\n" % (method, self._path, version.encode())]
        lines += [
            b"%s: %s\r\n" % pair for pair in self._headers if pair[0] != b"upgrade"
        ]
        return b"".join(lines) + b"\r\n"

    def _check_progress(self) -> None:
        """Enforce the limits on what leads to no complete header or part of a body."""
        since = self._bytes_since_body
        if self.has_head:
            if since > max(defaults.FRAMING_BYTES, self._limits().max_header_bytes):
                raise RefusedInputError(431, "chunk framing or trailers too large")
            allowed = self.body_bytes * defaults.FRAMING_FACTOR
            if self._framed_bytes > defaults.FRAMING_BYTES + allowed:
                raise RefusedInputError(400, "chunk framing too large for the body")
        elif self._has_started:
            allowed = self._limits().max_header_bytes + defaults.REQUEST_LINE_BYTES
            if since > allowed:
                raise RefusedInputError(431, "header too large")
        elif since > defaults.EMPTY_LINE_BYTES:
            raise RefusedInputError(400, "too many empty lines before a request")

    def _refuse(self, status: int, detail: str) -> t.NoReturn:
        """Stop the parser, which then reports the refusal."""
        self._refusal = RefusedInputError(status, detail)
        raise self._refusal

    # -- httptools ---------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Begin a request."""
        if self._has_upgrade:
            # The same request is read once more.
            self._has_upgrade = False
            self._headers = Fields()
            self._expects = False
            self._path = b""
            self._head_bytes = 0
            return
        began_ms = self.began_ms
        is_fresh = self._is_fresh
        self._reset()
        self._has_started = True
        self.began_ms = began_ms or self.received_ms or self._now_ms() or 1
        # What precedes the request in these bytes must not count.
        self._bytes_since_body = self._piece_bytes if is_fresh else 0

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; drop a trailer, whose bytes count as framing."""
        if self.has_head:
            return
        name = name.lower()
        self._headers.add(name, value)
        if name in _FRAMING_HEADERS:
            self._note_framing(name, value)
        # At least 3 bytes for the colon and the line break.
        self._head_bytes += len(name) + len(value) + 3

    def _note_framing(self, name: bytes, value: bytes) -> None:
        """Note how the body comes."""
        if name == b"content-length":
            self._stated_bytes = int(value)
        elif name == b"transfer-encoding":
            self._is_chunked = True
        elif value.lower() == b"100-continue":
            self._expects = True

    def on_headers_complete(self) -> None:
        """Enforce the header and body limits."""
        limits = self._limits()
        if self._head_bytes + len(self._path) > limits.max_header_bytes:
            self._refuse(431, "header too large")
        self._has_upgrade = self._parser.should_upgrade()
        if self._has_upgrade:
            if self._parser.get_method() == b"CONNECT":
                self._refuse(400, "tunnels are not offered")
            return
        self.has_head = True
        self._bytes_since_body = 0
        self._framed_bytes = 0
        if self._stated_bytes > limits.max_body_bytes:
            self._refuse(413, "body too large")
        length = None if self._is_chunked else self._stated_bytes
        if length != 0 or self._expects:
            try:
                self._on_head(length, self._expects)
            except RefusedInputError as error:
                self._refusal = error
                raise

    def on_body(self, body: bytes) -> None:
        """Store a part of the body and enforce its limit."""
        self._bytes_since_body = 0
        # A list of parts would take many times the bytes of a body in tiny chunks.
        if self._body is None:
            self._body = bytearray(body)
        else:
            self._body += body
        if len(self._body) > self._limits().max_body_bytes:
            self._refuse(413, "body too large")

    def on_message_complete(self) -> None:
        """Pass the complete request on."""
        if self._has_upgrade:
            return
        body: bytes = b""
        if self._body is not None:
            is_large = len(self._body) > defaults.MEMORY_EACH_BYTES
            body = t.cast(bytes, self._body) if is_large else bytes(self._body)
        request = HttpRequest(
            method=self._parser.get_method().decode(),
            path=self._path,
            headers=self._headers,
            body=body,
            keeps_alive=self._parser.should_keep_alive(),
            version=self._parser.get_http_version(),
            began_ms=self.began_ms,
            read_ms=self.received_ms or self._now_ms(),
            held_bytes=self.held_bytes + defaults.REQUEST_OVERHEAD_BYTES,
        )
        self._reset()
        self._is_fresh = False
        self._completed += 1
        self._on_request(request)
