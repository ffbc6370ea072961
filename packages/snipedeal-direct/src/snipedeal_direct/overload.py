"""Detect overload of this process and choose the calls that it refuses then."""

import attrs

from snipedeal_direct import defaults
from snipedeal_direct.shares import DecayingSums
from snipedeal_direct.shares import max_min_fair_share


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


@attrs.define
class LoadShedder:
    """Choose which calls an overloaded router refuses.

    Its processor time is shared like the targets' capacity: while the event loop lags,
    calls are refused of customers beyond their max-min share of the calls that this
    router admits. So a customer that floods the router does not shut out the others
    whose calls reach it. Far above the limit all calls are refused.
    """

    lag: LoopLag
    _arrived: DecayingSums = attrs.Factory(
        lambda: DecayingSums(defaults.SHED_WINDOW_MS)
    )
    _admitted: DecayingSums = attrs.Factory(
        lambda: DecayingSums(defaults.SHED_WINDOW_MS)
    )
    _share: float = 0.0
    _share_updated_ms: float = float("-inf")

    def admits(self, customer: str, now_ms: float) -> bool:
        """Count a call that arrived; return whether the router takes it."""
        self._arrived.add(customer, 1.0, now_ms)
        if self.lag.is_overloaded:
            if self.lag.ms > self.lag.limit_ms * defaults.SHED_ALL_LAG_FACTOR:
                return False
            self._update_share(now_ms)
            if self._admitted.get(customer, now_ms) + 1.0 > self._share:
                return False
        self._admitted.add(customer, 1.0, now_ms)
        return True

    def _update_share(self, now_ms: float) -> None:
        if now_ms - self._share_updated_ms < defaults.DISPATCH_TICK_MS:
            return
        self._share_updated_ms = now_ms
        admitted = sum(self._admitted.all(now_ms).values())
        self._share = max_min_fair_share(
            self._arrived.all(now_ms).values(),
            admitted * defaults.SHED_CAPACITY_FRACTION,
        )
