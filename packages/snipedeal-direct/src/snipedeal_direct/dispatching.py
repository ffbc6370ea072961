"""Dispatch queued calls to targets as capacity becomes free."""

import asyncio
import math
import typing as t

from snipedeal.clock import Clock
from snipedeal_direct import defaults
from snipedeal_direct.accounting import log_fields
from snipedeal_direct.findings import TargetFindings
from snipedeal_direct.journal import info
from snipedeal_direct.load import PrefixBudget
from snipedeal_direct.load import TargetLoad
from snipedeal_direct.meter import LoopMeter
from snipedeal_direct.meter import UsageWindow
from snipedeal_direct.meter import Work
from snipedeal_direct.meter import usage_fields
from snipedeal_direct.metrics import DirectMetrics
from snipedeal_direct.model import Call
from snipedeal_direct.model import RouteTable
from snipedeal_direct.model import Target
from snipedeal_direct.overload import LoadShedder
from snipedeal_direct.overload import LoopLag
from snipedeal_direct.queueing import Dispatched
from snipedeal_direct.queueing import Refusal
from snipedeal_direct.queueing import RefusedError
from snipedeal_direct.queueing import ServiceQueue
from snipedeal_direct.restrictions import Restrictions
from snipedeal_direct.settings import DirectSettings
from snipedeal_direct.shares import Shares
from snipedeal_direct.tasks import supervise


def dispatch_delay_ms(dispatch_ms: float) -> float:
    """Return how long to wait after an event before the next dispatch, ms.

    With many targets and queued calls a dispatch takes longer. The delay then grows
    to cover more events at once, so that the event loop has time for responses.

    :param dispatch_ms: duration of the last dispatch of all queues.
    """
    wanted_ms = dispatch_ms * (1 / defaults.DISPATCH_CPU_FRACTION - 1)
    return min(defaults.DISPATCH_TICK_MS, max(defaults.DISPATCH_DELAY_MS, wanted_ms))


