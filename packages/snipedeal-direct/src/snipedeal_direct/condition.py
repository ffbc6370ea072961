"""Judge the health of a target by the outcome of its requests."""

import attrs

from snipedeal_direct import defaults


@attrs.define(eq=False, repr=False)
class TargetHealth:
    """Passive outlier detection for one target.

    It ignores the state that the target reports about itself: a failing target may
    report ready, and a working one may not. It covers targets that crash, that fail
    some of their requests, and that alternate between up and down.
    """

    _failure_ewma: float = 0.0
    _failure_updated_ms: float = 0.0
    _connect_failures: int = 0
    _ejected_until_ms: float = 0.0

    def note_unreachable(self, now_ms: float) -> None:
        """Eject the target after a failed connect, with exponential backoff."""
        ejection_ms = min(
            defaults.UNREACHABLE_EJECTION_LIMIT_MS,
            defaults.UNREACHABLE_EJECTION_MS * 2.0**self._connect_failures,
        )
        self._connect_failures += 1
        self._ejected_until_ms = now_ms + ejection_ms

    def note_replaced(self, now_ms: float) -> None:
        """Eject the target because another one answers at its address."""
        self._ejected_until_ms = now_ms + defaults.REPLACED_EJECTION_MS

    def note_answer(self, is_good: bool, now_ms: float) -> None:
        """Update the failure share; a good answer ends an ejection.

        :param is_good: whether the answer is complete and its status below 500.
        """
        share = self.failure_share(now_ms)
        self._failure_ewma = share + defaults.FAILURE_SMOOTHING * (
            (0.0 if is_good else 1.0) - share
        )
        self._failure_updated_ms = now_ms
        if is_good:
            self._connect_failures = 0
            self._ejected_until_ms = 0.0

    def failure_share(self, now_ms: float) -> float:
        """Return the smoothed share of failed answers; it decays between answers."""
        age_ms = now_ms - self._failure_updated_ms
        return self._failure_ewma * 0.5 ** (age_ms / defaults.FAILURE_HALF_LIFE_MS)

    def is_ejected(self, now_ms: float) -> bool:
        """Return whether the target gets no calls for now."""
        return now_ms < self._ejected_until_ms

    def capacity_fraction(self, now_ms: float) -> float:
        """Return the fraction of its usual capacity that should be used, 0 to 1."""
        if self.is_ejected(now_ms):
            return 0.0
        if self.failure_share(now_ms) > defaults.FAILURE_FRACTION_LIMIT:
            return defaults.FAILING_CAPACITY_FRACTION
        return 1.0
