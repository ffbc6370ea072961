"""Run attempts on the target and send the responses to routers."""

import asyncio
import collections
import random
import typing as t

import attrs

from snipedeal import defaults
from snipedeal.exceptions import StreamUnknownError
from snipedeal.exceptions import TargetError
from snipedeal.exceptions import TargetLostError
from snipedeal.exceptions import TargetResponseError
from snipedeal.exceptions import TargetSilentError
from snipedeal.limits import parse_rate_limit
from snipedeal.limits import parse_retry_after
from snipedeal.membership import TARGET
from snipedeal.messages import AttemptFinished
from snipedeal.messages import Cancel
from snipedeal.messages import Dispatch
from snipedeal.messages import DispatchDeclined
from snipedeal.messages import Incident
from snipedeal.messages import Offer
from snipedeal.messages import OfferRequest
from snipedeal.messages import PullEmpty
from snipedeal.messages import PullRequest
from snipedeal.messages import ResponseChunks
from snipedeal.messages import Resume
from snipedeal.plugins import register_plugin
from snipedeal.quarantine import Standing
from snipedeal.quarantine import sample_standings
from snipedeal.seeker import OfferRequestTimer
from snipedeal_agent.dialects import Chunks
from snipedeal_agent.dialects import Declined
from snipedeal_agent.dialects import ResponseStart
from snipedeal_agent.dialects import TargetEvent
from snipedeal_agent.dialects import Usage

if t.TYPE_CHECKING:
    from snipedeal_agent.agent import Agent

_TICK_INTERVAL_MS = 100
_HTTP_UNAVAILABLE = 503


@attrs.define(eq=False)
class _Attempt:
    """An attempt that is running or has run on the target.

    :param weight: the customer's share of the service.
    :param is_solo: whether nothing else may run on the target meanwhile.
    :param deadline_ms: monotonic time at which its caller stops waiting.
    :param offset: number of chunks sent to the router so far.
    :param units: service units charged so far.
    :param retained_chunks: chunks kept in memory for a resumption, if the target
        can't resume a stream.
    :param retained_bytes: their size.
    :param has_dropped_chunks: whether there was no memory to keep them.
    :param final_message: reports its outcome to the router, ``None`` while it runs.
    :param orphaned_since_ms: monotonic time at which its router was lost, ``None``
        while it is connected.
    :param finished_ms: monotonic time of its end.
    :param traits: hashes by which the request is known if it crashes the target.
    :param repeated: those of them that were suspects when it was dispatched.
    :param started_ms: monotonic time at which it was sent to the target.
    :param first_chunk_ms: monotonic time of its first chunk, ``None`` before it.
    """

    id: str
    request: str
    customer: str
    weight: float
    router: str
    fingerprint: str
    is_idempotent: bool
    deadline_ms: int
    is_solo: bool = False
    offset: int = 0
    units: float = 0.0
    status: int = 0
    headers: dict[str, str] = attrs.Factory(dict)
    retained_chunks: list[bytes] = attrs.Factory(list)
    retained_bytes: int = 0
    has_dropped_chunks: bool = False
    final_message: AttemptFinished | None = None
    task: asyncio.Task[None] | None = None
    orphaned_since_ms: int | None = None
    finished_ms: int = 0
    traits: list[int] = attrs.Factory(list)
    repeated: list[int] = attrs.Factory(list)
    started_ms: int = 0
    first_chunk_ms: int | None = None

    def is_settled(self, now_ms: int) -> bool:
        """Return whether the target has answered for some time, and so survived it."""
        first_ms = self.first_chunk_ms
        return first_ms is not None and now_ms - first_ms >= defaults.SETTLE_MS


@attrs.frozen
class _WaitingDispatch:
    """A dispatch that must run alone and waits until nothing else runs."""

    router: str
    dispatch: Dispatch


