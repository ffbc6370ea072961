"""Detect overload of this process by the lag of its event loop."""

import attrs

from snipedeal_direct import defaults


@attrs.define
class LoopLag:
    """How late the event loop runs its timers, ms.

    A router that lags reads requests whose callers may have disconnected, and
    delays responses in progress, so new calls should go to another router. The lag
    rises if one router is flooded, if its machine is slow, and if the process
    resumes after a pause.

    :param limit_ms: lag above which the process counts as overloaded.
    """

    limit_ms: float = defaults.LAG_LIMIT_MS
    _lag_ms: float = 0.0

    @property
    def ms(self) -> float:
        """The lag, ms; it decays gradually after a late timer."""
        return self._lag_ms

    @property
    def is_overloaded(self) -> bool:
        """Whether new calls should go to another router."""
        return self._lag_ms > self.limit_ms

    def note(self, late_ms: float) -> None:
        """Record how late a timer fired; an early one (negative) counts as no lag."""
        self._lag_ms = max(late_ms, self._lag_ms * defaults.LAG_DECAY, 0.0)
