"""Decide when an idle gate asks routers for offers."""

import attrs

from snipedeal import defaults


@attrs.define
class OfferRequestTimer:
    """Timer with exponential backoff, reset whenever an offer arrives."""

    _interval_ms: int = defaults.OFFER_REQUEST_INTERVAL_MIN_MS
    _interval_started_ms: int | None = None

    def note_offer(self) -> None:
        """Reset the interval, since an offer arrived."""
        self._interval_ms = defaults.OFFER_REQUEST_INTERVAL_MIN_MS

    def is_due(self, is_idle: bool, now_ms: int) -> bool:
        """Whether to ask for offers now; if so, the next interval starts.

        :param is_idle: whether the gate has a free slot and no offers.
        :param now_ms: monotonic time.
        """
        if not is_idle:
            self._interval_started_ms = now_ms
            return False
        if self._interval_started_ms is None:
            self._interval_started_ms = now_ms
        if now_ms - self._interval_started_ms < self._interval_ms:
            return False
        self._interval_started_ms = now_ms
        self._interval_ms = min(
            2 * self._interval_ms, defaults.OFFER_REQUEST_INTERVAL_MAX_MS
        )
        return True
