"""Queue calls, choose their targets and refuse those that can't be served in time.

This module performs no I/O and reads no clock. Engines admit requests in order of
arrival, so a call can't be reordered once an engine has it. Calls therefore wait
at the routers, and a target gets no more than it can start soon.
"""

import bisect
import itertools
import math
import typing as t

import attrs

from snipedeal.limits import divide_limits
from snipedeal.utils import stable_hash
from snipedeal_direct import defaults
from snipedeal_direct.accounting import CustomerAccounts
from snipedeal_direct.costs import CostModel
from snipedeal_direct.load import InFlightCall
from snipedeal_direct.load import PrefixBudget
from snipedeal_direct.load import PrefixCache
from snipedeal_direct.load import TargetLoad
from snipedeal_direct.model import Call
from snipedeal_direct.model import EngineLimits
from snipedeal_direct.model import Target
from snipedeal_direct.placement import Claim
from snipedeal_direct.placement import Surroundings
from snipedeal_direct.placement import TargetView
from snipedeal_direct.placement import choose
from snipedeal_direct.placement import has_free_capacity
from snipedeal_direct.placement import has_room
from snipedeal_direct.placement import make_view
from snipedeal_direct.shares import FULL_SHARE_STAGE
from snipedeal_direct.shares import NO_UNDERSERVED_STAGE
from snipedeal_direct.shares import Shares
from snipedeal_direct.shares import Tier
from snipedeal_direct.speeds import update_rates
from snipedeal_direct.warmup import ColdTerms
from snipedeal_direct.warmup import is_sender


@attrs.frozen
class Refusal:
    """Why a call gets no target, and the response to it if it has not run.

    :param status: HTTP status code.
    :param reason: machine-readable cause.
    :param retry_after_s: seconds after which a retry may succeed.
    :param is_for_load: whether there was too little capacity; the customer is then
        underserved.
    :param detail: what the log line adds to the reason.
    """

    status: int
    reason: str
    retry_after_s: float
    is_for_load: bool = True
    detail: str = ""


