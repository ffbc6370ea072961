"""Track the load of each target from this router's calls and peers' reports."""

import collections
import typing as t

import attrs

from snipedeal_direct import defaults
from snipedeal_direct.condition import TargetHealth
from snipedeal_direct.model import Call
from snipedeal_direct.model import EngineLimits
from snipedeal_direct.model import Prompt
from snipedeal_direct.model import PromptPart
from snipedeal_direct.model import Target


@attrs.define
class Share:
    """The load that one or more routers put on a target.

    :param reading: prompt tokens sent whose prefill is pending; it ends with the
        first event.
    :param running: requests whose response is not complete.
    :param held: tokens that these requests occupy in the target's memory.
    """

    reading: float = 0.0
    running: int = 0
    held: float = 0.0

    def add(self, other: "Share", sign: int) -> None:
        """Add another load, or subtract it with a ``sign`` of -1."""
        self.reading += sign * other.reading
        self.running += sign * other.running
        self.held += sign * other.held


@attrs.define
class PrefixCache:
    """Estimate of the prompt parts in a target's prefix cache.

    The least recently used parts are evicted first, as in the target. Calls of
    other routers are included as far as peers reported them.
    """

    _parts: collections.OrderedDict[str, int] = attrs.Factory(collections.OrderedDict)
    _size: float = 0.0

    def unread(self, prompt: Prompt) -> int:
        """Return the tokens of a prompt that are not cached.

        A part counts as cached only if all parts before it are cached too.
        """
        cached = 0
        for part in prompt.parts:
            if part.id not in self._parts:
                break
            cached += part.tokens
        return max(0, prompt.tokens - cached)

    def add(self, part: str, tokens: int) -> None:
        """Add a part, or mark it as the most recently used."""
        before = self._parts.pop(part, 0)
        self._parts[part] = tokens
        self._size += tokens - before

    def shrink(self, capacity: float) -> None:
        """Evict the least recently used parts until the rest fits.

        :param capacity: tokens that the target's cache holds.
        """
        while self._size > capacity and self._parts:
            _, dropped = self._parts.popitem(last=False)
            self._size -= dropped

    def clear(self) -> None:
        """Remove all parts."""
        self._parts.clear()
        self._size = 0.0


@attrs.define(eq=False)
class InFlightCall:
    """A call sent to a target whose response is not complete.

    :param unread: tokens of the call's own prompt that were not cached.
    :param ahead: prompt tokens that the target had to prefill before the call's
        first event, its own included.
    :param has_begun: whether its prefill no longer counts as pending.
    """

    call: Call
    unread: float
    ahead: float
    sent_ms: float
    has_begun: bool = False


@attrs.define(eq=False)
class TargetLoad:
    """A target with its load, its health and an estimate of its prefix cache.

    :param read_rate: smoothed prefill rate, prompt tokens per ms.
    """

    target: Target
    engine: EngineLimits | None = None
    health: TargetHealth = attrs.Factory(TargetHealth)
    own: Share = attrs.Factory(Share)
    cache: PrefixCache = attrs.Factory(PrefixCache)
    read_rate: float = defaults.INITIAL_PREFILL_RATE
    _peers: dict[str, Share] = attrs.Factory(dict)
    # maintained incrementally, since each comparison of targets reads it.
    _peer_total: Share = attrs.Factory(Share)

    @property
    def reading(self) -> float:
        """Prompt tokens sent by all routers whose prefill is pending."""
        return self.own.reading + self._peer_total.reading

    @property
    def running(self) -> int:
        """Requests of all routers whose response is not complete."""
        return self.own.running + self._peer_total.running

    @property
    def held(self) -> float:
        """Tokens that the requests of all routers occupy in its memory."""
        return self.own.held + self._peer_total.held

    @property
    def busy_ms(self) -> float:
        """Pending prefill time plus a penalty for each running request, ms."""
        return (
            self.reading / self.read_rate + self.running * defaults.RUNNING_PENALTY_MS
        )

    def set_peer(self, name: str, share: Share) -> None:
        """Replace the load reported by a peer."""
        self._peer_total.add(share, 1)
        before = self._peers.get(name)
        if before is not None:
            self._peer_total.add(before, -1)
        self._peers[name] = share

    def drop_peer(self, name: str) -> None:
        """Discard the load reported by a peer."""
        before = self._peers.pop(name, None)
        if before is not None:
            self._peer_total.add(before, -1)

    def unread(self, call: Call) -> float:
        """Return the prompt tokens of a call that it has not cached."""
        return float(self.cache.unread(call.prompt)) if call.prompt else 0.0

    def expected_first_event_ms(self, call: Call) -> float:
        """Return the expected time from sending a call to its first event."""
        ahead = self.reading + self.unread(call)
        return ahead / self.read_rate + defaults.FIRST_EVENT_MS

    def begin(self, call: Call, now_ms: float) -> InFlightCall:
        """Record that a call is sent to it."""
        unread = self.unread(call)
        sent = InFlightCall(call, unread, self.reading + unread, now_ms)
        self.own.running += 1
        if call.prompt is not None:
            self.own.reading += unread
            self.own.held += call.prompt.tokens + call.prompt.output_tokens
            self.note_parts(call.prompt.parts)
        return sent

    def note_parts(self, parts: t.Iterable[PromptPart]) -> None:
        """Add prompt parts that a router sent to it to the cache estimate."""
        for part in parts:
            self.cache.add(part.id, part.tokens)
        if self.engine is not None:
            # the capacity includes running requests: theirs are the most recently
            # used parts.
            self.cache.shrink(self.engine.memory_tokens * defaults.CACHE_SHARE)

    def note_first_event(self, sent: InFlightCall, now_ms: float) -> None:
        """Record the end of a call's prefill, and update the prefill rate."""
        if sent.has_begun:
            return
        sent.has_begun = True
        self.own.reading = max(0.0, self.own.reading - sent.unread)
        took_ms = now_ms - sent.sent_ms - defaults.FIRST_EVENT_MS
        # short waits are mostly engine steps and network round trips, and give no
        # usable rate.
        if took_ms > defaults.FIRST_EVENT_MS and sent.ahead > 0:
            low, high = defaults.PREFILL_RATE_RANGE
            rate = min(high, max(low, sent.ahead / took_ms))
            self.read_rate += defaults.PREFILL_RATE_SMOOTHING * (rate - self.read_rate)

    def end(self, sent: InFlightCall) -> None:
        """Record that a call has ended, complete or not."""
        if not sent.has_begun:
            sent.has_begun = True
            self.own.reading = max(0.0, self.own.reading - sent.unread)
        self.own.running = max(0, self.own.running - 1)
        if sent.call.prompt is not None:
            prompt = sent.call.prompt
            held = prompt.tokens + prompt.output_tokens
            self.own.held = max(0.0, self.own.held - held)
