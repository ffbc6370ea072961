"""A caller's request and the response to it."""

import typing as t

from snipedeal_direct.heads import status_line
from snipedeal_direct.model import Headers
from snipedeal_direct.parsing import HttpRequest

if t.TYPE_CHECKING:
    from snipedeal_direct.ingress import CallerConnection

#: Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
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


class Exchange:
    """A caller's request and its response.

    :param connection: the connection that the request arrived on.
    """

    def __init__(self, connection: "CallerConnection", request: HttpRequest) -> None:
        self.request = request
        self.on_disconnect: t.Callable[[], None] | None = None
        self.has_begun = False
        self.is_ended = False
        self._connection = connection
        self._is_chunked = False
        # Whether the head of the response says that the connection closes.
        self._has_said_close = False
        self._has_body = request.method != "HEAD"

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has disconnected."""
        return self._connection.is_lost

    @property
    def is_drained(self) -> bool:
        """Whether writing may go on; ``False`` while the write buffer is full."""
        return self._connection.is_drained

    @property
    def unsent_bytes(self) -> int:
        """Bytes written that the caller's connection has not taken yet."""
        return self._connection.unsent_bytes

    def hold(self, extra_bytes: int) -> None:
        """Count memory that the request takes beside what was received, until its end.

        :param extra_bytes: what is held in addition, bytes.
        """
        self.request.held_bytes += extra_bytes
        self._connection.add_request_bytes(extra_bytes)

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response."""
        if self.is_ended or self.is_disconnected:
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
        """Write the head of a response of unknown length."""
        if self.is_disconnected:
            return
        self.has_begun = True
        self._is_chunked = self.request.version != "1.0"
        lines = [status_line(status)]
        lines += [b"%s: %s\r\n" % pair for pair in headers]
        if self._is_chunked:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        self._has_said_close = self._connection.closes_after(self.request)
        if self._has_said_close:
            lines.append(b"Connection: close\r\n")
        lines.append(b"\r\n")
        self._connection.write(b"".join(lines))

    def write(self, data: bytes) -> None:
        """Write a part of the body after ``begin``."""
        if not data or self.is_disconnected or not self._has_body:
            return
        if self._is_chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._connection.write(data)

    def finish(self) -> None:
        """Complete a response after ``begin``."""
        if self.is_ended or self.is_disconnected:
            return
        if self._is_chunked:
            if self._has_body:
                self._connection.write(b"0\r\n\r\n")
            closes = self._connection.closes_after(self.request)
            self._end(self._has_said_close or closes)
        else:
            # HTTP/1.0 has no chunked encoding: closing the connection ends the body.
            self._end(True)

    def abort(self) -> None:
        """Abort the connection so that the response can't be taken for complete."""
        if not self.is_ended:
            self.is_ended = True
            # Without chunks, a closed connection would end the body.
            is_open = self.has_begun and not self._is_chunked
            self._connection.abort(is_reset=is_open)

    async def drained(self) -> None:
        """Wait until the write buffer has drained."""
        await self._connection.drained()

    def _end(self, closes: bool) -> None:
        self.is_ended = True
        self._connection.end_exchange(closes)


def connection_options(headers: t.Iterable[tuple[bytes, bytes]]) -> set[bytes]:
    """Return the hop-by-hop headers that Connection headers list."""
    named = set()
    for name, value in headers:
        if name == b"connection":
            named |= {item.strip().lower() for item in value.split(b",")}
    return named


def end_to_end_headers(
    headers: t.Sequence[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Return a response's headers except hop-by-hop ones and Content-Length."""
    dropped = HOP_BY_HOP_HEADERS | connection_options(headers) | {b"content-length"}
    return [pair for pair in headers if pair[0] not in dropped]
