"""Track since when the platform's store has answered, as far as all routers know.

Registrations of targets expire while the store can't take their heartbeats. Whether
that was so is not for one router to say: its own call may fail since its connection was
reset or the store turned it away. Routers therefore tell each other in which span of
time the store has answered them. A store that returns from an old copy may lack
registrations as well, however short it was away. Without I/O and without a clock.
"""

import math

import attrs

from snipedeal_direct import defaults


@attrs.define(eq=False, repr=False)
class Availability:
    """The latest span in which the store answered some router, without an outage.

    An outage is a time of more than ``STORE_OUTAGE_MS`` from which no answer is known,
    and in which a call failed. Times are monotonic milliseconds.

    :param since_ms: start of the span, ``None`` before the first answer.
    :param answered_ms: the latest answer.
    :param failed_ms: the latest failure of a call, of this router or a peer.
    :param has_recovered: whether the span began at the end of an outage.
    :param era: latest era of the store that began while a router followed it.
    :param era_since_ms: when the first router noticed that.
    """

    since_ms: float | None = None
    answered_ms: float = 0.0
    failed_ms: float = -math.inf
    has_recovered: bool = False
    era: int = -1
    era_since_ms: float = -math.inf

    def note_answer(self, now_ms: float) -> bool:
        """Record an answer to this router; return whether it ended an outage."""
        return self.merge(now_ms, now_ms)

    def note_failure(self, now_ms: float) -> None:
        """Record that a call failed."""
        self.failed_ms = now_ms

    def merge(self, since_ms: float, answered_ms: float) -> bool:
        """Merge a span that another router reports; return whether it ended an outage.

        :param since_ms: start of the span.
        :param answered_ms: latest answer in it.
        """
        if self.since_ms is None:
            self.since_ms, self.answered_ms = since_ms, answered_ms
            self.has_recovered = self.failed_ms > -math.inf
            return self.has_recovered
        has_failed = self.failed_ms > self.answered_ms
        if has_failed and since_ms - self.answered_ms > defaults.STORE_OUTAGE_MS:
            self.since_ms, self.answered_ms = since_ms, answered_ms
            self.has_recovered = True
            return True
        if self.since_ms - answered_ms <= defaults.STORE_OUTAGE_MS:
            self.since_ms = min(self.since_ms, since_ms)
            self.answered_ms = max(self.answered_ms, answered_ms)
        return False

    def note_era(self, era: int, since_ms: float) -> None:
        """Record that the store has returned from an old copy; the first notice counts.

        :param since_ms: when a router noticed that.
        """
        if era > self.era:
            self.era, self.era_since_ms = era, since_ms
        elif era == self.era:
            self.era_since_ms = min(self.era_since_ms, since_ms)

    def restored_ms(self, now_ms: float) -> float:
        """Return the time since the store returned from an old copy, else infinity."""
        return now_ms - self.era_since_ms

    def recovered_ms(self, now_ms: float) -> float:
        """Return for how long the store has answered again after an outage or a return.

        The time since the last answer counts unless a call has failed since.

        :return: infinite if neither is known, zero before the first answer.
        """
        if self.since_ms is None:
            return 0.0
        restored_ms = self.restored_ms(now_ms)
        if not self.has_recovered:
            return restored_ms
        has_failed = self.failed_ms > self.answered_ms
        answered_ms = (self.answered_ms if has_failed else now_ms) - self.since_ms
        return min(answered_ms, restored_ms)
