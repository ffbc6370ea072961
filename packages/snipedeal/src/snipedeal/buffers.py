"""Bound the memory that received bytes take over all connections of a process."""

import attrs


@attrs.define(eq=False, repr=False)
class BufferBudget:
    """Bytes that all connections hold together, with an upper limit.

    A limit for each connection alone does not bound a process that has thousands.

    :param limit_bytes: bytes above which connections that hold much are given up.
    :param each_bytes: bytes that a connection may hold also then.
    """

    limit_bytes: int
    each_bytes: int
    _used_bytes: int = 0

    @property
    def used_bytes(self) -> int:
        """Bytes held now."""
        return self._used_bytes

    def resize(self, before: int, after: int) -> bool:
        """Count a change of what a connection holds; return whether it may stay open.

        Connections that hold little stay open at any load, so that one that receives
        bytes without end doesn't cost others their responses.

        :param before: bytes that it held.
        :param after: bytes that it holds now.
        """
        self._used_bytes += after - before
        is_full = self._used_bytes > self.limit_bytes
        return not (is_full and after > max(before, self.each_bytes))

    def release(self, held: int) -> None:
        """Count that a connection holds nothing more.

        :param held: bytes that it held.
        """
        self._used_bytes -= held