class Dispatcher:
    """Own the queues of all services and dispatch their calls.

    :param settings: the router's settings.
    :param meter: counts the time that dispatches take.
    :param prefix_budget: bounds the estimates of the targets' prefix caches.
    """

    def __init__(
        self,
        settings: DirectSettings,
        clock: Clock,
        metrics: DirectMetrics,
        meter: LoopMeter | None = None,
        prefix_budget: PrefixBudget | None = None,
    ) -> None:
        self.queues: dict[str, ServiceQueue] = {}
        self.shedder = LoadShedder(LoopLag(settings.max_lag_ms))
        self.on_sent: t.Callable[[Dispatched], None] = lambda dispatched: None
        self.on_limit: t.Callable[[TargetLoad], None] = lambda load: None
        self.on_leaving: t.Callable[[Target], None] = lambda target: None
        self.live_routers: t.Callable[[], t.Collection[str]] = lambda: ()
        self.restrictions = Restrictions(
            settings.name, lambda: self.queues, clock, metrics, self.schedule
        )
        self.on_new_instance: t.Callable[[Target], None] = lambda target: None
        self._settings = settings
        self._meter = meter or LoopMeter(clock)
        self._usage = UsageWindow(self._meter)
        self._admission_usage = UsageWindow(self._meter)
        self._admission_updated_ms = 0.0
        self._clock = clock
        self._metrics = metrics
        self.findings = TargetFindings()
        self.prefix_budget = prefix_budget or PrefixBudget.of_smallest_vm()
        self._registrations: dict[str, Target] = {}
        # Services of the configuration, ``None`` before the first; only these have
        # queues.
        self._services: frozenset[str] | None = None
        self._futures: dict[Call, asyncio.Future[Dispatched]] = {}
        # Units that all targets serve in a share window; zero if unknown.
        self._capacity = 0.0
        self._dispatch_timer: asyncio.TimerHandle | None = None
        self._dispatch_delay_ms = float(defaults.DISPATCH_DELAY_MS)
        # When calls that are too late were last looked for, by service.
        self._expired_ms: dict[str, float] = {}
        self._dispatched_ms = 0.0
        self._shares_updated_ms = 0.0
        self._limits_updated_ms = 0.0
        self._accounts_logged_ms = 0.0
        self._task: asyncio.Task[None] | None = None

    @property
    def lag(self) -> LoopLag:
        """How late this process runs its timers."""
        return self.shedder.lag

    def start(self) -> None:
        """Start the periodic dispatch."""
        self._task = supervise(self._tick, "dispatcher", self._metrics)

    async def close(self) -> None:
        """Stop the periodic dispatch."""
        for pending in (self._task, self._dispatch_timer):
            if pending is not None:
                pending.cancel()

    # -- configuration and targets -----------------------------------------------

    def apply_table(self, table: RouteTable) -> None:
        """Apply the capacity and the engine limits of a new configuration."""
        window_s = self._settings.bounds.share_window_s
        self._capacity = table.limits.capacity_tokens_per_s * window_s
        if self._services is None:
            self.queues = {
                name: queue
                for name, queue in self.queues.items()
                if name in table.services
            }
        self._services = frozenset(table.services)
        for name, service in table.services.items():
            self._queue(name).set_engine(service.engine)
            self._queue(name).set_cold_terms(service.cold_terms)
        for registration in list(self._registrations.values()):
            self._set_target(registration)

    def apply_target(self, target_id: str, target: Target | None) -> None:
        """Add, update or remove (``None``) a target, and schedule a dispatch."""
        registration = self._registrations.get(target_id)
        if registration is not None and (
            target is None or target.service != registration.service
        ):
            if registration.service in self.queues:
                self.queues[registration.service].remove_target(target_id)
            del self._registrations[target_id]
        if target is None:
            if registration is not None and not registration.started_ms:
                # Nothing tells the next start of such a target from this one.
                self.findings.forget(registration.instance)
            return
        self._registrations[target_id] = target
        self._set_target(target)
        queue = self.queues.get(target.service)
        if queue is not None:
            self.restrictions.note_registered(queue.targets[target_id])
        self.schedule()

    def _set_target(self, target: Target) -> None:
        """Add a target to its service's queue, or update it there.

        A target of a service that is not configured waits until it is: any writer of
        the platform's store may name any service.
        """
        if (
            self._services is not None
            and target.service not in self._services
            and target.service not in self.queues
        ):
            return
        queue = self._queue(target.service)
        is_new = queue.set_target(target)
        load = queue.targets[target.id]
        if is_new:
            load.has_said_leaving = self.findings.is_leaving(target.instance)
            load.pause = self.findings.known_pause(target.instance) or load.pause
            self.on_new_instance(target)
        self.restrictions.place(load)

    def targets(self) -> list[Target]:
        """Return all targets that are registered."""
        return list(self._registrations.values())

    # -- calls ---------------------------------------------------------------------

    async def acquire_target(self, call: Call) -> Dispatched:
        """Wait until a call is assigned to a target; queue it first if it is not yet.

        :raises RefusedError: the call can't be served in time.
        """
        if call not in self._futures:
            refusal = self.enqueue(call)
            if refusal is not None:
                raise RefusedError(refusal)
        future = self._futures[call]
        try:
            dispatched = await future
        except BaseException:
            self.abandon(call)
            raise
        del self._futures[call]
        return dispatched

    def enqueue(self, call: Call) -> Refusal | None:
        """Queue a call for :meth:`acquire_target`, or refuse it at once."""
        queue = self._queue(call.service)
        refusal = queue.add(call, self._clock.now_ms())
        if refusal is not None:
            return refusal
        self._futures[call] = asyncio.get_running_loop().create_future()
        if len(queue.waiting) == 1:
            self._dispatch_queue(queue)
        else:
            # A dispatch of a long queue at each arrival would take most of a small
            # router's processor time.
            self.schedule()
        return None

    def abandon(self, call: Call) -> None:
        """Take back a call that was queued and is not awaited any more."""
        future = self._futures.pop(call, None)
        if future is None:
            return
        self._queue(call.service).remove(call)
        if not future.done():
            future.cancel()
        elif not future.cancelled() and not future.exception():
            # A target was assigned just before; release it.
            self.note_not_run(future.result())
            self.end(future.result())

    def refuse_waiting(self, check: t.Callable[[Call], Refusal | None]) -> None:
        """Refuse the waiting calls for which ``check`` returns a refusal."""
        for call, future in list(self._futures.items()):
            refusal = None if future.done() else check(call)
            if refusal is not None:
                future.set_exception(RefusedError(refusal))

    def note_demand(self, call: Call) -> None:
        """Add a new call to its customer's demand, whatever becomes of it."""
        queue = self._queue(call.service)
        queue.accounts.note_asked(call)
        queue.shares.note_demand(call.customer, call.units, self._clock.now_ms())

    def admits(self, service: str, customer: str, now_ms: float) -> bool:
        """Return whether the router has time for a call of a customer."""
        queue = self.queues.get(service)
        shortfall = None
        if queue is not None and queue.shares.total_usage > 0.0:
            shortfall = queue.shares.shortfall(customer)
        return self.shedder.admits(customer, now_ms, shortfall)

    def note_shed(self, service: str, customer: str, units: float) -> bool:
        """Record a call that the router had no time for, with its demand.

        :return: whether it exceeded its customer's share.
        """
        now_ms = self._clock.now_ms()
        return self._queue(service).note_shed(customer, units, now_ms)

    def note_first_event(self, dispatched: Dispatched) -> None:
        """Record a call's first event, which ends its prefill."""
        now_ms = self._clock.now_ms()
        dispatched.load.note_first_event(dispatched.in_flight, now_ms, self.lag.ms)
        self.schedule()

    def note_events(self, dispatched: Dispatched, last_ms: float, count: int) -> float:
        """Record events of a stream; return the time at which they came.

        :param last_ms: when the events before them came, zero if there were none.
        """
        if not dispatched.in_flight.is_prefill_ended:
            self.note_first_event(dispatched)
        now_ms, load = self._clock.now_ms(), dispatched.load
        load.note_events(dispatched.in_flight, count, last_ms, now_ms, self.lag.ms)
        return now_ms

    def note_answer(self, dispatched: Dispatched, is_good: bool) -> None:
        """Record whether a target answered or failed.

        :param is_good: whether the answer is complete and its status below 500.
        """
        dispatched.in_flight.is_whole = is_good
        health = dispatched.load.health
        before = health.capacity_fraction(self._clock.now_ms())
        health.note_answer(is_good, self._clock.now_ms())
        self._log_health_change(dispatched, before, "answer")

    def is_withdrawn(self, dispatched: Dispatched) -> bool:
        """Return whether the target of a call wants no more calls, by its own word."""
        load = dispatched.load
        return (
            load.has_said_leaving
            or load.is_evacuated
            or load.pause_left_ms(self._clock.now_ms()) > 0
            or not load.warmup.may_send(self._clock.now_ms())
        )

    def note_leaving(self, dispatched: Dispatched) -> None:
        """Record that a target has said in a response that it leaves."""
        target = dispatched.load.target
        if self._apply_leaving(target.instance, target.service, dispatched.call.id):
            self.on_leaving(target)

    def apply_peer_leaving(
        self, instance: str, service: str, seen_ms: float, peer: str
    ) -> None:
        """Apply another router's finding that a target leaves.

        :param seen_ms: monotonic time at which it was seen.
        """
        self._apply_leaving(instance, service, peer, seen_ms)

    def _apply_leaving(
        self, instance: str, service: str, origin: str, seen_ms: float | None = None
    ) -> bool:
        now_ms = self._clock.now_ms()
        first_ms = now_ms if seen_ms is None else seen_ms
        if not self.findings.note_leaving(instance, first_ms):
            return False
        queue = self.queues.get(service)
        for load in queue.targets.values() if queue else ():
            if load.target.instance == instance:
                load.has_said_leaving = True
                self._queue(service).note_change()
        info(
            "target.leaving",
            target=instance,
            service=service,
            origin=origin,
            age_ms=round(now_ms - first_ms),
        )
        self.schedule()
        return True

    def pause(self, load: TargetLoad, wait_ms: float, request_id: str) -> None:
        """Send a target nothing for as long as it asked for in a response."""
        now_ms = self._clock.now_ms()
        load.pause = self.findings.pause(load.target.instance)
        if not load.pause.extend(now_ms + wait_ms):
            return
        self._queue(load.target.service).note_change()
        info(
            "target.paused",
            target=load.target.id,
            request=request_id,
            wait_ms=round(wait_ms),
            running=load.running,
        )
        self.schedule()

    def note_rate_limit(self, dispatched: Dispatched, limit: float | None) -> None:
        """Record the rate limit that a target named in a response.

        :param limit: requests a second, ``None`` if the response names none.
        """
        load = dispatched.load
        if limit is None and (
            load.limit is None or dispatched.in_flight.sent_ms <= load.limit_seen_ms
        ):
            # A response to an earlier request may be older than the limit.
            return
        now_ms = self._clock.now_ms()
        if self._apply_limit(load, limit, now_ms, dispatched.call.id):
            self.on_limit(load)

    def apply_peer_limit(
        self, load: TargetLoad, limit: float | None, seen_ms: float, peer: str
    ) -> None:
        """Apply the rate limit that another router has seen.

        :param seen_ms: monotonic time at which it saw it.
        """
        self._apply_limit(load, limit, seen_ms, peer)

    def _apply_limit(
        self, load: TargetLoad, limit: float | None, seen_ms: float, origin: str
    ) -> bool:
        before = load.limit.limit if load.limit else None
        if not load.note_limit(limit, seen_ms):
            return False
        info(
            "target.limit",
            target=load.target.id,
            origin=origin,
            limit=limit,
            before=before,
            running=load.running,
        )
        self._update_limits(self._queue(load.target.service))
        self.schedule()
        return True

    def _update_limits(self, queue: ServiceQueue) -> None:
        names = self.live_routers()
        queue.update_limits(self._settings.name, names, self._clock.now_ms())

    def note_not_run(self, dispatched: Dispatched) -> None:
        """Take back the usage of a call that its target did not run."""
        call = dispatched.call
        self._queue(call.service).shares.return_unserved(
            call.customer,
            call.units,
            dispatched.in_flight.sent_ms,
            self._clock.now_ms(),
        )

    def note_unreachable(self, dispatched: Dispatched, is_timeout: bool) -> None:
        """Record a failed connect to a target.

        If connects to many targets time out, the router's own link is more likely at
        fault than they are, and no more of them are ejected.

        :param is_timeout: whether the target did not answer, rather than refuse.
        """
        self.restrictions.note_lost(dispatched.load)
        queue = self._queue(dispatched.load.target.service)
        if is_timeout and queue.has_ejected_many(dispatched.load, self._clock.now_ms()):
            info(
                "target.not_ejected",
                target=dispatched.load.target.id,
                request=dispatched.call.id,
                reason="connects to many targets time out",
            )
            return
        health = dispatched.load.health
        before = health.capacity_fraction(self._clock.now_ms())
        health.note_unreachable(self._clock.now_ms())
        self._log_health_change(dispatched, before, "unreachable")

    def note_replaced(self, dispatched: Dispatched) -> None:
        """Record that another target has taken over this one's address."""
        health = dispatched.load.health
        before = health.capacity_fraction(self._clock.now_ms())
        health.note_replaced(self._clock.now_ms())
        self._log_health_change(dispatched, before, "replaced")

    def end(self, dispatched: Dispatched) -> None:
        """Record that a call at a target has ended, complete or not."""
        dispatched.load.end(dispatched.in_flight, self._clock.now_ms())
        self._metrics.note_cost(dispatched.call.service, dispatched.in_flight)
        self.schedule()

    def schedule(self) -> None:
        """Schedule a dispatch of all queues, unless one is pending or no call waits."""
        if self._dispatch_timer is None and self._futures:
            loop = asyncio.get_running_loop()
            self._dispatch_timer = loop.call_later(
                self._dispatch_delay_ms / 1000, self._dispatch_all
            )

    # -- internals -----------------------------------------------------------------

    def _queue(self, service: str) -> ServiceQueue:
        queue = self.queues.get(service)
        if queue is None:
            shares = Shares(self._settings.bounds.share_window_ms)
            queue = ServiceQueue(
                service, self._settings.zone, shares, prefix_budget=self.prefix_budget
            )
            queue.costs.is_enabled = self._settings.learns_costs
            self.queues[service] = queue
        return queue

    def _dispatch_all(self) -> None:
        if self._dispatch_timer is not None:
            self._dispatch_timer.cancel()
            self._dispatch_timer = None
        started_ms = self._clock.now_ms()
        for queue in self.queues.values():
            if queue.waiting:
                self._dispatch_queue(queue)
        self._dispatched_ms = self._clock.now_ms()
        self._dispatch_delay_ms = dispatch_delay_ms(self._dispatched_ms - started_ms)

    def _dispatch_queue(self, queue: ServiceQueue) -> None:
        began = self._meter.begin()
        self._assign(queue)
        self._meter.end(Work.DISPATCH, began)

    def _assign(self, queue: ServiceQueue) -> None:
        now_ms = self._clock.now_ms()
        for dispatched in queue.dispatch(now_ms):
            future = self._futures.get(dispatched.call)
            if future is None or future.done():
                self.note_not_run(dispatched)
                self.end(dispatched)
            else:
                queue.accounts.note_sent(dispatched.call)
                self.on_sent(dispatched)
                future.set_result(dispatched)
        if (
            now_ms - self._expired_ms.get(queue.service, 0.0)
            < defaults.DISPATCH_TICK_MS
        ):
            return
        self._expired_ms[queue.service] = now_ms
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
            if now_ms - self._admission_updated_ms >= defaults.ADMISSION_INTERVAL_MS:
                self._admission_updated_ms = now_ms
                usage = self._admission_usage.take()
                self.shedder.note_usage(usage, now_ms)
            if now_ms - self._shares_updated_ms >= defaults.SHARES_INTERVAL_MS:
                self._shares_updated_ms = now_ms
                for queue in self.queues.values():
                    is_configured = queue.engine is not None and self._capacity
                    capacity = self._capacity if is_configured else math.inf
                    queue.shares.update(capacity, now_ms)
            if now_ms - self._limits_updated_ms >= defaults.LIMITS_INTERVAL_MS:
                self._limits_updated_ms = now_ms
                self.findings.expire(now_ms)
                for queue in self.queues.values():
                    queue.update_speeds(now_ms)
                    self._update_limits(queue)
                self.restrictions.update_senders()
            if now_ms - self._accounts_logged_ms >= defaults.ACCOUNTS_INTERVAL_MS:
                self._accounts_logged_ms = now_ms
                self._log_accounts(now_ms)
            if now_ms - self._dispatched_ms >= self._dispatch_delay_ms:
                self._dispatch_all()

    def _log_accounts(self, now_ms: float) -> None:
        """Log the customers that had calls refused since the last time."""
        usage = self._usage.take()
        if usage.busy is not None and usage.busy > defaults.LOGGED_BUSY_FRACTION:
            info(
                "process.busy",
                **usage_fields(usage),
                serving_ms=round(self.shedder.cost.ms, 2),
                lag_ms=round(self.lag.ms),
                waiting=sum(len(queue.waiting) for queue in self.queues.values()),
            )
        for name, queue in self.queues.items():
            for customer, totals in queue.accounts.take():
                info(
                    "customer.refused",
                    service=name,
                    **log_fields(customer, totals),
                    used=round(queue.shares.usage(customer)),
                    share=round(min(queue.shares.fair_share, 1e9)),
                    shortfall=round(queue.shares.shortfall(customer), 2),
                    capacity=round(self._capacity),
                    all_used=round(queue.shares.total_usage),
                    lag_ms=round(self.lag.ms),
                    dispatch_delay_ms=round(self._dispatch_delay_ms, 1),
                )

    def _note_lag(self, late_ms: float) -> None:
        before = self.lag.is_overloaded
        self.lag.note(late_ms)
        if self.lag.is_overloaded != before:
            info(
                "process.overloaded" if not before else "process.keeps_up",
                late_ms=round(late_ms),
            )

    def _log_health_change(
        self, dispatched: Dispatched, before: float, evidence: str
    ) -> None:
        health = dispatched.load.health
        now_ms = self._clock.now_ms()
        after = health.capacity_fraction(now_ms)
        if after != before:
            self._queue(dispatched.load.target.service).note_change()
            info(
                "target.condition",
                target=dispatched.load.target.id,
                evidence=evidence,
                request=dispatched.call.id,
                failure_share=round(health.failure_share(now_ms), 3),
                room=after,
                room_before=before,
            )
