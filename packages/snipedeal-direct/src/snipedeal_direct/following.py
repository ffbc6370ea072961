"""Elect the routers that read the platform's store, and track change feeds.

A few routers, the readers, long-poll the store for changes and forward them to
the others by gossip, so that the number of calls to the store does not grow with
the fleet. The other routers read the store themselves only if a change did not
reach them or while their calls to the store fail. The election counts only routers
that were heard from recently and can reach the store, so a router that hears from
none of them becomes a reader.

The store may return from an old copy, which begins a new era and gives offsets out
again. A position therefore names its era. A router lists a feed, that is reads the
newest record of each key, once in each era, whatever the offsets are.
"""

import asyncio
import typing as t

import attrs

from snipedeal.utils import stable_hash
from snipedeal_direct import defaults
from snipedeal_direct.availability import Availability
from snipedeal_direct.gossip import RecordsReport
from snipedeal_direct.journal import info


def is_reader(name: str, candidates: t.Iterable[str]) -> bool:
    """Return whether a router is one of the ``STORE_READERS`` elected readers.

    :param candidates: as for :func:`reader_rank`.
    """
    return reader_rank(name, candidates) < defaults.STORE_READERS


def reader_rank(name: str, candidates: t.Iterable[str]) -> int:
    """Return how many candidates are elected before a router.

    Routers are ranked by a hash of their names, so that all of them agree on the
    readers without coordination.

    :param candidates: other routers that were heard from recently and can reach the
        store.
    """
    own = stable_hash("reader", name)
    return sum(1 for peer in candidates if stable_hash("reader", peer) < own)


class Position(t.NamedTuple):
    """A place in a change feed; those of a later era come after all others.

    :param era: era of the store, -1 before the first read.
    :param offset: offset of the next record, -1 if it is not known.
    """

    era: int = -1
    offset: int = -1


@attrs.define(eq=False, repr=False)
class Feed:
    """Progress of this router in one change feed of the store.

    :param position: position of the next record.
    :param is_listed: whether this router has listed the feed in the era of
        ``position``, so that it may read on from there.
    :param peer_position: highest position that a peer announced.
    :param behind_since_ms: since when ``peer_position`` exceeds ``position``.
    :param is_read_required: whether records are too large to be forwarded, so
        that this router has to read them from the store.
    :param is_failing: whether the latest call of this router for it has failed.
    :param availability: when the store has answered reads of it, at any router.
    :param wakeup: set when the router may have to read.
    """

    name: str
    position: Position = Position()
    is_listed: bool = False
    peer_position: Position = Position()
    behind_since_ms: float = 0.0
    is_read_required: bool = False
    is_failing: bool = False
    availability: Availability = attrs.Factory(Availability)
    wakeup: asyncio.Event = attrs.Factory(asyncio.Event)

    @property
    def needs_listing(self) -> bool:
        """Whether the newest records have to be read before any others."""
        return not self.is_listed or self.peer_position.era > self.position.era

    def advance(self, position: Position) -> None:
        """Record that all records before a position are applied.

        In a new era the feed counts as not listed: what a peer passed on may lack what
        the peer has decided without a record.
        """
        if position.era > self.position.era:
            self.is_listed = False
        self.position = max(self.position, position)
        if self.position >= self.peer_position:
            self.is_read_required = False

    def restart(self, position: Position) -> None:
        """Record that this router has listed the feed up to a position."""
        self.position = position
        self.is_listed = True
        if self.position >= self.peer_position:
            self.is_read_required = False

    def reset(self) -> None:
        """Start over from the newest records, since the next ones were compacted.

        Until they are read, forwarded records are ignored, since they start
        after offset -1.
        """
        self.position = Position(self.position.era)
        self.is_listed = False

    def note_peer_position(self, position: Position, now_ms: float) -> None:
        """Record the position that a peer announced."""
        if position > self.peer_position:
            if self.peer_position <= self.position:
                self.behind_since_ms = now_ms
            self.peer_position = position

    def note_end(self, end: Position, announced: Position) -> None:
        """Record the end of the feed as the store tells it.

        A peer that announced a later position before the read was wrong.

        :param announced: ``peer_position`` before the read.
        """
        if end < announced == self.peer_position:
            self.peer_position = end

    def is_behind(self, now_ms: float) -> bool:
        """Return whether a change is missing and has to be read from the store.

        That is the case ``FEED_GAP_MS`` after a peer announced it, or at once if
        it can't be forwarded.
        """
        if self.position >= self.peer_position:
            return False
        waited_ms = now_ms - self.behind_since_ms
        return self.is_read_required or waited_ms >= defaults.FEED_GAP_MS


