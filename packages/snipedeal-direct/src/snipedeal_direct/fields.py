"""Header lines of a request, held as one block of bytes if there are many."""

import typing as t

from snipedeal_direct import defaults

_LISTED_HEADERS = defaults.LISTED_HEADERS


class Fields:
    """Names and values of headers, in the order received.

    Objects for each name and value would take up to fifty times the bytes of a short
    line, for as long as its request waits. They are faster for the few lines of a
    usual request.

    :param pairs: names in lower case, and values. Neither has a line feed, and names
        have no colon (RFC 9110, 5.1 and 5.5).
    """

    __slots__ = ("_block", "_pairs")

    def __init__(self, pairs: t.Iterable[tuple[bytes, bytes]] = ()) -> None:
        self._pairs: list[tuple[bytes, bytes]] = []
        # Each line begins with the line feed that ends the one before it, so that a
        # search finds whole names only.
        self._block: bytearray | None = None
        for name, value in pairs:
            self.add(name, value)

    @property
    def overhead_bytes(self) -> int:
        """Memory that they take beside the bytes of names and values."""
        if self._block is None:
            return len(self._pairs) * defaults.HEADER_OVERHEAD_BYTES
        # A bytearray reserves an eighth more than it has.
        return len(self._block) // 8

    def add(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        if self._block is not None:
            self._block += b"%s:%s\n" % (name, value)
            return
        pairs = self._pairs
        pairs.append((name, value))
        if len(pairs) > _LISTED_HEADERS:
            lines = [b"%s:%s\n" % pair for pair in pairs]
            self._block = bytearray(b"\n" + b"".join(lines))
            self._pairs = []

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, ``None`` if it is missing."""
        if self._block is not None:
            return next(self._find(self._block, name), None)
        for key, value in self._pairs:
            if key == name:
                return value
        return None

    def get_all(self, name: bytes) -> list[bytes]:
        """Return all values of a header, in the order received."""
        if self._block is not None:
            return list(self._find(self._block, name))
        return [value for key, value in self._pairs if key == name]

    @staticmethod
    def _find(block: bytearray, name: bytes) -> t.Iterator[bytes]:
        prefix = b"\n%s:" % name
        start = block.find(prefix)
        while start >= 0:
            start += len(prefix)
            end = block.index(b"\n", start)
            yield bytes(block[start:end])
            start = block.find(prefix, end)

    def __iter__(self) -> t.Iterator[tuple[bytes, bytes]]:
        if self._block is None:
            yield from self._pairs
            return
        for line in bytes(self._block).split(b"\n")[1:-1]:
            name, _, value = line.partition(b":")
            yield name, value
