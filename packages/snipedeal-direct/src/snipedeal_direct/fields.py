"""Header lines of a request, held as one block of bytes."""

import typing as t


class Fields:
    """Names and values of headers, in the order received.

    Objects for each name and value would take up to fifty times the bytes of a short
    line, for as long as its request waits.

    :param pairs: names in lower case, and values. Neither has a line feed, and names
        have no colon (RFC 9110, 5.1 and 5.5).
    """

    __slots__ = ("_block",)

    def __init__(self, pairs: t.Iterable[tuple[bytes, bytes]] = ()) -> None:
        # Each line begins with the line feed that ends the one before it, so that a
        # search finds whole names only.
        self._block = bytearray(b"\n")
        for name, value in pairs:
            self.add(name, value)

    @property
    def held_bytes(self) -> int:
        """Memory that they take, bytes."""
        # A bytearray reserves an eighth more than it has.
        return len(self._block) * 9 // 8

    def add(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._block += b"%s:%s\n" % (name, value)

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, ``None`` if it is missing."""
        start = self._block.find(b"\n%s:" % name)
        return None if start < 0 else self._value(start + len(name) + 2)

    def get_all(self, name: bytes) -> list[bytes]:
        """Return all values of a header, in the order received."""
        values = []
        prefix = b"\n%s:" % name
        start = self._block.find(prefix)
        while start >= 0:
            start += len(prefix)
            values.append(self._value(start))
            start = self._block.find(prefix, start - 1)
        return values

    def _value(self, start: int) -> bytes:
        return bytes(self._block[start : self._block.index(b"\n", start)])

    def __iter__(self) -> t.Iterator[tuple[bytes, bytes]]:
        for line in bytes(self._block).split(b"\n")[1:-1]:
            name, _, value = line.partition(b":")
            yield name, value
