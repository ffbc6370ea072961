"""Stand-in for a model engine that batches continuously.

One step produces a token for every running stream; a step takes longer the
more streams run. Prompts whose prefix is cached are prefilled faster. The text
is a function of the request's body alone, so that a checker can tell what the
whole answer is. Markers in the prompt steer it: ``[tokens=N]`` sets the length
of the answer and ``[crash]`` crashes the engine. A crash drops all streams and
connections and keeps the engine down for a while; its record stays.
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

from snipedeal_standins.serving import Record
from snipedeal_standins.serving import serve

_WORDS = ("ward", "water", "council", "tide", "relay", "pip", "drift", "gazette")
_TOKENS = re.compile(r"\[tokens=(\d+)\]")
_CRASH = re.compile(r"\[crash\]")
_MARK = re.compile(r"\[id=([\w.-]+)\]")
_PREFIX_BLOCK = 64
_KEEP_FINISHED_S = 30.0
_SERVED_INTERVAL_S = 0.25


@attrs.define
class EngineModel:
    """Speeds and limits of the engine.

    :param max_batch: streams that run at once; others wait in order.
    :param step_ms: duration of a step with one stream.
    :param step_per_stream_ms: added for each further stream.
    :param prefill_per_token_ms: time for an uncached prompt token.
    :param cache_blocks: prefix blocks that the cache holds.
    :param down_ms: how long a crash keeps the engine down.
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
    """One answer, complete or growing."""

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
    ready_at: float = 0.0
    ended: str = ""
    ended_at: float = 0.0
    changed: asyncio.Event = attrs.Factory(asyncio.Event)

    def notify(self) -> None:
        """Wake the readers."""
        self.changed.set()
        self.changed = asyncio.Event()


def token_text(digest: str, index: int) -> str:
    """Return a token of the answer to a body.

    :param digest: hexadecimal SHA-256 of the body's prompt.
    :param index: position of the token.
    """
    word = _WORDS[(int(digest[:8], 16) + index * 7) % len(_WORDS)]
    return f"{word}{index} "


def prompt_of(body: dict[str, t.Any]) -> str:
    """Return the prompt text of a chat or completion body."""
    if "messages" in body:
        return "\n".join(str(m.get("content", "")) for m in body["messages"])
    return str(body.get("prompt", ""))


def answer_length(body: dict[str, t.Any]) -> int:
    """Return how many tokens the answer to a body has."""
    prompt = prompt_of(body)
    found = _TOKENS.search(prompt)
    digest = hashlib.sha256(prompt.encode()).hexdigest()
    length = int(found.group(1)) if found else 10 + int(digest[8:12], 16) % 50
    limit = body.get("max_tokens") or body.get("max_completion_tokens")
    return min(length, limit) if limit else length


def answer_text(body: dict[str, t.Any]) -> str:
    """Return the whole answer to a body."""
    digest = hashlib.sha256(prompt_of(body).encode()).hexdigest()
    return "".join(token_text(digest, i) for i in range(answer_length(body)))