@register_plugin(TARGET, "attempts")
class Attempts:
    """Admit, run, resume and cancel attempts.

    :param agent: the agent that this plug-in belongs to.
    """

    def __init__(self, agent: "Agent") -> None:
        self._agent = agent
        self._node = agent.node
        self._gate = agent.gate
        self._attempts: collections.OrderedDict[str, _Attempt] = (
            collections.OrderedDict()
        )
        self._waiting_dispatches: dict[str, _WaitingDispatch] = {}
        self._retained_bytes = 0
        self._crashes = 0
        self._rate_limit_seen_ms = -1
        self._offer_timer = OfferRequestTimer()
        self._random = random.Random()

    @property
    def running(self) -> list[_Attempt]:
        """Attempts that have not ended."""
        return [a for a in self._attempts.values() if a.final_message is None]

    def start(self) -> None:
        """Register the message handlers and start the periodic work."""
        node = self._node
        node.handle(Offer, self._on_offer)
        node.handle(Dispatch, self._on_dispatch)
        node.handle(PullEmpty, self._on_pull_empty)
        node.handle(Cancel, self._on_cancel)
        node.handle(Resume, self._on_resume)
        node.on_peer_reset.append(self._on_peer_lost)
        node.on_peer_lost.append(self._on_peer_lost)
        node.on_membership.append(self._on_membership)
        node.run_loop(self._run_ticks, "gate-ticks")

    async def close(self) -> None:
        """Cancel the running attempts."""
        for attempt in self.running:
            if attempt.task is not None:
                attempt.task.cancel()

    def decline_waiting(self) -> None:
        """Decline the dispatches that wait to run alone on the target."""
        for waiting in list(self._waiting_dispatches.values()):
            self._decline(waiting.router, waiting.dispatch, "leaving")

    def schedule(self) -> None:
        """Start waiting dispatches if possible and request work for free slots."""
        for waiting in list(self._waiting_dispatches.values()):
            self._admit(waiting.router, waiting.dispatch)
        for pull in self._gate.next_pulls(self._node.clock.now_ms()):
            self._node.send(
                pull.router,
                PullRequest(self._agent.settings.service, pull.customer, pull.ticket),
            )

    # -- messages ------------------------------------------------------------

    def _on_offer(self, router: str, message: Offer) -> None:
        self._add_router(router)
        self._gate.set_offer(router, message.customer, message.weight, message.count)
        self._offer_timer.note_offer()
        self.schedule()

    def _on_pull_empty(self, router: str, message: PullEmpty) -> None:
        self._gate.release_ticket(message.ticket)
        self.schedule()

    def _on_dispatch(self, router: str, dispatch: Dispatch) -> None:
        self._add_router(router)
        if (
            dispatch.attempt in self._attempts
            or dispatch.attempt in self._waiting_dispatches
        ):
            return
        self._admit(router, dispatch)
        self.schedule()

    def _on_cancel(self, router: str, message: Cancel) -> None:
        waiting = self._waiting_dispatches.pop(message.attempt, None)
        if waiting is not None:
            self._gate.cancel_waiting_solo(message.attempt)
            self.schedule()
            return
        attempt = self._attempts.get(message.attempt)
        if (
            attempt is not None
            and attempt.final_message is None
            and attempt.is_idempotent
        ):
            self._cancel(attempt, "cancelled")

    def _on_resume(self, router: str, message: Resume) -> None:
        self._add_router(router)
        if message.attempt in self._waiting_dispatches:
            return
        attempt = self._attempts.get(message.attempt)
        if attempt is None:
            attempt = self._add_resumed_attempt(router, message)
        attempt.router = router
        attempt.deadline_ms = self._node.clock.now_ms() + message.remaining_ms
        attempt.orphaned_since_ms = None
        self._node.events.add(
            "attempt.resumed", attempt.request, attempt=attempt.id, at=message.offset
        )
        if self._agent.dialect.resume is None:
            self._resend_retained(attempt, message.offset)
            return
        if attempt.task is not None:
            attempt.task.cancel()
        attempt.final_message = None
        attempt.offset = message.offset
        self._gate.adopt(attempt.id, attempt.customer, attempt.weight)
        attempt.task = self._node.run_task(self._run_resumed(attempt), "resume")

    def _on_peer_lost(self, peer: str) -> None:
        self._gate.forget_router(peer)
        now_ms = self._node.clock.now_ms()
        for attempt in self.running:
            if attempt.router == peer:
                attempt.orphaned_since_ms = now_ms
        self.schedule()

    def _on_membership(self) -> None:
        self._agent.refresh_state()
        if self._agent.state == "leaving":
            self.decline_waiting()
        self.schedule()

    # -- admission -----------------------------------------------------------

    def _admit(self, router: str, dispatch: Dispatch) -> None:
        is_started = self._gate.admit(
            dispatch.attempt,
            dispatch.customer,
            dispatch.weight,
            dispatch.estimate,
            # The ticket was released when the dispatch began to wait.
            0 if dispatch.attempt in self._waiting_dispatches else dispatch.ticket,
            dispatch.is_solo,
        )
        if is_started:
            self._waiting_dispatches.pop(dispatch.attempt, None)
            self._start(router, dispatch)
        elif self._gate.is_open and self._gate.is_waiting_solo(dispatch.attempt):
            self._waiting_dispatches[dispatch.attempt] = _WaitingDispatch(
                router, dispatch
            )
        else:
            self._decline(router, dispatch, self._agent.state)

    def _decline(self, router: str, dispatch: Dispatch, reason: str) -> None:
        self._waiting_dispatches.pop(dispatch.attempt, None)
        self._gate.cancel_waiting_solo(dispatch.attempt)
        self._node.send(router, DispatchDeclined(dispatch.attempt, reason))

    def _start(self, router: str, dispatch: Dispatch) -> None:
        attempt = _Attempt(
            dispatch.attempt,
            dispatch.request,
            dispatch.customer,
            dispatch.weight,
            router,
            dispatch.fingerprint,
            dispatch.is_idempotent,
            self._node.clock.now_ms() + dispatch.remaining_ms,
            dispatch.is_solo,
            traits=dispatch.traits,
            repeated=dispatch.repeated,
            started_ms=self._node.clock.now_ms(),
        )
        self._attempts[attempt.id] = attempt
        self._node.events.add(
            "attempt.started",
            attempt.request,
            attempt=attempt.id,
            customer=attempt.customer,
        )
        self._node.transport.set_heartbeats(router, True)
        attempt.task = self._node.run_task(self._run(attempt, dispatch), "attempt")

    def _add_resumed_attempt(self, router: str, message: Resume) -> _Attempt:
        attempt = _Attempt(
            message.attempt,
            message.request,
            message.customer,
            message.weight,
            router,
            message.fingerprint,
            message.is_idempotent,
            self._node.clock.now_ms() + message.remaining_ms,
        )
        self._attempts[attempt.id] = attempt
        return attempt

    # -- running -------------------------------------------------------------

    async def _run(self, attempt: _Attempt, dispatch: Dispatch) -> None:
        events = self._agent.dialect.run(self._agent.target, dispatch)
        try:
            await self._forward(attempt, events, dispatch.prompt_units)
        except TargetLostError as error:
            await self._resume_or_report_loss(attempt, error)
        except TargetError as error:
            self._agent.plugins["health"].mark_down()
            self._finish(attempt, "not_run", str(error))

    async def _run_resumed(self, attempt: _Attempt) -> None:
        """Resume the stream of an attempt that was started earlier."""
        try:
            await self._resume_once(attempt)
        except StreamUnknownError as error:
            self._finish(attempt, "unknown", str(error))
        except TargetError as error:
            await self._resume_or_report_loss(attempt, error)

    async def _resume_or_report_loss(
        self, attempt: _Attempt, error: TargetError
    ) -> None:
        """Resume an interrupted stream, or report a lost stream or a crash.

        An invalid response and one that lasts beyond the deadline are reported as
        lost: the target may work for other requests.
        """
        reason = str(error)
        if self._is_resumption_useless(attempt, error):
            self._finish(attempt, "lost", reason)
            return
        if self._agent.dialect.resume is None:
            if await self._agent.plugins["health"].probe():
                self._finish(attempt, "lost", reason)
            else:
                self._report_crash(reason)
            return
        failures = 0
        while failures < defaults.TARGET_RESUME_ATTEMPTS:
            try:
                await self._resume_once(attempt)
                return
            except (StreamUnknownError, TargetError) as error:
                reason = str(error)
                if self._is_resumption_useless(attempt, error):
                    self._finish(attempt, "lost", reason)
                    return
                if not isinstance(error, TargetLostError):
                    break
                if not await self._agent.plugins["health"].probe():
                    break
                # A long prefill is silent; the deadline bounds it.
                failures += not isinstance(error, TargetSilentError)
        self._report_crash(reason)

    def _is_resumption_useless(self, attempt: _Attempt, error: TargetError) -> bool:
        """Return whether resuming a stream would not help its caller."""
        is_late = self._node.clock.now_ms() >= attempt.deadline_ms
        return is_late or isinstance(error, TargetResponseError)

    async def _resume_once(self, attempt: _Attempt) -> None:
        resume = t.cast(t.Any, self._agent.dialect.resume)
        pause_ms = self._agent.pause_left_ms
        if pause_ms:
            await asyncio.sleep(pause_ms / 1000)
        remaining_ms = attempt.deadline_ms - self._node.clock.now_ms()
        events = resume(self._agent.target, attempt.id, attempt.offset, remaining_ms)
        await self._forward(attempt, events)

    async def _forward(
        self,
        attempt: _Attempt,
        events: t.AsyncIterator[TargetEvent],
        prompt_units: float = 0.0,
    ) -> None:
        """Send a response to the router and charge for it.

        :param prompt_units: charged once the target responds. Until then the
            reservation counts, which ends if the target did not run the request.
        """
        async for event in events:
            if isinstance(event, ResponseStart):
                self._charge(attempt, prompt_units)
                attempt.status = event.status
                attempt.headers = event.headers
                self._note_rate_limit(attempt)
                self._note_leaving(event.headers)
                if event.status == _HTTP_UNAVAILABLE:
                    self._note_pause([event.headers.get("retry-after", "")])
            elif isinstance(event, Declined):
                self._note_leaving(event.headers)
                self._note_pause(event.retry_after)
            elif isinstance(event, Chunks):
                self._send_chunks(attempt, event)
            else:
                self._charge_usage(attempt, event)
        self._finish(attempt, "ok")

    def _note_leaving(self, headers: t.Mapping[str, str]) -> None:
        """Close the gate if a response says that the target leaves."""
        name = self._agent.settings.leaving_header
        if name and headers.get(name.lower(), "").strip() == "1":
            self._agent.note_target_leaving()

    def _note_pause(self, values: t.Iterable[str]) -> None:
        """Close the gate for as long as the target wants no requests."""
        wait_s = parse_retry_after(value.encode("latin-1") for value in values)
        if wait_s:
            self._agent.pause(round(wait_s * 1000))

    def _note_rate_limit(self, attempt: _Attempt) -> None:
        """Pace the gate by the rate limit that a response names, if any."""
        name = self._agent.settings.rate_limit_header
        if not name:
            return
        now_ms = self._node.clock.now_ms()
        limit = parse_rate_limit(attempt.headers.get(name.lower(), "").encode())
        before = self._gate.pace.limit if self._gate.pace else None
        if limit is not None:
            self._rate_limit_seen_ms = now_ms
        elif attempt.started_ms <= self._rate_limit_seen_ms:
            # The response to an earlier request may be older than the limit.
            return
        if limit == before:
            return
        self._gate.set_rate_limit(limit, now_ms)
        self._node.events.add("target.limit", limit=limit, before=before)
        for router in self._agent.routers:
            self._agent.send_capacity_report(router)

    def _send_chunks(self, attempt: _Attempt, event: Chunks) -> None:
        self._charge(attempt, event.units)
        if not event.payloads:
            return
        if attempt.first_chunk_ms is None:
            attempt.first_chunk_ms = self._node.clock.now_ms()
        message = ResponseChunks(attempt.id, attempt.offset, event.payloads)
        self._node.send(attempt.router, message)
        attempt.offset += len(event.payloads)
        if self._agent.dialect.resume is None:
            self._retain(attempt, event.payloads)

    def _retain(self, attempt: _Attempt, payloads: list[bytes]) -> None:
        """Keep chunks for a resumption, within the memory for all attempts together.

        :raises TargetResponseError: there is no memory for more of a long response.
        """
        size = sum(map(len, payloads))
        limit = defaults.AGENT_RETAINED_BYTES
        for other in self._attempts.values():
            if self._retained_bytes + size <= limit:
                break
            if other.final_message is not None:
                self._drop_retained(other)
        attempt.retained_bytes += size
        self._retained_bytes += size
        is_long = attempt.retained_bytes > defaults.AGENT_RETAINED_BYTES_EACH
        if is_long and self._retained_bytes > limit:
            raise TargetResponseError(
                "no memory for more of the response", "call", self._agent.target.url
            )
        attempt.retained_chunks.extend(payloads)

    def _drop_retained(self, attempt: _Attempt) -> None:
        """Free an attempt's chunks; that it has run stays known."""
        self._retained_bytes -= attempt.retained_bytes
        attempt.retained_bytes = 0
        attempt.has_dropped_chunks |= bool(attempt.retained_chunks)
        attempt.retained_chunks.clear()

    def _charge_usage(self, attempt: _Attempt, usage: Usage) -> None:
        """Charge the part of the usage that has not been charged yet.

        :param usage: usage reported by the target.
        """
        prompt_weight = self._agent.settings.prompt_weight
        total_units = usage.output_tokens + prompt_weight * usage.prompt_tokens
        self._charge(attempt, total_units - attempt.units)

    def _charge(self, attempt: _Attempt, units: float) -> None:
        if units <= 0:
            return
        attempt.units += units
        self._gate.deliver(attempt.id, units)
        metrics = self._node.metrics
        label = metrics.customers.label(attempt.customer)
        metrics.service_units.labels(self._agent.settings.service, label).inc(units)

    def _finish(self, attempt: _Attempt, outcome: str, detail: str = "") -> None:
        if attempt.final_message is not None:
            return
        self._gate.finish(attempt.id, is_complete=outcome == "ok")
        attempt.finished_ms = self._node.clock.now_ms()
        attempt.final_message = AttemptFinished(
            attempt.id,
            outcome,
            attempt.offset,
            attempt.status,
            attempt.headers,
            attempt.units,
            detail,
        )
        self._node.send(attempt.router, attempt.final_message)
        self._node.metrics.requests.labels(self._agent.settings.service, outcome).inc()
        self._node.events.add(
            "attempt.ended",
            attempt.request,
            attempt=attempt.id,
            outcome=outcome,
            chunks=attempt.offset,
            units=round(attempt.units, 2),
        )
        self.schedule()

    def _report_crash(self, reason: str) -> None:
        """End all attempts on a crashed target and report them as suspects."""
        # The gate stays closed until the target responds again, so that attempts
        # that arrive later are not suspected of causing this crash.
        self._agent.plugins["health"].mark_down()
        suspects = self.running
        self._crashes += 1
        detected_ms = self._node.clock.wall_ms()
        crash = f"{self._node.name}/{detected_ms}/{self._crashes}"
        standings = sample_standings(crash, self._trait_standings(suspects))
        incident = Incident(
            crash,
            self._node.name,
            sorted({attempt.fingerprint for attempt in suspects}),
            len(suspects) == 1 and suspects[0].is_solo,
            [(trait, int(standing)) for trait, standing in standings.items()],
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

    def _trait_standings(self, attempts: t.Iterable[_Attempt]) -> dict[int, Standing]:
        """Return the traits of the attempts that the target had not answered."""
        now_ms = self._node.clock.now_ms()
        standings: dict[int, Standing] = {}
        for attempt in attempts:
            if attempt.is_settled(now_ms):
                continue
            standings = dict.fromkeys(attempt.traits, Standing.SUSPECT) | standings
            standings |= dict.fromkeys(attempt.repeated, Standing.REPEATED)
        return standings

    def _cancel(self, attempt: _Attempt, detail: str) -> None:
        if attempt.task is not None:
            attempt.task.cancel()
        if self._agent.dialect.cancel is not None:
            cancel = self._agent.dialect.cancel(self._agent.target, attempt.id)
            self._node.run_task(t.cast(t.Any, cancel), "cancel")
        self._finish(attempt, "cancelled", detail)

    def _resend_retained(self, attempt: _Attempt, offset: int) -> None:
        """Resend chunks from memory, or report that the attempt is unknown."""
        if attempt.task is None:
            self._finish(attempt, "unknown", "this agent did not run the attempt")
            return
        is_incomplete = attempt.has_dropped_chunks and offset < attempt.offset
        if is_incomplete and attempt.final_message is not None:
            # The chunks that the router lacks are gone.
            lost = attrs.evolve(attempt.final_message, outcome="lost")
            self._node.send(attempt.router, lost)
            return
        chunks = attempt.retained_chunks[offset:]
        if chunks:
            self._node.send(attempt.router, ResponseChunks(attempt.id, offset, chunks))
        if attempt.final_message is not None:
            self._node.send(attempt.router, attempt.final_message)

    # -- periodic work -------------------------------------------------------

    async def _run_ticks(self) -> None:
        while True:
            await asyncio.sleep(_TICK_INTERVAL_MS / 1000)
            now_ms = self._node.clock.now_ms()
            self._agent.refresh_state()
            self._gate.expire_tickets(now_ms)
            self._cancel_orphans(now_ms)
            self._evict_finished(now_ms)
            self._update_heartbeats()
            self._request_offers(now_ms)
            self._count_slot_seconds(_TICK_INTERVAL_MS / 1000)
            self.schedule()

    def _request_offers(self, now_ms: int) -> None:
        """Ask a few random routers for offers if slots are free and no offer exists."""
        gate = self._gate
        is_idle = gate.is_open and gate.free > 0 and not gate.has_offers
        if not self._offer_timer.is_due(is_idle, now_ms):
            return
        routers = self._node.membership.routers()
        count = min(len(routers), defaults.OFFER_REQUEST_ROUTERS)
        for vm in self._random.sample(routers, count):
            self._node.send(vm.name, OfferRequest(self._agent.settings.service))

    def _count_slot_seconds(self, seconds: float) -> None:
        """Add elapsed time to the metric of slot time, split by use of the slots."""
        gate = self._gate
        idle = max(0, gate.slots - gate.running)
        slot_seconds = self._node.metrics.slot_seconds
        service = self._agent.settings.service
        slot_seconds.labels(service, "busy").inc(gate.running * seconds)
        is_work_waiting = gate.has_offers and gate.is_open
        use = "idle_while_waiting" if is_work_waiting else "idle"
        slot_seconds.labels(service, use).inc(idle * seconds)

    def _cancel_orphans(self, now_ms: int) -> None:
        for attempt in self.running:
            since_ms = attempt.orphaned_since_ms
            if since_ms is None or not attempt.is_idempotent:
                continue
            if now_ms - since_ms >= defaults.ORPHAN_GRACE_MS:
                self._cancel(attempt, "its router is gone")

    def _evict_finished(self, now_ms: int) -> None:
        for attempt in list(self._attempts.values()):
            if attempt.final_message is None:
                continue
            is_old = (
                now_ms - attempt.finished_ms >= defaults.FINISHED_ATTEMPT_RETENTION_MS
            )
            if is_old or len(self._attempts) > defaults.FINISHED_ATTEMPTS_LIMIT:
                self._drop_retained(attempt)
                del self._attempts[attempt.id]

    def _update_heartbeats(self) -> None:
        active_routers = {attempt.router for attempt in self.running}
        for router in self._agent.routers:
            self._node.transport.set_heartbeats(router, router in active_routers)

    def _add_router(self, router: str) -> None:
        if router not in self._agent.routers:
            self._agent.routers.add(router)
            self._agent.send_capacity_report(router)
