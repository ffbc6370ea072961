"""Close connections of callers that only take up memory while it is short."""

import asyncio
import collections
import typing as t

from snipedeal_direct import defaults
from snipedeal_direct.journal import warning
from snipedeal_direct.memory import Holding
from snipedeal_direct.memory import Kind
from snipedeal_direct.memory import MemoryAccount
from snipedeal_direct.memory import Progress
from snipedeal_direct.memory import choose_evicted


class Holder(t.Protocol):
    """A connection that holds memory."""

    holding: Holding
    progress: Progress

    @property
    def peer(self) -> str:
        """Address of the other side, for the log."""

    def note_unsent(self) -> None:
        """Count what the other side has not taken."""

    def give_way(self, reason: str) -> None:
        """Refuse what is not complete, or end a response that is not read."""


class Relief:
    """Watch the connections that hold much; close the slow ones while memory is short.

    :param timeout_ms: returns the time after which a response of which nothing is read
        ends, ms.
    :ivar closed: connections that were closed, by reason.
    """

    def __init__(
        self, account: MemoryAccount, timeout_ms: t.Callable[[], float]
    ) -> None:
        self.closed: collections.Counter[str] = collections.Counter()
        self._account = account
        self._timeout_ms = timeout_ms
        self._watched: dict[Holder, None] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._log_timer: asyncio.TimerHandle | None = None
        self._searched_s = float("-inf")
        # Connections closed since the last log line, and what the first one held.
        self._unlogged: collections.Counter[str] = collections.Counter()
        self._example: dict[str, t.Any] = {}

    def watch(self, holder: Holder) -> None:
        """Check the progress of a connection while it holds much."""
        held = holder.holding.total_bytes
        if held <= defaults.MEMORY_EACH_BYTES:
            if self._watched:
                self._watched.pop(holder, None)
            return
        if holder not in self._watched:
            self._watched[holder] = None
            # The interval that has begun is not counted against it.
            holder.progress.moved_bytes += defaults.STALL_BYTES
        if self._timer is None:
            self._schedule()

    def forget(self, holder: Holder) -> None:
        """Stop checking a connection that is closed."""
        self._watched.pop(holder, None)

    def admits(self, length: int, owner: str | None = None) -> bool:
        """Return whether a large body may be received.

        :param length: its size in bytes, 0 if it is not known.
        :param owner: its customer, ``None`` if callers need no key.
        """
        if self._account.admits(length, owner):
            return True
        self._search(length)
        return self._account.admits(length, owner)

    def tolerates(self, holder: Holder) -> bool:
        """Return whether a connection may hold what it holds."""
        held, owner = holder.holding.total_bytes, holder.holding.owner
        if self._account.tolerates(held, owner):
            return True
        self._search(0)
        return self._account.tolerates(held, owner)

    def note_closed(self, holder: Holder, reason: str) -> None:
        """Count a connection that is closed, and log it with others of this second."""
        self.closed[reason] += 1
        self._unlogged[reason] += 1
        if self._log_timer is None:
            self._example = {
                "peer": holder.peer,
                "customer": holder.holding.owner or "",
                "held": holder.holding.total_bytes,
                "reason": reason,
            }
            loop = asyncio.get_running_loop()
            delay_s = defaults.CLOSED_LOG_INTERVAL_MS / 1000
            self._log_timer = loop.call_later(delay_s, self._log)

    def close(self) -> None:
        """Stop all checks."""
        for timer in (self._timer, self._log_timer):
            if timer is not None:
                timer.cancel()
        self._timer = self._log_timer = None

    def _log(self) -> None:
        self._log_timer = None
        total = self._account.total_bytes
        warning(
            "connections.closed",
            counts=dict(self._unlogged),
            total=total,
            limit=self._account.limit_bytes,
            **self._example,
        )
        self._unlogged.clear()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        delay_s = defaults.STALL_CHECK_MS / 1000
        self._timer = loop.call_later(delay_s, self._check)

    def _check(self) -> None:
        """End an interval; close what makes no progress."""
        self._timer = None
        for holder in list(self._watched):
            holder.note_unsent()
            holder.progress.check()
            idle_ms = holder.progress.idle_checks * defaults.STALL_CHECK_MS
            if holder.holding.get(Kind.UNSENT) and idle_ms >= self._timeout_ms():
                holder.give_way("unread")
        if self._account.is_tight:
            self._evict(0)
        if self._watched:
            self._schedule()

    def _search(self, extra_bytes: int) -> None:
        """Close slow connections, unless that was done a moment ago."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self._searched_s >= defaults.RELIEF_INTERVAL_MS / 1000:
            self._searched_s = now_s
            self._evict(extra_bytes)

    def _evict(self, extra_bytes: int) -> None:
        limit = self._account.limit_bytes * defaults.MEMORY_TIGHT_FRACTION
        excess = self._account.total_bytes + extra_bytes - limit
        holders = (
            (holder, self._freeable(holder), holder.progress.is_slow)
            for holder in self._watched
            # Unread input is the router's delay, not the caller's.
            if not holder.holding.get(Kind.UNREAD)
        )
        for holder in choose_evicted(holders, excess):
            holder.give_way("stalled")

    @staticmethod
    def _freeable(holder: Holder) -> int:
        """Return what closing a connection frees, bytes; requests being served stay."""
        holding = holder.holding
        return holding.total_bytes - holding.get(Kind.REQUESTS)
