"""Account of the memory held for callers and targets, and who gives way."""

import collections
import typing as t

import attrs

from snipedeal.buffers import BufferBudget
from snipedeal_direct import defaults


class Kind:
    """What memory is held for; indexes into amounts, as plain numbers for speed."""

    #: Connections of callers, with their sockets, parsers and transports.
    CONNECTIONS = 0
    #: Heads, framing and bodies of requests that are not complete.
    INCOMPLETE = 1
    #: Received bytes that no parser has read.
    UNREAD = 2
    #: Complete requests that wait, are being served, or are queued behind others.
    REQUESTS = 3
    #: Responses that callers have not read.
    UNSENT = 4
    #: Responses of targets, peers and the store.
    RESPONSES = 5


#: Names of the kinds, by index.
KIND_NAMES = (
    "connections",
    "incomplete",
    "unread",
    "requests",
    "unsent",
    "responses",
)


class MemoryAccount:
    """Bytes held by all connections of a process, by kind, with an upper limit.

    :param limit_bytes: total beyond which holders of much are refused more.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.amounts = [0] * len(KIND_NAMES)
        self.total_bytes = 0
        # What the connections of each customer hold.
        self._by_owner: collections.Counter[str] = collections.Counter()

    @classmethod
    def of_process(cls, max_memory_mb: float) -> "MemoryAccount":
        """Return the account of a process on a VM.

        :param max_memory_mb: memory of the VM, MB (10**6 bytes).
        """
        free_mb = max_memory_mb - defaults.MEMORY_RESERVE_MB
        limit_mb = max(defaults.ACCOUNT_MIN_MB, free_mb * defaults.ACCOUNT_FRACTION)
        return cls(int(limit_mb * 1_000_000))

    @property
    def is_tight(self) -> bool:
        """Whether those that hold much without progress must give way."""
        return self.total_bytes > self.limit_bytes * defaults.MEMORY_TIGHT_FRACTION

    def add(self, kind: int, change: int) -> None:
        """Count a change of what is held.

        :param change: bytes; negative if less is held.
        """
        self.amounts[kind] += change
        self.total_bytes += change

    def add_owned(self, owner: str, change: int) -> None:
        """Count a change of what a customer's connections hold, bytes."""
        self._by_owner[owner] += change
        if not self._by_owner[owner]:
            del self._by_owner[owner]

    def admits(self, extra_bytes: int, owner: str | None = None) -> bool:
        """Return whether a large body may be received.

        The rest of the account stays free for requests that hold little, and beyond
        half of it, a customer that holds something keeps to its part.

        :param extra_bytes: what it will hold beyond what is counted.
        :param owner: its customer, ``None`` if callers need no key.
        """
        total = self.total_bytes + extra_bytes
        if total > self.limit_bytes * defaults.MEMORY_BODY_FRACTION:
            return False
        if total <= self.limit_bytes * defaults.MEMORY_OWNER_FRACTION:
            return True
        held = 0 if owner is None else self._by_owner.get(owner, 0)
        return not held or held + extra_bytes <= self._part_bytes

    def tolerates(self, held_bytes: int, owner: str | None = None) -> bool:
        """Return whether a connection may hold what it holds.

        :param held_bytes: bytes that it holds, already counted.
        :param owner: its customer, ``None`` if callers need no key.
        """
        limit = float(self.limit_bytes)
        if held_bytes > defaults.MEMORY_EACH_BYTES:
            limit *= defaults.MEMORY_BODY_FRACTION
            if owner is not None and self._by_owner.get(owner, 0) > self._part_bytes:
                limit = self.limit_bytes * defaults.MEMORY_OWNER_FRACTION
        return self.total_bytes <= limit

    @property
    def _part_bytes(self) -> float:
        """What each customer that holds something may hold while memory is short."""
        part = self.limit_bytes * defaults.MEMORY_TIGHT_FRACTION
        return part / max(1, len(self._by_owner))


