"""Whether this process keeps up with what it is sent."""

import attrs

from snipedeal_direct import defaults


@attrs.define
class LoopLag:
    """How late the loop runs its timers, ms.

    A router that is late reads requests whose callers may have left, and holds
    up the answers that are under way. New calls are better off at another
    router then. Answers the load of a flood at one router, of a slow machine,
    and of a process that wakes after a pause.

    :param limit_ms: lag above which the process does not keep up.
    """

    limit_ms: float = defaults.LAG_LIMIT_MS
    _lag_ms: float = 0.0

    @property
    def ms(self) -> float:
        """The lag, which falls gradually after a late timer."""
        return self._lag_ms

    @property
    def is_overloaded(self) -> bool:
        """Whether new calls should go to another router."""
        return self._lag_ms > self.limit_ms

    def note(self, late_ms: float) -> None:
        """Take how late a timer fired."""
        self._lag_ms = max(late_ms, self._lag_ms * defaults.LAG_DECAY, 0.0)
