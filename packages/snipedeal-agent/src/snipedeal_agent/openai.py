"""Dialect for model engines with an OpenAI-compatible streaming API."""

import json
import typing as t

import aiohttp
import attrs
import msgspec

from snipedeal import defaults
from snipedeal.exceptions import StreamUnknownError
from snipedeal.exceptions import TargetError
from snipedeal.exceptions import TargetLostError
from snipedeal.exceptions import TargetResponseError
from snipedeal.exceptions import TargetSilentError
from snipedeal.messages import Dispatch
from snipedeal_agent.connections import check_status
from snipedeal_agent.dialects import DIALECTS
from snipedeal_agent.dialects import Chunks
from snipedeal_agent.dialects import Declined
from snipedeal_agent.dialects import Dialect
from snipedeal_agent.dialects import ResponseStart
from snipedeal_agent.dialects import Target
from snipedeal_agent.dialects import TargetEvent
from snipedeal_agent.dialects import Usage
from snipedeal_agent.dialects import forwarded_headers
from snipedeal_agent.dialects import read_short_body
from snipedeal_agent.dialects import request_headers
from snipedeal_agent.dialects import request_timeout

_DATA_PREFIX = b"data: "
_EVENT_END = b"\n\n"
_DONE_PAYLOAD = b"[DONE]"
_USAGE_KEY = b'"usage"'
_HTTP_OK = 200
_HTTP_NOT_FOUND = 404
_HTTP_UNAVAILABLE = 503


class _UsageFields(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _UsageChunk(msgspec.Struct):
    usage: _UsageFields | None = None


_usage_decoder = msgspec.json.Decoder(_UsageChunk)


async def run(target: Target, dispatch: Dispatch) -> t.AsyncIterator[TargetEvent]:
    """Start an attempt, always with a streamed response that reports usage.

    :raises TargetError: the connection could not be opened, so nothing ran.
    :raises TargetResponseError: the engine declined the request for a time.
    :raises TargetLostError: the engine is unavailable, or the connection was lost
        before the response was complete.
    """
    headers = request_headers(dispatch)
    body = _as_streaming_body(dispatch.body)
    request = target.session.post(
        target.url + dispatch.path,
        data=body,
        headers=headers,
        timeout=_timeout(dispatch.remaining_ms),
    )
    async for event in _read(target, request):
        yield event


async def resume(
    target: Target, attempt: str, offset: int, remaining_ms: int
) -> t.AsyncIterator[TargetEvent]:
    """Read the stream of an attempt from a chunk offset.

    :param remaining_ms: time left until the caller's deadline.
    :raises StreamUnknownError: the engine does not know the attempt.
    :raises TargetError: the connection could not be opened.
    :raises TargetResponseError: the engine answered with a failure.
    :raises TargetLostError: the engine is unavailable, or the connection was lost
        before the response was complete.
    """
    request = target.session.get(
        f"{target.url}/v1/streams/{attempt}",
        params={"offset": str(offset)},
        timeout=_timeout(remaining_ms),
    )
    async for event in _read(target, request, is_resume=True):
        yield event


async def cancel(target: Target, attempt: str) -> None:
    """Cancel an attempt; connection errors and timeouts are ignored."""
    timeout = aiohttp.ClientTimeout(total=defaults.TARGET_CONNECT_TIMEOUT_MS / 1000)
    url = f"{target.url}/v1/streams/{attempt}"
    try:
        async with target.session.delete(url, timeout=timeout):
            return
    except (aiohttp.ClientError, TimeoutError):
        return


async def _read(
    target: Target, request: t.Any, is_resume: bool = False
) -> t.AsyncIterator[TargetEvent]:
    try:
        async with request as response:
            check_status(response)
            if is_resume and response.status == _HTTP_NOT_FOUND:
                raise StreamUnknownError("stream unknown", "resume", target.url)
            if response.status == _HTTP_UNAVAILABLE:
                retry_after = response.headers.getall("Retry-After", [])
                yield Declined(forwarded_headers(response.headers), retry_after)
                if retry_after:
                    # It works and wants a pause, so this is no sign of a crash.
                    raise TargetResponseError("declined", "run", target.url)
                raise TargetLostError("the engine is down", "run", target.url)
            if is_resume and response.status != _HTTP_OK:
                text = f"status {response.status} for a resumed stream"
                raise TargetResponseError(text, "resume", target.url)
            yield ResponseStart(response.status, forwarded_headers(response.headers))
            if response.status != _HTTP_OK:
                yield Chunks([await read_short_body(response)], 0.0)
                return
            async for event in _read_events(response, target):
                yield event
    except aiohttp.ClientConnectorError as error:
        raise TargetError(f"no connection: {error}", "connect", target.url) from error
    except aiohttp.ClientResponseError as error:
        raise TargetResponseError(str(error), "stream", target.url) from error
    except TimeoutError as error:
        raise TargetSilentError("timed out", "stream", target.url) from error
    except (aiohttp.ClientError, OSError) as error:
        reason = str(error) or type(error).__name__
        raise TargetLostError(reason, "stream", target.url) from error


async def _read_events(
    response: aiohttp.ClientResponse, target: Target
) -> t.AsyncIterator[TargetEvent]:
    remainder = b""
    while True:
        data = await response.content.readany()
        if not data:
            raise TargetLostError("the stream ended early", "stream", target.url)
        *blocks, remainder = (remainder + data).split(_EVENT_END)
        if len(remainder) > defaults.TARGET_EVENT_LIMIT_BYTES:
            raise TargetResponseError("event too large", "stream", target.url)
        payloads = [
            b[len(_DATA_PREFIX) :] for b in blocks if b.startswith(_DATA_PREFIX)
        ]
        is_done = bool(payloads) and payloads[-1] == _DONE_PAYLOAD
        if is_done:
            payloads.pop()
        if payloads:
            yield Chunks(payloads, _count_tokens(payloads))
        for payload in payloads:
            usage = _read_usage(payload)
            if usage is not None:
                yield usage
        if is_done:
            return


def _as_streaming_body(body: bytes) -> bytes:
    fields = json.loads(body)
    fields["stream"] = True
    fields["stream_options"] = {"include_usage": True}
    return json.dumps(fields).encode()


def _count_tokens(payloads: list[bytes]) -> float:
    """Return the number of tokens: one for each chunk without usage figures."""
    return float(sum(1 for payload in payloads if _USAGE_KEY not in payload))


def _read_usage(payload: bytes) -> Usage | None:
    if _USAGE_KEY not in payload:
        return None
    try:
        usage = _usage_decoder.decode(payload).usage
    except msgspec.MsgspecError:
        return None
    if usage is None:
        return None
    return Usage(usage.prompt_tokens, usage.completion_tokens)


def _timeout(remaining_ms: int) -> aiohttp.ClientTimeout:
    sock_read_s = defaults.TARGET_READ_TIMEOUT_MS / 1000
    return attrs.evolve(request_timeout(remaining_ms), sock_read=sock_read_s)


DIALECTS["openai"] = Dialect(run, resume, cancel)