class FeedTracker:
    """Decide when this router reads the store, and track its change feeds.

    :param name: the router's name.
    :param now_ms: returns monotonic milliseconds.
    """

    def __init__(self, name: str, now_ms: t.Callable[[], float]) -> None:
        self.is_store_reachable = True
        self.is_reader = True
        self.is_backup = False
        self.feeds: dict[str, Feed] = {}
        self._name = name
        self._now_ms = now_ms

    @property
    def positions(self) -> dict[str, Position]:
        """Position in each feed, by name."""
        return {name: feed.position for name, feed in self.feeds.items()}

    @property
    def era(self) -> int:
        """Latest era of the store in which this router has read a feed."""
        return max((feed.position.era for feed in self.feeds.values()), default=-1)

    @property
    def read_pause_ms(self) -> float:
        """Pause after a read that returned records, ms.

        The first reader forwards them meanwhile; the others are there for its loss.
        """
        return defaults.FEED_BACKUP_PAUSE_MS if self.is_backup else 0.0

    def feed(self, name: str) -> Feed:
        """Return a feed, created on first use."""
        found = self.feeds.get(name)
        if found is None:
            found = self.feeds[name] = Feed(name)
        return found

    def note_answer(self, name: str) -> bool:
        """Record that the store answered a read; return whether an outage ended."""
        feed = self.feed(name)
        feed.is_failing = False
        return feed.availability.note_answer(self._now_ms())

    def note_failure(self, name: str) -> float:
        """Record a failed read of a feed; return the pause before the next one, ms.

        The first retry is made at once: whether it is answered tells a lost connection
        from an outage of the store.
        """
        feed = self.feed(name)
        is_first = not feed.is_failing
        feed.is_failing = True
        feed.availability.note_failure(self._now_ms())
        if is_first:
            return 0.0
        if self.is_reader:
            return defaults.FEED_RETRY_MS
        # The readers forward changes meanwhile, so a longer pause loses nothing.
        return defaults.FEED_FOLLOWER_RETRY_MS

    async def wait_until_due(self, name: str) -> int:
        """Wait until a feed should be read; return the long-poll time, ms.

        The time is zero for a router that is not a reader, since it reads once to catch
        up, and after a failure, whose end is then known at once.
        """
        feed = self.feed(name)
        while not (
            self.is_reader
            or feed.is_failing
            or feed.needs_listing
            or feed.is_behind(self._now_ms())
        ):
            feed.wakeup.clear()
            await feed.wakeup.wait()
        if feed.is_failing or not self.is_reader:
            return 0
        return defaults.FEED_BACKUP_WAIT_MS if self.is_backup else defaults.FEED_WAIT_MS

    def note_peer_positions(
        self, offsets: t.Mapping[str, int], eras: t.Mapping[str, int]
    ) -> dict[str, Position]:
        """Record the positions that a peer announced, and return them by feed.

        :param eras: era of each offset; routers of earlier releases name none.
        """
        now_ms = self._now_ms()
        positions = {}
        for name, offset in offsets.items():
            # A peer may follow feeds that this router does not know.
            feed = self.feeds.get(name)
            if feed is not None:
                position = Position(eras.get(name, feed.position.era), offset)
                feed.note_peer_position(position, now_ms)
                positions[name] = position
        return positions

    def end_of(self, report: RecordsReport) -> Position:
        """Return the position after the records of a report."""
        era = report.era
        if era is None:
            era = self.feed(report.feed).position.era
        return Position(era, report.end)

    def require_read(self, name: str, end: Position) -> None:
        """Require a read of records that are too large for a datagram."""
        if name not in self.feeds:
            return
        feed = self.feed(name)
        if end > feed.position:
            feed.note_peer_position(end, self._now_ms())
            feed.is_read_required = True
            feed.wakeup.set()

    def update_role(self, candidates: t.Iterable[str]) -> None:
        """Re-elect the readers and wake up feeds that have to be read.

        :param candidates: other routers that were heard from recently and can reach the
            store.
        """
        was_reader = self.is_reader
        rank = reader_rank(self._name, candidates)
        self.is_reader = rank < defaults.STORE_READERS
        self.is_backup = 0 < rank < defaults.STORE_READERS
        if self.is_reader != was_reader:
            info("store.reading", reads=self.is_reader, reach=self.is_store_reachable)
        for feed in self.feeds.values():
            if self.is_reader or feed.is_behind(self._now_ms()):
                feed.wakeup.set()
