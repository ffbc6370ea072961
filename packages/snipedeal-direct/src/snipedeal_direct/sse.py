"""Split a server-sent event stream into complete events."""

import attrs

_EVENT_END = b"\n\n"


def count_events(events: bytes) -> int:
    """Return the number of complete events, as returned by the splitter."""
    return events.count(_EVENT_END)


@attrs.define(eq=False, repr=False)
class EventSplitter:
    """Buffer stream bytes and return complete events only.

    If a target fails in the middle of an event, the target that resumes the
    stream sends that event again from its start.

    :ivar last_id: ID of the last complete event that has one.
    """

    last_id: bytes = b""
    _partial: bytes = b""

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._partial)

    @property
    def partial_bytes(self) -> int:
        """Size of the incomplete event that is buffered."""
        return len(self._partial)

    def feed(self, data: bytes) -> bytes:
        """Buffer bytes; return the events that are now complete."""
        events, separator, self._partial = (self._partial + data).rpartition(_EVENT_END)
        if not separator:
            return b""
        # Find the last line that starts with "id:".
        start = events.rfind(b"id:")
        while start > 0 and events[start - 1 : start] != b"\n":
            start = events.rfind(b"id:", 0, start)
        if start >= 0:
            line, _, _ = events[start + 3 :].partition(b"\n")
            self.last_id = line.strip()
        return events + separator

    def drop_partial(self) -> None:
        """Discard the incomplete event."""
        self._partial = b""
