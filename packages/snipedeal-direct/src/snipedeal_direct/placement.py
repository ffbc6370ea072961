"""Choose the target of a call among those that may receive it.

This module performs no I/O and reads no clock. The queue decides which calls go first
and how much of a target each may use; see :class:`Claim`.
"""

import functools
import math
import typing as t

import attrs

from snipedeal.utils import stable_hash
from snipedeal_direct import defaults
from snipedeal_direct.load import TargetLoad
from snipedeal_direct.model import Call
from snipedeal_direct.model import Prompt
from snipedeal_direct.shares import Tier


@attrs.frozen
class Claim:
    """How much of a target a call may use, by its customer's share.

    :param headroom: factor by which it may exceed a target's usual limits.
    :param is_deferred: whether it must yield to a customer that was served much less.
    """

    tier: Tier
    headroom: float = 1.0
    is_deferred: bool = False


@attrs.frozen
class Surroundings:
    """What the choice of a target depends on besides the call and the targets.

    :param zone: the router's availability zone.
    :param mean_tokens: smoothed length of a prompt, tokens.
    :param prefill_rate: mean prefill rate of the service's targets, tokens per ms.
    """

    zone: str
    mean_tokens: float
    prefill_rate: float


@attrs.define(eq=False)
class TargetView:
    """A usable target in one dispatch; computed once for all calls that are looked at.

    :param fraction: fraction of the target's usual capacity to use.
    :param slots: requests that the target runs at once.
    :param usable_slots: requests that it should run at once.
    """

    load: TargetLoad
    fraction: float
    slots: int
    usable_slots: float
    busy_ms: float = 0.0
    running: int = 0
    prefill_tokens: float = 0.0
    prefill_rate: float = defaults.INITIAL_PREFILL_RATE
    # Cost of one event of a new stream, ms; zero without evidence.
    event_ms: float = 0.0
    # Work that one slot has, at the target's speed, and a factor for that of a call;
    # both as parts of a usual call. ``None`` without evidence.
    work: tuple[float, float] | None = None
    # Cached tokens of the parts that prompts share, and whether all are cached.
    _shared: dict[tuple[str, ...], tuple[int, bool]] = attrs.Factory(dict)

    def update(self) -> None:
        """Read the target's load again after a call was assigned to it."""
        self.busy_ms = self.load.busy_ms
        self.running = self.load.running
        self.prefill_tokens = self.load.prefill_tokens
        self.prefill_rate = self.load.prefill_rate
        self.event_ms = self.load.step.event_ms * defaults.GENERATION_WEIGHT
        costs = self.load.costs
        if self.load.engine is None and costs.has_work_evidence:
            factor = 1.0 / (
                costs.mean_work_ms * self.load.work_speed.value * max(1, self.slots)
            )
            self.work = (self.load.remaining_work_ms * factor, factor)
        self._shared.clear()

    def uncached_tokens(self, prompt: Prompt) -> int:
        """Return the tokens of a prompt that the target has not cached."""
        cache = self.load.cache
        cached, has_all = self._cached_shared(prompt)
        if has_all and prompt.parts and cache.has(prompt.parts[-1].id):
            cached += prompt.parts[-1].tokens
        return max(0, prompt.tokens - cached)

    def uncached_shared_tokens(self, prompt: Prompt) -> int:
        """Return the tokens of parts that other prompts share and it has not cached."""
        return prompt.shared_tokens - self._cached_shared(prompt)[0]

    def _cached_shared(self, prompt: Prompt) -> tuple[int, bool]:
        found = self._shared.get(prompt.shared_ids)
        if found is None:
            cache = self.load.cache
            found = self._shared[prompt.shared_ids] = cache.cached_prefix(
                prompt.parts[:-1]
            )
        return found


def make_view(load: TargetLoad, now_ms: float) -> TargetView:
    """Return the view of a usable target for one dispatch."""
    slots = load.engine.slots if load.engine else load.target.slots
    view = TargetView(
        load, load.capacity_fraction(now_ms), slots, load.usable_slots(now_ms)
    )
    view.update()
    return view


