"""Heads of responses: those of targets, and status lines for callers."""

import functools
import http

import attrs

from snipedeal_direct import defaults

#: Statuses of responses without a body, whatever their headers say (RFC 9112, 6.3).
_EMPTY_STATUSES = (204, 304)


@attrs.define(eq=False)
class ResponseHead:
    """Status and headers of a response.

    :param headers: names in lower case.
    """

    status: int
    headers: list[tuple[bytes, bytes]]

    @property
    def is_without_body(self) -> bool:
        """Whether the status excludes a body."""
        return self.status in _EMPTY_STATUSES

    @property
    def has_framing(self) -> bool:
        """Whether headers tell the end of the body."""
        coding = self.get(b"transfer-encoding")
        return coding is not None or self.get(b"content-length") is not None

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, ``None`` if it is missing."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def get_all(self, name: bytes) -> list[bytes]:
        """Return all values of a header, in the order received."""
        return [value for key, value in self.headers if key == name]


@functools.lru_cache(maxsize=defaults.STATUS_LINES)
def status_line(status: int, reason: bytes = b"") -> bytes:
    """Return the status line of a response."""
    if not reason:
        try:
            reason = http.HTTPStatus(status).phrase.encode()
        except ValueError:
            reason = b"Unknown"
    return b"HTTP/1.1 %d %s\r\n" % (status, reason)
