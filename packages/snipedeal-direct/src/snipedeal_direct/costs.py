"""Learn what calls are likely to cost, from those that have ended at this router.

The output of a stream, in events, is expected from the caller's hint, corrected by what
hints of its customer on its route turned out to be. The work of a call without a prompt
is expected from its route. What one running request costs an engine is derived from the
pauses in its streams. All estimates are ratios of decaying sums, since a sum over many
calls has to be right, rather than a typical call.

The module answers hints that are often far off and targets of uneven speed. It performs
no I/O and reads no clock. See docs/design/placement.md.
"""

import collections
import math
import typing as t

import attrs

from snipedeal_direct import defaults
from snipedeal_direct.model import Call
from snipedeal_direct.speeds import PrefillRate
from snipedeal_direct.speeds import update_rates

if t.TYPE_CHECKING:
    from snipedeal_direct.load import TargetLoad

_Key = t.TypeVar("_Key")


@attrs.define
class CostSums:
    """Costs of calls that have ended, as decaying sums.

    :param calls: number of calls.
    :param actual: their cost: events of a stream, or ms.
    :param hinted: hints, in tokens, of those calls that had one.
    :param hinted_actual: actual cost of these.
    """

    calls: float = 0.0
    actual: float = 0.0
    hinted: float = 0.0
    hinted_actual: float = 0.0
    _changed_ms: float = 0.0

    @property
    def mean(self) -> float:
        """Mean cost of a call, zero without any."""
        return self.actual / self.calls if self.calls else 0.0

    def add(self, actual: float, hint: float, weight: float, now_ms: float) -> None:
        """Add a call that has ended.

        :param hint: tokens, zero if the call had no hint.
        :param weight: how much it counts, 0 to 1.
        """
        kept = math.exp(-max(0.0, now_ms - self._changed_ms) / defaults.COST_WINDOW_MS)
        self._changed_ms = now_ms
        self.calls = self.calls * kept + weight
        self.actual = self.actual * kept + weight * actual
        self.hinted = self.hinted * kept + weight * hint
        counted = weight * actual if hint else 0.0
        self.hinted_actual = self.hinted_actual * kept + counted

    def ratio(self, default: float) -> float:
        """Return the actual cost for each token of a hint."""
        return self.hinted_actual / self.hinted if self.hinted else default


@attrs.define
class StepCost:
    """What one running request costs an engine for each event of another.

    :param event_ms: the cost, ms; zero while nothing is known of any engine.
    :param mean_ms: pause between events, slowly smoothed, ms; zero without evidence.
    :param mean_running: requests that ran meanwhile, likewise.
    """

    event_ms: float = 0.0
    mean_ms: float = 0.0
    mean_running: float = 0.0

    def approach(self, event_ms: float, weight: float) -> None:
        """Move the cost towards a value; the first one counts in full."""
        if not self.event_ms:
            weight = 1.0
        self.event_ms += weight * (event_ms - self.event_ms)


