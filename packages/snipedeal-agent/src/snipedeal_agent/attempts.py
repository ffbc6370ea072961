"""Run attempts on the target and send their answers to routers."""

import asyncio
import collections
import random
import typing as t

import attrs

from snipedeal import defaults
from snipedeal.exceptions import EngineError
from snipedeal.exceptions import EngineLostError
from snipedeal.exceptions import StreamUnknownError
from snipedeal.membership import TARGET
from snipedeal.messages import Busy
from snipedeal.messages import Cancel
from snipedeal.messages import Dispatch
from snipedeal.messages import Done
from snipedeal.messages import Empty
from snipedeal.messages import Incident
from snipedeal.messages import Offer
from snipedeal.messages import Part
from snipedeal.messages import Resume
from snipedeal.messages import Seek
from snipedeal.messages import Take
from snipedeal.plugins import register_plugin
from snipedeal.seeker import Seeker
from snipedeal_agent.dialects import Answered
from snipedeal_agent.dialects import Chunks
from snipedeal_agent.dialects import TargetEvent
from snipedeal_agent.dialects import Usage

if t.TYPE_CHECKING:
    from snipedeal_agent.agent import Agent

_TICK_MS = 100


@attrs.define(eq=False)
class _Attempt:
    """An attempt that runs or ran on the target.

    :param offset: chunks sent to the router so far.
    :param kept: chunks kept for a resumption, where the target can't resume.
    """

    id: str
    request: str
    customer: str
    weight: float
    router: str
    fingerprint: str
    is_idempotent: bool
    is_solo: bool = False
    offset: int = 0
    units: float = 0.0
    status: int = 0
    headers: dict[str, str] = attrs.Factory(dict)
    kept: list[bytes] = attrs.Factory(list)
    done: Done | None = None
    task: asyncio.Task[None] | None = None
    orphaned_ms: int | None = None
    finished_ms: int = 0


@attrs.frozen
class _Held:
    """A dispatch that waits to be alone on the target."""

    router: str
    dispatch: Dispatch


