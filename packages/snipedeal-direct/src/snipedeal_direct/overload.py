"""Detect overload of this process and choose the calls that it refuses then."""

import math

import attrs

from snipedeal_direct import defaults
from snipedeal_direct.meter import SERVING
from snipedeal_direct.meter import LoopUsage
from snipedeal_direct.meter import Work
from snipedeal_direct.shares import DecayingSums
from snipedeal_direct.shares import max_min_fair_share


@attrs.define(eq=False, repr=False)
class LoopLag:
    """How late the event loop runs its timers, ms.

    A router that lags reads requests whose callers may have disconnected, and
    delays responses in progress, so new calls should go to another router. The lag
    rises if one router is flooded, if its machine is slow, and if the process
    resumes after a pause.

    :param limit_ms: lag above which the process counts as overloaded.
    """

    limit_ms: float = defaults.LAG_LIMIT_MS
    _lag_ms: float = 0.0

    @property
    def ms(self) -> float:
        """The lag, ms; it decays gradually after a late timer."""
        return self._lag_ms

    @property
    def is_overloaded(self) -> bool:
        """Whether new calls should go to another router."""
        return self._lag_ms > self.limit_ms

    def note(self, late_ms: float) -> None:
        """Record how late a timer fired; an early one (negative) counts as no lag."""
        self._lag_ms = max(late_ms, self._lag_ms * defaults.LAG_DECAY, 0.0)


@attrs.define(eq=False, repr=False)
class ServingCost:
    """Estimate of the time that the event loop spends on an admitted call, ms.

    It is the mean of the time measured for calls that have ended, with a part of what
    can't be assigned to a call: dispatches, system calls and the event loop itself.

    :param call_ms: smoothed time measured for one call.
    :param overhead: all time spent on admitted calls, as a multiple of that.
    """

    call_ms: float = defaults.INITIAL_SERVING_MS
    overhead: float = 1.0

    @property
    def ms(self) -> float:
        """Time for one call, ms."""
        return max(defaults.SERVING_MIN_MS, self.call_ms * self.overhead)

    def note_call(self, spent_ms: float) -> None:
        """Record the time that a call took, which has ended in any way."""
        # A step in which the process was paused says nothing about calls.
        spent_ms = min(spent_ms, defaults.SERVING_SAMPLE_LIMIT * self.call_ms)
        self.call_ms += defaults.SERVING_SMOOTHING * (spent_ms - self.call_ms)

    def note_usage(self, usage: LoopUsage) -> None:
        """Record how the event loop spent a period."""
        measured = usage.spent[Work.SERVE] + usage.spent[Work.RELAY]
        if measured < defaults.SERVING_MEASURED_MIN:
            return
        overhead = min(defaults.SERVING_OVERHEAD_LIMIT, usage.part(*SERVING) / measured)
        self.overhead += defaults.ADMISSION_SMOOTHING * (overhead - self.overhead)


@attrs.define(eq=False, repr=False)
class IntakeBudget:
    """Bound the time that reading and refusing requests takes from admitted calls.

    Requests beyond it stay unread for a while. Without a bound, a flood that is refused
    would still take all of the processor.

    :param share: part of the time that may be used, infinite for no bound.
    """

    share: float = math.inf
    _left_ms: float = defaults.INTAKE_BURST_MS
    _updated_ms: float = 0.0

    def has_time(self, now_ms: float) -> bool:
        """Return whether a request may be read now."""
        if math.isinf(self.share):
            return True
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._updated_ms = now_ms
        self._left_ms = min(
            defaults.INTAKE_BURST_MS, self._left_ms + elapsed_ms * self.share
        )
        return self._left_ms > 0.0

    def spend(self, spent_ms: float) -> None:
        """Count time that reading and answering requests has taken."""
        if not math.isinf(self.share):
            self._left_ms -= spent_ms


