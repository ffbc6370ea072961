"""Which routers read the platform's store, and when the others do.

A few routers wait at the store for changes and pass them on, so that calls to
the store do not grow with the fleet. The others read it themselves where a
change did not reach them, and all of them do where no reader is heard.
"""

import asyncio
import typing as t

import attrs

from snipedeal.utils import stable_hash
from snipedeal_direct import defaults
from snipedeal_direct.journal import note


def is_reader(name: str, reaching: t.Iterable[str]) -> bool:
    """Whether a router is among the first in the order that all agree on.

    :param reaching: other routers that are heard and reach the store.
    """
    own = stable_hash("reader", name)
    before = sum(1 for peer in reaching if stable_hash("reader", peer) < own)
    return before < defaults.STORE_READERS


@attrs.define
class Feed:
    """How far this router has read one of the source's logs.

    :param position: the next record's, -1 before the first read.
    :param told: the furthest position that a peer named.
    :param behind_since_ms: when ``told`` first exceeded ``position``.
    :param wakeup: set when the router may have to read.
    """

    name: str
    position: int = -1
    told: int = -1
    behind_since_ms: float = 0.0
    is_unpassed: bool = False
    wakeup: asyncio.Event = attrs.Factory(asyncio.Event)

    def advance(self, position: int) -> None:
        """Note that records up to a position are known."""
        self.position = max(self.position, position)
        if self.position >= self.told:
            self.is_unpassed = False

    def forget(self) -> None:
        """Begin anew: the records from here on are deleted."""
        self.position = -1

    def hear(self, position: int, now_ms: float) -> None:
        """Take how far a peer has read."""
        if position > self.told:
            if self.told <= self.position:
                self.behind_since_ms = now_ms
            self.told = position

    def is_behind(self, now_ms: float) -> bool:
        """Whether a change did not reach this router in time."""
        if self.position >= self.told:
            return False
        waited_ms = now_ms - self.behind_since_ms
        return self.is_unpassed or waited_ms >= defaults.FEED_GAP_MS


class Following:
    """Decide when this router reads the store.

    :param name: the router's name.
    :param now_ms: returns monotonic milliseconds.
    """

    def __init__(self, name: str, now_ms: t.Callable[[], float]) -> None:
        self.has_reach = True
        self.is_reader = True
        self.feeds: dict[str, Feed] = {}
        self._name = name
        self._now_ms = now_ms

    @property
    def positions(self) -> dict[str, int]:
        """How far each feed is known, by name."""
        return {name: feed.position for name, feed in self.feeds.items()}

    @property
    def retry_pause_ms(self) -> float:
        """Pause after a call to the store that failed, ms."""
        if self.is_reader:
            return defaults.FEED_RETRY_MS
        # others read, so that nothing is missed meanwhile.
        return defaults.FEED_FOLLOWER_RETRY_MS

    def feed(self, name: str) -> Feed:
        """Return a feed, created on first use."""
        found = self.feeds.get(name)
        if found is None:
            found = self.feeds[name] = Feed(name)
        return found

    async def turn(self, name: str) -> int:
        """Wait until a feed should be read; return how long the read may wait, ms."""
        feed = self.feed(name)
        while not (
            self.is_reader or not self.has_reach or feed.is_behind(self._now_ms())
        ):
            feed.wakeup.clear()
            await feed.wakeup.wait()
        return defaults.FEED_WAIT_MS if self.is_reader else 0

    def hear(self, positions: t.Mapping[str, int]) -> None:
        """Take how far a peer has read."""
        now_ms = self._now_ms()
        for name, position in positions.items():
            self.feed(name).hear(position, now_ms)

    def hear_unpassed(self, name: str, end: int) -> None:
        """Take that there are records that a datagram can't hold."""
        feed = self.feed(name)
        if end > feed.position:
            feed.hear(end, self._now_ms())
            feed.is_unpassed = True
            feed.wakeup.set()

    def check(self, reaching: t.Iterable[str]) -> None:
        """Decide anew whether this router reads.

        :param reaching: other routers that are heard and reach the store.
        """
        before = self.is_reader
        self.is_reader = is_reader(self._name, reaching)
        if self.is_reader != before:
            note("store.reading", reads=self.is_reader, reach=self.has_reach)
        for feed in self.feeds.values():
            if self.is_reader or feed.is_behind(self._now_ms()):
                feed.wakeup.set()
