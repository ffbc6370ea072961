"""What the event loop spends its time on."""

import asyncio
import warnings

import pytest

from snipedeal.clock import Clock
from snipedeal_direct.meter import LoopMeter
from snipedeal_direct.meter import UsageWindow
from snipedeal_direct.meter import Work
from snipedeal_direct.meter import make_event_loop


class FakeTime:
    """A clock that tests advance."""

    def __init__(self):
        self.now_s = 100.0

    def advance_ms(self, ms):
        self.now_s += ms / 1000


@pytest.fixture
def time():
    return FakeTime()


@pytest.fixture
def meter(time):
    return LoopMeter(Clock(monotonic=lambda: time.now_s))


def test_inner_spans_are_not_counted_twice(time, meter):
    outer = meter.begin()
    time.advance_ms(2)
    inner = meter.begin()
    time.advance_ms(3)
    meter.end(Work.DISPATCH, inner)
    time.advance_ms(1)
    meter.end(Work.SERVE, outer)
    assert meter.spent_ms[Work.DISPATCH] == pytest.approx(3)
    assert meter.spent_ms[Work.SERVE] == pytest.approx(3)


def test_steps_of_a_coroutine_are_counted_without_its_waits(time, meter):
    async def work():
        time.advance_ms(2)
        await asyncio.sleep(0)
        time.advance_ms(4)
        return "done"

    async def scenario():
        task = asyncio.create_task(meter.run(Work.SERVE, work))
        await asyncio.sleep(0)
        time.advance_ms(50)
        return await task

    assert asyncio.run(scenario()) == "done"
    assert meter.spent_ms[Work.SERVE] == pytest.approx(6)


def test_cancelled_coroutine_sees_its_cancellation(meter):
    seen = []

    async def work():
        try:
            await asyncio.sleep(10)
        except asyncio.CancelledError:
            seen.append("cancelled")
            raise

    async def scenario():
        task = asyncio.create_task(meter.run(Work.SERVE, work))
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return task.cancelled()

    assert asyncio.run(scenario())
    assert seen == ["cancelled"]


def test_task_that_is_cancelled_before_its_start_leaves_no_coroutine(meter):
    started = []

    async def work():
        started.append(1)

    async def scenario():
        task = asyncio.create_task(meter.run(Work.SERVE, work))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    with warnings.catch_warnings():
        warnings.simplefilter("error")
        asyncio.run(scenario())
    assert not started


def test_errors_leave_a_metered_coroutine(meter):
    async def work():
        await asyncio.sleep(0)
        raise ValueError("broken")

    with pytest.raises(ValueError, match="broken"):
        asyncio.run(meter.run(Work.SERVE, work))


def test_usage_divides_what_was_not_measured_like_the_rest(time, meter):
    meter.idle_ms = 0.0
    window = UsageWindow(meter)
    for work, spent_ms in ((Work.INTAKE, 20), (Work.SERVE, 40)):
        began = meter.begin()
        time.advance_ms(spent_ms)
        meter.end(work, began)
    # System calls and the loop itself.
    time.advance_ms(30)
    idle_from_ms = meter.now_ms()
    time.advance_ms(10)
    meter.note_idle(idle_from_ms)
    usage = window.take()
    assert usage.period_ms == pytest.approx(100)
    assert usage.busy == pytest.approx(0.9)
    assert usage.part(Work.SERVE) == pytest.approx(0.6)
    assert usage.part(Work.INTAKE) == pytest.approx(0.3)


def test_usage_of_an_unmetered_loop_is_unknown(meter):
    assert UsageWindow(meter).take().busy is None


def test_event_loop_counts_the_time_in_which_it_waits():
    meter = LoopMeter()
    with asyncio.Runner(loop_factory=lambda: make_event_loop(meter)) as runner:
        runner.run(asyncio.sleep(0.05))
    assert meter.idle_ms >= 40
