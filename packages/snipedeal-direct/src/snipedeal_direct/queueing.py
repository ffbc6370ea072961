"""Which call goes next, to which target, and which is refused.

Decisions only: no network and no clock. Engines admit in order of arrival, so
what waits inside one can't be ordered any more. Calls wait at the routers, and
a target gets no more than it can begin soon.
"""

import bisect
import functools
import typing as t

import attrs

from snipedeal.utils import stable_hash
from snipedeal_direct import defaults
from snipedeal_direct.load import Sent
from snipedeal_direct.load import TargetLoad
from snipedeal_direct.model import Call
from snipedeal_direct.model import EngineLimits
from snipedeal_direct.model import Target
from snipedeal_direct.model import TargetState
from snipedeal_direct.shares import SHARE_STAGE
from snipedeal_direct.shares import Shares

#: A stage above that of every customer.
NOBODY_SHORT = 1_000_000


@attrs.frozen
class Refusal:
    """Why a call that has not run is turned away.

    :param retry_after_s: when it is worth coming again.
    """

    status: int
    reason: str
    retry_after_s: float


@attrs.define(eq=False)
class Waiting:
    """A call in the queue.

    :param reading_ms: time that its prompt takes at the target that holds most
        of it, as expected when the call was queued.
    :param latest_ms: when it must start to be in time.
    """

    call: Call
    reading_ms: float
    latest_ms: float


@attrs.frozen(eq=False)
class Dispatched:
    """A call that goes to a target now."""

    call: Call
    load: TargetLoad
    sent: Sent


