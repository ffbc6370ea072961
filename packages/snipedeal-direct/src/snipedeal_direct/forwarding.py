"""The life of a call: admission, sends to targets, and its answer."""

import asyncio
import typing as t

import attrs

from snipedeal.exceptions import SnipedealError
from snipedeal_direct import defaults
from snipedeal_direct.dispatching import RefusedError
from snipedeal_direct.egress import AnswerHead
from snipedeal_direct.egress import BrokenAnswerError
from snipedeal_direct.egress import ConnectError
from snipedeal_direct.egress import Connection
from snipedeal_direct.ingress import HOP_HEADERS
from snipedeal_direct.ingress import Exchange
from snipedeal_direct.journal import note
from snipedeal_direct.model import Call
from snipedeal_direct.model import parse_prompt
from snipedeal_direct.queueing import Dispatched
from snipedeal_direct.queueing import Refusal
from snipedeal_direct.queueing import retry_after_s
from snipedeal_direct.retries import RepeatBudget
from snipedeal_direct.routing import split_host
from snipedeal_direct.routing import split_path
from snipedeal_direct.sse import EventSplitter

if t.TYPE_CHECKING:
    from snipedeal_direct.router import DirectRouter

_EVENT_STREAM = b"text/event-stream"


class DeclinedError(SnipedealError):
    """A target says that it has not run a request.

    :param is_replaced: whether another target has the address.
    """

    def __init__(self, message: str, step: str, peer: str, is_replaced: bool) -> None:
        super().__init__(message, step, peer)
        self.is_replaced = is_replaced


@attrs.frozen
class _Failure:
    """An answer of a target that is a failure, kept until no other comes."""

    head: AnswerHead
    body: bytes


