"""Decide when a gate without work asks routers for some."""

import attrs

from snipedeal import defaults


@attrs.define
class Seeker:
    """Ask sooner after work was there, and less and less often without any."""

    _interval_ms: int = defaults.SEEK_FIRST_MS
    _asked_ms: int | None = None

    def note_offer(self) -> None:
        """Note that there was work."""
        self._interval_ms = defaults.SEEK_FIRST_MS

    def is_due(self, has_need: bool, now_ms: int) -> bool:
        """Whether to ask now; an answer of yes counts as asked.

        :param has_need: the gate has room and knows of no work.
        :param now_ms: monotonic time.
        """
        if not has_need:
            self._asked_ms = now_ms
            return False
        if self._asked_ms is None:
            self._asked_ms = now_ms
        if now_ms - self._asked_ms < self._interval_ms:
            return False
        self._asked_ms = now_ms
        self._interval_ms = min(2 * self._interval_ms, defaults.SEEK_LONGEST_MS)
        return True
