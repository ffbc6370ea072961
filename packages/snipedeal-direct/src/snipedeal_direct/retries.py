"""A budget of repeats that all routers share, without talking about each."""

import collections

import attrs

from snipedeal_direct.settings import BoundSettings


@attrs.define
class RepeatBudget:
    """Repeats that this router may still send to one service.

    The fleet may repeat a share of its requests, and some more. Each router
    takes the share of its own requests and an equal part of the rest, so that
    the sum keeps the bound whatever the others do.

    Answers the load of a failing service whose requests come again.
    """

    bounds: BoundSettings
    _requests: collections.deque[float] = attrs.Factory(collections.deque)
    _repeats: collections.deque[float] = attrs.Factory(collections.deque)

    def note_request(self, now_ms: float) -> None:
        """Note a request of a caller."""
        self._requests.append(now_ms)
        self._expire(now_ms)

    def spend(self, now_ms: float, routers: int) -> bool:
        """Take one repeat; return whether there was one left.

        :param routers: routers that share the budget.
        """
        self._expire(now_ms)
        allowed = self.bounds.retry_ratio * len(
            self._requests
        ) + self.bounds.retry_slack / max(1, routers)
        # a window that slides holds repeats of two of ours; one is kept back.
        if len(self._repeats) + 1 > 0.8 * allowed:
            return False
        self._repeats.append(now_ms)
        return True

    def _expire(self, now_ms: float) -> None:
        start_ms = now_ms - self.bounds.retry_window_ms
        for times in (self._requests, self._repeats):
            while times and times[0] < start_ms:
                times.popleft()
