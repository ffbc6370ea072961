"""Track the load of each target from this router's calls and peers' reports."""

import collections
import math
import typing as t

import attrs

from snipedeal.limits import RateLimit
from snipedeal_direct import defaults
from snipedeal_direct.concurrency import StreamPauses
from snipedeal_direct.condition import TargetHealth
from snipedeal_direct.costs import CostModel
from snipedeal_direct.costs import StepCost
from snipedeal_direct.costs import make_work_speed
from snipedeal_direct.findings import PauseRamp
from snipedeal_direct.model import Call
from snipedeal_direct.model import EngineLimits
from snipedeal_direct.model import Prompt
from snipedeal_direct.model import PromptPart
from snipedeal_direct.model import Target
from snipedeal_direct.model import TargetState
from snipedeal_direct.speeds import PrefillRate
from snipedeal_direct.warmup import Warmup

if t.TYPE_CHECKING:
    from snipedeal_direct.gossip import TargetReport


@attrs.define
class LoadCounts:
    """The load that one or more routers put on a target.

    :param prefill_tokens: uncached prompt tokens sent whose prefill is pending; it
        ends with the first event.
    :param running: requests whose response is not complete.
    :param reserved_tokens: tokens of the target's memory reserved for these requests:
        their prompts and their expected output.
    :param remaining_events: events that running streams are expected to have yet.
    :param remaining_work_ms: expected time of running calls without prompts, ms, at the
        service's usual speed.
    :param forecast: running requests whose cost these include.
    """

    prefill_tokens: float = 0.0
    running: int = 0
    reserved_tokens: float = 0.0
    remaining_events: float = 0.0
    remaining_work_ms: float = 0.0
    forecast: int = 0


