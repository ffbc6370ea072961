"""Estimate how fast each target prefills prompts, from the measurements of all routers.

A router sees few of a target's calls, and targets of one service may differ by a factor
of two. The estimate is the ratio of two decaying sums, tokens and time, over all
routers. Long prefills count for more than short ones, whose time is mostly that of
engine steps, and a disturbance counts for as much time as it lasts. Until there is
enough evidence, the service's other targets stand in.

The module answers uneven targets under load. It performs no I/O and reads no clock.
"""

import math
import typing as t

import attrs

from snipedeal_direct import defaults


@attrs.define
class PrefillSums:
    """Prompt tokens prefilled and the time that this took, decaying.

    :param tokens: tokens, decayed to the time of the last change.
    :param busy_ms: time of their prefill, likewise.
    """

    tokens: float = 0.0
    busy_ms: float = 0.0
    _changed_ms: float = 0.0

    def add(self, tokens: float, busy_ms: float, now_ms: float) -> None:
        """Add a measurement."""
        kept = self._kept(now_ms)
        self.tokens = self.tokens * kept + tokens
        self.busy_ms = self.busy_ms * kept + busy_ms
        self._changed_ms = now_ms

    def at(self, now_ms: float) -> tuple[float, float]:
        """Return both sums, decayed to a time."""
        kept = self._kept(now_ms)
        return self.tokens * kept, self.busy_ms * kept

    def _kept(self, now_ms: float) -> float:
        age_ms = max(0.0, now_ms - self._changed_ms)
        return math.exp(-age_ms / defaults.PREFILL_RATE_WINDOW_MS)


@attrs.define(eq=False, repr=False)
class PrefillRate:
    """Prefill rate of one target.

    :param usual: rate that is assumed without evidence, tokens per ms.
    :param own: measurements of this router.
    :param bounds: least and highest rate.
    :param prior_ms: time for which the usual rate counts as evidence.
    """

    usual: float = defaults.INITIAL_PREFILL_RATE
    own: PrefillSums = attrs.Factory(PrefillSums)
    bounds: tuple[float, float] = defaults.PREFILL_RATE_RANGE
    prior_ms: float = defaults.PREFILL_RATE_PRIOR_MS
    _peers: dict[str, tuple[PrefillSums, tuple[float, float]]] = attrs.Factory(dict)
    # Over this router and all peers; all decay alike.
    _total: PrefillSums = attrs.Factory(PrefillSums)
    _value: float | None = None

    @property
    def value(self) -> float:
        """The rate, tokens per ms."""
        return self.usual if self._value is None else self._value

    def note(self, tokens: float, busy_ms: float, now_ms: float) -> None:
        """Record that this router saw a target prefill tokens."""
        low, high = self.bounds
        busy_ms = min(tokens / low, max(tokens / high, busy_ms))
        self.own.add(tokens, busy_ms, now_ms)
        self._total.add(tokens, busy_ms, now_ms)
        self.update(self.usual, now_ms)

    def set_peer(self, name: str, tokens: float, busy_ms: float, now_ms: float) -> None:
        """Replace the measurements reported by a peer.

        A peer repeats its sums as they were at its latest measurement; a repetition is
        no new evidence.
        """
        reported = (tokens, busy_ms)
        known, last = self._peers.get(name, (None, (0.0, 0.0)))
        if reported == last:
            return
        before = known.at(now_ms) if known is not None else (0.0, 0.0)
        self._total.add(tokens - before[0], busy_ms - before[1], now_ms)
        sums = PrefillSums()
        sums.add(tokens, busy_ms, now_ms)
        self._peers[name] = (sums, reported)

    def drop_peer(self, name: str) -> None:
        """Keep what a lost peer measured until it has decayed, but not longer."""
        self._peers.pop(name, None)

    def update(self, usual: float, now_ms: float) -> tuple[float, float]:
        """Recompute the rate; return the sums of all routers.

        :param usual: rate of the service's targets together.
        """
        self.usual = usual
        tokens, busy_ms = self._total.at(now_ms)
        prior_ms = self.prior_ms
        rate = (max(0.0, tokens) + usual * prior_ms) / (max(0.0, busy_ms) + prior_ms)
        low, high = self.bounds
        self._value = min(high, max(low, rate))
        return tokens, busy_ms


def update_rates(
    rates: t.Iterable[PrefillRate],
    now_ms: float,
    initial: float = defaults.INITIAL_PREFILL_RATE,
    prior_ms: float = defaults.PREFILL_RATE_PRIOR_MS,
) -> None:
    """Recompute the rates of a service's targets.

    A target without evidence is assumed to be as fast as the others together.

    :param initial: rate that is assumed without evidence of any target.
    :param prior_ms: time for which it counts as evidence.
    """
    rates = list(rates)
    sums = [rate.update(rate.usual, now_ms) for rate in rates]
    tokens = sum(tokens for tokens, _ in sums)
    busy_ms = sum(busy_ms for _, busy_ms in sums)
    usual = (tokens + initial * prior_ms) / max(1.0, busy_ms + prior_ms)
    if not tokens and not prior_ms:
        usual = initial
    for rate in rates:
        rate.update(usual, now_ms)
