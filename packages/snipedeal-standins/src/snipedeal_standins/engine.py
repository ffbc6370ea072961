"""Simulated model engine with continuous batching.

Each decode step produces one token for every prefilled stream of the batch; a
step takes longer the more streams run. Prompts whose prefix is cached are
prefilled faster. The generated text is a function of the request body alone, so
that a checker can compute the expected response. Markers in the prompt control
the engine: ``[tokens=N]`` sets the length of the response, ``[id=ID]`` names the
request in the event log, and ``[crash]`` crashes the engine. A crash drops all
streams, their connections and the cache, and keeps the engine down for
``down_ms``; the event log is kept.
"""

import asyncio
import collections
import hashlib
import json
import re
import time
import typing as t

import attrs
import falcon
import falcon.asgi

from snipedeal_standins.serving import EventLog
from snipedeal_standins.serving import serve

_WORDS = ("ward", "water", "council", "tide", "relay", "pip", "drift", "gazette")
_TOKENS = re.compile(r"\[tokens=(\d+)\]")
_CRASH = re.compile(r"\[crash\]")
_MARK = re.compile(r"\[id=([\w.-]+)\]")
_PREFIX_BLOCK_CHARS = 64
_FINISHED_RETENTION_S = 30.0
_SERVED_INTERVAL_S = 0.25


@attrs.define
class EngineSpec:
    """Speeds and limits of the engine.

    :param max_batch: batch size limit; further streams wait in FIFO order.
    :param step_ms: duration of a decode step with one stream.
    :param step_per_stream_ms: time added to a step for each further stream.
    :param prefill_per_token_ms: prefill time per uncached prompt token.
    :param cache_blocks: capacity of the prefix cache in blocks.
    :param down_ms: how long the engine is down after a crash.
    :param checks_fencing: whether to reject orders with an outdated fencing token.
    """

    max_batch: int = 8
    step_ms: float = 8.0
    step_per_stream_ms: float = 0.25
    prefill_per_token_ms: float = 0.05
    cache_blocks: int = 2_000
    down_ms: int = 800
    checks_fencing: bool = False


@attrs.define(eq=False)
class _Stream:
    """A completion, finished or still being generated.

    :param total: number of tokens in the full response.
    :param prefilled_at: event-loop time in s at which the prefill ends.
    :param end_reason: ``done``, ``cancelled`` or ``crashed``; empty while it runs.
    :param ended_at: monotonic time in s.
    """

    attempt: str
    request: str
    mark: str
    digest: str
    total: int
    prompt_tokens: int
    crashes: bool
    model: str
    is_chat: bool
    cached_tokens: int = 0
    produced: int = 0
    prefilled_at: float = 0.0
    end_reason: str = ""
    ended_at: float = 0.0
    changed: asyncio.Event = attrs.Factory(asyncio.Event)

    def notify(self) -> None:
        """Wake the tasks that wait for new tokens or the end."""
        self.changed.set()
        self.changed = asyncio.Event()


def token_text(digest: str, index: int) -> str:
    """Return one token of a response.

    :param digest: hexadecimal SHA-256 of the prompt.
    :param index: position of the token in the response.
    """
    word = _WORDS[(int(digest[:8], 16) + index * 7) % len(_WORDS)]
    return f"{word}{index} "


def prompt_of(body: dict[str, t.Any]) -> str:
    """Return the prompt text of a chat or completion request body."""
    if "messages" in body:
        return "\n".join(str(m.get("content", "")) for m in body["messages"])
    return str(body.get("prompt", ""))


def response_length(body: dict[str, t.Any]) -> int:
    """Return the number of tokens in the response to a request body."""
    prompt = prompt_of(body)
    found = _TOKENS.search(prompt)
    digest = hashlib.sha256(prompt.encode()).hexdigest()
    length = int(found.group(1)) if found else 10 + int(digest[8:12], 16) % 50
    limit = body.get("max_tokens") or body.get("max_completion_tokens")
    return min(length, limit) if limit else length


def response_text(body: dict[str, t.Any]) -> str:
    """Return the full response text for a request body."""
    digest = hashlib.sha256(prompt_of(body).encode()).hexdigest()
    return "".join(token_text(digest, i) for i in range(response_length(body)))