def choose(
    call: Call,
    claim: Claim,
    views: t.Sequence[TargetView],
    surroundings: Surroundings,
    now_ms: float,
) -> TargetView | None:
    """Return the target to send a call to, ``None`` if it should wait.

    Targets are compared by expected wait and prefill time. Uncached tokens weigh
    more than their prefill time, since computing them again wastes capacity. If
    the best target is full, the call stays queued and is scored again at the
    next dispatch. If its rate limit does not allow the call yet, a long prompt
    waits as long as it can be in time; others go to another target.

    :param views: the usable targets.
    """
    open_views = [
        view
        for view in views
        if view.load.target.id not in call.tried
        and (view.load.limit is None or view.load.limit.rate > 0)
        # A cold target that got a call in this dispatch gets no other.
        and not view.load.unavailable_ms(now_ms)
    ]
    if not open_views:
        return None
    if call.prompt is None:
        admitting = [view for view in open_views if not view.load.limit_wait_ms(now_ms)]
        return choose_least_loaded(call, claim, admitting, surroundings.zone, now_ms)
    prompt, affinity = call.prompt, call.prompt.affinity
    output = open_views[0].load.costs.expected_output(call) or 0.0
    has_capacity = engine_check(call, claim)
    if all(view.load.limit is None for view in open_views):
        reserve = unlimited_cost_ms = 0.0
    else:
        loads = [view.load for view in open_views]
        reserve = _limit_reserve(prompt, loads, surroundings.mean_tokens)
        unlimited_cost_ms = _unlimited_cost_ms(prompt, loads, surroundings.mean_tokens)

    def is_open(view: TargetView) -> bool:
        return not view.load.limit_wait_ms(now_ms, reserve) and has_capacity(view)

    token_weight, repeated_token_ms = defaults.UNCACHED_TOKEN_WEIGHT, 0.0
    if open_views[0].load.costs.is_enabled:
        # What is read again costs the same everywhere, the rest its time at the target.
        token_weight = 1.0
        repeated_token_ms = defaults.REPEATED_TOKEN_WEIGHT / surroundings.prefill_rate

    # Cheaper than the scores, and the usual case with many calls in the queue.
    if not any(map(is_open, open_views)):
        return None

    def score(view: TargetView) -> float:
        """Return the cost of a target, ms; lower is better."""
        load = view.load
        uncached = view.uncached_tokens(prompt)
        repeated = 0
        if repeated_token_ms:
            repeated = min(uncached, view.uncached_shared_tokens(prompt))
        # Rendezvous hashing: all routers prefer the same target for a prompt part.
        weight = _rendezvous_weight(affinity, load.target.id)
        return (
            view.busy_ms
            + output * view.event_ms
            + token_weight * uncached / view.prefill_rate
            + repeated * repeated_token_ms
            + weight * defaults.AFFINITY_WEIGHT_MS
            + (
                unlimited_cost_ms
                if load.limit is None
                else load.limit_wait_ms(now_ms, reserve)
            )
        )

    best = min(open_views, key=score)
    wait_ms = best.load.limit_wait_ms(now_ms, reserve)
    if not wait_ms:
        return best if is_open(best) else None
    start_ms = now_ms + wait_ms + best.load.expected_first_event_ms(call)
    if not reserve and start_ms <= call.latency_deadline_ms:
        return None
    return min(filter(is_open, open_views), key=score, default=None)


def _unlimited_cost_ms(
    prompt: Prompt, loads: t.Sequence[TargetLoad], mean_tokens: float
) -> float:
    """Return the cost of a long prompt at targets without a rate limit, ms.

    While others name one, they are the only ones that can take many short prompts.
    """
    if all(load.limit is None for load in loads):
        return 0.0
    size = prompt.tokens / max(1.0, mean_tokens)
    return defaults.UNLIMITED_WEIGHT_MS * max(0.0, size - 1.0)


def _limit_reserve(
    prompt: Prompt, loads: t.Sequence[TargetLoad], mean_tokens: float
) -> float:
    """Return how much of a rate limit a prompt leaves to longer ones, 0 to 1.

    A rate limit counts requests of any size, so the targets that name one relieve
    the others most if they get the longest prompts. Without others, all prompts
    have the same claim.
    """
    if all(load.limit is not None for load in loads):
        return 0.0
    return max(0.0, 1.0 - prompt.tokens / max(1.0, mean_tokens))


