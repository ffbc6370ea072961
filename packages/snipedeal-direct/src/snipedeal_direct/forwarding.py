"""Handle calls: admission, attempts at targets, and the response."""

import asyncio
import contextlib
import functools
import typing as t

import attrs
from prometheus_client import Counter

from snipedeal.exceptions import SnipedealError
from snipedeal.limits import parse_rate_limit
from snipedeal.limits import parse_retry_after
from snipedeal_direct import defaults
from snipedeal_direct.accounting import OVERLOADED
from snipedeal_direct.crashes import Attempt
from snipedeal_direct.egress import BrokenResponseError
from snipedeal_direct.egress import ConnectError
from snipedeal_direct.egress import Connection
from snipedeal_direct.exchange import HOP_BY_HOP_HEADERS
from snipedeal_direct.exchange import Exchange
from snipedeal_direct.exchange import connection_options
from snipedeal_direct.exchange import end_to_end_headers
from snipedeal_direct.heads import ResponseHead
from snipedeal_direct.journal import info
from snipedeal_direct.meter import Work
from snipedeal_direct.metrics import DirectMetrics
from snipedeal_direct.model import Call
from snipedeal_direct.model import Route
from snipedeal_direct.model import parse_prompt
from snipedeal_direct.model import parse_prompt_units
from snipedeal_direct.queueing import Dispatched
from snipedeal_direct.queueing import Refusal
from snipedeal_direct.queueing import RefusedError
from snipedeal_direct.queueing import ServiceQueue
from snipedeal_direct.queueing import retry_after_s
from snipedeal_direct.retries import RetryBudget
from snipedeal_direct.routing import split_host
from snipedeal_direct.routing import split_path
from snipedeal_direct.sse import EventSplitter
from snipedeal_direct.sse import count_events

if t.TYPE_CHECKING:
    from snipedeal_direct.router import DirectRouter

_EVENT_STREAM = b"text/event-stream"


class DeclinedError(SnipedealError):
    """Raised when a target declined a request without running it.

    :param is_replaced: whether another target now listens on the address.
    """

    def __init__(self, message: str, step: str, peer: str, is_replaced: bool) -> None:
        super().__init__(message, step, peer)
        self.is_replaced = is_replaced


class WithdrawnError(SnipedealError):
    """Raised when a target said that it wants no requests before one was sent."""


@attrs.frozen
class _FailedResponse:
    """A response with a status outside 2xx, forwarded if no retry follows."""

    head: ResponseHead
    body: bytes


@attrs.frozen
class _ShedCounters:
    """Counters of refusals for want of time, without a look-up for each."""

    answers: Counter
    units_over: Counter
    units_within: Counter

    @classmethod
    def of(cls, metrics: DirectMetrics, service: str) -> "_ShedCounters":
        """Return the counters of a service."""
        return cls(
            metrics.answers.labels(service, "503", OVERLOADED),
            metrics.units.labels(service, "refused_over_share"),
            metrics.units.labels(service, "refused_within_share"),
        )


