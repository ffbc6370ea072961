"""What is believed of a target, by what its requests experienced."""

import attrs

from snipedeal_direct import defaults


@attrs.define
class Condition:
    """Evidence about one target, with its age.

    What a target says of itself is not taken in here: it may be wrong both
    ways. Answers the loads of targets that crash, that fail part of their
    requests, and that go down and up by turns.
    """

    _failures: float = 0.0
    _failures_ms: float = 0.0
    _misses: int = 0
    _avoided_until_ms: float = 0.0

    def note_unreachable(self, now_ms: float) -> None:
        """Take a connection that could not be opened."""
        pause_ms = min(
            defaults.UNREACHABLE_PAUSE_LIMIT_MS,
            defaults.UNREACHABLE_PAUSE_MS * 2.0**self._misses,
        )
        self._misses += 1
        self._avoided_until_ms = now_ms + pause_ms

    def note_replaced(self, now_ms: float) -> None:
        """Take that another target answers at its address."""
        self._avoided_until_ms = now_ms + defaults.REPLACED_PAUSE_MS

    def note_answer(self, is_good: bool, now_ms: float) -> None:
        """Take an answer, or its failure."""
        share = self.failure_share(now_ms)
        self._failures = share + defaults.FAILURE_SMOOTHING * (
            (0.0 if is_good else 1.0) - share
        )
        self._failures_ms = now_ms
        if is_good:
            self._misses = 0
            self._avoided_until_ms = 0.0

    def failure_share(self, now_ms: float) -> float:
        """Return the smoothed share of failed answers, faded by its age."""
        age_ms = now_ms - self._failures_ms
        return self._failures * 0.5 ** (age_ms / defaults.FAILURE_HALF_LIFE_MS)

    def is_avoided(self, now_ms: float) -> bool:
        """Whether it was unreachable a moment ago."""
        return now_ms < self._avoided_until_ms

    def room(self, now_ms: float) -> float:
        """Return the share of its usual room that should be used, 0 to 1."""
        if self.is_avoided(now_ms):
            return 0.0
        if self.failure_share(now_ms) > defaults.FAILING_SHARE:
            return defaults.FAILING_ROOM
        return 1.0