class Forwarder:
    """Answer callers by what targets answer.

    :param router: the router that it belongs to.
    """

    def __init__(self, router: "DirectRouter") -> None:
        self._router = router
        self._clock = router.clock
        self._metrics = router.metrics
        self._budgets: dict[str, RepeatBudget] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_closing = False

    @property
    def open_calls(self) -> int:
        """Requests that are not answered in full."""
        return len(self._tasks)

    def take(self, exchange: Exchange) -> None:
        """Begin to work on a request."""
        if self._is_closing:
            # on a kept connection, after the last calls were ended.
            request_id = exchange.request.header(self._router.headers.request_id)
            refusal = Refusal(503, "stopping", retry_after_s(request_id))
            self._refuse(exchange, None, refusal, request_id)
            return
        task = asyncio.create_task(self._run(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        exchange.on_gone = task.cancel

    async def close(self) -> None:
        """Tell callers that are still waiting, and end what is left."""
        self._is_closing = True
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # -- admission -------------------------------------------------------------

    async def _run(self, exchange: Exchange) -> None:
        request_id = exchange.request.header(self._router.headers.request_id)
        call = None
        try:
            call = self._admit(exchange, request_id)
            if call is not None:
                await self._serve(exchange, call)
        except asyncio.CancelledError:
            self._end_cancelled(exchange, call, request_id)
            raise
        except Exception as error:
            note("request.error", request=request_id, error=repr(error))
            if exchange.has_begun:
                exchange.abort()
            else:
                self._fail(exchange, None, 502, "internal_error")
            raise

    def _end_cancelled(
        self, exchange: Exchange, call: Call | None, request_id: str
    ) -> None:
        """End a request whose caller has left, or that outlasts the process."""
        if exchange.is_gone or not self._is_closing:
            note("request.left", request=request_id, begun=exchange.has_begun)
            exchange.abort()
        elif call is not None:
            refusal = Refusal(503, "stopping", defaults.RETRY_AFTER_MIN_S)
            self._end_refused(exchange, call, refusal)

    def _admit(self, exchange: Exchange, request_id: str) -> Call | None:
        """Return the call of a request, ``None`` if it was refused."""
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
        wait_ms = _read_number(request.header(headers.deadline_ms))
        now_ms = self._clock.now_ms()
        deadline_ms = request.read_ms + (wait_ms if wait_ms is not None else 1e9)
        prompt = None
        if route.has_prompt:
            prompt = parse_prompt(
                request.header(headers.prompt_parts),
                request.header(headers.token_counts),
                request.header(headers.length_hint),
            )
        call = Call(
            id=request_id,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            arrived_ms=request.read_ms,
            give_up_ms=min(deadline_ms, request.read_ms + route.timeout_ms),
            aim_ms=request.read_ms + route.target_latency_ms,
            route=route,
            service=routing.draw_service(route),
            customer=customer,
            prompt=prompt,
            last_event_id=request.header(headers.resume_after).encode("latin-1"),
        )
        refusal = router.stop_refusal(call, now_ms)
        if refusal is None and router.dispatcher.lag.is_overloaded:
            refusal = Refusal(503, "overloaded", retry_after_s(call.id))
        if refusal is not None:
            self._refuse(exchange, call, refusal)
            return None
        router.dispatcher.note_asked(call)
        self._budget(call.service).note_request(now_ms)
        return call

    def _budget(self, service: str) -> RepeatBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RepeatBudget(self._router.settings.bounds)
            self._budgets[service] = budget
        return budget

    # -- attempts ----------------------------------------------------------------

    async def _serve(self, exchange: Exchange, call: Call) -> None:
        left_ms = call.give_up_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(max(0.0, left_ms) / 1000):
                await self._attempt_all(exchange, call)
        except TimeoutError:
            if exchange.has_begun:
                note("request.cut", request=call.id, reason="timeout")
                self._count(call, 200, "cut_at_timeout")
                exchange.abort()
            elif call.attempts:
                self._fail(exchange, call, 504, "timeout")
            else:
                refusal = Refusal(503, "timeout", defaults.RETRY_AFTER_MIN_S)
                self._refuse(exchange, call, refusal)
        except RefusedError as error:
            self._end_refused(exchange, call, error.refusal)

    def _end_refused(self, exchange: Exchange, call: Call, refusal: Refusal) -> None:
        """Answer a call that gets no (further) target."""
        if exchange.has_begun:
            note("request.cut", request=call.id, reason=refusal.reason)
            self._count(call, 200, "not_resumed")
            exchange.abort()
        elif call.attempts:
            # it may have run before, so that a promise would not be true.
            self._fail(exchange, call, 502, refusal.reason)
        else:
            self._refuse(exchange, call, refusal)

    async def _attempt_all(self, exchange: Exchange, call: Call) -> None:
        declined = 0
        failure: _Failure | None = None
        splitter = EventSplitter()
        while True:
            try:
                dispatched = await self._router.dispatcher.place(call)
            except RefusedError:
                if failure is not None and not exchange.has_begun:
                    self._pass_on(exchange, call, failure)
                    return
                raise
            self._note_sent(call, dispatched)
            try:
                failure = await self._attempt(exchange, call, dispatched, splitter)
                if failure is None:
                    return
                reason = f"status_{failure.head.status}"
            except ConnectError as error:
                self._router.dispatcher.note_unreachable(dispatched)
                self._note_attempt(call, dispatched, "unreachable", str(error))
                call.tried.add(dispatched.load.target.id)
                declined += 1
                if declined > defaults.DECLINED_LIMIT:
                    raise RefusedError(self._unserved("unreachable")) from error
                continue
            except DeclinedError as error:
                self._note_attempt(call, dispatched, "declined", str(error))
                if error.is_replaced:
                    self._router.dispatcher.note_replaced(dispatched)
                call.tried.add(dispatched.load.target.id)
                declined += 1
                if declined > defaults.DECLINED_LIMIT or not self._may_send(call):
                    raise RefusedError(self._unserved("declined")) from error
                continue
            except BrokenAnswerError as error:
                self._router.dispatcher.note_answer(dispatched, False)
                self._note_attempt(call, dispatched, "broken", str(error))
                reason = "broken"
            finally:
                self._router.dispatcher.end(dispatched)
            call.tried.add(dispatched.load.target.id)
            if not self._may_repeat(exchange, call, reason):
                if failure is not None:
                    self._pass_on(exchange, call, failure)
                elif exchange.has_begun:
                    self._count(call, 200, "broken")
                    exchange.abort()
                else:
                    self._fail(exchange, call, 502, "target_" + reason)
                return

    def _unserved(self, reason: str) -> Refusal:
        return Refusal(503, reason, defaults.RETRY_AFTER_MIN_S)

    def _may_repeat(self, exchange: Exchange, call: Call, reason: str) -> bool:
        """Whether a call that may have run is sent to another target."""
        if exchange.has_begun and not call.route.is_resumable:
            verdict = "not_resumable"
        elif not call.is_repeatable:
            verdict = "not_repeatable"
        elif call.attempts >= call.route.max_attempts:
            verdict = "too_many"
        elif not self._may_send(call):
            verdict = "no_budget"
        else:
            verdict = "allowed"
        self._metrics.repeats.labels(call.service, verdict).inc()
        note(
            "request.repeat",
            request=call.id,
            reason=reason,
            verdict=verdict,
            attempts=call.attempts,
            after_event=call.last_event_id.decode("latin-1"),
        )
        return verdict == "allowed"

    def _may_send(self, call: Call) -> bool:
        routers = self._router.peers.count + 1
        return self._budget(call.service).spend(self._clock.now_ms(), routers)

    # -- one attempt ---------------------------------------------------------------

    async def _attempt(
        self,
        exchange: Exchange,
        call: Call,
        dispatched: Dispatched,
        splitter: EventSplitter,
    ) -> _Failure | None:
        """Send a call to a target and pass its answer on.

        :return: a failure that the target answered, ``None`` if the caller has
            the whole answer.
        """
        target = dispatched.load.target
        max_idle_s = float("inf") if call.is_repeatable else defaults.ONCE_REUSE_S
        connection = await self._router.pool.connect(
            (target.host, target.port), max_idle_s=max_idle_s
        )
        call.attempts += 1
        try:
            connection.send(self._render(call, target.id), call.method == "HEAD")
            head = await connection.head()
            self._check_owner(call, connection, head)
            if head.status == 421 or head.get(self._router.headers.not_run) is not None:
                # it has not run: neither an attempt nor a fault of the target.
                call.attempts -= 1
                await self._read_whole(connection)
                raise DeclinedError(
                    f"status {head.status}", "send", target.id, head.status == 421
                )
            if not 200 <= head.status < 300:
                body = await self._read_whole(connection)
                self._router.dispatcher.note_answer(dispatched, head.status < 500)
                self._note_attempt(call, dispatched, f"status_{head.status}")
                return _Failure(head, body)
            if (head.get(b"content-type") or b"").startswith(_EVENT_STREAM):
                await self._stream(exchange, call, connection, dispatched, splitter)
            else:
                await self._pass_whole(exchange, call, connection, dispatched)
            self._router.dispatcher.note_answer(dispatched, True)
            self._note_attempt(call, dispatched, "whole")
            return None
        finally:
            self._router.pool.give_back(connection)

    def _check_owner(
        self, call: Call, connection: Connection, head: AnswerHead
    ) -> None:
        """Refuse an answer that belongs to another request."""
        owner = head.get(self._router.headers.request_id)
        if owner is not None and owner.decode("latin-1") != call.id:
            connection.close()
            raise BrokenAnswerError(f"answer of {owner!r}", "answer")

    async def _read_whole(self, connection: Connection) -> bytes:
        parts = []
        while data := await connection.read():
            parts.append(data)
        return b"".join(parts)

    async def _pass_whole(
        self,
        exchange: Exchange,
        call: Call,
        connection: Connection,
        dispatched: Dispatched,
    ) -> None:
        """Pass an answer on when it is whole, or as it comes if it is large."""
        head = await connection.head()
        parts: list[bytes] = []
        size = 0
        while data := await connection.read():
            if size <= defaults.WHOLE_ANSWER_BYTES:
                parts.append(data)
                size += len(data)
                if size > defaults.WHOLE_ANSWER_BYTES:
                    exchange.begin(head.status, _end_to_end(head.headers))
                    exchange.write(b"".join(parts))
            else:
                exchange.write(data)
                await exchange.drained()
        self._router.dispatcher.note_first_event(dispatched)
        self._observe_first(call)
        if size > defaults.WHOLE_ANSWER_BYTES:
            exchange.finish()
        else:
            body = b"".join(parts)
            exchange.answer(head.status, _end_to_end(head.headers), body)
        self._count(call, head.status, "whole")

    async def _stream(
        self,
        exchange: Exchange,
        call: Call,
        connection: Connection,
        dispatched: Dispatched,
        splitter: EventSplitter,
    ) -> None:
        """Pass whole events on as they come."""
        head = await connection.head()
        splitter.drop_rest()

        def take(data: bytes) -> bool:
            events = splitter.feed(data)
            if not events:
                return True
            if not exchange.has_begun:
                self._observe_first(call)
                exchange.begin(head.status, _end_to_end(head.headers))
            if not dispatched.sent.has_begun:
                self._router.dispatcher.note_first_event(dispatched)
            exchange.write(events)
            if splitter.last_id:
                call.last_event_id = splitter.last_id
            return exchange.is_drained

        await connection.pump(take, exchange.drained)
        if splitter.has_rest:
            raise BrokenAnswerError("it ends within an event", "answer")
        if not exchange.has_begun:
            exchange.begin(head.status, _end_to_end(head.headers))
        exchange.finish()
        self._count(call, head.status, "whole")

    def _render(self, call: Call, target_id: str) -> bytes:
        """Return the bytes of the request for a target."""
        names = self._router.headers
        own = {names.deadline_ms, names.customer, names.expected_target}
        own |= {names.credential, names.resume_after, b"content-length", b"expect"}
        left_ms = max(1, int(call.give_up_ms - self._clock.now_ms()))
        lines = [b"%s %s HTTP/1.1\r\n" % (call.method.encode(), call.path)]
        dropped = own | names.stripped | HOP_HEADERS | _named_hops(call.headers)
        lines += [
            b"%s: %s\r\n" % (name, value)
            for name, value in call.headers
            if name not in dropped
        ]
        lines.append(b"%s: %d\r\n" % (names.deadline_ms, left_ms))
        lines.append(b"%s: %s\r\n" % (names.expected_target, target_id.encode()))
        if call.customer:
            customer = call.customer.encode()
            lines.append(b"%s: %s\r\n" % (names.customer, customer))
        if call.last_event_id:
            lines.append(b"%s: %s\r\n" % (names.resume_after, call.last_event_id))
        if call.body or call.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            lines.append(b"content-length: %d\r\n" % len(call.body))
        lines.append(b"\r\n")
        lines.append(call.body)
        return b"".join(lines)

    # -- answers -------------------------------------------------------------------

    def _pass_on(self, exchange: Exchange, call: Call, failure: _Failure) -> None:
        """Pass on a failure as a target answered it."""
        if exchange.has_begun:
            exchange.abort()
        else:
            headers = _end_to_end(failure.head.headers)
            exchange.answer(failure.head.status, headers, failure.body)
        self._count(call, failure.head.status, "target")

    def _refuse(
        self,
        exchange: Exchange,
        call: Call | None,
        refusal: Refusal,
        request_id: str = "",
    ) -> None:
        """Tell a caller that its request has not run, and when to come again."""
        retry_after = b"%.2f" % refusal.retry_after_s
        exchange.answer(refusal.status, [(b"Retry-After", retry_after)], b"")
        service = call.service if call else ""
        self._metrics.answers.labels(service, str(refusal.status), refusal.reason).inc()
        queue = self._router.dispatcher.queues.get(service)
        if queue and call and call.prompt:
            queue.note_short(call.customer, self._clock.now_ms())
        note(
            "request.refused",
            request=call.id if call else request_id,
            status=refusal.status,
            reason=refusal.reason,
            retry_after_s=round(refusal.retry_after_s, 2),
            route=call.route.name if call else "",
            customer=call.customer if call else "",
            age_ms=round(self._clock.now_ms() - call.arrived_ms) if call else 0,
            tokens=call.prompt.tokens if call and call.prompt else 0,
            output=call.prompt.output_tokens if call and call.prompt else 0,
            is_over=queue.shares.is_over(call.customer, call.units)
            if queue and call
            else False,
            level=round(min(queue.shares.level, 1e9)) if queue else 0,
            waiting=len(queue.waiting) if queue else 0,
            reading=round(sum(load.reading for load in queue.targets.values()))
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
        """Answer a call with a failure of this router's own."""
        exchange.answer(status, [], b"")
        service = call.service if call else ""
        self._metrics.answers.labels(service, str(status), reason).inc()
        note(
            "request.failed",
            request=call.id if call else request_id,
            status=status,
            reason=reason,
            attempts=call.attempts if call else 0,
            age_ms=round(self._clock.now_ms() - call.arrived_ms) if call else 0,
            config=self._router.routing.version,
        )

    def _count(self, call: Call, status: int, reason: str) -> None:
        self._metrics.answers.labels(call.service, str(status), reason).inc()

    def _observe_first(self, call: Call) -> None:
        waited_s = (self._clock.now_ms() - call.arrived_ms) / 1000
        self._metrics.first_part.labels(call.service).observe(waited_s)

    def _note_sent(self, call: Call, dispatched: Dispatched) -> None:
        now_ms = self._clock.now_ms()
        waited_ms = now_ms - call.arrived_ms
        self._metrics.queue_wait.labels(call.service).observe(waited_ms / 1000)
        load = dispatched.load
        note(
            "request.sent",
            request=call.id,
            target=load.target.id,
            route=call.route.name,
            customer=call.customer,
            waited_ms=round(waited_ms),
            tokens=call.prompt.tokens if call.prompt else 0,
            output=call.prompt.output_tokens if call.prompt else 0,
            shared_part=call.prompt.affinity if call.prompt else "",
            unread=round(dispatched.sent.unread),
            ahead=round(dispatched.sent.ahead),
            running=load.running,
            rate=round(load.read_rate, 1),
            config=self._router.routing.version,
        )

    def _note_attempt(
        self, call: Call, dispatched: Dispatched, outcome: str, detail: str = ""
    ) -> None:
        self._metrics.attempts.labels(call.service, outcome).inc()
        note(
            "request.attempt",
            request=call.id,
            target=dispatched.load.target.id,
            outcome=outcome,
            detail=detail,
            took_ms=round(self._clock.now_ms() - dispatched.sent.sent_ms),
            age_ms=round(self._clock.now_ms() - call.arrived_ms),
        )


def _read_number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if value >= 0 else None


def _named_hops(headers: t.Iterable[tuple[bytes, bytes]]) -> set[bytes]:
    """Return the headers that a Connection header names."""
    named = set()
    for name, value in headers:
        if name == b"connection":
            named |= {item.strip().lower() for item in value.split(b",")}
    return named


def _end_to_end(
    headers: t.Sequence[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Return the headers of an answer that are the target's own."""
    dropped = HOP_HEADERS | _named_hops(headers) | {b"content-length"}
    return [pair for pair in headers if pair[0] not in dropped]