def has_free_capacity(load: TargetLoad, now_ms: float) -> bool:
    """Return whether a target may have capacity for some call."""
    most = 1.0 + defaults.SHORTFALL_HEADROOM
    if load.engine is None:
        limit = load.target.slots * defaults.PLAIN_REQUESTS_PER_SLOT * most
        return load.running < max(1.0, limit)
    backlog_ms = defaults.ENGINE_BACKLOG_MS * most
    return (
        load.running < max(1.0, load.usable_slots(now_ms) * most)
        and load.prefill_tokens <= backlog_ms * load.prefill_rate
    )


def has_room(call: Call, claim: Claim, views: t.Iterable[TargetView]) -> bool:
    """Return whether a target has room for any call like this one."""
    return any(map(engine_check(call, claim, is_any_size=True), views))


def engine_check(
    call: Call, claim: Claim, *, is_any_size: bool = False
) -> t.Callable[[TargetView], bool]:
    """Return a check whether slots, pending prefill and memory allow a call.

    Higher tiers may fill a smaller fraction of a target's usual limits, so that
    capacity remains for calls of lower tiers that may arrive next.

    :param is_any_size: leave the length of the call's own prompt out.
    """
    usable = claim.headroom * defaults.TIER_CAPACITY_FRACTIONS[claim.tier]
    is_beyond = claim.tier is Tier.BEYOND_SHARES
    tokens = call.prompt.tokens + call.prompt.output_tokens if call.prompt else 0

    def has_capacity(view: TargetView) -> bool:
        fraction = view.fraction * usable
        if fraction <= 0:
            return False
        running = view.running
        if running >= max(1.0, view.usable_slots * fraction):
            return False
        if running == 0:
            return True
        load = view.load
        pending_tokens = view.prefill_tokens
        # Pending prefill counts as all slots in use: the engine is not idle.
        used = running / view.slots if pending_tokens <= 0 else 1.0
        if is_beyond and used >= defaults.IDLE_SLOT_FRACTION:
            if claim.is_deferred and used >= defaults.DEFERRAL_SLOT_FRACTION:
                return False
            if not is_any_size:
                # The call's own prefill would delay the next call as well.
                pending_tokens += load.uncached_tokens(call)
        backlog_ms = defaults.ENGINE_BACKLOG_MS * fraction
        if pending_tokens > backlog_ms * view.prefill_rate:
            return False
        if is_any_size:
            return True
        engine = load.engine
        memory = engine.memory_tokens * defaults.MEMORY_FRACTION if engine else 0.0
        return not memory or load.reserved_tokens + tokens <= memory

    return has_capacity


def choose_least_loaded(
    call: Call,
    claim: Claim,
    views: t.Sequence[TargetView],
    zone: str,
    now_ms: float,
) -> TargetView | None:
    """Return the least loaded target with a free slot, for a call without prompt.

    The load is the time until the target would have done its calls and this one,
    relative to that of a usual call for each slot. Without evidence of these times, it
    is the fraction of slots in use. A target's share of failed answers is added to its
    load. Among targets whose sums are equal when rounded to a tenth, the router's own
    zone is preferred.
    """

    def is_free(view: TargetView) -> bool:
        limit = view.load.target.slots * defaults.PLAIN_REQUESTS_PER_SLOT
        limit *= view.fraction
        # Part of a slot is no headroom: the target would queue the call.
        return view.running < max(1.0, limit, math.floor(limit * claim.headroom))

    free = [view for view in views if is_free(view)]
    if not free:
        return None
    work_ms = free[0].load.costs.expected_work_ms(call)

    def score(view: TargetView) -> tuple[float, bool, int]:
        load = view.load
        if view.work is None or work_ms is None:
            used = load.running / max(1, load.target.slots)
        else:
            queued, factor = view.work
            used = queued + work_ms * factor
        failing = load.health.failure_share(now_ms)
        # The hash keeps routers with the same view from all choosing one target.
        tie = stable_hash(call.id, load.target.id)
        return round(used + failing, 1), load.target.zone != zone, tie

    return min(free, key=score)


@functools.lru_cache(maxsize=defaults.RENDEZVOUS_CACHE_ENTRIES)
def _rendezvous_weight(affinity: str, target_id: str) -> float:
    """Return the rendezvous hash of a prompt part and a target, 0 to 1."""
    return stable_hash(affinity, target_id) / 2.0**64
