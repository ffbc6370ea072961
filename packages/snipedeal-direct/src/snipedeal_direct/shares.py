"""Customers' max-min shares of the fleet's capacity over a sliding window."""

import collections
import typing as t

import attrs

_BUCKETS = 8
#: Parts of a share by which customers are ordered.
_STAGES = 4
#: Peers repeat everything several times within this.
_PEER_STALE_MS = 2_000


def water_level(demands: t.Iterable[float], capacity: float) -> float:
    """Return the max-min fair share (Bertsekas and Gallager 1992).

    Whoever asks for less than the level gets all of it; the others get the
    level. It is infinite where capacity covers all demands.

    :param demands: what each asks for, in any unit.
    :param capacity: what there is, in that unit.
    """
    left = capacity
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        level = left / (len(ordered) - index)
        if demand > level:
            return level
        left -= demand
    return float("inf")


@attrs.define
class _Bucket:
    start_ms: float
    asked: collections.Counter[str] = attrs.Factory(collections.Counter)
    taken: collections.Counter[str] = attrs.Factory(collections.Counter)


@attrs.define
class Shares:
    """What each customer asked for and was given of one service lately.

    Answers the load of a customer who sends many times its usual: what it asks
    beyond its share is served only where nobody else waits.

    :param window_ms: length of the window.
    """

    window_ms: float
    _buckets: collections.deque[_Bucket] = attrs.Factory(collections.deque)
    _peers: dict[tuple[str, str], tuple[float, float, float]] = attrs.Factory(dict)
    _level: float = float("inf")
    _taken: dict[str, float] = attrs.Factory(dict)

    @property
    def level(self) -> float:
        """Units that a customer gets in a window, infinite without scarcity."""
        return self._level

    def note_asked(self, customer: str, units: float, now_ms: float) -> None:
        """Note what a request asks for."""
        self._bucket(now_ms).asked[customer] += units

    def note_taken(self, customer: str, units: float, now_ms: float) -> None:
        """Note what a customer was given."""
        self._bucket(now_ms).taken[customer] += units
        self._taken[customer] = self._taken.get(customer, 0.0) + units

    def own(self, now_ms: float) -> tuple[dict[str, float], dict[str, float]]:
        """Return what customers asked and were given here in the window."""
        self._expire(now_ms)
        asked: collections.Counter[str] = collections.Counter()
        taken: collections.Counter[str] = collections.Counter()
        for bucket in self._buckets:
            asked.update(bucket.asked)
            taken.update(bucket.taken)
        return dict(asked), dict(taken)

    def note_peer(
        self, peer: str, customer: str, asked: float, taken: float, now_ms: float
    ) -> None:
        """Take what a customer asked and was given at another router."""
        self._peers[peer, customer] = (now_ms, asked, taken)

    def update(self, capacity: float, now_ms: float) -> None:
        """Compute the level anew.

        :param capacity: units that all targets produce in a window.
        """
        asked, taken = self.own(now_ms)
        demands = collections.Counter(asked)
        total = collections.Counter(taken)
        for key, (heard_ms, peer_asked, peer_taken) in list(self._peers.items()):
            if now_ms - heard_ms > _PEER_STALE_MS:
                del self._peers[key]
                continue
            demands[key[1]] += peer_asked
            total[key[1]] += peer_taken
        self._taken = dict(total)
        self._level = water_level(demands.values(), capacity)

    def stage(self, customer: str) -> int:
        """Return how much of its share a customer has had, in quarters.

        Whoever has had less goes first, so that a customer that sends its share
        in a burst does not hold up those that send theirs evenly.
        """
        taken = self._taken.get(customer, 0.0)
        return min(_STAGES, int(_STAGES * taken / self._level))

    def is_over(self, customer: str, units: float) -> bool:
        """Whether some more units would take a customer beyond its share."""
        return self._taken.get(customer, 0.0) + units > self._level

    def _bucket(self, now_ms: float) -> _Bucket:
        self._expire(now_ms)
        length_ms = self.window_ms / _BUCKETS
        if not self._buckets or now_ms - self._buckets[-1].start_ms >= length_ms:
            self._buckets.append(_Bucket(now_ms))
        return self._buckets[-1]

    def _expire(self, now_ms: float) -> None:
        while self._buckets and now_ms - self._buckets[0].start_ms > self.window_ms:
            self._buckets.popleft()