class RefusedError(Exception):
    """Raised when a call gets no target; earlier attempts may have run.

    :param refusal: the reason, and the delay before a retry.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


@attrs.define(eq=False)
class QueuedCall:
    """A call in the queue.

    :param first_event_ms: expected time from start to first event at the target that
        has most of the prompt cached, estimated when the call was queued.
    :param latest_start_ms: latest start that still meets the latency target.
    :param queued_ms: time at which it was queued.
    """

    call: Call
    first_event_ms: float
    latest_start_ms: float
    queued_ms: float


@attrs.frozen(eq=False)
class Dispatched:
    """A call assigned to a target."""

    call: Call
    load: TargetLoad
    in_flight: InFlightCall


@attrs.frozen(eq=False)
class _Outlook:
    """What a new call finds, as of one moment.

    With dozens of targets and peers it takes longer to compute than all else that an
    arrival needs, so that arrivals within ``OUTLOOK_MS`` share one.

    :param usable: targets that may receive calls.
    :param rate: prefill rate of these together, tokens per ms.
    :param prefill_ms: shortest time until one of these has no pending prefill.
    :param peer_tokens: prompt tokens queued at all peers, by slack class.
    :param keys: sort keys of this router's queued calls, in order.
    :param tokens_before: prompt tokens of the calls before each position in ``keys``.
    :param count: number of these calls; those behind them were queued since.
    """

    made_ms: float
    usable: list[TargetLoad]
    rate: float
    prefill_ms: float
    peer_tokens: list[float]
    keys: list[tuple[Tier, bool, int, float]]
    tokens_before: list[float]
    count: int


@attrs.define(eq=False, repr=False)
class ServiceQueue:
    """The queued calls of one service, and its targets.

    :param zone: the router's availability zone.
    :param peers_queued_tokens: queued prompt tokens by slack class, for each peer.
    :param peers_underserved_stage: lowest stage of an underserved customer, for each
        peer.
    :param prefix_budget: bounds the estimates of the targets' prefix caches.
    """

    service: str
    zone: str
    shares: Shares
    engine: EngineLimits | None = None
    cold_terms: ColdTerms | None = None
    targets: dict[str, TargetLoad] = attrs.Factory(dict)
    waiting: list[QueuedCall] = attrs.Factory(list)
    accounts: CustomerAccounts = attrs.Factory(CustomerAccounts)
    costs: CostModel = attrs.Factory(lambda: CostModel(is_enabled=False))
    peers_queued_tokens: dict[str, list[int]] = attrs.Factory(dict)
    peers_underserved_stage: dict[str, int] = attrs.Factory(dict)
    prefix_budget: PrefixBudget = attrs.Factory(PrefixBudget.of_smallest_vm)
    # Smoothed length of a prompt, tokens.
    _mean_tokens: float = 0.0
    _last_refused_ms: dict[str, float] = attrs.Factory(dict)
    # Stage above which calls are deferred; computed once in a dispatch.
    _deferral_stage: float | None = None
    _surroundings: Surroundings | None = None
    _outlook: _Outlook | None = None

    # -- targets ---------------------------------------------------------------

    def set_engine(self, engine: EngineLimits | None) -> None:
        """Set the limits of the service's engines."""
        self.engine = engine
        self.note_change()
        for load in self.targets.values():
            load.engine = engine

    def set_cold_terms(self, terms: ColdTerms | None) -> None:
        """Set what the service's targets bear while they are cold."""
        self.cold_terms = terms
        for load in self.targets.values():
            load.warmup.terms = terms

    def update_senders(
        self, own_name: str, routers: t.Collection[str], now_ms: float
    ) -> None:
        """Determine to which cold targets this router sends.

        :param routers: names of all routers that are registered; empty if they are not
            known yet, so that this router sends to none.
        """
        if self.cold_terms is None:
            return
        for load in self.targets.values():
            if load.warmup.is_cold(now_ms) or load.warmup.is_lost:
                instance = load.target.instance
                load.warmup.is_sender = is_sender(
                    own_name, instance, routers, self.cold_terms
                )

    def set_target(self, target: Target) -> bool:
        """Add or update a target; return whether it is a new instance."""
        self.note_change()
        known = self.targets.get(target.id)
        if known is not None and _is_same_instance(known.target, target):
            known.target = target
            return False
        if known is not None:
            known.cache.close()
        load = TargetLoad(target, self.engine, cache=PrefixCache(self.prefix_budget))
        if self.targets:
            load.speed.usual = load.own_rate = self._mean_prefill_rate()
        load.warmup.terms = self.cold_terms
        load.costs = self.costs
        self.targets[target.id] = load
        return True

    def remove_target(self, target_id: str) -> None:
        """Remove a target that is no longer registered."""
        self.note_change()
        load = self.targets.pop(target_id, None)
        if load is not None:
            load.cache.close()

    def update_speeds(self, now_ms: float) -> None:
        """Recompute how fast the targets work, and what running requests cost them."""
        if self.costs.is_enabled:
            update_rates((load.speed for load in self.targets.values()), now_ms)
        self.costs.update(self.targets.values(), now_ms)

    def note_change(self) -> None:
        """Record that a target or the queue has changed at once."""
        self._outlook = None

    def usable(self, now_ms: float) -> list[TargetLoad]:
        """Return the targets that may receive calls."""
        return [load for load in self.targets.values() if load.is_usable(now_ms)]

    def has_ejected_many(self, load: TargetLoad, now_ms: float) -> bool:
        """Return whether a further ejection would leave less than half of the targets.

        It holds for services with many targets only; a second one may well be lost.
        """
        others = [
            other
            for other in self.targets.values()
            if other is not load and not other.is_leaving
        ]
        if len(others) < defaults.TIMEOUT_EJECTION_TARGETS:
            return False
        ejected = sum(other.health.is_ejected(now_ms) for other in others)
        return ejected + 1 > defaults.TIMEOUT_EJECTION_FRACTION * (len(others) + 1)

    def describe_targets(self, now_ms: float) -> dict[str, int]:
        """Return how many targets could take calls, and why others could not.

        For the log: ``targets`` in all, of these ``leaving``, ``evacuated`` with their
        availability zone, ``ejected`` for failed connects, ``paused`` by their own
        word, ``cold`` with no part for this router now, and ``full`` for any call.
        """
        names = (
            "targets",
            "leaving",
            "evacuated",
            "ejected",
            "paused",
            "cold",
            "full",
        )
        counts = dict.fromkeys(names, 0)
        for load in self.targets.values():
            counts["targets"] += 1
            if load.is_leaving:
                counts["leaving"] += 1
            elif load.is_evacuated:
                counts["evacuated"] += 1
            elif load.health.is_ejected(now_ms):
                counts["ejected"] += 1
            elif load.pause_left_ms(now_ms):
                counts["paused"] += 1
            elif load.unavailable_ms(now_ms):
                counts["cold"] += 1
            elif not has_free_capacity(load, now_ms):
                counts["full"] += 1
        return counts

    def update_limits(
        self, own_name: str, routers: t.Collection[str], now_ms: float
    ) -> None:
        """Compute this router's part of the rate limits that targets name.

        :param routers: names of the live routers.
        """
        limits = {name: load.limit for name, load in self.targets.items() if load.limit}
        if not limits:
            return
        known = self.shares.demand_by_router(own_name, now_ms)
        demand = {name: known.get(name, 0.0) for name in {own_name, *routers}}
        is_all_limited = all(load.limit for load in self.usable(now_ms))
        least = math.ceil(len(demand) / len(limits)) if is_all_limited else 1
        parts = divide_limits(
            {name: limit.limit for name, limit in limits.items()}, demand, least
        )
        for name, limit in limits.items():
            limit.set_rate(parts[name].get(own_name, 0.0), now_ms)

    # -- calls -----------------------------------------------------------------

    def queued_tokens_by_slack(self, now_ms: float) -> list[int]:
        """Return the queued prompt tokens, summed by slack class.

        The slack is the time until a call's latest start. Calls that can no longer
        meet their latency target have a class of their own, and so have the two tiers
        of calls beyond the configured share.
        """
        sums = [0] * (len(defaults.SLACK_CLASSES_MS) + 1 + Tier.BEYOND_SHARES)
        for item in self.waiting:
            sums[self._slack_class(item, now_ms)] += int(_prompt_tokens(item.call))
        return sums

    def _slack_class(self, item: QueuedCall, now_ms: float) -> int:
        tier, is_late, _, latest_start_ms = self._sort_key(item, now_ms)
        if tier or is_late:
            return len(defaults.SLACK_CLASSES_MS) + tier
        slack_ms = latest_start_ms - now_ms
        return bisect.bisect_left(defaults.SLACK_CLASSES_MS, slack_ms)

    def note_refused(self, call: Call, reason: str, now_ms: float) -> None:
        """Record that a call was refused, for any reason."""
        self._last_refused_ms[call.customer] = now_ms
        self.accounts.note_refused(call, reason, self._is_over_share(call))

    def note_shed(self, customer: str, units: float, now_ms: float) -> bool:
        """Record a call that the router had no time for.

        :return: whether it exceeded its customer's share.
        """
        is_over = self.shares.is_over(customer, units)
        self.shares.note_demand(customer, units, now_ms)
        self._last_refused_ms[customer] = now_ms
        self.accounts.note_shed(customer, units, is_over)
        return is_over

    def underserved_stage(self, now_ms: float) -> int:
        """Return the lowest stage of a customer that is underserved at this router.

        A customer is underserved while it has calls queued that exceed its share,
        and for :data:`defaults.UNDERSERVED_MS` after one of its calls was refused.

        :return: :data:`NO_UNDERSERVED_STAGE` if there is none.
        """
        customers = {
            item.call.customer
            for item in self.waiting
            if self._is_over_share(item.call)
        }
        for customer, refused_ms in list(self._last_refused_ms.items()):
            if now_ms - refused_ms <= defaults.UNDERSERVED_MS:
                customers.add(customer)
            else:
                del self._last_refused_ms[customer]
        return min(map(self.shares.stage, customers), default=NO_UNDERSERVED_STAGE)

    def _is_deferred(self, call: Call, now_ms: float) -> bool:
        """Return whether a call must yield to a customer that was served much less.

        That customer may be underserved at any router. If several customers exceed
        their shares and one of them reaches only a busy router, free capacity would
        otherwise go to those whose routers dispatch first.
        """
        if self._deferral_stage is None:
            stages = [
                self.underserved_stage(now_ms),
                *self.peers_underserved_stage.values(),
            ]
            lowest = max(min(stages), FULL_SHARE_STAGE)
            self._deferral_stage = lowest * defaults.DEFERRAL_USAGE_RATIO
        return self.shares.stage(call.customer) > self._deferral_stage

    def _tier(self, call: Call) -> Tier:
        if call.is_begun:
            # What the caller has received so far is lost if it is not resumed.
            return Tier.WITHIN_CONFIGURED_SHARE
        return self.shares.tier(call.customer, call.units)

    def _is_over_share(self, call: Call) -> bool:
        return self.shares.is_over(call.customer, call.units)

    def add(self, call: Call, now_ms: float) -> Refusal | None:
        """Queue a call, or refuse it at once if it can't be served in time."""
        if call.prompt is not None:
            self._mean_tokens += defaults.MEAN_TOKENS_SMOOTHING * (
                call.prompt.tokens - self._mean_tokens
            )
        first_event_ms = self._min_first_event_ms(call)
        item = QueuedCall(
            call, first_event_ms, call.latency_deadline_ms - first_event_ms, now_ms
        )
        refusal = self._refuse_on_arrival(item, now_ms)
        if refusal is None:
            self.waiting.append(item)
        return refusal

    def remove(self, call: Call) -> None:
        """Remove a call, if it is still queued."""
        before = len(self.waiting)
        self.waiting = [item for item in self.waiting if item.call is not call]
        if len(self.waiting) != before:
            self.note_change()

    def dispatch(self, now_ms: float) -> list[Dispatched]:
        """Assign queued calls to targets; remove them from the queue."""
        usable = self.usable(now_ms)
        if not self.waiting or not any(
            has_free_capacity(load, now_ms) and not load.limit_wait_ms(now_ms)
            for load in usable
        ):
            return []
        chosen = []
        self._deferral_stage = self._surroundings = None
        ordered = sorted(self.waiting, key=lambda item: self._sort_key(item, now_ms))
        kept = ordered[defaults.DISPATCH_LOOK_AHEAD :]
        views = [make_view(load, now_ms) for load in usable]
        # Customers and tiers for which no target has room. Nothing becomes free during
        # a dispatch, so that their other calls need no look.
        blocked: set[tuple[str, Tier]] = set()
        for item in ordered[: defaults.DISPATCH_LOOK_AHEAD]:
            call = item.call
            group = (call.customer, self._tier(call))
            if call.prompt is not None and group in blocked:
                kept.append(item)
                continue
            view = self._choose(call, views, now_ms)
            if (
                view is None
                and call.prompt is not None
                and not has_room(call, self._claim(call, now_ms), views)
            ):
                blocked.add(group)
            if view is None:
                kept.append(item)
                continue
            load = view.load
            # Recorded at once, so that the next assignment takes it into account.
            chosen.append(Dispatched(item.call, load, load.begin(item.call, now_ms)))
            view.update()
            self.shares.note_served(item.call.customer, item.call.units, now_ms)
        self.waiting = kept
        if chosen:
            self.note_change()
        return chosen

    def expire(self, now_ms: float) -> list[tuple[Call, Refusal]]:
        """Remove and return the calls that can no longer be served in time."""
        refused = []
        kept = []
        pause_ms = self._pause_wait_ms(now_ms)
        has_targets = self._has_targets
        for item in self.waiting:
            refusal = self._refuse_queued(item, has_targets, pause_ms, now_ms)
            if refusal is None:
                kept.append(item)
            else:
                refused.append((item.call, refusal))
        self.waiting = kept
        if refused:
            self.note_change()
        return refused

    # -- order -----------------------------------------------------------------

    def _sort_key(
        self, item: QueuedCall, now_ms: float
    ) -> tuple[Tier, bool, int, float]:
        """Return the sort key of a call in the queue.

        The order is by tier, then calls that can still meet their latency target
        come first, then those of customers that used less of their shares, then those
        with the earliest latest start. Streams to be resumed go before all others.
        """
        call = item.call
        if call.is_begun:
            return (self._tier(call), False, 0, item.queued_ms)
        stage = self.shares.stage(call.customer)
        return (
            self._tier(call),
            now_ms > item.latest_start_ms,
            stage,
            item.latest_start_ms,
        )

    def _min_first_event_ms(self, call: Call) -> float:
        if call.prompt is None:
            return 0.0
        least = float(call.prompt.parts[-1].tokens) if call.prompt.parts else 0.0
        uncached = float(call.prompt.tokens)
        for load in self.targets.values():
            uncached = min(uncached, load.uncached_tokens(call))
            if uncached <= least:
                # All other parts are cached there; few targets know the own one.
                break
        return uncached / self._mean_prefill_rate() + defaults.FIRST_EVENT_MS

    # -- target selection --------------------------------------------------------

    def _choose(
        self, call: Call, views: t.Sequence[TargetView], now_ms: float
    ) -> TargetView | None:
        """Return the target to send a call to, ``None`` if it should wait."""
        if self._surroundings is None:
            self._surroundings = Surroundings(
                self.zone, self._mean_tokens, self._mean_prefill_rate()
            )
        claim = self._claim(call, now_ms)
        return choose(call, claim, views, self._surroundings, now_ms)

    def _claim(self, call: Call, now_ms: float) -> Claim:
        """Return how much of a target a call may use.

        Customers that used less than others may go beyond what those can fill: a freed
        slot would otherwise go to the router that sees it first, which is most often
        one with many calls of the customer that had most.
        """
        tier = self._tier(call)
        is_deferred = tier is Tier.BEYOND_SHARES and self._is_deferred(call, now_ms)
        shortfall = self.shares.shortfall(call.customer)
        headroom = 1.0 + defaults.SHORTFALL_HEADROOM * shortfall
        return Claim(tier, headroom, is_deferred)

    # -- refusals ----------------------------------------------------------------

    def _refuse_on_arrival(self, item: QueuedCall, now_ms: float) -> Refusal | None:
        call = item.call
        outlook = self._find_outlook(now_ms)
        if not outlook.usable and not self._has_targets:
            return self._no_targets(call)
        if len(self.waiting) >= defaults.QUEUE_LIMIT:
            return Refusal(503, "queue_full", self._retry_after(call, 0.0))
        pause_ms = 0.0 if outlook.usable else self._pause_wait_ms(now_ms)
        wait_ms = max(pause_ms, self._wait_ms(item, outlook, now_ms))
        return self._refuse_if_too_late(item, wait_ms, pause_ms, now_ms)

    def _refuse_queued(
        self, item: QueuedCall, has_targets: bool, pause_ms: float, now_ms: float
    ) -> Refusal | None:
        call = item.call
        if not has_targets:
            return self._no_targets(call)
        if now_ms >= call.deadline_ms - defaults.FINAL_ANSWER_RESERVE_MS:
            return Refusal(503, "deadline", self._retry_after(call, 0.0))
        return self._refuse_if_too_late(item, pause_ms, pause_ms, now_ms)

    @property
    def _has_targets(self) -> bool:
        """Whether there is a target that is not closed."""
        return not all(load.is_closed for load in self.targets.values())

    def _no_targets(self, call: Call) -> Refusal:
        return Refusal(503, "no_targets", self._retry_after(call, 0.0))

    def _pause_wait_ms(self, now_ms: float) -> float:
        """Return the time until a target may get requests, if none may now."""
        return min(
            (
                load.unavailable_ms(now_ms)
                for load in self.targets.values()
                if not load.is_closed
            ),
            default=0.0,
        )

    def _refuse_if_too_late(
        self, item: QueuedCall, wait_ms: float, pause_ms: float, now_ms: float
    ) -> Refusal | None:
        """Refuse a call whose first event is expected after its latency limit.

        :param wait_ms: expected time until its prefill starts.
        :param pause_ms: time until a target wants requests again, if none does now.
        """
        call = item.call
        expected_ms = now_ms + wait_ms + item.first_event_ms
        if expected_ms <= self._latest_first_event_ms(item):
            return None
        if pause_ms:
            return Refusal(503, "paused", _retry_after_pause_s(call.id, pause_ms))
        return Refusal(503, "too_late", self._retry_after(call, wait_ms))

    def _latest_first_event_ms(self, item: QueuedCall) -> float:
        """Return the time after which a call's next event is of no use to its caller.

        The latency target of a stream that has begun was met or missed before; its
        caller waits for the next event as long as for a gap in the stream.
        """
        call = item.call
        last_ms = call.deadline_ms - defaults.FINAL_ANSWER_RESERVE_MS
        if call.is_begun:
            return min(last_ms, item.queued_ms + defaults.RESUMPTION_WAIT_MS)
        latency_factor = (
            defaults.LATENCY_LIMIT_FACTOR
            if self._tier(call) is Tier.WITHIN_CONFIGURED_SHARE
            else defaults.OVER_SHARE_LATENCY_LIMIT_FACTOR
        )
        return min(
            last_ms, call.arrived_ms + call.route.target_latency_ms * latency_factor
        )

    def _find_outlook(self, now_ms: float) -> _Outlook:
        """Return the outlook, a new one if the last is older than ``OUTLOOK_MS``."""
        outlook = self._outlook
        if outlook is None or not 0 <= now_ms - outlook.made_ms < defaults.OUTLOOK_MS:
            outlook = self._outlook = self._make_outlook(now_ms)
        return outlook

    def _make_outlook(self, now_ms: float) -> _Outlook:
        usable = self.usable(now_ms)
        queued = sorted(
            (self._sort_key(item, now_ms), _prompt_tokens(item.call))
            for item in self.waiting
        )
        peer_tokens = [
            float(sum(tokens))
            for tokens in itertools.zip_longest(
                *self.peers_queued_tokens.values(), fillvalue=0
            )
        ]
        return _Outlook(
            made_ms=now_ms,
            usable=usable,
            rate=sum(load.usable_prefill_rate for load in usable),
            prefill_ms=min(
                (load.prefill_tokens / load.prefill_rate for load in usable),
                default=0.0,
            ),
            peer_tokens=peer_tokens,
            keys=[key for key, _ in queued],
            tokens_before=[
                0.0,
                *itertools.accumulate(tokens for _, tokens in queued),
            ],
            count=len(queued),
        )

    def _wait_ms(self, item: QueuedCall, outlook: _Outlook, now_ms: float) -> float:
        """Return the expected wait of a new call until its prefill starts, ms."""
        limit_wait_ms = self._limit_wait_ms(outlook.usable, now_ms)
        if item.call.prompt is None or not outlook.usable:
            return limit_wait_ms
        sort_key = self._sort_key(item, now_ms)
        ahead = outlook.tokens_before[bisect.bisect_left(outlook.keys, sort_key)]
        ahead += sum(
            _prompt_tokens(other.call)
            for other in self.waiting[outlook.count :]
            if self._sort_key(other, now_ms) < sort_key
        )
        slack_class = self._slack_class(item, now_ms)
        # On average, half of a call's own class at the peers is ahead of it. Routers of
        # earlier releases report fewer classes.
        ahead += sum(outlook.peer_tokens[:slack_class])
        ahead += sum(outlook.peer_tokens[slack_class : slack_class + 1]) / 2
        wait_ms = ahead / max(outlook.rate, 1e-6) + outlook.prefill_ms
        return max(wait_ms, limit_wait_ms)

    def _limit_wait_ms(self, usable: t.Sequence[TargetLoad], now_ms: float) -> float:
        """Return how long the rate limits of the targets delay a new call, ms.

        They delay none while a target without a rate limit is usable.
        """
        limits = [load.limit for load in usable if load.limit is not None]
        if not limits or len(limits) < len(usable):
            return 0.0
        rate = sum(limit.rate for limit in limits)
        soonest_ms = min(limit.wait_ms(now_ms) for limit in limits)
        if rate <= 0:
            return soonest_ms
        return max(soonest_ms, len(self.waiting) / rate * 1000)

    def _retry_after(self, call: Call, wait_ms: float) -> float:
        """Return the ``Retry-After`` delay of a call, s.

        It is based on the expected wait in the queue or the time until the customer
        is within its share again, whichever is longer, with jitter so that callers
        that are refused together do not retry together.
        """
        wait_ms = max(wait_ms, self.shares.share_recovery_ms(call.customer, call.units))
        return retry_after_s(call.id, wait_ms)

    def _mean_prefill_rate(self) -> float:
        rates = [load.prefill_rate for load in self.targets.values()]
        return sum(rates) / len(rates) if rates else defaults.INITIAL_PREFILL_RATE


def retry_after_s(request_id: str, wait_ms: float = 0.0) -> float:
    """Return a ``Retry-After`` delay, s, with jitter against simultaneous retries.

    The jitter, a factor of 0.5 to 1.5, is derived from a hash of the request ID.

    :param wait_ms: expected time until there is free capacity.
    """
    jitter = 0.5 + stable_hash(request_id) / 2.0**64
    wanted_s = wait_ms / 1000 * jitter
    low, high = defaults.RETRY_AFTER_MIN_S, defaults.RETRY_AFTER_MAX_S
    return min(high, max(low * 2 * jitter, wanted_s))


def _retry_after_pause_s(request_id: str, pause_ms: float) -> float:
    """Return a ``Retry-After`` delay, s, that ends after a pause of all targets.

    Callers return over the time in which the targets' capacity does.
    """
    spread = stable_hash(request_id) / 2.0**64
    return (pause_ms + spread * defaults.PAUSE_RAMP_MS) / 1000


def _is_same_instance(known: Target, target: Target) -> bool:
    return (known.host, known.port, known.started_ms) == (
        target.host,
        target.port,
        target.started_ms,
    )


def _prompt_tokens(call: Call) -> float:
    return float(call.prompt.tokens) if call.prompt else 0.0