class Engine:
    """The batch, the cache and the streams."""

    def __init__(self, model: EngineModel, record: Record) -> None:
        self._model = model
        self._record = record
        self._streams: dict[str, _Stream] = {}
        self._running: list[_Stream] = []
        self._waiting: collections.deque[_Stream] = collections.deque()
        self._cache: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._cache_events: list[dict] = []
        self._down_until = 0.0
        self._epoch = 0
        self._fence = -1
        self._loaded: dict[str, str] = {}
        self._served: dict[str, int] = {}
        self._served_at = 0.0
        self._busy_ms = 0.0
        self._slot_ms = 0.0
        self._work = asyncio.Event()
        self._task: asyncio.Task | None = None

    async def on_post_chat(self, req: falcon.asgi.Request, resp: t.Any) -> None:
        """Answer a chat completion."""
        await self._answer(req, resp, is_chat=True)

    async def on_post_completion(self, req: falcon.asgi.Request, resp: t.Any) -> None:
        """Answer a completion."""
        await self._answer(req, resp, is_chat=False)

    async def on_get_stream(
        self, req: falcon.asgi.Request, resp: t.Any, attempt: str
    ) -> None:
        """Resume a stream at a token offset."""
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
        if stream is not None and not stream.ended:
            self._end(stream, "cancelled")

    async def on_get_health(self, req: falcon.asgi.Request, resp: t.Any) -> None:
        """Say that the engine is up."""
        self._raise_if_down()
        resp.media = {"status": "ok", "epoch": self._epoch}

    async def on_get_load(self, req: falcon.asgi.Request, resp: t.Any) -> None:
        """Report load and what is loaded."""
        self._raise_if_down()
        resp.media = {
            "max_batch": self._model.max_batch,
            "running": len(self._running),
            "waiting": len(self._waiting),
            "busy_ms": self._busy_ms,
            "slot_ms": self._slot_ms,
            "loaded": self._loaded,
            "fence": self._fence,
        }

    async def on_get_cache(self, req: falcon.asgi.Request, resp: t.Any) -> None:
        """Return cache events from a number on."""
        start = req.get_param_as_int("from", default=0)
        resp.media = self._cache_events[start:]

    async def on_post_order(self, req: falcon.asgi.Request, resp: t.Any) -> None:
        """Load something or change role."""
        self._raise_if_down()
        order = await req.get_media()
        fence = int(order.get("fence", -1))
        if self._model.checks_fencing and fence < self._fence:
            raise falcon.HTTPConflict(description=f"fence {fence} < {self._fence}")
        self._fence = max(self._fence, fence)
        self._loaded[order["action"]] = f"{order['name']}@{order['version']}"
        self._record.write("order", **order)
        resp.media = {"status": "done"}

    async def _answer(self, req: t.Any, resp: t.Any, is_chat: bool) -> None:
        self._raise_if_down()
        body = await req.get_media()
        stream = self._make_stream(req, body, is_chat)
        self._streams[stream.attempt] = stream
        self._record.write(
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
            await self._send_whole(resp, stream)

    def _make_stream(self, req: t.Any, body: dict, is_chat: bool) -> _Stream:
        prompt = prompt_of(body)
        mark = _MARK.search(prompt)
        prompt_tokens = max(1, len(prompt) // 4)
        attempt = req.get_header("X-Attempt-Id", default="")
        stream = _Stream(
            attempt or f"direct-{time.monotonic_ns()}",
            req.get_header("X-Request-Id", default=""),
            mark.group(1) if mark else "",
            hashlib.sha256(prompt.encode()).hexdigest(),
            answer_length(body),
            prompt_tokens,
            bool(_CRASH.search(prompt)),
            str(body.get("model", "")),
            is_chat,
        )
        stream.cached_tokens = self._touch_cache(prompt)
        return stream

    def _touch_cache(self, prompt: str) -> int:
        """Return the cached prompt tokens and cache the prompt's blocks."""
        hit = 0
        is_hit = True
        for end in range(_PREFIX_BLOCK, len(prompt) + 1, _PREFIX_BLOCK):
            block = hashlib.sha256(prompt[:end].encode()).hexdigest()[:16]
            if block in self._cache:
                self._cache.move_to_end(block)
                hit += _PREFIX_BLOCK if is_hit else 0
                continue
            is_hit = False
            self._cache[block] = None
            self._cache_events.append({"op": "add", "block": block})
            if len(self._cache) > self._model.cache_blocks:
                dropped, _ = self._cache.popitem(last=False)
                self._cache_events.append({"op": "drop", "block": dropped})
        return hit // 4

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
                lines.append(_chunk_line(stream, position))
                position += 1
            if lines:
                yield b"".join(lines)
            elif stream.ended == "done":
                yield _final_lines(stream)
                return
            elif stream.ended:
                raise ConnectionResetError(stream.ended)
            else:
                await stream.changed.wait()

    async def _send_whole(self, resp: t.Any, stream: _Stream) -> None:
        while not stream.ended:
            await stream.changed.wait()
        if stream.ended != "done":
            raise falcon.HTTPServiceUnavailable(description=stream.ended)
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
        self._work.set()
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        next_step = loop.time()
        while True:
            self._admit(loop.time())
            if not self._running:
                self._work.clear()
                if not self._waiting:
                    await self._work.wait()
                next_step = loop.time()
                continue
            batch = len(self._running)
            step_s = (
                self._model.step_ms + self._model.step_per_stream_ms * (batch - 1)
            ) / 1000
            next_step = max(next_step + step_s, loop.time())
            await asyncio.sleep(max(0.0, next_step - loop.time()))
            self._busy_ms += step_s * 1000 * batch
            self._slot_ms += step_s * 1000 * self._model.max_batch
            self._step(loop.time())

    def _admit(self, now: float) -> None:
        while self._waiting and len(self._running) < self._model.max_batch:
            stream = self._waiting.popleft()
            if stream.ended:
                continue
            uncached = stream.prompt_tokens - stream.cached_tokens
            stream.ready_at = now + uncached * self._model.prefill_per_token_ms / 1000
            self._running.append(stream)

    def _step(self, now: float) -> None:
        for stream in list(self._running):
            if stream.ended or stream.ready_at > now:
                continue
            stream.produced += 1
            owner = stream.mark.partition(".")[0]
            self._served[owner] = self._served.get(owner, 0) + 1
            if stream.produced >= stream.total:
                self._end(stream, "done")
            else:
                stream.notify()
        self._write_served(now)
        self._forget_old(now)

    def _write_served(self, now: float) -> None:
        """Record the tokens so far by the marks' first part, at intervals."""
        if now - self._served_at >= _SERVED_INTERVAL_S:
            self._served_at = now
            self._record.write("served", tokens=self._served)

    def _end(self, stream: _Stream, how: str) -> None:
        stream.ended = how
        stream.ended_at = time.monotonic()
        if stream in self._running:
            self._running.remove(stream)
        self._record.write(
            "end",
            attempt=stream.attempt,
            mark=stream.mark,
            how=how,
            tokens=stream.produced,
            prompt_tokens=stream.prompt_tokens,
        )
        stream.notify()

    def _crash(self) -> None:
        self._record.write("crash", running=len(self._running))
        for stream in [*self._running, *self._waiting]:
            self._end(stream, "crashed")
        self._streams.clear()
        self._running.clear()
        self._waiting.clear()
        self._cache.clear()
        self._epoch += 1
        self._down_until = time.monotonic() + self._model.down_ms / 1000

    def _raise_if_down(self) -> None:
        if time.monotonic() < self._down_until:
            raise falcon.HTTPServiceUnavailable(description="down")

    def _forget_old(self, now: float) -> None:
        if len(self._streams) < 1_000:
            return
        limit = time.monotonic() - _KEEP_FINISHED_S
        for attempt, stream in list(self._streams.items()):
            if stream.ended and stream.ended_at < limit:
                del self._streams[attempt]


def _usage(stream: _Stream) -> dict[str, int]:
    return {
        "prompt_tokens": stream.prompt_tokens,
        "completion_tokens": stream.produced,
        "total_tokens": stream.prompt_tokens + stream.produced,
    }


def _chunk_line(stream: _Stream, index: int) -> bytes:
    text = token_text(stream.digest, index)
    choice: dict[str, t.Any] = {"index": 0, "finish_reason": None}
    if stream.is_chat:
        delta = {"content": text}
        if index == 0:
            delta["role"] = "assistant"
        choice["delta"] = delta
    else:
        choice["text"] = text
    return _event_line(stream, [choice], None)


def _final_lines(stream: _Stream) -> bytes:
    choice: dict[str, t.Any] = {"index": 0, "finish_reason": "stop"}
    choice.update({"delta": {}} if stream.is_chat else {"text": ""})
    last = _event_line(stream, [choice], None)
    usage = _event_line(stream, [], _usage(stream))
    return last + usage + b"data: [DONE]\n\n"


def _event_line(stream: _Stream, choices: list, usage: dict | None) -> bytes:
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


def make_app(model: EngineModel, record: Record) -> falcon.asgi.App:
    """Return the stand-in's application."""
    app = falcon.asgi.App()
    engine: t.Any = Engine(model, record)
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
    :param record: file for the engine's own record.
    :param max_batch: streams that run at once.
    :param step_ms: duration of a step with one stream.
    :param step_per_stream_ms: added for each further stream.
    :param prefill_per_token_ms: time for an uncached prompt token.
    :param cache_blocks: prefix blocks that the cache holds.
    :param down_ms: how long a crash keeps the engine down.
    :param checks_fencing: refuse orders with an old fencing number.
    """
    model = EngineModel(
        max_batch,
        step_ms,
        step_per_stream_ms,
        prefill_per_token_ms,
        cache_blocks,
        down_ms,
        checks_fencing,
    )
    serve(make_app(model, Record(record)), http)