class Forwarder:
    """Forward requests to targets and their responses to callers.

    :param router: the router that owns this forwarder.
    """

    def __init__(self, router: "DirectRouter") -> None:
        self._router = router
        self._clock = router.clock
        self._metrics = router.metrics
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._shed_counters: dict[str, _ShedCounters] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_closing = False

    @property
    def open_calls(self) -> int:
        """Number of requests whose response is not complete."""
        return len(self._tasks)

    def handle(self, exchange: Exchange) -> None:
        """Answer a request at once, or start a task that serves it."""
        request_id = exchange.request.header(self._router.headers.request_id)
        if self._is_closing:
            # A keep-alive connection can deliver a request after the open calls
            # were cancelled.
            refusal = Refusal(503, "stopping", retry_after_s(request_id))
            self._refuse(exchange, None, refusal, request_id)
            return
        try:
            # Without a task for refused requests, an overloaded router has more
            # processor time for the others.
            call = self._admit(exchange, request_id)
        except Exception as error:
            self._end_failed(exchange, request_id, error)
            return
        if call is None:
            return
        start = functools.partial(self._run, exchange, call)
        run = self._router.meter.run(Work.SERVE, start, call.note_spent)
        task = asyncio.create_task(run)
        self._tasks.add(task)
        task.add_done_callback(functools.partial(self._note_ended, call))
        exchange.on_disconnect = task.cancel

    def _note_ended(self, call: Call, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._router.dispatcher.abandon(call)
        if call.spent_ms:
            self._router.dispatcher.shedder.cost.note_call(call.spent_ms)

    async def close(self) -> None:
        """Cancel all open calls; those without a response get an error."""
        self._is_closing = True
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # -- admission -------------------------------------------------------------

    async def _run(self, exchange: Exchange, call: Call) -> None:
        try:
            await self._serve(exchange, call)
        except asyncio.CancelledError:
            self._end_cancelled(exchange, call)
            raise
        except Exception as error:
            self._end_failed(exchange, call.id, error)
            raise

    def _end_failed(
        self, exchange: Exchange, request_id: str, error: Exception
    ) -> None:
        """End a request after an unexpected error in the router."""
        info("request.error", request=request_id, error=repr(error))
        if exchange.has_begun:
            exchange.abort()
        else:
            self._fail(exchange, None, 502, "internal_error", request_id)

    def _end_cancelled(self, exchange: Exchange, call: Call) -> None:
        """End a request that was cancelled by a disconnect or by shutdown."""
        if exchange.is_disconnected or not self._is_closing:
            info("request.left", request=call.id, begun=exchange.has_begun)
            exchange.abort()
        else:
            refusal = Refusal(503, "stopping", defaults.RETRY_AFTER_MIN_S)
            self._end_refused(exchange, call, refusal)

    def _admit(self, exchange: Exchange, request_id: str) -> Call | None:
        """Return the call for a request, ``None`` if an error was sent instead."""
        router = self._router
        request = exchange.request
        routing = router.routing
        if routing.table is None:
            refusal = Refusal(503, "no_configuration", defaults.RETRY_AFTER_MIN_S)
            self._refuse(exchange, None, refusal, request_id)
            return None
        path = split_path(request.path)
        route = routing.find(split_host(request.header(b"host")), path)
        if route is None:
            self._fail(exchange, None, 404, "no_route", request_id)
            return None
        headers = router.headers
        customer = ""
        if routing.has_keys:
            found = routing.customer(request.header(headers.credential))
            if found is None and not route.is_public:
                self._fail(exchange, None, 401, "unknown_key", request_id)
                return None
            customer = found or ""
        now_ms = self._clock.now_ms()
        service = routing.draw_service(route)
        if not router.dispatcher.admits(service, customer, now_ms):
            self._shed(exchange, route, service, customer, request_id)
            return None
        caller_timeout_ms = _parse_non_negative(request.header(headers.deadline_ms))
        deadline_ms = request.read_ms + (
            caller_timeout_ms if caller_timeout_ms is not None else 1e9
        )
        prompt = None
        if route.has_prompt:
            prompt = parse_prompt(
                request.header(headers.prompt_parts),
                request.header(headers.token_counts),
                request.header(headers.length_hint),
            )
        if prompt is not None:
            exchange.hold(prompt.held_bytes)
        call = Call(
            id=request_id,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            arrived_ms=request.read_ms,
            deadline_ms=min(deadline_ms, request.read_ms + route.timeout_ms),
            latency_deadline_ms=request.read_ms + route.target_latency_ms,
            route=route,
            service=service,
            customer=customer,
            prompt=prompt,
            last_event_id=request.header(headers.resume_after).encode("latin-1"),
        )
        refusal = router.crashes.refuse(call)
        if refusal is not None:
            self._refuse(exchange, call, refusal)
            return None
        router.dispatcher.note_demand(call)
        refusal = router.shutdown_refusal(call, now_ms)
        if refusal is not None:
            self._refuse(exchange, call, refusal)
            return None
        self._retry_budget(call.service).note_request(now_ms)
        refusal = router.dispatcher.enqueue(call)
        if refusal is not None:
            router.dispatcher.shedder.return_admission(customer, now_ms)
            self._refuse(exchange, call, refusal)
            return None
        return call

    def _retry_budget(self, service: str) -> RetryBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._router.settings.bounds)
            self._retry_budgets[service] = budget
        return budget

    # -- attempts ----------------------------------------------------------------

    async def _serve(self, exchange: Exchange, call: Call) -> None:
        """Run the attempts of a call until its deadline."""
        remaining_ms = call.deadline_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(max(0.0, remaining_ms) / 1000):
                await self._run_attempts(exchange, call)
        except TimeoutError:
            if exchange.has_begun:
                info("request.cut", request=call.id, reason="timeout")
                self._count_response(call, 200, "cut_at_timeout")
                exchange.abort()
            elif call.attempts:
                self._fail(exchange, call, 504, "timeout")
            else:
                refusal = Refusal(503, "timeout", defaults.RETRY_AFTER_MIN_S)
                self._refuse(exchange, call, refusal)
        except RefusedError as error:
            self._end_refused(exchange, call, error.refusal)

    def _end_refused(self, exchange: Exchange, call: Call, refusal: Refusal) -> None:
        """End a call that no target, or no further target, can serve."""
        if exchange.has_begun:
            info("request.cut", request=call.id, reason=refusal.reason)
            self._count_response(call, 200, "not_resumed")
            exchange.abort()
        elif call.attempts:
            # An earlier attempt may have run, so a refusal, which promises that
            # the request has not run, would be wrong.
            self._fail(exchange, call, 502, refusal.reason)
        else:
            self._refuse(exchange, call, refusal)

    async def _run_attempts(self, exchange: Exchange, call: Call) -> None:
        """Try targets until one answers or no further attempt is allowed."""
        declined = 0
        failure: _FailedResponse | None = None
        splitter = EventSplitter()
        while True:
            try:
                refusal = self._router.crashes.refuse(call)
                if refusal is not None:
                    raise RefusedError(refusal)
                dispatched = await self._router.dispatcher.acquire_target(call)
            except RefusedError:
                if failure is not None and not exchange.has_begun:
                    self._forward_failure(exchange, call, failure)
                    return
                raise
            self._log_sent(call, dispatched)
            try:
                failure = await self._attempt(exchange, call, dispatched, splitter)
                if failure is None:
                    return
                reason = f"status_{failure.head.status}"
            except ConnectError as error:
                self._router.dispatcher.note_not_run(dispatched)
                is_timeout = isinstance(error.__cause__, TimeoutError)
                self._router.dispatcher.note_unreachable(dispatched, is_timeout)
                self._log_attempt(call, dispatched, "unreachable", str(error))
                call.tried.add(dispatched.load.target.id)
                declined += 1
                if declined > defaults.DECLINED_LIMIT:
                    raise RefusedError(self._unavailable("unreachable")) from error
                continue
            except WithdrawnError as error:
                self._router.dispatcher.note_not_run(dispatched)
                self._log_attempt(call, dispatched, "withdrawn", str(error))
                call.tried.add(dispatched.load.target.id)
                continue
            except DeclinedError as error:
                self._router.dispatcher.note_not_run(dispatched)
                self._log_attempt(call, dispatched, "declined", str(error))
                if error.is_replaced:
                    self._router.dispatcher.note_replaced(dispatched)
                call.tried.add(dispatched.load.target.id)
                declined += 1
                if declined > defaults.DECLINED_LIMIT or not self._spend_retry(call):
                    raise RefusedError(self._unavailable("declined")) from error
                continue
            except asyncio.CancelledError:
                if self._clock.now_ms() >= call.deadline_ms:
                    self._router.dispatcher.note_answer(dispatched, False)
                    self._log_attempt(call, dispatched, "timeout")
                raise
            except BrokenResponseError as error:
                self._router.dispatcher.note_answer(dispatched, False)
                self._log_attempt(call, dispatched, "broken", str(error))
                reason = "broken"
            finally:
                self._router.dispatcher.end(dispatched)
            call.tried.add(dispatched.load.target.id)
            if not self._may_retry(exchange, call, reason):
                if failure is not None:
                    self._forward_failure(exchange, call, failure)
                elif exchange.has_begun:
                    self._count_response(call, 200, "broken")
                    exchange.abort()
                else:
                    self._fail(exchange, call, 502, "target_" + reason)
                return
            await self._router.crashes.wait_until_cleared(call)

    def _unavailable(self, reason: str) -> Refusal:
        return Refusal(503, reason, defaults.RETRY_AFTER_MIN_S)

    def _may_retry(self, exchange: Exchange, call: Call, reason: str) -> bool:
        """Return whether to retry a call that may already have run.

        An allowed retry is charged to the service's retry budget.
        """
        if exchange.has_begun and not call.route.is_resumable:
            decision = "not_resumable"
        elif not call.is_idempotent:
            decision = "not_repeatable"
        elif call.attempts >= call.route.max_attempts:
            decision = "too_many"
        elif not self._spend_retry(call):
            decision = "no_budget"
        else:
            decision = "allowed"
        self._metrics.retries.labels(call.service, decision).inc()
        info(
            "request.repeat",
            request=call.id,
            reason=reason,
            verdict=decision,
            attempts=call.attempts,
            after_event=call.last_event_id.decode("latin-1"),
        )
        return decision == "allowed"

    def _spend_retry(self, call: Call) -> bool:
        """Charge one retry to the budget; return whether it was available."""
        routers = self._router.peers.live_count + 1
        return self._retry_budget(call.service).spend(self._clock.now_ms(), routers)

    # -- one attempt ---------------------------------------------------------------

    async def _attempt(
        self,
        exchange: Exchange,
        call: Call,
        dispatched: Dispatched,
        splitter: EventSplitter,
    ) -> _FailedResponse | None:
        """Send a call to a target and forward its response.

        :return: a response with a status outside 2xx, ``None`` if the caller was sent
            the complete response.
        """
        target = dispatched.load.target
        max_idle_s = (
            float("inf") if call.is_idempotent else defaults.AT_MOST_ONCE_REUSE_S
        )
        connection = await self._router.pool.connect(
            (target.host, target.port), max_idle_s=max_idle_s
        )
        self._router.dispatcher.restrictions.note_reachable(dispatched.load)
        if self._router.dispatcher.is_withdrawn(dispatched):
            self._router.pool.release(connection)
            raise WithdrawnError("leaves or paused", "send", target.id)
        call.attempts += 1
        crashes = self._router.crashes
        attempt = crashes.begin(call, target, connection.fail)
        try:
            head_bytes = self._render_head(call, target.id)
            connection.send(head_bytes, call.method == "HEAD", call.body)
            head = await connection.head()
            self._note_target_state(dispatched, head)
            self._check_request_id(call, connection, head)
            if head.status != 421:
                limit = parse_rate_limit(head.get(self._router.headers.rate_limit))
                self._router.dispatcher.note_rate_limit(dispatched, limit)
            if self._is_refusal(head):
                # The request has not run: this counts neither as an attempt nor
                # as a failure of the target.
                call.attempts -= 1
                with contextlib.suppress(BrokenResponseError, TimeoutError):
                    # A connection is reused only after a complete response.
                    async with asyncio.timeout(defaults.DECLINED_BODY_MS / 1000):
                        await self._read_body(connection)
                raise DeclinedError(
                    f"status {head.status}", "send", target.id, head.status == 421
                )
            if not 200 <= head.status < 300:
                body = await self._read_body(connection)
                crashes.settle(attempt)
                self._router.dispatcher.note_answer(dispatched, head.status < 500)
                self._log_attempt(call, dispatched, f"status_{head.status}")
                return _FailedResponse(head, body)
            is_stream = (head.get(b"content-type") or b"").startswith(_EVENT_STREAM)
            if exchange.has_begun and not is_stream:
                connection.close()
                raise BrokenResponseError("resumed stream is no event stream", "answer")
            if is_stream:
                await self._forward_stream(
                    exchange, attempt, connection, dispatched, splitter
                )
            else:
                await self._forward_response(exchange, call, connection, dispatched)
            crashes.settle(attempt)
            self._router.dispatcher.note_answer(dispatched, True)
            self._log_attempt(call, dispatched, "whole")
            return None
        except BrokenResponseError as error:
            if attempt.refusal is not None:
                raise RefusedError(attempt.refusal) from error
            await crashes.examine(attempt)
            raise
        finally:
            crashes.end(attempt)
            self._router.pool.release(connection)

    def _check_request_id(
        self, call: Call, connection: Connection, head: ResponseHead
    ) -> None:
        """Reject a response that belongs, or may belong, to another request.

        A target may write an earlier response once more. Without a request ID, a
        response is believed only if the connection has carried no other request.
        """
        response_id = head.get(self._router.headers.request_id)
        if response_id is None:
            if connection.is_reused:
                connection.close()
                raise BrokenResponseError("response without a request ID", "answer")
        elif response_id.decode("latin-1") != call.id:
            connection.close()
            raise BrokenResponseError(
                f"response carries the request ID {response_id!r}", "answer"
            )

    def _note_target_state(self, dispatched: Dispatched, head: ResponseHead) -> None:
        """Record whether a target says that it leaves, or wants a pause.

        That holds whichever request the response belongs to: a connection leads to one
        process.
        """
        if head.status == 421:
            # Another target answers at the address; it speaks of itself.
            return
        dispatcher = self._router.dispatcher
        cold_ms = head.get(self._router.headers.cold_ms)
        dispatcher.restrictions.note_response(dispatched.load, cold_ms)
        leaving = head.get_all(self._router.headers.leaving)
        if any(value.strip() == b"1" for value in leaving):
            dispatcher.note_leaving(dispatched)
        if head.status == 503:
            wait_s = parse_retry_after(head.get_all(b"retry-after"))
            if wait_s:
                load = dispatched.load
                dispatcher.pause(load, wait_s * 1000, dispatched.call.id)
                self._metrics.target_pauses.labels(load.target.service).inc()

    def _is_refusal(self, head: ResponseHead) -> bool:
        """Return whether a response states that the target did not run the request."""
        return head.status == 421 or head.get(self._router.headers.not_run) is not None

    async def _read_body(self, connection: Connection) -> bytes:
        """Return the body of a response that is forwarded only if no retry follows.

        :raises BrokenResponseError: it is incomplete or too large to be buffered.
        """
        return await connection.body(defaults.BUFFERED_RESPONSE_BYTES)

    async def _forward_response(
        self,
        exchange: Exchange,
        call: Call,
        connection: Connection,
        dispatched: Dispatched,
    ) -> None:
        """Forward a response that is not an event stream.

        It is buffered until it is complete; one that exceeds the buffer limit is
        forwarded as it arrives.
        """
        head = await connection.head()
        parts: list[bytes] = []
        size = 0
        while data := await connection.read():
            if size <= defaults.BUFFERED_RESPONSE_BYTES:
                parts.append(data)
                size += len(data)
                connection.retain(size)
                if size > defaults.BUFFERED_RESPONSE_BYTES:
                    exchange.begin(head.status, end_to_end_headers(head.headers))
                    exchange.write(b"".join(parts))
                    parts.clear()
            else:
                exchange.write(data)
                await exchange.drained()
            if size > defaults.BUFFERED_RESPONSE_BYTES:
                connection.retain(exchange.unsent_bytes)
        self._router.dispatcher.note_first_event(dispatched)
        self._observe_first_part(call)
        if size > defaults.BUFFERED_RESPONSE_BYTES:
            exchange.finish()
        else:
            body = b"".join(parts)
            exchange.respond(head.status, end_to_end_headers(head.headers), body)
        self._count_response(call, head.status, "whole")

    async def _forward_stream(
        self,
        exchange: Exchange,
        attempt: Attempt,
        connection: Connection,
        dispatched: Dispatched,
        splitter: EventSplitter,
    ) -> None:
        """Forward an event stream.

        Only complete events are written, so that another target can resume it.
        """
        call = attempt.call
        head = await connection.head()
        splitter.drop_partial()
        event_bytes = 0
        # When the last events came; zero before the first.
        last_ms = 0.0

        meter = self._router.meter

        def forward_events(data: bytes) -> bool:
            began = meter.begin()
            is_drained = forward(data)
            call.note_spent(meter.end(Work.RELAY, began))
            return is_drained

        def forward(data: bytes) -> bool:
            nonlocal event_bytes, last_ms
            events = splitter.feed(data)
            connection.retain(splitter.partial_bytes + exchange.unsent_bytes)
            if splitter.partial_bytes > defaults.EVENT_BYTES:
                connection.fail("event too large")
                return True
            if not events:
                return True
            event_bytes += len(events)
            if not exchange.has_begun:
                self._observe_first_part(call)
                exchange.begin(head.status, end_to_end_headers(head.headers))
                call.is_begun = True
            last_ms = self._router.dispatcher.note_events(
                dispatched, last_ms, count_events(events)
            )
            exchange.write(events)
            if splitter.last_id:
                call.last_event_id = splitter.last_id
            self._router.crashes.note_event(attempt)
            return exchange.is_drained

        await connection.pipe_to(forward_events, exchange.drained)
        if splitter.has_partial:
            raise BrokenResponseError(
                "stream ended in the middle of an event", "answer"
            )
        if not event_bytes and connection.ends_at_eof:
            # Without a length or chunks, this may be a target that ended early.
            raise BrokenResponseError("stream has no events", "answer")
        if not exchange.has_begun:
            exchange.begin(head.status, end_to_end_headers(head.headers))
        exchange.finish()
        self._count_response(call, head.status, "whole")

    def _render_head(self, call: Call, target_id: str) -> bytes:
        """Return the serialized head of a request for a target."""
        names = self._router.headers
        router_headers = {names.deadline_ms, names.customer, names.expected_target}
        router_headers |= {
            names.credential,
            names.resume_after,
            b"content-length",
            b"expect",
        }
        remaining_ms = max(1, int(call.deadline_ms - self._clock.now_ms()))
        lines = [b"%s %s HTTP/1.1\r\n" % (call.method.encode(), call.path)]
        dropped = (
            router_headers
            | names.stripped
            | HOP_BY_HOP_HEADERS
            | connection_options(call.headers)
        )
        lines += [
            b"%s: %s\r\n" % (name, value)
            for name, value in call.headers
            if name not in dropped
        ]
        lines.append(b"%s: %d\r\n" % (names.deadline_ms, remaining_ms))
        lines.append(b"%s: %s\r\n" % (names.expected_target, target_id.encode()))
        if call.customer:
            customer = call.customer.encode()
            lines.append(b"%s: %s\r\n" % (names.customer, customer))
        if call.last_event_id:
            lines.append(b"%s: %s\r\n" % (names.resume_after, call.last_event_id))
        if call.body or call.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            lines.append(b"content-length: %d\r\n" % len(call.body))
        lines.append(b"\r\n")
        return b"".join(lines)

    # -- responses -----------------------------------------------------------------

    def _forward_failure(
        self, exchange: Exchange, call: Call, failure: _FailedResponse
    ) -> None:
        """Forward a response with a status outside 2xx to the caller."""
        if exchange.has_begun:
            exchange.abort()
        else:
            headers = end_to_end_headers(failure.head.headers)
            exchange.respond(failure.head.status, headers, failure.body)
        self._count_response(call, failure.head.status, "target")

    def _refuse(
        self,
        exchange: Exchange,
        call: Call | None,
        refusal: Refusal,
        request_id: str = "",
    ) -> None:
        """Refuse a request that has not run, with a Retry-After header."""
        retry_after = b"%.2f" % refusal.retry_after_s
        exchange.respond(refusal.status, [(b"Retry-After", retry_after)], b"")
        service = call.service if call else ""
        self._metrics.answers.labels(service, str(refusal.status), refusal.reason).inc()
        queue = self._router.dispatcher.queues.get(service)
        if queue and call and call.prompt and refusal.is_for_load:
            queue.note_refused(call, refusal.reason, self._clock.now_ms())
            is_over = queue.shares.is_over(call.customer, call.units)
            outcome = "refused_over_share" if is_over else "refused_within_share"
            self._metrics.units.labels(service, outcome).inc(call.units)
        if not self._router.log_writer.drops_request_line(
            defaults.REFUSAL_LOG_LINES_PER_S
        ):
            self._log_refused(call, refusal, request_id, queue)

    def _shed(
        self,
        exchange: Exchange,
        route: Route,
        service: str,
        customer: str,
        request_id: str,
    ) -> None:
        """Refuse a request that the router has no time for.

        This takes as little time as possible: whatever it takes is not left for the
        requests that are admitted.
        """
        router = self._router
        now_ms = self._clock.now_ms()
        wait_ms = 0.0
        if not router.stopping_since_ms:
            wait_ms = router.dispatcher.shedder.wait_ms(customer, now_ms)
        delay_s = retry_after_s(request_id, wait_ms)
        exchange.respond(503, [(b"Retry-After", b"%.2f" % delay_s)], b"")
        counters = self._shed_counters.get(service)
        if counters is None:
            counters = _ShedCounters.of(self._metrics, service)
            self._shed_counters[service] = counters
        counters.answers.inc()
        units = 1.0
        if route.has_prompt:
            headers, request = router.headers, exchange.request
            units = parse_prompt_units(
                request.header(headers.token_counts),
                request.header(headers.length_hint),
            )
        is_over = router.dispatcher.note_shed(service, customer, units)
        if route.has_prompt:
            (counters.units_over if is_over else counters.units_within).inc(units)
        if not router.log_writer.drops_request_line(defaults.REFUSAL_LOG_LINES_PER_S):
            info(
                "request.refused",
                request=request_id,
                status=503,
                reason=OVERLOADED,
                retry_after_s=round(delay_s, 2),
                route=route.name,
                customer=customer,
                units=round(units),
                is_over=is_over,
                lag_ms=round(router.dispatcher.lag.ms),
                serving_ms=round(router.dispatcher.shedder.cost.ms, 2),
            )

    def _log_refused(
        self,
        call: Call | None,
        refusal: Refusal,
        request_id: str,
        queue: ServiceQueue | None,
    ) -> None:
        info(
            "request.refused",
            request=call.id if call else request_id,
            status=refusal.status,
            reason=refusal.reason,
            detail=refusal.detail,
            retry_after_s=round(refusal.retry_after_s, 2),
            route=call.route.name if call else "",
            customer=call.customer if call else "",
            age_ms=round(self._clock.now_ms() - call.arrived_ms) if call else 0,
            tokens=call.prompt.tokens if call and call.prompt else 0,
            output=call.prompt.output_tokens if call and call.prompt else 0,
            is_over=queue.shares.is_over(call.customer, call.units)
            if queue and call
            else False,
            share=round(min(queue.shares.fair_share, 1e9)) if queue else 0,
            shortfall=self._shortfall(call),
            **(queue.describe_targets(self._clock.now_ms()) if queue else {}),
            waiting=len(queue.waiting) if queue else 0,
            reading=round(sum(load.prefill_tokens for load in queue.targets.values()))
            if queue
            else 0,
            config=self._router.routing.version,
        )

    def _fail(
        self,
        exchange: Exchange,
        call: Call | None,
        status: int,
        reason: str,
        request_id: str = "",
    ) -> None:
        """Respond with an error that the router itself generates."""
        exchange.respond(status, [], b"")
        service = call.service if call else ""
        self._metrics.answers.labels(service, str(status), reason).inc()
        info(
            "request.failed",
            request=call.id if call else request_id,
            status=status,
            reason=reason,
            attempts=call.attempts if call else 0,
            age_ms=round(self._clock.now_ms() - call.arrived_ms) if call else 0,
            config=self._router.routing.version,
        )

    def _count_response(self, call: Call, status: int, reason: str) -> None:
        self._metrics.answers.labels(call.service, str(status), reason).inc()

    def _observe_first_part(self, call: Call) -> None:
        waited_s = (self._clock.now_ms() - call.arrived_ms) / 1000
        self._metrics.first_part.labels(call.service).observe(waited_s)

    def _log_sent(self, call: Call, dispatched: Dispatched) -> None:
        now_ms = self._clock.now_ms()
        waited_ms = now_ms - call.arrived_ms
        self._metrics.queue_wait.labels(call.service).observe(waited_ms / 1000)
        self._metrics.units.labels(call.service, "sent").inc(call.units)
        load = dispatched.load
        info(
            "request.sent",
            request=call.id,
            target=load.target.id,
            route=call.route.name,
            customer=call.customer,
            waited_ms=round(waited_ms),
            tokens=call.prompt.tokens if call.prompt else 0,
            output=call.prompt.output_tokens if call.prompt else 0,
            shared_part=call.prompt.affinity if call.prompt else "",
            **dispatched.in_flight.sent_fields(),
            **load.log_fields(),
            shortfall=self._shortfall(call),
            limit=load.limit.limit if load.limit else None,
            config=self._router.routing.version,
        )

    def _shortfall(self, call: Call | None) -> float:
        """Return by which part the customer of a call is behind, for the log."""
        queue = self._router.dispatcher.queues.get(call.service) if call else None
        if queue is None or call is None:
            return 0.0
        return round(queue.shares.shortfall(call.customer), 2)

    def _log_attempt(
        self, call: Call, dispatched: Dispatched, outcome: str, detail: str = ""
    ) -> None:
        self._metrics.attempts.labels(call.service, outcome).inc()
        info(
            "request.attempt",
            request=call.id,
            target=dispatched.load.target.id,
            outcome=outcome,
            detail=detail,
            took_ms=round(self._clock.now_ms() - dispatched.in_flight.sent_ms),
            **dispatched.in_flight.cost_fields(),
            age_ms=round(self._clock.now_ms() - call.arrived_ms),
        )


def _parse_non_negative(text: str) -> float | None:
    """Return a number, ``None`` if it is negative or can't be parsed."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if value >= 0 else None
