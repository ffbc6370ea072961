"""Limit retries fleet-wide, without coordination for each retry."""

import collections

import attrs

from snipedeal_direct.settings import BoundSettings


@attrs.define(eq=False, repr=False)
class RetryBudget:
    """The retries that this router may still send to one service.

    The fleet may retry a share of its requests plus a fixed allowance. Each router
    applies the share to its own requests and takes an equal part of the allowance,
    so that the total stays within the bound whatever other routers do.

    The budget prevents retry storms while a service fails.
    """

    bounds: BoundSettings
    _requests: collections.deque[float] = attrs.Factory(collections.deque)
    _retries: collections.deque[float] = attrs.Factory(collections.deque)

    def note_request(self, now_ms: float) -> None:
        """Count a caller's request."""
        self._requests.append(now_ms)
        self._expire(now_ms)

    def spend(self, now_ms: float, routers: int) -> bool:
        """Use one retry; return whether the budget allowed it.

        :param routers: number of routers that share the budget.
        """
        self._expire(now_ms)
        allowed = self.bounds.retry_ratio * len(
            self._requests
        ) + self.bounds.retry_slack / max(1, routers)
        # A retry counted in one window may have been granted for requests that
        # arrived before that window, so 20 % of the budget stays in reserve.
        if len(self._retries) + 1 > 0.8 * allowed:
            return False
        self._retries.append(now_ms)
        return True

    def _expire(self, now_ms: float) -> None:
        start_ms = now_ms - self.bounds.retry_window_ms
        for times in (self._requests, self._retries):
            while times and times[0] < start_ms:
                times.popleft()
