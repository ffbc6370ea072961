"""Pace what cold targets get, over all routers together.

A target that has just started, or has become cold again, crashes if it gets more than
some requests a second. A few routers send to it while it is cold, each an even part of
that rate and never two at once.

Which routers these are follows from the names of the routers that are registered, not
from who hears whom: routers that are cut off from each other, from the store or that
end agree without a message, and two that know different routers differ in few senders.
Parts that a sender doesn't use are not passed on; a cold time lasts seconds.

The module answers targets of which many turn cold at once under load. It performs no
I/O and reads no clock. See docs/design/cold-targets.md.
"""

import math
import typing as t

import attrs

from snipedeal.utils import rank_by_rendezvous
from snipedeal_direct import defaults


@attrs.frozen
class ColdTerms:
    """What the targets of a service bear while they are cold.

    :param start_ms: time for which a target is cold after its start.
    :param requests_per_s: requests that a cold target takes from all routers.
    """

    start_ms: float
    requests_per_s: float


def sender_count(terms: ColdTerms) -> int:
    """Return how many routers send to a cold target.

    Each sends ``COLD_SENDER_RATE`` requests a second, or fewer.
    """
    return max(1, math.ceil(terms.requests_per_s / defaults.COLD_SENDER_RATE))


def is_sender(
    name: str, instance: str, routers: t.Collection[str], terms: ColdTerms
) -> bool:
    """Return whether a router sends to a target while that is cold.

    :param instance: identifies one start of the target.
    :param routers: names of all routers that are registered, this one included.
    """
    ranked = rank_by_rendezvous(f"cold/{instance}", routers)
    return name in ranked[: sender_count(terms)]


@attrs.define(eq=False, repr=False)
class Warmup:
    """One target's cold time, and the pace of this router's part of the requests.

    :param terms: ``None`` if the service's targets bear any rate.
    :param is_sender: whether this router may send to the target while it is cold.
    """

    terms: ColdTerms | None = None
    is_sender: bool = False
    _cold_until_ms: float = -math.inf
    _next_ms: float = -math.inf
    # When the target was last unreachable, ``None`` once it is known to be back.
    _lost_ms: float | None = None

    @property
    def is_lost(self) -> bool:
        """Whether the target was unreachable and is not known to be back."""
        return self._lost_ms is not None

    def is_cold(self, now_ms: float) -> bool:
        """Return whether the target counts as cold."""
        return self.terms is not None and now_ms < self._cold_until_ms

    def note_cold(self, remaining_ms: float, now_ms: float) -> bool:
        """Record that the target is cold for a time; return whether that is new."""
        was_cold = self.is_cold(now_ms)
        if remaining_ms > 0:
            self._cold_until_ms = max(self._cold_until_ms, now_ms + remaining_ms)
        return self.is_cold(now_ms) and not was_cold

    def note_started(self, now_ms: float) -> bool:
        """Record that the target may just have started; return whether that is new."""
        return self.note_cold(self.terms.start_ms if self.terms else 0.0, now_ms)

    def note_lost(self, now_ms: float) -> None:
        """Record that the target is unreachable or has crashed."""
        self._lost_ms = now_ms

    def note_found(self, now_ms: float) -> bool:
        """Record that the target answers; return whether it now counts as cold.

        After a loss it has started again, most likely, and its registration tells it
        later.
        """
        if self._lost_ms is None:
            return False
        self._lost_ms = None
        return self.note_started(now_ms)

    def note_registered(self, cold_ms: float, now_ms: float) -> bool:
        """Record what a registration says; return whether the target is newly cold.

        One that is written after a loss ends it: the target lives and says whether it
        is cold. One that came shortly after it may have been written before.

        :param cold_ms: time for which the target says that it stays cold.
        """
        if self._is_lost_for(defaults.REGISTRATION_AGE_MS, now_ms):
            self._lost_ms = None
        if self.terms is not None:
            cold_ms = min(cold_ms, self.terms.start_ms)
        return self.note_cold(cold_ms, now_ms)

    def may_send(self, now_ms: float) -> bool:
        """Return whether this router may use a connection that it has just opened."""
        return self.is_sender or not self.is_cold(now_ms)

    def _is_lost_for(self, age_ms: float, now_ms: float) -> bool:
        return self._lost_ms is not None and now_ms - self._lost_ms >= age_ms

    def wait_ms(self, now_ms: float) -> float:
        """Return the time until this router may send a request to the target."""
        if self.terms is not None and self._lost_ms is not None and not self.is_sender:
            # Only senders try whether it is back: each of the others would send the
            # call for which it opened a connection.
            left_ms = self._lost_ms + defaults.LOST_TARGET_MS - now_ms
            if left_ms > 0:
                return left_ms
        if not self.is_cold(now_ms):
            return 0.0
        if not self.is_sender:
            return self._cold_until_ms - now_ms
        return min(max(0.0, self._next_ms - now_ms), self._cold_until_ms - now_ms)

    def spend(self, now_ms: float) -> None:
        """Record that a request is sent to the target.

        Requests of the time before it turned cold count as well, so that its first
        second does not begin with one more.
        """
        if self.terms is not None:
            rate = self.terms.requests_per_s / sender_count(self.terms)
            self._next_ms = now_ms + 1_000.0 / max(rate, 1e-6)
