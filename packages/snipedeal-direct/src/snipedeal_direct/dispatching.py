"""Run the queues: hand calls to targets as they become free."""

import asyncio
import typing as t

import attrs

from snipedeal.clock import Clock
from snipedeal_direct import defaults
from snipedeal_direct.journal import note
from snipedeal_direct.model import Call
from snipedeal_direct.model import RouteTable
from snipedeal_direct.model import Target
from snipedeal_direct.overload import LoopLag
from snipedeal_direct.queueing import Dispatched
from snipedeal_direct.queueing import Refusal
from snipedeal_direct.queueing import ServiceQueue
from snipedeal_direct.settings import DirectSettings
from snipedeal_direct.shares import Shares


class RefusedError(Exception):
    """A call is turned away; it has not run.

    :param refusal: why, and when to come again.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


@attrs.define
class _Place:
    """A registered target and the service whose queue has it."""

    service: str
    target: Target


def pause_after(look_ms: float) -> float:
    """Return how long to wait from an event to the next look at the queues, ms.

    Answers the load of many targets and waiting calls: the longer a look takes,
    the more events it bundles, so that looks leave the loop to answers.

    :param look_ms: time that the last look took.
    """
    wanted_ms = look_ms * (1 / defaults.DISPATCH_SHARE - 1)
    return min(defaults.DISPATCH_TICK_MS, max(defaults.DISPATCH_DELAY_MS, wanted_ms))


class Dispatcher:
    """Own the queues of all services.

    :param settings: the router's settings.
    """

    def __init__(self, settings: DirectSettings, clock: Clock) -> None:
        self.queues: dict[str, ServiceQueue] = {}
        self.lag = LoopLag(settings.max_lag_ms)
        self.on_sent: t.Callable[[Dispatched], None] = lambda dispatched: None
        self.on_new_start: t.Callable[[Target], None] = lambda target: None
        self._settings = settings
        self._clock = clock
        self._places: dict[str, _Place] = {}
        self._futures: dict[Call, asyncio.Future[Dispatched]] = {}
        self._capacity = 0.0
        self._is_due = False
        self._pause_ms = float(defaults.DISPATCH_DELAY_MS)
        self._shares_ms = 0.0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to look at the queues."""
        self._task = asyncio.create_task(self._tick(), name="dispatcher")

    async def close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()

    # -- what is known -----------------------------------------------------------

    def apply_table(self, table: RouteTable) -> None:
        """Take a new configuration."""
        window_s = self._settings.bounds.share_window_s
        self._capacity = table.limits.capacity_tokens_per_s * window_s
        for name, service in table.services.items():
            self._queue(name).set_engine(service.engine)

    def apply_target(self, target_id: str, target: Target | None) -> None:
        """Take a target's entry, or that it is gone."""
        place = self._places.get(target_id)
        if place is not None and (target is None or target.service != place.service):
            self.queues[place.service].remove_target(target_id)
            del self._places[target_id]
        if target is None:
            return
        self._places[target_id] = _Place(target.service, target)
        if self._queue(target.service).set_target(target):
            self.on_new_start(target)
        self.schedule()

    def targets(self) -> list[Target]:
        """Return all targets that are registered."""
        return [place.target for place in self._places.values()]

    # -- calls ---------------------------------------------------------------------

    async def place(self, call: Call) -> Dispatched:
        """Wait until a call may go to a target.

        :raises RefusedError: it can't be served.
        """
        now_ms = self._clock.now_ms()
        queue = self._queue(call.service)
        refusal = queue.add(call, now_ms)
        if refusal is not None:
            raise RefusedError(refusal)
        future = asyncio.get_running_loop().create_future()
        self._futures[call] = future
        self._run(queue)
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                self.end(future.result())
            raise
        finally:
            self._futures.pop(call, None)
            queue.remove(call)

    def note_asked(self, call: Call) -> None:
        """Note what a new call asks for."""
        queue = self._queue(call.service)
        queue.shares.note_asked(call.customer, call.units, self._clock.now_ms())

    def note_first_event(self, dispatched: Dispatched) -> None:
        """Note that a target has begun to answer."""
        dispatched.load.note_first_event(dispatched.sent, self._clock.now_ms())
        self.schedule()

    def note_answer(self, dispatched: Dispatched, is_good: bool) -> None:
        """Note how a target answered."""
        condition = dispatched.load.condition
        before = condition.room(self._clock.now_ms())
        condition.note_answer(is_good, self._clock.now_ms())
        self._tell_condition(dispatched, before, "answer")

    def note_unreachable(self, dispatched: Dispatched) -> None:
        """Note that a target could not be reached."""
        condition = dispatched.load.condition
        before = condition.room(self._clock.now_ms())
        condition.note_unreachable(self._clock.now_ms())
        self._tell_condition(dispatched, before, "unreachable")

    def note_replaced(self, dispatched: Dispatched) -> None:
        """Note that another target has the address of this one."""
        condition = dispatched.load.condition
        before = condition.room(self._clock.now_ms())
        condition.note_replaced(self._clock.now_ms())
        self._tell_condition(dispatched, before, "replaced")

    def end(self, dispatched: Dispatched) -> None:
        """Note that a call has left its target."""
        dispatched.load.end(dispatched.sent)
        self.schedule()

    def schedule(self) -> None:
        """Look at the queues in a moment."""
        if not self._is_due and self._futures:
            self._is_due = True
            loop = asyncio.get_running_loop()
            loop.call_later(self._pause_ms / 1000, self._run_all)

    # -- inner ---------------------------------------------------------------------

    def _queue(self, service: str) -> ServiceQueue:
        queue = self.queues.get(service)
        if queue is None:
            shares = Shares(self._settings.bounds.share_window_ms)
            queue = ServiceQueue(service, self._settings.zone, shares)
            self.queues[service] = queue
        return queue

    def _run_all(self) -> None:
        self._is_due = False
        began_ms = self._clock.now_ms()
        for queue in self.queues.values():
            if queue.waiting:
                self._run(queue)
        self._pause_ms = pause_after(self._clock.now_ms() - began_ms)

    def _run(self, queue: ServiceQueue) -> None:
        now_ms = self._clock.now_ms()
        for dispatched in queue.dispatch(now_ms):
            future = self._futures.get(dispatched.call)
            if future is None or future.done():
                self.end(dispatched)
            else:
                self.on_sent(dispatched)
                future.set_result(dispatched)
        for call, refusal in queue.expire(now_ms):
            future = self._futures.get(call)
            if future is not None and not future.done():
                future.set_exception(RefusedError(refusal))

    async def _tick(self) -> None:
        while True:
            before_ms = self._clock.now_ms()
            await asyncio.sleep(defaults.DISPATCH_TICK_MS / 1000)
            now_ms = self._clock.now_ms()
            self._note_lag(now_ms - before_ms - defaults.DISPATCH_TICK_MS)
            if now_ms - self._shares_ms >= defaults.PEER_INTERVAL_MS:
                self._shares_ms = now_ms
                for queue in self.queues.values():
                    if queue.engine is not None and self._capacity:
                        queue.shares.update(self._capacity, now_ms)
            self._run_all()

    def _note_lag(self, late_ms: float) -> None:
        before = self.lag.is_overloaded
        self.lag.note(late_ms)
        if self.lag.is_overloaded != before:
            note(
                "process.overloaded" if not before else "process.keeps_up",
                late_ms=round(late_ms),
            )

    def _tell_condition(
        self, dispatched: Dispatched, before: float, evidence: str
    ) -> None:
        condition = dispatched.load.condition
        now_ms = self._clock.now_ms()
        after = condition.room(now_ms)
        if after != before:
            note(
                "target.condition",
                target=dispatched.load.target.id,
                evidence=evidence,
                request=dispatched.call.id,
                failure_share=round(condition.failure_share(now_ms), 3),
                room=after,
                room_before=before,
            )
