"""Customers' max-min shares of the fleet's capacity over a recent time."""

import collections
import math
import typing as t

import attrs

#: Parts of a share by which customers are ordered; the stage of a whole share.
SHARE_STAGE = 4
#: Stages beyond which customers are not told apart.
_MOST_STAGES = 10_000


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
class FadingSums:
    """Sums by customer of which older parts count less.

    :param fade_ms: time constant of the fading.
    """

    fade_ms: float
    _sums: dict[str, tuple[float, float]] = attrs.Factory(dict)

    def add(self, customer: str, units: float, now_ms: float) -> None:
        """Add to a customer's sum."""
        self._sums[customer] = (self.get(customer, now_ms) + units, now_ms)

    def get(self, customer: str, now_ms: float) -> float:
        """Return a customer's sum."""
        value, since_ms = self._sums.get(customer, (0.0, now_ms))
        return value * math.exp((since_ms - now_ms) / self.fade_ms)

    def set(self, customer: str, units: float, now_ms: float) -> None:
        """Replace a customer's sum."""
        self._sums[customer] = (units, now_ms)

    def all(self, now_ms: float) -> dict[str, float]:
        """Return the sums of all customers; forget those that have faded."""
        sums = {name: self.get(name, now_ms) for name in self._sums}
        for name, value in sums.items():
            if value < 1.0:
                del self._sums[name]
        return sums


@attrs.define
class Shares:
    """What each customer asked for and was given of one service lately.

    Answers the load of a customer who sends many times its usual: what it asks
    beyond its share is served only where nobody else waits. Use fades, so that
    a share is given out evenly and not in one burst a window.

    :param window_ms: time over which a customer is owed its share.
    """

    window_ms: float
    _asked: FadingSums = attrs.field(init=False)
    _given: FadingSums = attrs.field(init=False)
    _changed: set[str] = attrs.Factory(set)
    _peers: dict[str, tuple[FadingSums, FadingSums]] = attrs.Factory(dict)
    _level: float = float("inf")
    _even_split: float = float("inf")
    _taken: dict[str, float] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        self._asked = FadingSums(self.window_ms)
        self._given = FadingSums(self.window_ms)

    @property
    def level(self) -> float:
        """Units that a customer gets in a window, infinite without scarcity."""
        return self._level

    def note_asked(self, customer: str, units: float, now_ms: float) -> None:
        """Note what a request asks for."""
        self._asked.add(customer, units, now_ms)
        self._changed.add(customer)

    def note_taken(self, customer: str, units: float, now_ms: float) -> None:
        """Note what a customer was given."""
        self._given.add(customer, units, now_ms)
        self._changed.add(customer)
        self._taken[customer] = self._taken.get(customer, 0.0) + units

    def own_changes(
        self, now_ms: float, is_whole: bool
    ) -> list[tuple[str, float, float]]:
        """Return what customers asked and were given here.

        :param is_whole: all customers, instead of those that asked or were
            given something since the last call.
        """
        asked, given = self._asked.all(now_ms), self._given.all(now_ms)
        names = asked.keys() | given.keys() if is_whole else self._changed
        changes = [
            (name, asked.get(name, 0.0), given.get(name, 0.0)) for name in sorted(names)
        ]
        self._changed = set()
        return changes

    def note_peer(
        self, peer: str, customer: str, asked: float, taken: float, now_ms: float
    ) -> None:
        """Take what a customer asked and was given at another router."""
        sums = self._peers.get(peer)
        if sums is None:
            sums = FadingSums(self.window_ms), FadingSums(self.window_ms)
            self._peers[peer] = sums
        sums[0].set(customer, asked, now_ms)
        sums[1].set(customer, taken, now_ms)

    def drop_peer(self, peer: str) -> None:
        """Forget what customers asked and were given at another router."""
        self._peers.pop(peer, None)

    def update(self, capacity: float, now_ms: float) -> None:
        """Compute the level anew.

        :param capacity: units that all targets produce in a window.
        """
        demands = collections.Counter(self._asked.all(now_ms))
        total = collections.Counter(self._given.all(now_ms))
        for asked, given in self._peers.values():
            demands.update(asked.all(now_ms))
            total.update(given.all(now_ms))
        self._taken = dict(total)
        self._level = water_level(demands.values(), capacity)
        scarce = self._level < float("inf")
        self._even_split = self._level if scarce else capacity / max(1, len(demands))

    def stage(self, customer: str) -> int:
        """Return how much of its share a customer has had, in quarters.

        Whoever has had less goes first, so that a customer that sends its share
        in a burst does not hold up those that send theirs evenly. Before what is
        asked exceeds the capacity of a window, an even split stands for shares.
        """
        taken = self._taken.get(customer, 0.0)
        share = min(self._level, self._even_split)
        return int(min(_MOST_STAGES, SHARE_STAGE * taken / share))

    def back_ms(self, customer: str, units: float) -> float:
        """Return after what time some more units are within a share again.

        It is at most the window: more units than a whole share always exceed it.
        """
        taken = self._taken.get(customer, 0.0)
        room = self._level - units
        if taken <= room:
            return 0.0
        if room <= 0:
            return self.window_ms
        return min(self.window_ms, self.window_ms * math.log(taken / room))

    def is_over(self, customer: str, units: float) -> bool:
        """Whether some more units would take a customer beyond its share."""
        return self._taken.get(customer, 0.0) + units > self._level