class Engine:
    """Run the batch, the prefix cache and the streams of a simulated engine."""

    def __init__(self, spec: EngineSpec, event_log: EventLog) -> None:
        self._spec = spec
        self._event_log = event_log
        self._streams: dict[str, _Stream] = {}
        self._running: list[_Stream] = []
        self._waiting: collections.deque[_Stream] = collections.deque()
        self._cache: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._cache_events: list[dict] = []
        self._down_until = 0.0
        self._epoch = 0
        self._highest_fence = -1
        self._loaded: dict[str, str] = {}
        self._served: dict[str, int] = {}
        self._served_at = 0.0
        self._busy_ms = 0.0
        self._slot_ms = 0.0
        self._has_work = asyncio.Event()
        self._task: asyncio.Task | None = None

    async def on_post_chat(self, req: falcon.asgi.Request, resp: t.Any) -> None:
        """Handle a chat completion request."""
        await self._handle_completion(req, resp, is_chat=True)

    async def on_post_completion(self, req: falcon.asgi.Request, resp: t.Any) -> None:
        """Handle a text completion request."""
        await self._handle_completion(req, resp, is_chat=False)

    async def on_get_stream(
        self, req: falcon.asgi.Request, resp: t.Any, attempt: str
    ) -> None:
        """Resume a stream from a token offset."""
        self._raise_if_down()
        stream = self._streams.get(attempt)
        if stream is None:
            raise falcon.HTTPNotFound
        offset = req.get_param_as_int("offset", default=0)
        self._send_stream(resp, stream, offset)

    async def on_delete_stream(
        self, req: falcon.asgi.Request, resp: t.Any, attempt: str
    ) -> None:
        """Cancel a stream."""
        self._raise_if_down()
        stream = self._streams.get(attempt)
        if stream is not None and not stream.end_reason:
            self._end(stream, "cancelled")

    async def on_get_health(self, req: falcon.asgi.Request, resp: t.Any) -> None:
        """Report that the engine is up."""
        self._raise_if_down()
        resp.media = {"status": "ok", "epoch": self._epoch}

    async def on_get_load(self, req: falcon.asgi.Request, resp: t.Any) -> None:
        """Report the current load, what is loaded and the highest fencing token."""
        self._raise_if_down()
        resp.media = {
            "max_batch": self._spec.max_batch,
            "running": len(self._running),
            "waiting": len(self._waiting),
            "busy_ms": self._busy_ms,
            "slot_ms": self._slot_ms,
            "loaded": self._loaded,
            "fence": self._highest_fence,
        }

    async def on_get_cache(self, req: falcon.asgi.Request, resp: t.Any) -> None:
        """Return the cache events from an index on."""
        start = req.get_param_as_int("from", default=0)
        resp.media = self._cache_events[start:]

    async def on_post_order(self, req: falcon.asgi.Request, resp: t.Any) -> None:
        """Apply an order to load an adapter or model or to change the role."""
        self._raise_if_down()
        order = await req.get_media()
        fence = int(order.get("fence", -1))
        if self._spec.checks_fencing and fence < self._highest_fence:
            raise falcon.HTTPConflict(
                description=f"fence {fence} < {self._highest_fence}"
            )
        self._highest_fence = max(self._highest_fence, fence)
        self._loaded[order["action"]] = f"{order['name']}@{order['version']}"
        self._event_log.write("order", **order)
        resp.media = {"status": "done"}

    async def _handle_completion(self, req: t.Any, resp: t.Any, is_chat: bool) -> None:
        self._raise_if_down()
        body = await req.get_media()
        stream = self._make_stream(req, body, is_chat)
        self._streams[stream.attempt] = stream
        self._event_log.write(
            "start",
            attempt=stream.attempt,
            request=stream.request,
            mark=stream.mark,
            customer=req.get_header("X-Customer", default=""),
            prompt_tokens=stream.prompt_tokens,
            cached_tokens=stream.cached_tokens,
        )
        if stream.crashes:
            self._crash()
            raise falcon.HTTPServiceUnavailable
        self._waiting.append(stream)
        self._wake()
        if body.get("stream"):
            self._send_stream(resp, stream, 0)
        else:
            await self._send_completion(resp, stream)

    def _make_stream(self, req: t.Any, body: dict, is_chat: bool) -> _Stream:
        prompt = prompt_of(body)
        mark = _MARK.search(prompt)
        # Counts four characters as one token.
        prompt_tokens = max(1, len(prompt) // 4)
        attempt = req.get_header("X-Attempt-Id", default="")
        stream = _Stream(
            attempt or f"direct-{time.monotonic_ns()}",
            req.get_header("X-Request-Id", default=""),
            mark.group(1) if mark else "",
            hashlib.sha256(prompt.encode()).hexdigest(),
            response_length(body),
            prompt_tokens,
            bool(_CRASH.search(prompt)),
            str(body.get("model", "")),
            is_chat,
        )
        stream.cached_tokens = self._update_prefix_cache(prompt)
        return stream

    def _update_prefix_cache(self, prompt: str) -> int:
        """Cache the prompt's blocks; return the tokens of its cached prefix."""
        hit_chars = 0
        is_hit = True
        for end in range(_PREFIX_BLOCK_CHARS, len(prompt) + 1, _PREFIX_BLOCK_CHARS):
            block = hashlib.sha256(prompt[:end].encode()).hexdigest()[:16]
            if block in self._cache:
                self._cache.move_to_end(block)
                hit_chars += _PREFIX_BLOCK_CHARS if is_hit else 0
                continue
            is_hit = False
            self._cache[block] = None
            self._cache_events.append({"op": "add", "block": block})
            if len(self._cache) > self._spec.cache_blocks:
                dropped, _ = self._cache.popitem(last=False)
                self._cache_events.append({"op": "drop", "block": dropped})
        return hit_chars // 4

    def _send_stream(self, resp: t.Any, stream: _Stream, offset: int) -> None:
        resp.content_type = "text/event-stream"
        resp.stream = self._read_stream(stream, offset)

    async def _read_stream(
        self, stream: _Stream, offset: int
    ) -> t.AsyncIterator[bytes]:
        position = offset
        while True:
            lines = []
            while position < stream.produced:
                lines.append(_token_event(stream, position))
                position += 1
            if lines:
                yield b"".join(lines)
            elif stream.end_reason == "done":
                yield _final_events(stream)
                return
            elif stream.end_reason:
                raise ConnectionResetError(stream.end_reason)
            else:
                await stream.changed.wait()

    async def _send_completion(self, resp: t.Any, stream: _Stream) -> None:
        while not stream.end_reason:
            await stream.changed.wait()
        if stream.end_reason != "done":
            raise falcon.HTTPServiceUnavailable(description=stream.end_reason)
        text = "".join(token_text(stream.digest, i) for i in range(stream.total))
        choice: dict[str, t.Any] = {"index": 0, "finish_reason": "stop"}
        if stream.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        resp.media = {
            "id": stream.attempt,
            "object": "chat.completion" if stream.is_chat else "text_completion",
            "created": 0,
            "model": stream.model,
            "choices": [choice],
            "usage": _usage(stream),
        }

    def _wake(self) -> None:
        self._has_work.set()
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        next_step = loop.time()
        while True:
            self._admit(loop.time())
            if not self._running:
                self._has_work.clear()
                if not self._waiting:
                    await self._has_work.wait()
                next_step = loop.time()
                continue
            batch = len(self._running)
            step_s = (
                self._spec.step_ms + self._spec.step_per_stream_ms * (batch - 1)
            ) / 1000
            next_step = max(next_step + step_s, loop.time())
            await asyncio.sleep(max(0.0, next_step - loop.time()))
            self._busy_ms += step_s * 1000 * batch
            self._slot_ms += step_s * 1000 * self._spec.max_batch
            self._step(loop.time())

    def _admit(self, now: float) -> None:
        while self._waiting and len(self._running) < self._spec.max_batch:
            stream = self._waiting.popleft()
            if stream.end_reason:
                continue
            uncached = stream.prompt_tokens - stream.cached_tokens
            stream.prefilled_at = (
                now + uncached * self._spec.prefill_per_token_ms / 1000
            )
            self._running.append(stream)

    def _step(self, now: float) -> None:
        for stream in list(self._running):
            if stream.end_reason or stream.prefilled_at > now:
                continue
            stream.produced += 1
            customer = stream.mark.partition(".")[0]
            self._served[customer] = self._served.get(customer, 0) + 1
            if stream.produced >= stream.total:
                self._end(stream, "done")
            else:
                stream.notify()
        self._write_served(now)
        self._delete_finished(now)

    def _write_served(self, now: float) -> None:
        """Log the total tokens per customer, the first part of a mark, at intervals."""
        if now - self._served_at >= _SERVED_INTERVAL_S:
            self._served_at = now
            self._event_log.write("served", tokens=self._served)

    def _end(self, stream: _Stream, reason: str) -> None:
        stream.end_reason = reason
        stream.ended_at = time.monotonic()
        if stream in self._running:
            self._running.remove(stream)
        self._event_log.write(
            "end",
            attempt=stream.attempt,
            mark=stream.mark,
            how=reason,
            tokens=stream.produced,
            prompt_tokens=stream.prompt_tokens,
        )
        stream.notify()

    def _crash(self) -> None:
        self._event_log.write("crash", running=len(self._running))
        for stream in [*self._running, *self._waiting]:
            self._end(stream, "crashed")
        self._streams.clear()
        self._running.clear()
        self._waiting.clear()
        self._cache.clear()
        self._epoch += 1
        self._down_until = time.monotonic() + self._spec.down_ms / 1000

    def _raise_if_down(self) -> None:
        if time.monotonic() < self._down_until:
            raise falcon.HTTPServiceUnavailable(description="down")

    def _delete_finished(self, now: float) -> None:
        if len(self._streams) < 1_000:
            return
        limit = time.monotonic() - _FINISHED_RETENTION_S
        for attempt, stream in list(self._streams.items()):
            if stream.end_reason and stream.ended_at < limit:
                del self._streams[attempt]


def _usage(stream: _Stream) -> dict[str, int]:
    return {
        "prompt_tokens": stream.prompt_tokens,
        "completion_tokens": stream.produced,
        "total_tokens": stream.prompt_tokens + stream.produced,
    }


def _token_event(stream: _Stream, index: int) -> bytes:
    text = token_text(stream.digest, index)
    choice: dict[str, t.Any] = {"index": 0, "finish_reason": None}
    if stream.is_chat:
        delta = {"content": text}
        if index == 0:
            delta["role"] = "assistant"
        choice["delta"] = delta
    else:
        choice["text"] = text
    return _render_event(stream, [choice], None)


def _final_events(stream: _Stream) -> bytes:
    choice: dict[str, t.Any] = {"index": 0, "finish_reason": "stop"}
    choice.update({"delta": {}} if stream.is_chat else {"text": ""})
    last = _render_event(stream, [choice], None)
    usage = _render_event(stream, [], _usage(stream))
    return last + usage + b"data: [DONE]\n\n"


def _render_event(stream: _Stream, choices: list, usage: dict | None) -> bytes:
    kind = "chat.completion.chunk" if stream.is_chat else "text_completion"
    chunk = {
        "id": stream.attempt,
        "object": kind,
        "created": 0,
        "model": stream.model,
        "choices": choices,
    }
    if usage is not None:
        chunk["usage"] = usage
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"


def make_app(spec: EngineSpec, event_log: EventLog) -> falcon.asgi.App:
    """Return the engine's ASGI application."""
    app = falcon.asgi.App()
    engine: t.Any = Engine(spec, event_log)
    app.add_route("/v1/chat/completions", engine, suffix="chat")
    app.add_route("/v1/completions", engine, suffix="completion")
    app.add_route("/v1/streams/{attempt}", engine, suffix="stream")
    app.add_route("/health", engine, suffix="health")
    app.add_route("/load", engine, suffix="load")
    app.add_route("/cache/events", engine, suffix="cache")
    app.add_route("/orders", engine, suffix="order")
    app.set_error_serializer(_write_error)
    return app


def _write_error(req: t.Any, resp: t.Any, error: falcon.HTTPError) -> None:
    resp.media = {"error": {"message": error.description or error.title}}


def run(
    *,
    http: str,
    record: str = "",
    max_batch: int = 8,
    step_ms: float = 8.0,
    step_per_stream_ms: float = 0.25,
    prefill_per_token_ms: float = 0.05,
    cache_blocks: int = 2_000,
    down_ms: int = 800,
    checks_fencing: bool = False,
) -> None:
    """Run a model engine.

    :param http: host:port to listen on.
    :param record: file for the engine's event log; empty for none.
    :param max_batch: batch size limit; further streams wait in FIFO order.
    :param step_ms: duration of a decode step with one stream.
    :param step_per_stream_ms: time added to a step for each further stream.
    :param prefill_per_token_ms: prefill time per uncached prompt token.
    :param cache_blocks: capacity of the prefix cache in blocks.
    :param down_ms: how long the engine is down after a crash.
    :param checks_fencing: reject orders with an outdated fencing token.
    """
    spec = EngineSpec(
        max_batch,
        step_ms,
        step_per_stream_ms,
        prefill_per_token_ms,
        cache_blocks,
        down_ms,
        checks_fencing,
    )
    serve(make_app(spec, EventLog(record)), http)