@attrs.define
class CostModel:
    """Expected costs of the calls of one service.

    The sums of customers and routes are bounded in number; those that were used least
    recently are dropped, and their calls are expected to cost what others do.

    :param is_enabled: whether the router learns costs; without that there is never any
        evidence, and targets are compared by counts.
    """

    is_enabled: bool = True

    _routes: collections.OrderedDict[str, CostSums] = attrs.Factory(
        collections.OrderedDict
    )
    _customers: collections.OrderedDict[tuple[str, str], CostSums] = attrs.Factory(
        collections.OrderedDict
    )
    _work: collections.OrderedDict[str, CostSums] = attrs.Factory(
        collections.OrderedDict
    )
    _all_work: CostSums = attrs.Factory(CostSums)
    # Sums over targets of the products of relative deviations from their means: of
    # running requests and pauses, and of running requests with themselves.
    _covariance: float = 0.0
    _variance: float = 0.0

    # -- expectations ------------------------------------------------------------

    def expected_output(self, call: Call) -> float | None:
        """Return the expected output of a stream, events; ``None`` without evidence.

        It stays within bounds of what such calls turned out to cost, so that hints
        alone make no call appear free, nor a target full.
        """
        route = self._routes.get(call.route.name)
        if route is None or route.calls < defaults.COST_EVIDENCE_CALLS:
            return None
        ratio, mean = route.ratio(1.0), route.mean
        customer = self._customers.get((call.route.name, call.customer))
        if customer is not None:
            weight = customer.calls / (customer.calls + defaults.COST_PRIOR_CALLS)
            ratio += weight * (customer.ratio(ratio) - ratio)
            mean += weight * (customer.mean - mean)
        hint = call.prompt.output_tokens if call.prompt else 0
        if not hint:
            return mean
        low, high = defaults.COST_MEAN_RANGE
        return min(high * mean, max(low * mean, hint * ratio))

    def expected_work_ms(
        self, call: Call, load: "TargetLoad | None" = None
    ) -> float | None:
        """Return the expected time of a call without a prompt, ms.

        :param load: the target that runs it; without one, at the service's usual speed.
        :return: ``None`` without evidence.
        """
        if not self.has_work_evidence:
            return None
        route = self._work.get(call.route.name, self._all_work)
        return route.mean / (load.work_speed.value if load else 1.0)

    @property
    def has_work_evidence(self) -> bool:
        """Whether times of calls without prompts were measured."""
        return self._all_work.calls >= defaults.COST_EVIDENCE_CALLS

    @property
    def mean_work_ms(self) -> float:
        """Mean time of a call without a prompt, ms."""
        return self._all_work.mean

    # -- evidence ----------------------------------------------------------------

    def note_stream_end(self, call: Call, events: int, now_ms: float) -> None:
        """Record the output of a stream that is complete.

        Streams of a customer that has many count less for its route: otherwise its
        false hints would be taken for those of customers that are not known yet.
        """
        if not self.is_enabled:
            return
        hint = float(call.prompt.output_tokens) if call.prompt else 0.0
        key = (call.route.name, call.customer)
        customer = _touch(self._customers, key, defaults.COST_CUSTOMERS_LIMIT)
        route = _touch(self._routes, call.route.name, defaults.COST_ROUTES_LIMIT)
        prior = defaults.COST_PRIOR_CALLS
        route.add(events, hint, prior / (prior + customer.calls), now_ms)
        customer.add(events, hint, 1.0, now_ms)

    def note_plain_end(
        self, call: Call, load: "TargetLoad", took_ms: float, now_ms: float
    ) -> None:
        """Record the time that a target took for a call without a prompt."""
        if not self.is_enabled:
            return
        expected_ms = self.expected_work_ms(call)
        route = _touch(self._work, call.route.name, defaults.COST_ROUTES_LIMIT)
        route.add(took_ms, 0.0, 1.0, now_ms)
        self._all_work.add(took_ms, 0.0, 1.0, now_ms)
        if expected_ms:
            load.work_speed.note(expected_ms, took_ms, now_ms)

    def update(self, loads: t.Collection["TargetLoad"], now_ms: float) -> None:
        """Recompute the targets' speeds and what a running request costs there."""
        if not self.is_enabled:
            return
        speeds = [load.work_speed for load in loads]
        for speed in speeds:
            speed.prior_ms = defaults.COST_PRIOR_CALLS * max(1.0, self.mean_work_ms)
        update_rates(speeds, now_ms, 1.0, defaults.COST_PRIOR_CALLS * self.mean_work_ms)
        measured = []
        for load in loads:
            if load.stream_pauses.has_evidence(now_ms):
                self._note_pauses(load)
                measured.append(load)
        prior = defaults.STEP_SHARE_VARIANCE
        share = (self._covariance + defaults.STEP_SHARE * prior) / (
            self._variance + prior
        )
        share = min(1.0, max(defaults.STEP_SHARE_LEAST, share))
        for load in measured:
            pauses = load.stream_pauses
            # The share holds at the usual number of requests; a pause is linear in it.
            usual, running = load.step.mean_running, pauses.mean_running
            running = max(1.0, usual + share * (running - usual))
            event_ms = share * pauses.mean_ms / running
            load.step.approach(event_ms, defaults.STEP_COST_SMOOTHING)
        if measured:
            usual_ms = sum(load.step.event_ms for load in measured) / len(measured)
            for load in loads:
                if not load.stream_pauses.has_evidence(now_ms):
                    # What was measured there last is forgotten slowly.
                    load.step.approach(usual_ms, defaults.STEP_SMOOTHING)

    def _note_pauses(self, load: "TargetLoad") -> None:
        """Compare pauses at a target with those at other numbers of requests."""
        step, pauses = load.step, load.stream_pauses
        if not step.mean_ms or not step.mean_running:
            step.mean_ms, step.mean_running = pauses.mean_ms, pauses.mean_running
            return
        running = pauses.mean_running / step.mean_running - 1.0
        pause = pauses.mean_ms / step.mean_ms - 1.0
        kept = 1.0 - defaults.STEP_SMOOTHING
        self._covariance = self._covariance * kept + running * pause
        self._variance = self._variance * kept + running * running
        step.mean_ms += defaults.STEP_SMOOTHING * (pauses.mean_ms - step.mean_ms)
        step.mean_running += defaults.STEP_SMOOTHING * (
            pauses.mean_running - step.mean_running
        )


def make_work_speed() -> PrefillRate:
    """Return the speed of a target relative to the service's, for plain calls."""
    return PrefillRate(usual=1.0, bounds=defaults.WORK_SPEED_RANGE)


def _touch(
    sums: "collections.OrderedDict[_Key, CostSums]", key: _Key, limit: int
) -> CostSums:
    """Return the sums of a key as the most recently used; drop the oldest ones."""
    found = sums.get(key)
    if found is None:
        found = sums[key] = CostSums()
        if len(sums) > limit:
            sums.popitem(last=False)
    else:
        sums.move_to_end(key)
    return found
