"""Account of what the callers of a process hold, by customer.

Plain arithmetic, without a network.
"""

import collections
import typing as t

import attrs

from snipedeal import defaults

#: Owner of what callers hold that show no valid key.
UNKNOWN = ""


@attrs.define(eq=False)
class HeldMemory:
    """Bytes that connections hold, by owner, with an upper limit.

    :param limit_bytes: what all may hold together.
    :ivar total_bytes: what they hold.
    """

    limit_bytes: int
    total_bytes: int = 0
    _by_owner: collections.Counter[str] = attrs.Factory(collections.Counter)

    @classmethod
    def of_process(cls, max_memory_mb: float) -> "HeldMemory":
        """Return the account of a process on a VM.

        :param max_memory_mb: memory of the VM, MB (10**6 bytes).
        """
        free_mb = max_memory_mb - defaults.MEMORY_RESERVE_MB
        held_mb = free_mb * defaults.HELD_FRACTION
        return cls(int(max(defaults.HELD_MIN_MB, held_mb) * 1_000_000))

    def owned_bytes(self, owner: str) -> int:
        """Return what an owner holds."""
        return self._by_owner[owner]

    def add(self, owner: str, change: int) -> None:
        """Count a change of what an owner holds.

        :param change: bytes; negative if less is held.
        """
        self.total_bytes += change
        self._by_owner[owner] += change
        if not self._by_owner[owner]:
            del self._by_owner[owner]

    def admits(self, owner: str, extra_bytes: int) -> bool:
        """Return whether an owner may hold more.

        Beyond half of the limit, an owner that holds something keeps to its part of
        three quarters of it, so that others still find room.
        """
        total = self.total_bytes + extra_bytes
        if total <= self.limit_bytes / 2:
            return True
        if total > self.limit_bytes:
            return False
        held = self._by_owner.get(owner, 0)
        part = self.limit_bytes * defaults.HELD_PARTS_FRACTION
        return not held or held + extra_bytes <= part / len(self._by_owner)


T = t.TypeVar("T")


class Seats(t.Generic[T]):
    """Open connections with an upper limit, and which gives way beyond it.

    :param limit: connections that may be open.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._open: set[T] = set()
        # Those without a request, and those with a part of a head; the oldest first.
        self._idle: dict[T, None] = {}
        self._beginning: dict[T, None] = {}

    def add(self, connection: T) -> T | None:
        """Add an idle connection; return the one that has to close, if any."""
        self._open.add(connection)
        self._idle[connection] = None
        if len(self._open) <= self.limit:
            return None
        chosen = next(iter(self._idle))
        if chosen is connection:
            chosen = next(iter(self._beginning), connection)
        # It stays open for a moment, but is chosen once.
        self._idle.pop(chosen, None)
        self._beginning.pop(chosen, None)
        return chosen

    def remove(self, connection: T) -> None:
        """Remove a connection that is closed."""
        self._open.discard(connection)
        self._idle.pop(connection, None)
        self._beginning.pop(connection, None)

    def note_idle(self, connection: T) -> None:
        """Record that no request is in progress."""
        if connection in self._open:
            self._beginning.pop(connection, None)
            self._idle.setdefault(connection)

    def note_beginning(self, connection: T) -> None:
        """Record that a part of a head has come."""
        self._idle.pop(connection, None)
        self._beginning.setdefault(connection)

    def note_busy(self, connection: T) -> None:
        """Record that a whole head has come."""
        self._idle.pop(connection, None)
        self._beginning.pop(connection, None)