@attrs.define
class ServiceQueue:
    """Calls that wait for one service, and its targets.

    :param zone: the router's availability zone.
    """

    service: str
    zone: str
    shares: Shares
    engine: EngineLimits | None = None
    targets: dict[str, TargetLoad] = attrs.Factory(dict)
    waiting: list[Waiting] = attrs.Factory(list)
    peers_waiting: dict[str, list[int]] = attrs.Factory(dict)
    peers_short_stage: dict[str, int] = attrs.Factory(dict)
    _short_ms: dict[str, float] = attrs.Factory(dict)

    # -- targets ---------------------------------------------------------------

    def set_engine(self, engine: EngineLimits | None) -> None:
        """Take the limits of the service's engines."""
        self.engine = engine
        for load in self.targets.values():
            load.engine = engine

    def set_target(self, target: Target) -> bool:
        """Take a target as it is registered; return whether it is a new start."""
        known = self.targets.get(target.id)
        if known is not None and _is_same_start(known.target, target):
            known.target = target
            return False
        load = TargetLoad(target, self.engine)
        rates = [other.read_rate for other in self.targets.values()]
        if rates:
            load.read_rate = sum(rates) / len(rates)
        self.targets[target.id] = load
        return True

    def remove_target(self, target_id: str) -> None:
        """Forget a target that is gone."""
        self.targets.pop(target_id, None)

    def usable(self, now_ms: float) -> list[TargetLoad]:
        """Return targets that may get work."""
        return [
            load
            for load in self.targets.values()
            if load.target.state is TargetState.READY
            and not load.condition.is_avoided(now_ms)
        ]

    # -- calls -----------------------------------------------------------------

    def waiting_by_slack(self, now_ms: float) -> list[int]:
        """Return the prompt tokens that wait here, by when they must start.

        Calls that are late already, or whose customers are beyond their share,
        are in the last class.
        """
        sums = [0] * (len(defaults.SLACK_CLASSES_MS) + 1)
        for item in self.waiting:
            sums[self._slack_class(item, now_ms)] += int(_tokens(item.call))
        return sums

    def _slack_class(self, item: Waiting, now_ms: float) -> int:
        is_over, is_late, _, latest_ms = self._order(item, now_ms)
        if is_over or is_late:
            return len(defaults.SLACK_CLASSES_MS)
        slack_ms = latest_ms - now_ms
        return bisect.bisect_left(defaults.SLACK_CLASSES_MS, slack_ms)

    def note_short(self, customer: str, now_ms: float) -> None:
        """Note that a customer's call was refused for want of room."""
        self._short_ms[customer] = now_ms

    def short_stage(self, now_ms: float) -> int:
        """Return the lowest stage of a customer that goes short here.

        Such customers have calls that wait beyond their shares, or were refused a
        moment ago.

        :return: :data:`NOBODY_SHORT` where there is none.
        """
        customers = {
            item.call.customer for item in self.waiting if self._is_over(item.call)
        }
        for customer, since_ms in list(self._short_ms.items()):
            if now_ms - since_ms <= defaults.SHORT_MS:
                customers.add(customer)
            else:
                del self._short_ms[customer]
        return min(map(self.shares.stage, customers), default=NOBODY_SHORT)

    def _is_held(self, call: Call, now_ms: float) -> bool:
        """Whether a customer that had much less goes short, at any router.

        Answers the load of customers beyond their shares of which one comes to a
        busy router: room would go to those whose routers look first.
        """
        stages = [self.short_stage(now_ms), *self.peers_short_stage.values()]
        lowest = max(min(stages), SHARE_STAGE)
        return self.shares.stage(call.customer) > lowest * defaults.HELD_RATIO

    def _is_over(self, call: Call) -> bool:
        return self.shares.is_over(call.customer, call.units)

    def add(self, call: Call, now_ms: float) -> Refusal | None:
        """Queue a call, or refuse it at once where it can't be served."""
        reading_ms = self._own_reading_ms(call)
        item = Waiting(call, reading_ms, call.aim_ms - reading_ms)
        refusal = self._refuse_now(item, now_ms)
        if refusal is None:
            self.waiting.append(item)
        return refusal

    def remove(self, call: Call) -> None:
        """Take a call out, since its caller has left."""
        self.waiting = [item for item in self.waiting if item.call is not call]

    def dispatch(self, now_ms: float) -> list[Dispatched]:
        """Return the calls that go to targets now, and take them out."""
        usable = self.usable(now_ms)
        if not self.waiting or not any(self._has_any_room(load) for load in usable):
            return []
        chosen = []
        ordered = sorted(self.waiting, key=lambda item: self._order(item, now_ms))
        kept = ordered[defaults.DISPATCH_LOOK_AHEAD :]
        busy = {load: load.busy_ms for load in usable}
        for item in ordered[: defaults.DISPATCH_LOOK_AHEAD]:
            load = self._choose(item.call, busy, now_ms)
            if load is None:
                kept.append(item)
                continue
            # counted at once, so that the next choice sees it.
            chosen.append(Dispatched(item.call, load, load.begin(item.call, now_ms)))
            busy[load] = load.busy_ms
            self.shares.note_taken(item.call.customer, item.call.units, now_ms)
        self.waiting = kept
        return chosen

    def expire(self, now_ms: float) -> list[tuple[Call, Refusal]]:
        """Return calls that can't be served any more, and take them out."""
        refused = []
        kept = []
        for item in self.waiting:
            refusal = self._refuse_waiting(item, now_ms)
            if refusal is None:
                kept.append(item)
            else:
                refused.append((item.call, refusal))
        self.waiting = kept
        return refused

    # -- order -----------------------------------------------------------------

    def _order(self, item: Waiting, now_ms: float) -> tuple[bool, bool, int, float]:
        """Return the place of a call in the queue.

        Customers within their shares go before those beyond, calls that can be
        in time before late ones, customers that had less of their share before
        others, and then the call that must start first.
        """
        call = item.call
        stage = self.shares.stage(call.customer)
        return self._is_over(call), now_ms > item.latest_ms, stage, item.latest_ms

    def _own_reading_ms(self, call: Call) -> float:
        if call.prompt is None:
            return 0.0
        loads = self.targets.values()
        unread = min((load.unread(call) for load in loads), default=call.prompt.tokens)
        return unread / self._mean_rate() + defaults.FIRST_EVENT_MS

    # -- placing -----------------------------------------------------------------

    def _choose(
        self, call: Call, busy: t.Mapping[TargetLoad, float], now_ms: float
    ) -> TargetLoad | None:
        """Return the target to send a call to, ``None`` if it should wait.

        A target is looked for by when it can begin, where tokens that it has
        to read again weigh more: they are capacity lost. If the best one has no
        room the call waits for it, unless another one is better by then.

        :param busy: usable targets and how busy each is, ms.
        """
        loads = [load for load in busy if load.target.id not in call.tried]
        if not loads:
            return None
        if call.prompt is None:
            return self._choose_plain(call, loads, now_ms)
        prompt, affinity = call.prompt, call.prompt.affinity

        def score(load: TargetLoad) -> float:
            """Return how late and how costly a target is, in ms."""
            unread = load.cache.unread(prompt) * defaults.REREAD_WEIGHT
            # equal targets are told apart alike by all routers.
            rank = _rank(affinity, load.target.id)
            return busy[load] + unread / load.read_rate + rank * defaults.AFFINITY_MS

        best = min(loads, key=score)
        return best if self._has_engine_room(call, best, now_ms) else None

    def _has_any_room(self, load: TargetLoad) -> bool:
        """Whether a target may have room for some call."""
        if load.engine is None:
            return load.running < max(1.0, load.target.slots * defaults.PLAIN_ROOM)
        return (
            load.running < max(1.0, load.engine.slots * defaults.SLOT_SHARE)
            and load.reading <= defaults.ENGINE_BACKLOG_MS * load.read_rate
        )

    def _room(self, call: Call, load: TargetLoad, now_ms: float) -> float:
        """Return the part of a target's room that a call may use, 0 to 1.

        Calls beyond their customer's share use what is idle, and leave the rest
        to calls that may come next.
        """
        room = load.condition.room(now_ms)
        if self._is_over(call):
            room *= defaults.SPARE_ROOM
        return room

    def _has_engine_room(self, call: Call, load: TargetLoad, now_ms: float) -> bool:
        engine = load.engine
        room = self._room(call, load, now_ms)
        if room <= 0:
            return False
        slots = engine.slots if engine else load.target.slots
        if load.running >= max(1.0, slots * defaults.SLOT_SHARE * room):
            return False
        if load.running == 0:
            return True
        reading = load.reading
        used = load.running / slots if reading <= 0 else 1.0
        if self._is_over(call) and used >= defaults.IDLE_SHARE:
            if used >= defaults.HELD_IDLE_SHARE and self._is_held(call, now_ms):
                return False
            # its own prompt would hold up the next call as well.
            reading += load.unread(call)
        if reading > defaults.ENGINE_BACKLOG_MS * load.read_rate * room:
            return False
        tokens = call.prompt.tokens + call.prompt.output_tokens if call.prompt else 0
        memory = engine.memory_tokens * defaults.MEMORY_SHARE if engine else 0.0
        return not memory or load.held + tokens <= memory

    def _choose_plain(
        self, call: Call, loads: t.Sequence[TargetLoad], now_ms: float
    ) -> TargetLoad | None:
        def is_free(load: TargetLoad) -> bool:
            room = load.target.slots * defaults.PLAIN_ROOM
            return load.running < max(1.0, room * load.condition.room(now_ms))

        free = [load for load in loads if is_free(load)]
        if not free:
            return None

        def score(load: TargetLoad) -> tuple[float, bool, int]:
            used = load.running / max(1, load.target.slots)
            failing = load.condition.failure_share(now_ms)
            # the hash spreads routers that see the same numbers.
            tie = stable_hash(call.id, load.target.id)
            return round(used + failing, 1), load.target.zone != self.zone, tie

        return min(free, key=score)

    # -- refusing ----------------------------------------------------------------

    def _refuse_now(self, item: Waiting, now_ms: float) -> Refusal | None:
        call = item.call
        if not any(
            load.target.state is TargetState.READY for load in self.targets.values()
        ):
            return Refusal(503, "no_targets", self._retry_after(call, 0.0))
        if len(self.waiting) >= defaults.QUEUE_LIMIT:
            return Refusal(503, "queue_full", self._retry_after(call, 0.0))
        return self._refuse_hopeless(item, self._wait_ms(item, now_ms), now_ms)

    def _refuse_waiting(self, item: Waiting, now_ms: float) -> Refusal | None:
        call = item.call
        if now_ms >= call.give_up_ms - defaults.FINAL_ANSWER_RESERVE_MS:
            return Refusal(503, "deadline", self._retry_after(call, 0.0))
        return self._refuse_hopeless(item, 0.0, now_ms)

    def _refuse_hopeless(
        self, item: Waiting, wait_ms: float, now_ms: float
    ) -> Refusal | None:
        call = item.call
        is_over = self._is_over(call)
        aims = defaults.SPARE_LIMIT_AIMS if is_over else defaults.LATE_LIMIT_AIMS
        limit_ms = min(
            call.arrived_ms + call.route.target_latency_ms * aims,
            call.give_up_ms - defaults.FINAL_ANSWER_RESERVE_MS,
        )
        start_ms = now_ms + wait_ms + item.reading_ms
        if start_ms <= limit_ms:
            return None
        return Refusal(503, "too_late", self._retry_after(call, wait_ms))

    def _wait_ms(self, item: Waiting, now_ms: float) -> float:
        """Return how long a new call would wait until it can begin."""
        usable = self.usable(now_ms)
        if item.call.prompt is None or not usable:
            return 0.0
        order = self._order(item, now_ms)
        rate = sum(load.read_rate for load in usable)
        ahead = sum(
            _tokens(other.call)
            for other in self.waiting
            if self._order(other, now_ms) < order
        )
        slack_class = self._slack_class(item, now_ms)
        for waiting in self.peers_waiting.values():
            ahead += sum(waiting[:slack_class]) + waiting[slack_class] / 2
        return ahead / rate + min(load.reading / load.read_rate for load in usable)

    def _retry_after(self, call: Call, wait_ms: float) -> float:
        """Return when to come again, s.

        By then the queue has likely emptied, and the customer is within its
        share again. Callers that are refused together come again one by one.
        """
        wait_ms = max(wait_ms, self.shares.back_ms(call.customer, call.units))
        return retry_after_s(call.id, wait_ms)

    def _mean_rate(self) -> float:
        rates = [load.read_rate for load in self.targets.values()]
        return sum(rates) / len(rates) if rates else defaults.INITIAL_READ_RATE


def retry_after_s(request_id: str, wait_ms: float = 0.0) -> float:
    """Return when to come again, s; spread, so that callers come one by one.

    :param wait_ms: when there is likely room.
    """
    spread = 0.5 + stable_hash(request_id) / 2.0**64
    wanted_s = wait_ms / 1000 * spread
    low, high = defaults.RETRY_AFTER_MIN_S, defaults.RETRY_AFTER_MAX_S
    return min(high, max(low * 2 * spread, wanted_s))


@functools.lru_cache(maxsize=defaults.RANK_CACHE)
def _rank(affinity: str, target_id: str) -> float:
    """Return the place of a target in a part's order of targets, 0 to 1."""
    return stable_hash(affinity, target_id) / 2.0**64


def _is_same_start(known: Target, target: Target) -> bool:
    return (known.host, known.port, known.started_ms) == (
        target.host,
        target.port,
        target.started_ms,
    )


def _tokens(call: Call) -> float:
    return float(call.prompt.tokens) if call.prompt else 0.0
