"""Measure how the event loop spends its time."""

import asyncio
import enum
import functools
import selectors
import typing as t

import attrs

from snipedeal.clock import Clock

T = t.TypeVar("T")


class Work(enum.Enum):
    """What the event loop spends time on, beside system calls and the loop itself."""

    #: Reading requests of callers, admitting and refusing them.
    INTAKE = "intake"
    #: Choosing targets for queued calls.
    DISPATCH = "dispatch"
    #: Forwarding what targets answer.
    RELAY = "relay"
    #: Exchanging reports with peers.
    REPORTS = "reports"
    #: All other steps of the calls that were admitted.
    SERVE = "serve"


#: Work on calls that were admitted.
SERVING = (Work.DISPATCH, Work.RELAY, Work.SERVE)


@attrs.define(eq=False, repr=False)
class LoopMeter:
    """Sums of time since the start of the process, ms.

    Time in which the process wants to run and may not, because its processor quota is
    used up, counts like time in which it runs: both are not available for other work.

    :param idle_ms: time in which the event loop waited; ``None`` if its selector does
        not measure that.
    :param spent_ms: time spent by kind of work.
    """

    clock: Clock = attrs.Factory(Clock)
    idle_ms: float | None = None
    spent_ms: dict[Work, float] = attrs.Factory(lambda: dict.fromkeys(Work, 0.0))
    # Time of all finished spans; tells an outer span what inner ones have counted.
    _counted_ms: float = 0.0

    def now_ms(self) -> float:
        """Return monotonic milliseconds, with a fraction."""
        return self.clock.monotonic() * 1000

    def begin(self) -> tuple[float, float]:
        """Begin a span of work, for :meth:`end`."""
        return self.now_ms(), self._counted_ms

    def end(self, work: Work, began: tuple[float, float]) -> float:
        """Count the time since ``began`` for a kind of work, without inner spans.

        :return: the time counted, ms.
        """
        began_ms, counted_ms = began
        elapsed_ms = self.now_ms() - began_ms
        own_ms = elapsed_ms - (self._counted_ms - counted_ms)
        self.spent_ms[work] += own_ms
        self._counted_ms = counted_ms + elapsed_ms
        return own_ms

    def note_idle(self, began_ms: float) -> None:
        """Count the time since ``began_ms`` as idle."""
        self.idle_ms = (self.idle_ms or 0.0) + self.now_ms() - began_ms

    async def run(
        self,
        work: Work,
        start: t.Callable[[], t.Coroutine[t.Any, t.Any, T]],
        on_spent: t.Callable[[float], None] = lambda spent_ms: None,
    ) -> T:
        """Run a coroutine and count the time of its steps.

        :param start: creates the coroutine.
        :param on_spent: gets the time of each step, ms.
        """
        return await _MeteredSteps(self, work, start(), on_spent)


@attrs.frozen
class _MeteredSteps(t.Generic[T]):
    """Awaitable that counts the time of each step of a coroutine."""

    meter: LoopMeter
    work: Work
    coroutine: t.Coroutine[t.Any, t.Any, T]
    on_spent: t.Callable[[float], None]

    def __await__(self) -> t.Generator[t.Any, t.Any, T]:
        """Pass on what the coroutine waits for, and what it gets."""
        step: t.Callable[[], t.Any] = functools.partial(self.coroutine.send, None)
        while True:
            began = self.meter.begin()
            try:
                awaited = step()
            except StopIteration as stop:
                return t.cast(T, stop.value)
            finally:
                self.on_spent(self.meter.end(self.work, began))
            try:
                value = yield awaited
            except GeneratorExit:
                self.coroutine.close()
                raise
            except BaseException as error:
                step = functools.partial(self.coroutine.throw, error)
            else:
                step = functools.partial(self.coroutine.send, value)


@attrs.frozen
class LoopUsage:
    """How a period of time was spent, as fractions of it.

    :param busy: part in which the event loop did not wait; ``None`` if not measured.
    :param spent: part by kind of work.
    """

    period_ms: float
    busy: float | None
    spent: dict[Work, float]

    @property
    def measured(self) -> float:
        """Part of the busy time that was measured as some kind of work."""
        return sum(self.spent.values()) / self.busy if self.busy else 0.0

    def part(self, *kinds: Work) -> float:
        """Return the part spent on kinds of work.

        System calls and the event loop itself are divided like the work that was
        measured.
        """
        measured = self.measured
        if measured <= 0.0:
            return 0.0
        return sum(self.spent[work] for work in kinds) / measured


@attrs.define(eq=False, repr=False)
class UsageWindow:
    """Usage of the event loop since the last time that it was taken."""

    meter: LoopMeter
    _began_ms: float = attrs.field(init=False)
    _idle_ms: float | None = attrs.field(init=False)
    _spent_ms: dict[Work, float] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._begin()

    def take(self) -> LoopUsage:
        """Return the usage since the last call, and begin a new period."""
        period_ms = max(1e-3, self.meter.now_ms() - self._began_ms)
        busy = None
        if self.meter.idle_ms is not None:
            idle_ms = self.meter.idle_ms - (self._idle_ms or 0.0)
            busy = min(1.0, max(0.0, 1.0 - idle_ms / period_ms))
        spent = {
            work: (spent_ms - self._spent_ms[work]) / period_ms
            for work, spent_ms in self.meter.spent_ms.items()
        }
        self._begin()
        return LoopUsage(period_ms, busy, spent)

    def _begin(self) -> None:
        self._began_ms = self.meter.now_ms()
        self._idle_ms = self.meter.idle_ms
        self._spent_ms = dict(self.meter.spent_ms)


class _MeteredSelector(selectors.DefaultSelector):
    """A selector that counts the time in which it waits."""

    def __init__(self, meter: LoopMeter) -> None:
        super().__init__()
        self._meter = meter
        meter.idle_ms = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is not None and timeout <= 0:
            return super().select(timeout)
        began_ms = self._meter.now_ms()
        try:
            return super().select(timeout)
        finally:
            self._meter.note_idle(began_ms)


def make_event_loop(meter: LoopMeter) -> asyncio.AbstractEventLoop:
    """Return an event loop that counts its idle time in a meter."""
    return asyncio.SelectorEventLoop(_MeteredSelector(meter))


def usage_fields(usage: LoopUsage) -> dict[str, t.Any]:
    """Return the fields of a log line about a period."""
    fields = {work.value: round(part, 3) for work, part in usage.spent.items()}
    if usage.busy is not None:
        fields["busy"] = round(usage.busy, 3)
    return fields
