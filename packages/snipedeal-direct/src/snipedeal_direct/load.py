"""How loaded each target is, by this router's own calls and what peers say."""

import collections
import typing as t

import attrs

from snipedeal_direct import defaults
from snipedeal_direct.condition import Condition
from snipedeal_direct.model import Call
from snipedeal_direct.model import EngineLimits
from snipedeal_direct.model import Prompt
from snipedeal_direct.model import PromptPart
from snipedeal_direct.model import Target


@attrs.define
class Share:
    """A part of a target's load.

    :param reading: prompt tokens sent whose first event has not come.
    :param running: requests that are not answered in full.
    :param held: tokens that these hold in the target's memory.
    """

    reading: float = 0.0
    running: int = 0
    held: float = 0.0

    def add(self, other: "Share", sign: int) -> None:
        """Add another part to a sum, or take it out with a ``sign`` of -1."""
        self.reading += sign * other.reading
        self.running += sign * other.running
        self.held += sign * other.held


@attrs.define
class Cache:
    """Prompt parts that a target's memory likely holds.

    The least recently used parts yield, as in the target. All routers' calls
    count, as far as peers told of them.
    """

    _parts: collections.OrderedDict[str, int] = attrs.Factory(collections.OrderedDict)
    _size: float = 0.0

    def unread(self, prompt: Prompt) -> int:
        """Return the tokens of a prompt that have to be read."""
        kept = 0
        for part in prompt.parts:
            if part.id not in self._parts:
                break
            kept += part.tokens
        return max(0, prompt.tokens - kept)

    def add(self, part: str, tokens: int) -> None:
        """Note the use of a part."""
        before = self._parts.pop(part, 0)
        self._parts[part] = tokens
        self._size += tokens - before

    def shrink(self, capacity: float) -> None:
        """Drop the least recently used parts.

        :param capacity: tokens that the target's memory keeps.
        """
        while self._size > capacity and self._parts:
            _, dropped = self._parts.popitem(last=False)
            self._size -= dropped

    def clear(self) -> None:
        """Forget all parts."""
        self._parts.clear()
        self._size = 0.0


@attrs.define(eq=False)
class Sent:
    """A call at a target, until its answer is whole.

    :param ahead: prompt tokens that the target had to read before its first
        event, its own included.
    """

    call: Call
    unread: float
    ahead: float
    sent_ms: float
    has_begun: bool = False


@attrs.define(eq=False)
class TargetLoad:
    """A target, its load and what is believed of it."""

    target: Target
    engine: EngineLimits | None = None
    condition: Condition = attrs.Factory(Condition)
    own: Share = attrs.Factory(Share)
    cache: Cache = attrs.Factory(Cache)
    read_rate: float = defaults.INITIAL_READ_RATE
    _peers: dict[str, Share] = attrs.Factory(dict)
    # kept up to date, since each comparison of targets reads it.
    _peer_total: Share = attrs.Factory(Share)

    @property
    def reading(self) -> float:
        """Prompt tokens sent by all routers and not read."""
        return self.own.reading + self._peer_total.reading

    @property
    def running(self) -> int:
        """Requests of all routers that it has."""
        return self.own.running + self._peer_total.running

    @property
    def held(self) -> float:
        """Tokens that the requests of all routers hold in its memory."""
        return self.own.held + self._peer_total.held

    @property
    def busy_ms(self) -> float:
        """Time until it can begin a call, weighted by the requests it runs, ms."""
        return (
            self.reading / self.read_rate + self.running * defaults.RUNNING_PENALTY_MS
        )

    def set_peer(self, name: str, share: Share) -> None:
        """Take a peer's share of the load, in place of what it said before."""
        self._peer_total.add(share, 1)
        before = self._peers.get(name)
        if before is not None:
            self._peer_total.add(before, -1)
        self._peers[name] = share

    def drop_peer(self, name: str) -> None:
        """Forget a peer's share."""
        before = self._peers.pop(name, None)
        if before is not None:
            self._peer_total.add(before, -1)

    def unread(self, call: Call) -> float:
        """Return the prompt tokens of a call that it has to read."""
        return float(self.cache.unread(call.prompt)) if call.prompt else 0.0

    def start_ms(self, call: Call) -> float:
        """Return the expected time from sending a call to its first event."""
        ahead = self.reading + self.unread(call)
        return ahead / self.read_rate + defaults.FIRST_EVENT_MS

    def begin(self, call: Call, now_ms: float) -> Sent:
        """Note that a call is sent to it."""
        unread = self.unread(call)
        sent = Sent(call, unread, self.reading + unread, now_ms)
        self.own.running += 1
        if call.prompt is not None:
            self.own.reading += unread
            self.own.held += call.prompt.tokens + call.prompt.output_tokens
            self.note_parts(call.prompt.parts)
        return sent

    def note_parts(self, parts: t.Iterable[PromptPart]) -> None:
        """Note that parts were sent to it by any router."""
        for part in parts:
            self.cache.add(part.id, part.tokens)
        if self.engine is not None:
            # running requests are among the parts that were used last.
            self.cache.shrink(self.engine.memory_tokens * defaults.CACHE_SHARE)

    def note_first_event(self, sent: Sent, now_ms: float) -> None:
        """Note that a call's prompt is read, and learn the rate."""
        if sent.has_begun:
            return
        sent.has_begun = True
        self.own.reading = max(0.0, self.own.reading - sent.unread)
        took_ms = now_ms - sent.sent_ms - defaults.FIRST_EVENT_MS
        # short waits are mostly steps and round trips, and tell no rate.
        if took_ms > defaults.FIRST_EVENT_MS and sent.ahead > 0:
            low, high = defaults.READ_RATE_RANGE
            rate = min(high, max(low, sent.ahead / took_ms))
            self.read_rate += defaults.READ_RATE_SMOOTHING * (rate - self.read_rate)

    def end(self, sent: Sent) -> None:
        """Note that a call has left it."""
        if not sent.has_begun:
            sent.has_begun = True
            self.own.reading = max(0.0, self.own.reading - sent.unread)
        self.own.running = max(0, self.own.running - 1)
        if sent.call.prompt is not None:
            prompt = sent.call.prompt
            held = prompt.tokens + prompt.output_tokens
            self.own.held = max(0.0, self.own.held - held)
