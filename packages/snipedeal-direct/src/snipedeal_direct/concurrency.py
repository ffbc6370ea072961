"""Limit the requests that an engine runs at once by the pauses in its streams.

An engine takes longer for a step the more requests it runs, and prefills prompts
between steps. What a caller notices is the pause between two events, and the
configuration names the longest one that is acceptable. While pauses are well below it,
all slots of an engine may be used; as they come near it, fewer.

The module answers the load of bursts in which slots run out before prefill does. It
performs no I/O and reads no clock. See docs/design/concurrency.md.
"""

import math

import attrs

from snipedeal_direct import defaults


@attrs.define(eq=False, repr=False)
class StreamPauses:
    """Pauses between the events of one target's streams, and what they allow.

    :param mean_ms: smoothed pause, ms; zero before the first one.
    :param mean_running: smoothed number of requests that ran meanwhile.
    """

    mean_ms: float = 0.0
    mean_running: float = 0.0
    _noted_ms: float = -math.inf

    def note(self, pause_ms: float, running: int, now_ms: float) -> None:
        """Record a pause between two events of a stream.

        :param running: requests of all routers that run at the target.
        """
        if not self.has_evidence(now_ms):
            self.mean_ms, self.mean_running = pause_ms, float(running)
        else:
            weight = 1.0 - math.exp(
                (self._noted_ms - now_ms) / defaults.PAUSE_WINDOW_MS
            )
            # Several events of one read have the same time, and count as well.
            weight = max(weight, defaults.PAUSE_SMOOTHING_MIN)
            self.mean_ms += weight * (pause_ms - self.mean_ms)
            self.mean_running += weight * (running - self.mean_running)
        self._noted_ms = now_ms

    def has_evidence(self, now_ms: float) -> bool:
        """Return whether pauses were measured lately."""
        return now_ms - self._noted_ms <= defaults.PAUSE_EVIDENCE_MS

    def slot_fraction(self, slots: int, longest_ms: float, now_ms: float) -> float:
        """Return the fraction of a target's slots that requests may use.

        Pauses grow at most in proportion to the requests that run, so that so many
        more may run as the mean pause is below the wanted one.

        :param slots: requests that the target runs at once.
        :param longest_ms: longest acceptable pause, zero if none is configured.
        """
        least = defaults.SLOT_FRACTION
        if longest_ms <= 0 or slots <= 0 or not self.has_evidence(now_ms):
            return least
        wanted_ms = longest_ms * defaults.PAUSE_FRACTION
        allowed = self.mean_running * wanted_ms / max(self.mean_ms, 1.0)
        return min(defaults.SLOT_FRACTION_LIMIT, max(least, allowed / slots))