@attrs.define(eq=False, repr=False)
class LoadShedder:
    """Admit as many calls as this process has time to serve.

    Reading and refusing requests takes time out of the same processor as serving. So
    calls are admitted at the rate at which the time left beside that and beside the
    reports of peers pays for them. Goodput then stays when the load grows, and the loop
    keeps up with the responses in progress. Where the event loop's idle time is
    not measured, only the lag limits admission.

    Customers have a reserve of time, so that one that floods the router does not shut
    out the others: the more, the less they used at all routers. While no usage is
    known, those well below their max-min share of the calls that the process has time
    for have all of it.

    Far above the limit of the lag, as after a pause of the process, all calls are
    refused.
    """

    lag: LoopLag
    cost: ServingCost = attrs.Factory(ServingCost)
    intake: IntakeBudget = attrs.Factory(IntakeBudget)
    # Smoothed parts of the time: in which the loop is busy, and what of it admitted
    # calls, reading and refusing, and reports of peers take.
    _busy: float = 0.0
    _serving: float = 0.0
    _reading: float = 0.0
    _reports: float = 0.0
    # Time that may be spent on admitted calls before the loop falls behind, ms.
    _budget_ms: float = defaults.ADMISSION_BURST_MS
    _refilled_ms: float = 0.0
    # Part of the time for admitted calls, ``None`` while it is not known.
    _rate: float | None = None
    _arrived: DecayingSums = attrs.Factory(
        lambda: DecayingSums(defaults.SHED_WINDOW_MS)
    )
    _admitted: DecayingSums = attrs.Factory(
        lambda: DecayingSums(defaults.SHED_WINDOW_MS)
    )
    _share: float = float("inf")
    _is_short: bool = False

    @property
    def is_short(self) -> bool:
        """Whether the process refuses more calls than it admits, for want of time."""
        return self._is_short

    def note_usage(self, usage: LoopUsage, now_ms: float) -> None:
        """Record how the event loop spent its time since the last call."""
        if usage.busy is None:
            return
        self.cost.note_usage(usage)
        self._update_parts(usage)
        self.intake.share = max(
            defaults.INTAKE_FRACTION_MIN, defaults.BUSY_FRACTION_LIMIT - self._serving
        )
        rate = (
            defaults.BUSY_FRACTION_LIMIT
            - self._reports
            - min(self._reading, defaults.INTAKE_FRACTION_MIN)
        )
        # Calls that take less than was expected leave the loop idle.
        rate *= min(
            defaults.UNUSED_RATE_LIMIT,
            max(1.0, defaults.BUSY_FRACTION_LIMIT / max(self._busy, usage.busy, 1e-3)),
        )
        if self.lag.is_overloaded:
            rate *= self.lag.limit_ms / self.lag.ms
        if self._rate is None:
            self._refilled_ms = now_ms
        self._rate = max(defaults.SERVING_FRACTION_MIN, rate)
        window_calls = self._rate * defaults.SHED_WINDOW_MS / self.cost.ms
        arrived = self._arrived.all(now_ms).values()
        self._share = max_min_fair_share(arrived, window_calls)
        self._update_shortage(sum(arrived), now_ms)

    def _update_shortage(self, arrived: float, now_ms: float) -> None:
        admitted = sum(self._admitted.all(now_ms).values())
        refused = arrived - admitted
        if self._is_short:
            least = defaults.SHORTAGE_END_FRACTION * admitted
            self._is_short = refused > max(least, defaults.SHORTAGE_END_CALLS)
        else:
            self._is_short = refused > max(admitted, defaults.SHORTAGE_CALLS)

    def _update_parts(self, usage: LoopUsage) -> None:
        """Smooth the parts of the time that a period had."""
        weight = defaults.ADMISSION_SMOOTHING
        self._busy += weight * ((usage.busy or 0.0) - self._busy)
        self._serving += weight * (usage.part(*SERVING) - self._serving)
        self._reading += weight * (usage.part(Work.INTAKE) - self._reading)
        self._reports += weight * (usage.part(Work.REPORTS) - self._reports)

    def admits(
        self, customer: str, now_ms: float, shortfall: float | None = None
    ) -> bool:
        """Count a call that arrived; return whether the router takes it.

        :param shortfall: by which part the customer used less than the one that used
            most, over all routers; ``None`` if that is not known.
        """
        self._arrived.add(customer, 1.0, now_ms)
        if self.lag.ms > self.lag.limit_ms * defaults.SHED_ALL_LAG_FACTOR:
            return False
        if self._rate is not None:
            self._refill(now_ms)
            is_light = self._admitted.get(customer, now_ms) < (
                self._share * defaults.LIGHT_SHARE_FRACTION
            )
            reserve = float(is_light) if shortfall is None else shortfall
            if self._budget_ms <= -defaults.ADMISSION_BURST_MS * reserve:
                return False
            self._budget_ms -= min(self.cost.ms, defaults.ADMISSION_BURST_MS)
        self._admitted.add(customer, 1.0, now_ms)
        return True

    def return_admission(self, customer: str, now_ms: float) -> None:
        """Take back a call that was admitted and refused at once for another reason."""
        self._admitted.add(customer, -1.0, now_ms)
        if self._rate is not None:
            self._budget_ms += min(self.cost.ms, defaults.ADMISSION_BURST_MS)

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._refilled_ms)
        self._refilled_ms = now_ms
        self._budget_ms = min(
            defaults.ADMISSION_BURST_MS,
            self._budget_ms + (self._rate or 0.0) * elapsed_ms,
        )

    def wait_ms(self, customer: str, now_ms: float) -> float:
        """Return the time in which a customer's refused calls could be admitted, ms."""
        admitted = max(1.0, self._admitted.get(customer, now_ms))
        refused = max(0.0, self._arrived.get(customer, now_ms) - admitted)
        return defaults.SHED_WINDOW_MS * refused / admitted