class Holding:
    """What one connection holds.

    :ivar total_bytes: sum over all kinds.
    :ivar owner: customer of its latest large body, ``None`` if there was none.
    """

    __slots__ = ("_account", "_amounts", "owner", "total_bytes")

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self._amounts = [0] * len(KIND_NAMES)
        self.total_bytes = 0
        self.owner: str | None = None

    def set_owner(self, owner: str | None) -> None:
        """Count what it holds for a customer from now on."""
        if owner == self.owner:
            return
        if self.owner is not None:
            self._account.add_owned(self.owner, -self.total_bytes)
        self.owner = owner
        if owner is not None:
            self._account.add_owned(owner, self.total_bytes)

    def get(self, kind: int) -> int:
        """Return the bytes held of a kind."""
        return self._amounts[kind]

    def set(self, kind: int, amount: int) -> None:
        """Count what is held of a kind now, bytes."""
        change = amount - self._amounts[kind]
        if change:
            self._amounts[kind] = amount
            self.total_bytes += change
            self._account.add(kind, change)
            if self.owner is not None:
                self._account.add_owned(self.owner, change)

    def clear(self) -> None:
        """Count that nothing is held."""
        for kind in range(len(KIND_NAMES)):
            self.set(kind, 0)


@attrs.define
class ResponseBudget(BufferBudget):
    """Budget of the responses of targets, peers and the store, within the account.

    :param account: the account of the process.
    """

    account: MemoryAccount = attrs.field(kw_only=True)

    def resize(self, before: int, after: int) -> bool:
        """Count a change of what a connection holds; return whether it may stay open.

        :param before: bytes that it held.
        :param after: bytes that it holds now.
        """
        self.account.add(Kind.RESPONSES, after - before)
        return BufferBudget.resize(self, before, after)

    def release(self, held: int) -> None:
        """Count that a connection holds nothing more.

        :param held: bytes that it held.
        """
        self.account.add(Kind.RESPONSES, -held)
        BufferBudget.release(self, held)


def make_response_budget(account: MemoryAccount | None) -> BufferBudget:
    """Return the budget of received responses.

    :param account: the account of the process; without one, the default bound holds.
    """
    limit, each = defaults.RECEIVED_BYTES, defaults.RECEIVED_BYTES_EACH
    if account is None:
        return BufferBudget(limit, each)
    part = int(account.limit_bytes * defaults.MEMORY_RESPONSES_FRACTION)
    return ResponseBudget(min(limit, part), each, account=account)


@attrs.define(eq=False)
class Progress:
    """How far a connection has come since the last check.

    :ivar moved_bytes: bytes received from or taken by the caller.
    :ivar is_slow: whether they were few in the last whole interval.
    :ivar idle_checks: intervals in a row in which there were none.
    """

    moved_bytes: int = 0
    is_slow: bool = False
    idle_checks: int = 0

    def check(self) -> None:
        """End an interval of ``STALL_CHECK_MS``."""
        self.is_slow = self.moved_bytes < defaults.STALL_BYTES
        self.idle_checks = 0 if self.moved_bytes else self.idle_checks + 1
        self.moved_bytes = 0


T = t.TypeVar("T")


def choose_evicted(
    holders: t.Iterable[tuple[T, int, bool]], excess_bytes: float
) -> list[T]:
    """Return the connections to close so that an excess of memory is freed.

    Those that hold most go first; only slow ones that hold much are chosen.

    :param holders: connection, what it holds in bytes, and whether it is slow.
    """
    slow = [
        (held, holder)
        for holder, held, is_slow in holders
        if is_slow and held > defaults.MEMORY_EACH_BYTES
    ]
    slow.sort(key=lambda pair: pair[0], reverse=True)
    chosen = []
    for held, holder in slow:
        if excess_bytes <= 0:
            break
        chosen.append(holder)
        excess_bytes -= held
    return chosen