@register_plugin(TARGET, "attempts")
class Attempts:
    """Admit, run, resume and cancel attempts.

    :param agent: the agent that this is a part of.
    """

    def __init__(self, agent: "Agent") -> None:
        self._agent = agent
        self._node = agent.node
        self._gate = agent.gate
        self._attempts: collections.OrderedDict[str, _Attempt] = (
            collections.OrderedDict()
        )
        self._held: dict[str, _Held] = {}
        self._crashes = 0
        self._seeker = Seeker()
        self._random = random.Random()

    @property
    def running(self) -> list[_Attempt]:
        """Attempts that have not ended."""
        return [a for a in self._attempts.values() if a.done is None]

    def start(self) -> None:
        """Take messages from routers."""
        node = self._node
        node.handle(Offer, self._on_offer)
        node.handle(Dispatch, self._on_dispatch)
        node.handle(Empty, self._on_empty)
        node.handle(Cancel, self._on_cancel)
        node.handle(Resume, self._on_resume)
        node.on_peer_reset.append(self._on_peer_gone)
        node.on_peer_lost.append(self._on_peer_gone)
        node.on_membership.append(self._on_membership)
        node.run_loop(self._run_ticks, "gate-ticks")

    async def close(self) -> None:
        """Stop what still runs."""
        for attempt in self.running:
            if attempt.task is not None:
                attempt.task.cancel()

    def decline_held(self) -> None:
        """Give back the dispatches that wait to be alone."""
        for held in list(self._held.values()):
            self._decline(held.router, held.dispatch, "leaving")

    def pump(self) -> None:
        """Start what waited to be alone, and ask for work where there is room."""
        for held in list(self._held.values()):
            self._admit(held.router, held.dispatch)
        for take in self._gate.next_takes(self._node.clock.now_ms()):
            self._node.send(
                take.router,
                Take(self._agent.settings.service, take.customer, take.ticket),
            )

    # -- messages ------------------------------------------------------------

    def _on_offer(self, router: str, message: Offer) -> None:
        self._know_router(router)
        self._gate.set_offer(router, message.customer, message.weight, message.count)
        self._seeker.note_offer()
        self.pump()

    def _on_empty(self, router: str, message: Empty) -> None:
        self._gate.release_ticket(message.ticket)
        self.pump()

    def _on_dispatch(self, router: str, dispatch: Dispatch) -> None:
        self._know_router(router)
        if dispatch.attempt in self._attempts or dispatch.attempt in self._held:
            return
        self._admit(router, dispatch)
        self.pump()

    def _on_cancel(self, router: str, message: Cancel) -> None:
        held = self._held.pop(message.attempt, None)
        if held is not None:
            self._gate.cancel_solo(message.attempt)
            self.pump()
            return
        attempt = self._attempts.get(message.attempt)
        if attempt is not None and attempt.done is None and attempt.is_idempotent:
            self._cancel(attempt, "cancelled")

    def _on_resume(self, router: str, message: Resume) -> None:
        self._know_router(router)
        if message.attempt in self._held:
            return
        attempt = self._attempts.get(message.attempt)
        if attempt is None:
            attempt = self._adopt(router, message)
        attempt.router = router
        attempt.orphaned_ms = None
        self._node.events.add(
            "attempt.resumed", attempt.request, attempt=attempt.id, at=message.offset
        )
        if self._agent.dialect.resume is None:
            self._resend_kept(attempt, message.offset)
            return
        if attempt.task is not None:
            attempt.task.cancel()
        attempt.done = None
        attempt.offset = message.offset
        self._gate.adopt(attempt.id, attempt.customer, attempt.weight)
        attempt.task = self._node.run_task(self._rerun(attempt), "resume")

    def _on_peer_gone(self, peer: str) -> None:
        self._gate.forget_router(peer)
        now_ms = self._node.clock.now_ms()
        for attempt in self.running:
            if attempt.router == peer:
                attempt.orphaned_ms = now_ms
        self.pump()

    def _on_membership(self) -> None:
        self._agent.refresh_state()
        if self._agent.state == "leaving":
            self.decline_held()
        self.pump()

    # -- admission -----------------------------------------------------------

    def _admit(self, router: str, dispatch: Dispatch) -> None:
        is_started = self._gate.admit(
            dispatch.attempt,
            dispatch.customer,
            dispatch.weight,
            dispatch.estimate,
            0 if dispatch.attempt in self._held else dispatch.ticket,
            dispatch.is_solo,
        )
        if is_started:
            self._held.pop(dispatch.attempt, None)
            self._start(router, dispatch)
        elif self._gate.is_open and self._gate.is_waiting_solo(dispatch.attempt):
            self._held[dispatch.attempt] = _Held(router, dispatch)
        else:
            self._decline(router, dispatch, self._agent.state)

    def _decline(self, router: str, dispatch: Dispatch, reason: str) -> None:
        self._held.pop(dispatch.attempt, None)
        self._gate.cancel_solo(dispatch.attempt)
        self._node.send(router, Busy(dispatch.attempt, reason))

    def _start(self, router: str, dispatch: Dispatch) -> None:
        attempt = _Attempt(
            dispatch.attempt,
            dispatch.request,
            dispatch.customer,
            dispatch.weight,
            router,
            dispatch.fingerprint,
            dispatch.is_idempotent,
            dispatch.is_solo,
        )
        self._attempts[attempt.id] = attempt
        self._node.events.add(
            "attempt.started",
            attempt.request,
            attempt=attempt.id,
            customer=attempt.customer,
        )
        self._node.transport.watch(router, True)
        attempt.task = self._node.run_task(self._run(attempt, dispatch), "attempt")

    def _adopt(self, router: str, message: Resume) -> _Attempt:
        attempt = _Attempt(
            message.attempt,
            message.request,
            message.customer,
            message.weight,
            router,
            message.fingerprint,
            message.is_idempotent,
        )
        self._attempts[attempt.id] = attempt
        return attempt

    # -- running -------------------------------------------------------------

    async def _run(self, attempt: _Attempt, dispatch: Dispatch) -> None:
        if dispatch.prompt_units:
            self._deliver(attempt, dispatch.prompt_units)
        events = self._agent.dialect.run(self._agent.target, dispatch)
        try:
            await self._forward(attempt, events)
        except EngineLostError as error:
            await self._recover(attempt, str(error))
        except EngineError as error:
            self._agent.plugins["health"].note_down()
            self._finish(attempt, "not_run", str(error))

    async def _rerun(self, attempt: _Attempt) -> None:
        """Read an attempt again that runs already or ran."""
        try:
            await self._resume_once(attempt)
        except StreamUnknownError as error:
            self._finish(attempt, "unknown", str(error))
        except EngineError as error:
            await self._recover(attempt, str(error))

    async def _recover(self, attempt: _Attempt, reason: str) -> None:
        """Go on with a broken stream, or tell that the target crashed."""
        if self._agent.dialect.resume is None:
            is_up = await self._agent.plugins["health"].probe()
            self._finish(attempt, "lost" if is_up else "crashed", reason)
            return
        for _ in range(defaults.ENGINE_RESUMES):
            try:
                await self._resume_once(attempt)
                return
            except (StreamUnknownError, EngineError) as error:
                reason = str(error)
                if not isinstance(error, EngineLostError):
                    break
                if not await self._agent.plugins["health"].probe():
                    break
        self._report_crash(reason)

    async def _resume_once(self, attempt: _Attempt) -> None:
        resume = t.cast(t.Any, self._agent.dialect.resume)
        events = resume(self._agent.target, attempt.id, attempt.offset)
        await self._forward(attempt, events)

    async def _forward(
        self, attempt: _Attempt, events: t.AsyncIterator[TargetEvent]
    ) -> None:
        async for event in events:
            if isinstance(event, Answered):
                attempt.status = event.status
                attempt.headers = event.headers
            elif isinstance(event, Chunks):
                self._send_chunks(attempt, event)
            else:
                self._settle(attempt, event)
        self._finish(attempt, "ok")

    def _send_chunks(self, attempt: _Attempt, event: Chunks) -> None:
        self._deliver(attempt, event.units)
        if not event.payloads:
            return
        part = Part(attempt.id, attempt.offset, event.payloads)
        self._node.send(attempt.router, part)
        attempt.offset += len(event.payloads)
        if self._agent.dialect.resume is None:
            attempt.kept.extend(event.payloads)

    def _settle(self, attempt: _Attempt, usage: Usage) -> None:
        """Charge what the target's own count has more than was charged."""
        weight = self._agent.settings.prompt_weight
        exact = usage.output_tokens + weight * usage.prompt_tokens
        self._deliver(attempt, exact - attempt.units)

    def _deliver(self, attempt: _Attempt, units: float) -> None:
        if units <= 0:
            return
        attempt.units += units
        self._gate.deliver(attempt.id, units)
        metrics = self._node.metrics
        label = metrics.customers.label(attempt.customer)
        metrics.service_units.labels(self._agent.settings.service, label).inc(units)

    def _finish(self, attempt: _Attempt, outcome: str, detail: str = "") -> None:
        if attempt.done is not None:
            return
        self._gate.finish(attempt.id, is_whole=outcome == "ok")
        attempt.finished_ms = self._node.clock.now_ms()
        attempt.done = Done(
            attempt.id,
            outcome,
            attempt.offset,
            attempt.status,
            attempt.headers,
            attempt.units,
            detail,
        )
        self._node.send(attempt.router, attempt.done)
        self._node.metrics.requests.labels(self._agent.settings.service, outcome).inc()
        self._node.events.add(
            "attempt.ended",
            attempt.request,
            attempt=attempt.id,
            outcome=outcome,
            chunks=attempt.offset,
            units=round(attempt.units, 2),
        )
        self.pump()

    def _report_crash(self, reason: str) -> None:
        """End all attempts of a crashed target and name them as suspects."""
        # the gate stays shut until the target answers again, so that what
        # comes later is not taken for a cause of this crash.
        self._agent.plugins["health"].note_down()
        suspects = self.running
        self._crashes += 1
        started_ms = self._node.clock.wall_ms()
        incident = Incident(
            f"{self._node.name}/{started_ms}/{self._crashes}",
            self._node.name,
            sorted({attempt.fingerprint for attempt in suspects}),
            len(suspects) == 1 and suspects[0].is_solo,
        )
        self._node.events.add(
            "target.crashed", suspects=len(suspects), crash=incident.crash
        )
        for router in self._agent.routers:
            self._node.send(router, incident)
        current = asyncio.current_task()
        for attempt in suspects:
            self._finish(attempt, "crashed", reason)
            if attempt.task is not None and attempt.task is not current:
                attempt.task.cancel()
        self._agent.plugins["incidents"].publish(incident)

    def _cancel(self, attempt: _Attempt, detail: str) -> None:
        if attempt.task is not None:
            attempt.task.cancel()
        if self._agent.dialect.cancel is not None:
            cancel = self._agent.dialect.cancel(self._agent.target, attempt.id)
            self._node.run_task(t.cast(t.Any, cancel), "cancel")
        self._finish(attempt, "cancelled", detail)

    def _resend_kept(self, attempt: _Attempt, offset: int) -> None:
        """Send a whole answer again from memory, or say that it is unknown."""
        if attempt.task is None:
            self._finish(attempt, "unknown", "this agent did not run the attempt")
            return
        chunks = attempt.kept[offset:]
        if chunks:
            self._node.send(attempt.router, Part(attempt.id, offset, chunks))
        if attempt.done is not None:
            self._node.send(attempt.router, attempt.done)

    # -- time ----------------------------------------------------------------

    async def _run_ticks(self) -> None:
        while True:
            await asyncio.sleep(_TICK_MS / 1000)
            now_ms = self._node.clock.now_ms()
            self._agent.refresh_state()
            self._gate.expire_tickets(now_ms)
            self._cancel_orphans(now_ms)
            self._forget_finished(now_ms)
            self._unwatch_idle()
            self._seek_work(now_ms)
            self._measure(_TICK_MS / 1000)
            self.pump()

    def _seek_work(self, now_ms: int) -> None:
        """Ask a few routers for offers, where there is room and no offer."""
        gate = self._gate
        has_need = gate.is_open and gate.free > 0 and not gate.has_offers
        if not self._seeker.is_due(has_need, now_ms):
            return
        routers = self._node.membership.routers()
        count = min(len(routers), defaults.SEEK_ROUTERS)
        for vm in self._random.sample(routers, count):
            self._node.send(vm.name, Seek(self._agent.settings.service))

    def _measure(self, seconds: float) -> None:
        """Count slot time by use."""
        gate = self._gate
        idle = max(0, gate.slots - gate.running)
        uses = self._node.metrics.slot_seconds
        service = self._agent.settings.service
        uses.labels(service, "busy").inc(gate.running * seconds)
        is_wasted = gate.has_offers and gate.is_open
        name = "idle_while_waiting" if is_wasted else "idle"
        uses.labels(service, name).inc(idle * seconds)

    def _cancel_orphans(self, now_ms: int) -> None:
        for attempt in self.running:
            since_ms = attempt.orphaned_ms
            if since_ms is None or not attempt.is_idempotent:
                continue
            if now_ms - since_ms >= defaults.ORPHAN_GRACE_MS:
                self._cancel(attempt, "its router is gone")

    def _forget_finished(self, now_ms: int) -> None:
        for attempt in list(self._attempts.values()):
            if attempt.done is None:
                continue
            is_old = now_ms - attempt.finished_ms >= defaults.FINISHED_KEPT_MS
            if is_old or len(self._attempts) > defaults.FINISHED_KEPT:
                del self._attempts[attempt.id]

    def _unwatch_idle(self) -> None:
        busy = {attempt.router for attempt in self.running}
        for router in self._agent.routers:
            self._node.transport.watch(router, router in busy)

    def _know_router(self, router: str) -> None:
        if router not in self._agent.routers:
            self._agent.routers.add(router)
            self._agent.tell_load(router)
