"""Split an event stream into whole events."""

import attrs

_END = b"\n\n"


@attrs.define
class EventSplitter:
    """Collect bytes and hand out whole events only.

    A target may stop in the middle of an event; the rest of it then comes from
    another target, from its start.
    """

    last_id: bytes = b""
    _rest: bytes = b""

    @property
    def has_rest(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that end in some bytes of the stream."""
        whole, separator, self._rest = (self._rest + data).rpartition(_END)
        if not separator:
            return b""
        start = whole.rfind(b"id:")
        while start > 0 and whole[start - 1 : start] != b"\n":
            start = whole.rfind(b"id:", 0, start)
        if start >= 0:
            line, _, _ = whole[start + 3 :].partition(b"\n")
            self.last_id = line.strip()
        return whole + separator

    def drop_rest(self) -> None:
        """Forget the event that was cut off."""
        self._rest = b""