@attrs.define(eq=False)
class PrefixBudget:
    """Bound the estimates of all targets' prefix caches together.

    :param limit: entries that they may have; beyond it, the largest one shrinks.
    :ivar used: entries that they have.
    """

    limit: int
    used: int = 0
    _caches: dict["PrefixCache", None] = attrs.Factory(dict)

    @classmethod
    def of_process(cls, max_memory_mb: float) -> "PrefixBudget":
        """Return the budget of a process on a VM.

        :param max_memory_mb: memory of the VM, MB (10**6 bytes).
        """
        limit_bytes = max_memory_mb * 1e6 * defaults.PREFIX_MEMORY_FRACTION
        return cls(int(limit_bytes) // defaults.PREFIX_ENTRY_BYTES)

    @classmethod
    def of_smallest_vm(cls) -> "PrefixBudget":
        """Return the budget of a process whose settings name no memory."""
        return cls.of_process(defaults.MAX_MEMORY_MB)

    def add(self, cache: "PrefixCache") -> None:
        """Include an estimate."""
        self._caches[cache] = None

    def remove(self, cache: "PrefixCache") -> None:
        """Exclude the estimate of a target that is gone."""
        self._caches.pop(cache, None)

    def enforce(self) -> None:
        """Evict from the largest estimates until the limit holds."""
        while self.used > self.limit:
            largest = max(self._caches, key=len)
            # More than needed, so that not each new part needs a search.
            largest.evict(1 + len(largest) // 64)


@attrs.define(eq=False, repr=False)
class PrefixCache:
    """Estimate of the prompt parts in a target's prefix cache.

    The least recently used parts are evicted first, as in the target. Calls of
    other routers are included as far as peers reported them. Parts count by their
    tokens, as in the target, and by their number, since each takes memory here.
    """

    _budget: PrefixBudget = attrs.Factory(PrefixBudget.of_smallest_vm)
    _parts: collections.OrderedDict[str, int] = attrs.Factory(collections.OrderedDict)
    _size: float = 0.0

    def __attrs_post_init__(self) -> None:
        self._budget.add(self)

    def __len__(self) -> int:
        return len(self._parts)

    def uncached_tokens(self, prompt: Prompt) -> int:
        """Return the tokens of a prompt that are not cached.

        A part counts as cached only if all parts before it are cached too.
        """
        return max(0, prompt.tokens - self.cached_prefix(prompt.parts)[0])

    def cached_prefix(self, parts: t.Iterable[PromptPart]) -> tuple[int, bool]:
        """Return the cached tokens of leading parts, and whether all are cached."""
        cached = 0
        for part in parts:
            if part.id not in self._parts:
                return cached, False
            cached += part.tokens
        return cached, True

    def has(self, part_id: str) -> bool:
        """Return whether a part is cached."""
        return part_id in self._parts

    def add(self, part_id: str, tokens: int) -> None:
        """Add a part, or mark it as the most recently used."""
        self.add_all(((part_id, tokens),))

    def add_all(self, parts: t.Iterable[tuple[str, int]]) -> None:
        """Add parts, given as identifier and tokens, as :meth:`add` does."""
        cached = self._parts
        before = len(cached)
        size = self._size
        for part_id, tokens in parts:
            size += tokens - cached.pop(part_id, 0)
            cached[part_id] = tokens
        self._size = size
        self._budget.used += len(cached) - before
        self._budget.enforce()

    def shrink(self, capacity: float) -> None:
        """Evict the least recently used parts until the rest fits.

        :param capacity: tokens that the target's cache holds.
        """
        while self._size > capacity and self._parts:
            self.evict(1)

    def evict(self, count: int) -> None:
        """Evict the least recently used parts.

        :param count: how many, at most as many as there are.
        """
        for _ in range(count):
            _, tokens = self._parts.popitem(last=False)
            self._size -= tokens
        self._budget.used -= count

    def close(self) -> None:
        """Remove all parts, and leave the budget."""
        self.evict(len(self._parts))
        self._budget.remove(self)
        # Calls in progress may still add their parts.
        self._budget = PrefixBudget(self._budget.limit)
        self._budget.add(self)


@attrs.define(eq=False)
class InFlightCall:
    """A call sent to a target whose response is not complete.

    :param uncached_tokens: tokens of the call's own prompt that were not cached.
    :param tokens_ahead: prompt tokens that the target had to prefill before the
        call's first event, its own included.
    :param is_prefill_ended: whether its prefill no longer counts as pending.
    :param expected_events: expected output of a stream, ``None`` without evidence.
    :param expected_work_ms: expected time of a call without a prompt, ms, at the
        service's usual speed, likewise.
    :param left_events: events that it is expected to have yet.
    :param events: events of its stream so far.
    :param is_timely: whether its first event was seen without delay by this process.
    :param is_whole: whether it was answered in full.
    :param is_resumed: whether its stream began at another target.
    :param cost_ratio: its actual cost by the expected one, set at its end.
    """

    call: Call
    uncached_tokens: float
    tokens_ahead: float
    sent_ms: float
    is_prefill_ended: bool = False
    expected_events: float | None = None
    expected_work_ms: float | None = None
    left_events: float = 0.0
    events: int = 0
    is_timely: bool = True
    is_whole: bool = False
    is_resumed: bool = False
    cost_ratio: float | None = None

    @property
    def cost_kind(self) -> str:
        """What its cost is counted in: ``output`` events or ``work`` time."""
        return "work" if self.call.prompt is None else "output"

    def sent_fields(self) -> dict[str, t.Any]:
        """Return what its prompt and its expected cost were when sent, for the log."""
        return {
            "unread": round(self.uncached_tokens),
            "ahead": round(self.tokens_ahead),
            **self._expected_fields(),
        }

    def cost_fields(self) -> dict[str, t.Any]:
        """Return what it was expected to cost and its events so far, for the log."""
        return {"events": self.events, **self._expected_fields()}

    def _expected_fields(self) -> dict[str, t.Any]:
        fields: dict[str, t.Any] = {}
        if self.expected_events is not None:
            fields["expected_events"] = round(self.expected_events, 1)
        if self.expected_work_ms is not None:
            fields["expected_ms"] = round(self.expected_work_ms, 1)
        return fields


@attrs.define(eq=False)
class TargetLoad:
    """A target with its load, its health and an estimate of its prefix cache.

    :param speed: its prefill rate as measured by all routers, used where costs are
        learned.
    :param own_rate: its prefill rate as smoothed by this router, tokens per ms.
    :param limit: rate limit that the target names, ``None`` if it names none.
    :param limit_seen_ms: monotonic time of the newest response that told it.
    :param has_said_leaving: whether it has said in a response that it leaves.
    :param pause: time for which it wants no requests from this router.
    :param stream_pauses: pauses between the events of its streams.
    :param warmup: whether it is cold, and the pace of requests to it then.
    :param costs: expected costs of the service's calls.
    :param work_speed: speed for calls without prompts, relative to the service's.
    :param step: what one running request costs its engine.
    :param is_evacuated: whether the operator has evacuated its availability zone.
    """

    target: Target
    engine: EngineLimits | None = None
    health: TargetHealth = attrs.Factory(TargetHealth)
    own: LoadCounts = attrs.Factory(LoadCounts)
    cache: PrefixCache = attrs.Factory(PrefixCache)
    speed: PrefillRate = attrs.Factory(PrefillRate)
    own_rate: float = defaults.INITIAL_PREFILL_RATE
    limit: RateLimit | None = None
    limit_seen_ms: float = -math.inf
    has_said_leaving: bool = False
    pause: PauseRamp = attrs.Factory(PauseRamp)
    stream_pauses: StreamPauses = attrs.Factory(StreamPauses)
    warmup: Warmup = attrs.Factory(Warmup)
    is_evacuated: bool = False
    costs: CostModel = attrs.Factory(CostModel)
    work_speed: PrefillRate = attrs.Factory(make_work_speed)
    step: StepCost = attrs.Factory(StepCost)
    # Smoothed length of the prompts sent there under a rate limit, tokens.
    _mean_tokens: float = 0.0
    _peers: dict[str, LoadCounts] = attrs.Factory(dict)
    # Maintained incrementally, since each comparison of targets reads it.
    _peer_total: LoadCounts = attrs.Factory(LoadCounts)

    @property
    def prefill_rate(self) -> float:
        """Estimated prefill rate, prompt tokens per ms."""
        return self.speed.value if self.costs.is_enabled else self.own_rate

    @property
    def prefill_tokens(self) -> float:
        """Uncached prompt tokens sent by all routers whose prefill is pending."""
        return self.own.prefill_tokens + self._peer_total.prefill_tokens

    @property
    def running(self) -> int:
        """Requests of all routers whose response is not complete."""
        return self.own.running + self._peer_total.running

    @property
    def reserved_tokens(self) -> float:
        """Tokens of the target's memory reserved for requests of all routers."""
        return self.own.reserved_tokens + self._peer_total.reserved_tokens

    @property
    def is_closed(self) -> bool:
        """Whether it gets no calls for as long as is known."""
        return self.is_leaving or self.is_evacuated

    @property
    def is_leaving(self) -> bool:
        """Whether it leaves, by its registration or by its own word."""
        return self.has_said_leaving or self.target.state is TargetState.LEAVING

    def pause_left_ms(self, now_ms: float) -> float:
        """Return for how long the target wants no requests, zero if it wants some."""
        return self.pause.left_ms(now_ms)

    def unavailable_ms(self, now_ms: float) -> float:
        """Return the time until this router may send a request to the target.

        That is after a pause, and while it is cold at the pace of this router.
        """
        return max(self.pause.left_ms(now_ms), self.warmup.wait_ms(now_ms))

    def is_usable(self, now_ms: float) -> bool:
        """Return whether the target may receive calls now."""
        return not (
            self.is_closed
            or self.health.is_ejected(now_ms)
            or self.unavailable_ms(now_ms)
        )

    def capacity_fraction(self, now_ms: float) -> float:
        """Return the fraction of its usual capacity that should be used, 0 to 1."""
        return min(self.health.capacity_fraction(now_ms), self.pause.fraction(now_ms))

    def usable_slots(self, now_ms: float) -> float:
        """Return how many requests its engine may run at once."""
        if self.engine is None:
            return float(self.target.slots)
        engine = self.engine
        return engine.slots * self.stream_pauses.slot_fraction(
            engine.slots, engine.longest_pause_ms, now_ms
        )

    @property
    def busy_ms(self) -> float:
        """Pending prefill time plus the weighted time of what it has to generate, ms.

        Requests whose output is not known count by a constant.
        """
        prefill_ms = self.prefill_tokens / self.prefill_rate
        if not self.step.event_ms:
            return prefill_ms + self.running * defaults.RUNNING_PENALTY_MS
        unknown = max(0, self.running - self.own.forecast - self._peer_total.forecast)
        return (
            prefill_ms
            + unknown * defaults.RUNNING_PENALTY_MS
            + self.generation_ms * defaults.GENERATION_WEIGHT
        )

    @property
    def generation_ms(self) -> float:
        """Time to generate what running streams are expected to have yet, ms."""
        events = self.own.remaining_events + self._peer_total.remaining_events
        return events * self.step.event_ms

    @property
    def remaining_work_ms(self) -> float:
        """Expected time of running calls without prompts, ms, at the usual speed."""
        own, peers = self.own, self._peer_total
        unknown = max(0, self.running - own.forecast - peers.forecast)
        return (
            own.remaining_work_ms
            + peers.remaining_work_ms
            + unknown * self.costs.mean_work_ms
        )

    @property
    def remaining_ms(self) -> float:
        """Expected time of all that it has to do for calls that it has, ms."""
        prefill_ms = self.prefill_tokens / self.prefill_rate
        if self.engine is not None:
            return prefill_ms + self.generation_ms
        return self.remaining_work_ms / (
            self.work_speed.value * max(1, self.target.slots)
        )

    def log_fields(self) -> dict[str, t.Any]:
        """Return its load and speed, for the log."""
        return {
            "running": self.running,
            "rate": round(self.prefill_rate, 1),
            "remaining_ms": round(self.remaining_ms),
            "event_ms": round(self.step.event_ms, 2),
            "speed": round(self.work_speed.value, 2),
        }

    def note_limit(self, limit: float | None, seen_ms: float) -> bool:
        """Record the rate limit that a response named; return whether it is another.

        :param limit: requests a second, ``None`` if the response names none.
        :param seen_ms: monotonic time of the response.
        """
        if seen_ms < self.limit_seen_ms:
            return False
        self.limit_seen_ms = seen_ms
        if limit is None:
            was_limited = self.limit is not None
            self.limit = None
            return was_limited
        if self.limit is None:
            self.limit = RateLimit(limit)
            return True
        is_other = self.limit.limit != limit
        self.limit.limit = limit
        return is_other

    def limit_wait_ms(self, now_ms: float, reserve: float = 0.0) -> float:
        """Return the time until the target's rate limit allows a call.

        :param reserve: part of this router's savings to leave to other calls, 0 to 1.
        """
        return 0.0 if self.limit is None else self.limit.wait_ms(now_ms, reserve)

    @property
    def usable_prefill_rate(self) -> float:
        """Prefill rate that calls can use under the rate limit, tokens per ms."""
        if self.limit is None or not self._mean_tokens:
            return self.prefill_rate
        return min(self.prefill_rate, self.limit.limit / 1000 * self._mean_tokens)

    def set_peer(self, name: str, counts: "LoadCounts | TargetReport") -> None:
        """Replace the load reported by a peer."""
        known = self._peers.get(name)
        if known is None:
            known = self._peers[name] = LoadCounts()
        total = self._peer_total
        prefill_tokens = counts.prefill_tokens
        total.prefill_tokens += prefill_tokens - known.prefill_tokens
        known.prefill_tokens = prefill_tokens
        running = counts.running
        total.running += running - known.running
        known.running = running
        reserved_tokens = counts.reserved_tokens
        total.reserved_tokens += reserved_tokens - known.reserved_tokens
        known.reserved_tokens = reserved_tokens
        remaining_events = counts.remaining_events
        total.remaining_events += remaining_events - known.remaining_events
        known.remaining_events = remaining_events
        remaining_work_ms = counts.remaining_work_ms
        total.remaining_work_ms += remaining_work_ms - known.remaining_work_ms
        known.remaining_work_ms = remaining_work_ms
        forecast = counts.forecast
        total.forecast += forecast - known.forecast
        known.forecast = forecast

    def drop_peer(self, name: str) -> None:
        """Discard the load reported by a peer."""
        if name in self._peers:
            self.set_peer(name, LoadCounts())
            del self._peers[name]
        self.speed.drop_peer(name)
        self.work_speed.drop_peer(name)

    def uncached_tokens(self, call: Call) -> float:
        """Return the prompt tokens of a call that the target has not cached."""
        return float(self.cache.uncached_tokens(call.prompt)) if call.prompt else 0.0

    def expected_first_event_ms(self, call: Call) -> float:
        """Return the expected time from sending a call to its first event."""
        ahead = self.prefill_tokens + self.uncached_tokens(call)
        return ahead / self.prefill_rate + defaults.FIRST_EVENT_MS

    def begin(self, call: Call, now_ms: float) -> InFlightCall:
        """Record that a call is sent to the target."""
        self.warmup.spend(now_ms)
        if self.limit is not None:
            self.limit.spend(now_ms)
            if call.prompt is not None:
                if not self._mean_tokens:
                    self._mean_tokens = float(call.prompt.tokens)
                self._mean_tokens += defaults.MEAN_TOKENS_SMOOTHING * (
                    call.prompt.tokens - self._mean_tokens
                )
        uncached = self.uncached_tokens(call)
        in_flight = InFlightCall(call, uncached, self.prefill_tokens + uncached, now_ms)
        self.own.running += 1
        if call.prompt is not None:
            self.own.prefill_tokens += uncached
            self.own.reserved_tokens += call.prompt.tokens + call.prompt.output_tokens
            self.note_parts(call.prompt.parts)
        self._forecast(in_flight)
        return in_flight

    def _forecast(self, in_flight: InFlightCall) -> None:
        """Add the expected cost of a call to what the target has to do."""
        call = in_flight.call
        in_flight.is_resumed = call.is_begun
        if call.prompt is None:
            work_ms = in_flight.expected_work_ms = self.costs.expected_work_ms(call)
            if work_ms is not None:
                self.own.remaining_work_ms += work_ms
                self.own.forecast += 1
        elif call.route.is_stream:
            events = in_flight.expected_events = self.costs.expected_output(call)
            if events is not None:
                self.own.forecast += 1
                in_flight.left_events = events
                self.own.remaining_events += events

    def note_events(
        self,
        in_flight: InFlightCall,
        count: int,
        last_ms: float,
        now_ms: float,
        lag_ms: float = 0.0,
    ) -> None:
        """Record events of a stream.

        :param last_ms: when the events before them came, zero if there were none.
        :param lag_ms: how late this process sees events. A process that lags would
            take its own pauses for the engine's.
        """
        if last_ms and lag_ms <= defaults.FIRST_EVENT_MS:
            self.stream_pauses.note(now_ms - last_ms, self.running, now_ms)
        in_flight.events += count
        expected = in_flight.expected_events
        if expected is not None:
            least = expected * defaults.COST_OVERRUN_FRACTION
            self._set_left_events(in_flight, max(least, expected - in_flight.events))

    def _set_left_events(self, in_flight: InFlightCall, left: float) -> None:
        change = left - in_flight.left_events
        in_flight.left_events = left
        self.own.remaining_events = max(0.0, self.own.remaining_events + change)

    def note_parts(self, parts: t.Iterable[PromptPart]) -> None:
        """Add prompt parts to the cache estimate after a router sent them."""
        self.note_reported_parts((part.id, part.tokens) for part in parts)

    def note_reported_parts(self, parts: t.Iterable[tuple[str, int]]) -> None:
        """Do as :meth:`note_parts`, for pairs of identifier and tokens."""
        self.cache.add_all(parts)
        self._shrink_cache()

    def _shrink_cache(self) -> None:
        if self.engine is not None:
            # Running requests need no deduction from the capacity: their parts are
            # the most recently used ones, and so are included in it.
            self.cache.shrink(self.engine.memory_tokens * defaults.CACHE_FRACTION)

    def note_first_event(
        self, in_flight: InFlightCall, now_ms: float, lag_ms: float = 0.0
    ) -> None:
        """Record the end of a call's prefill, and update the prefill rate.

        :param lag_ms: how late this process sees events. A process that lags would
            take its own delay for the engine's and send it less than others do.
        """
        if in_flight.is_prefill_ended:
            return
        in_flight.is_prefill_ended = True
        self.own.prefill_tokens = max(
            0.0, self.own.prefill_tokens - in_flight.uncached_tokens
        )
        took_ms = now_ms - in_flight.sent_ms - defaults.FIRST_EVENT_MS
        # Short times are mostly engine steps and network round trips, and give no
        # usable rate.
        in_flight.is_timely = lag_ms <= defaults.FIRST_EVENT_MS
        is_timely = in_flight.is_timely and took_ms > defaults.FIRST_EVENT_MS
        if is_timely and in_flight.tokens_ahead > 0:
            if self.costs.is_enabled:
                self.speed.note(in_flight.tokens_ahead, took_ms, now_ms)
            low, high = defaults.PREFILL_RATE_RANGE
            rate = min(high, max(low, in_flight.tokens_ahead / took_ms))
            self.own_rate += defaults.PREFILL_RATE_SMOOTHING * (rate - self.own_rate)

    def end(self, in_flight: InFlightCall, now_ms: float | None = None) -> None:
        """Record that a call has ended, complete or not.

        :param now_ms: time of the end; without it, nothing is learned of its cost.
        """
        if now_ms is not None and in_flight.is_whole and in_flight.is_prefill_ended:
            self._note_cost(in_flight, now_ms)
        self._set_left_events(in_flight, 0.0)
        if in_flight.expected_work_ms is not None:
            self.own.remaining_work_ms = max(
                0.0, self.own.remaining_work_ms - in_flight.expected_work_ms
            )
        if (in_flight.expected_work_ms, in_flight.expected_events) != (None, None):
            self.own.forecast = max(0, self.own.forecast - 1)
        if not in_flight.is_prefill_ended:
            in_flight.is_prefill_ended = True
            self.own.prefill_tokens = max(
                0.0, self.own.prefill_tokens - in_flight.uncached_tokens
            )
        self.own.running = max(0, self.own.running - 1)
        if in_flight.call.prompt is not None:
            prompt = in_flight.call.prompt
            reserved = prompt.tokens + prompt.output_tokens
            self.own.reserved_tokens = max(0.0, self.own.reserved_tokens - reserved)

    def _note_cost(self, in_flight: InFlightCall, now_ms: float) -> None:
        """Learn the cost of a call that was answered in full."""
        call = in_flight.call
        if call.prompt is None:
            took_ms = now_ms - in_flight.sent_ms
            if in_flight.expected_work_ms:
                in_flight.cost_ratio = took_ms / in_flight.expected_work_ms
            if in_flight.is_timely:
                self.costs.note_plain_end(call, self, took_ms, now_ms)
        elif call.route.is_stream and in_flight.events and not in_flight.is_resumed:
            # A resumed stream has only part of its events here.
            if in_flight.expected_events:
                in_flight.cost_ratio = in_flight.events / in_flight.expected_events
            self.costs.note_stream_end(call, in_flight.events, now_ms)
