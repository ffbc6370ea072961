"""Load generator: send calls to routers and record the answers."""

import asyncio
import hashlib
import json
import time
import typing as t

import aiohttp

from snipedeal_standins.engine import response_text
from snipedeal_standins.history import CUT
from snipedeal_standins.history import REFUSED
from snipedeal_standins.history import WHOLE
from snipedeal_standins.history import WRONG
from snipedeal_standins.history import CallRecord
from snipedeal_standins.plans import bearer_key

_REQUEST_TIMEOUT_S = 180
_HTTP_OK = 200
_FIRST_HTTP_ERROR = 400


class Caller:
    """HTTP client that checks each answer and keeps a history of its calls.

    :param session: the HTTP client session.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.history: list[CallRecord] = []
        self._session = session
        self._counts: dict[str, int] = {}

    def next_mark(self, customer: str) -> str:
        """Return a new unique id for a call of a customer."""
        number = self._counts.get(customer, 0) + 1
        self._counts[customer] = number
        return f"{customer}.{number}"

    async def chat(
        self,
        router: str,
        customer: str,
        service: str,
        tokens: int,
        kind: str = "chat",
        is_streamed: bool = True,
        prompt: str = "",
        headers: dict[str, str] | None = None,
    ) -> CallRecord:
        """Send a chat completion request and verify the complete answer.

        :param router: base URL of a router.
        :param tokens: number of tokens to request from the simulated engine.
        :param prompt: text placed before the markers that control the simulated engine.
        """
        mark = self.next_mark(customer)
        body = {
            "model": service,
            "stream": is_streamed,
            "messages": [
                {
                    "role": "user",
                    "content": f"{prompt}[id={mark}] [tokens={tokens}]",
                }
            ],
        }
        record = self._start_record(mark, customer, service, kind, router)
        record.is_streamed = is_streamed
        request_headers = {
            "Authorization": f"Bearer {bearer_key(customer)}",
            **(headers or {}),
        }
        record.key = request_headers.get("Idempotency-Key", "")
        try:
            await self._send_chat(
                record, f"{router}/v1/chat/completions", body, request_headers
            )
        except (KeyError, TypeError, ValueError, IndexError) as error:
            record.outcome = WRONG
            record.detail = f"malformed answer: {error!r}"
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            record.outcome = CUT
            record.detail = f"{type(error).__name__} {error}"
        record.done_ms = _now_ms()
        return record

    async def plain(
        self,
        router: str,
        customer: str,
        service: str,
        method: str,
        path: str,
        body: bytes = b"",
        kind: str = "lookup",
        key: str = "",
        headers: dict[str, str] | None = None,
    ) -> CallRecord:
        """Send a request to a plain service and verify the complete answer.

        :param key: idempotency key, empty for none.
        """
        mark = self.next_mark(customer)
        record = self._start_record(mark, customer, service, kind, router)
        record.key = key
        request_headers = {
            "Authorization": f"Bearer {bearer_key(customer)}",
            "X-Mark": mark,
            **(headers or {}),
        }
        if key:
            request_headers["Idempotency-Key"] = key
        try:
            async with self._session.request(
                method,
                router + path,
                data=body,
                headers=request_headers,
                timeout=aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S),
            ) as answer:
                text = await answer.read()
                self._check_plain(record, answer, text, body)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            record.outcome = CUT
            record.detail = f"{type(error).__name__} {error}"
        record.done_ms = _now_ms()
        return record

    def _start_record(
        self, mark: str, customer: str, service: str, kind: str, router: str
    ) -> CallRecord:
        record = CallRecord(mark, customer, service, kind, router, _now_ms())
        self.history.append(record)
        return record

    async def _send_chat(
        self, record: CallRecord, url: str, body: dict, headers: dict[str, str]
    ) -> None:
        async with self._session.post(
            url,
            json=body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S),
        ) as answer:
            record.status = answer.status
            record.request_id = answer.headers.get("X-Request-Id", "")
            record.is_replayed = "Idempotent-Replayed" in answer.headers
            if answer.status != _HTTP_OK:
                _read_refusal(record, await answer.read())
            elif record.is_streamed:
                await _read_stream(record, answer, body)
            else:
                fields = json.loads(await answer.read())
                text = fields["choices"][0]["message"]["content"]
                record.first_ms = _now_ms()
                record.tokens = fields["usage"]["completion_tokens"]
                _check_text(record, text, body)

    def _check_plain(
        self,
        record: CallRecord,
        answer: aiohttp.ClientResponse,
        text: bytes,
        body: bytes,
    ) -> None:
        record.status = answer.status
        record.request_id = answer.headers.get("X-Request-Id", "")
        record.is_replayed = "Idempotent-Replayed" in answer.headers
        if answer.status >= _FIRST_HTTP_ERROR:
            _read_refusal(record, text)
            return
        record.first_ms = _now_ms()
        fields = json.loads(text)
        is_correct = fields["body_sha256"] == hashlib.sha256(body).hexdigest()
        if not record.is_replayed:
            is_correct = is_correct and fields["mark"] == record.mark
        record.outcome = WHOLE if is_correct else WRONG


async def _read_stream(
    record: CallRecord, answer: aiohttp.ClientResponse, body: dict
) -> None:
    parts: list[str] = []
    is_done = False
    async for raw in answer.content:
        line = raw.strip()
        if not line.startswith(b"data: "):
            continue
        data = line[len(b"data: ") :]
        if data == b"[DONE]":
            is_done = True
            break
        fields = json.loads(data)
        if "error" in fields:
            _read_refusal(record, data)
            return
        for choice in fields["choices"]:
            text = choice["delta"].get("content", "")
            if text:
                record.first_ms = record.first_ms or _now_ms()
                record.tokens += 1
                parts.append(text)
    if not is_done:
        record.outcome = CUT
        record.detail = f"the stream ended after {len(parts)} parts"
        return
    _check_text(record, "".join(parts), body)


def _check_text(record: CallRecord, text: str, body: dict) -> None:
    record.outcome = WHOLE if text == response_text(body) else WRONG


def _read_refusal(record: CallRecord, text: bytes) -> None:
    record.outcome = REFUSED
    try:
        fields = json.loads(text)
    except ValueError:
        record.detail = text[:200].decode(errors="replace")
        return
    record.ran = fields.get("ran", "")
    record.code = fields.get("type", "").rpartition(":")[2]
    record.detail = fields.get("detail", "") or str(fields)[:200]
    record.request_id = fields.get("request_id", record.request_id)


async def run_closed_loop(
    call: t.Callable[[], t.Awaitable[CallRecord]],
    workers: int,
    until: float,
) -> None:
    """Run a closed loop: each worker sends its next call once the last one ended.

    A worker pauses for 50 ms after a call that did not succeed.

    :param call: sends one call.
    :param workers: number of calls kept open at the same time.
    :param until: monotonic time in seconds at which workers stop sending.
    """

    async def work() -> None:
        while time.monotonic() < until:
            record = await call()
            if record.outcome != WHOLE:
                await asyncio.sleep(0.05)

    await asyncio.gather(*(work() for _ in range(workers)))


def _now_ms() -> int:
    return int(time.time() * 1000)
