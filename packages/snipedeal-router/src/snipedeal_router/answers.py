"""Send responses to callers."""

import asyncio
import typing as t

import falcon

from snipedeal_router.completion import assemble_completion
from snipedeal_router.completion import is_usage_only
from snipedeal_router.disconnects import DISCONNECT_EVENT
from snipedeal_router.refusals import problem_text
from snipedeal_router.refusals import write_refusal
from snipedeal_router.requests import Request

if t.TYPE_CHECKING:
    from snipedeal_router.dispatcher import Dispatcher

REQUEST_ID_HEADER = "X-Request-Id"
_HTTP_OK = 200


async def wait_until_ended(request: Request, disconnected: asyncio.Event) -> None:
    """Wait until a request has ended or its caller disconnected."""
    await _wait(request, disconnected, lambda: request.is_ended)


async def wait_for_first_chunk(request: Request, disconnected: asyncio.Event) -> None:
    """Wait for the first chunk, the end of a request or a disconnect."""
    await _wait(
        request, disconnected, lambda: bool(request.answer.chunks) or request.is_ended
    )


async def wait_for_response(
    req: t.Any, resp: t.Any, request: Request, dispatcher: "Dispatcher"
) -> bool:
    """Wait for the end of a request, and write the refusal if it was refused.

    :return: whether the request has a complete response.
    """
    disconnected = req.scope[DISCONNECT_EVENT]
    try:
        await wait_until_ended(request, disconnected)
    finally:
        if not request.is_ended:
            dispatcher.abandon(request)
    resp.set_header(REQUEST_ID_HEADER, request.id)
    if request.refusal is not None:
        write_refusal(resp, request.refusal, request.id)
        return False
    return request.is_ended


def write_plain(resp: t.Any, request: Request) -> None:
    """Forward the status, headers and body of the target's response."""
    resp.status = request.status
    for name, value in request.answer_headers.items():
        if name == "content-type":
            resp.content_type = value
        elif name != "set-cookie":
            resp.set_header(name, value)
        else:
            resp.append_header(name, value)
    resp.data = b"".join(request.answer.chunks)


def write_completion(resp: t.Any, request: Request, is_chat: bool) -> None:
    """Answer with one completion object, or with the target's error response."""
    chunks = request.answer.chunks
    resp.status = request.status
    resp.content_type = falcon.MEDIA_JSON
    _copy_replay_header(resp, request)
    if request.status != _HTTP_OK:
        resp.data = b"".join(chunks)
    else:
        resp.data = assemble_completion(chunks, request.id, is_chat)


async def stream_completion(
    req: t.Any,
    resp: t.Any,
    request: Request,
    dispatcher: "Dispatcher",
    wants_usage: bool,
) -> None:
    """Stream the response as server-sent events.

    A refusal before the first chunk is sent as a problem document. A later one is
    sent as an error event, and the stream ends without ``[DONE]``.

    :param wants_usage: whether to send the chunk with the usage figures.
    """
    disconnected = req.scope[DISCONNECT_EVENT]
    try:
        await wait_for_first_chunk(request, disconnected)
    except asyncio.CancelledError:
        dispatcher.abandon(request)
        raise
    if disconnected.is_set():
        dispatcher.abandon(request)
    resp.set_header(REQUEST_ID_HEADER, request.id)
    if request.refusal is not None:
        write_refusal(resp, request.refusal, request.id)
        return
    if request.is_ended and request.status != _HTTP_OK:
        resp.status = request.status
        resp.content_type = falcon.MEDIA_JSON
        resp.data = b"".join(request.answer.chunks)
        return
    _copy_replay_header(resp, request)
    resp.content_type = "text/event-stream"
    resp.set_header("Cache-Control", "no-store")
    resp.stream = _event_stream(request, disconnected, dispatcher, wants_usage)


async def _event_stream(
    request: Request,
    disconnected: asyncio.Event,
    dispatcher: "Dispatcher",
    wants_usage: bool,
) -> t.AsyncIterator[bytes]:
    answer = request.answer
    waker = asyncio.ensure_future(_wake_on_disconnect(request, disconnected))
    try:
        while not disconnected.is_set():
            changed = request.changed
            ready = answer.chunks[answer.delivered :]
            if ready:
                answer.delivered += len(ready)
                yield _format_events(ready, wants_usage)
            if request.is_ended:
                yield _last_event(request)
                return
            await changed.wait()
    finally:
        waker.cancel()
        dispatcher.abandon(request)


def _format_events(chunks: t.Sequence[bytes], wants_usage: bool) -> bytes:
    kept = (chunk for chunk in chunks if wants_usage or not is_usage_only(chunk))
    return b"".join(b"data: " + chunk + b"\n\n" for chunk in kept)


def _last_event(request: Request) -> bytes:
    if request.refusal is None:
        return b"data: [DONE]\n\n"
    problem = problem_text(request.refusal, request.id)
    return b"event: error\ndata: " + problem.encode() + b"\n\n"


def _copy_replay_header(resp: t.Any, request: Request) -> None:
    replayed = request.answer_headers.get("idempotent-replayed")
    if replayed:
        resp.set_header("Idempotent-Replayed", replayed)


async def _wait(
    request: Request, disconnected: asyncio.Event, is_done: t.Callable[[], bool]
) -> None:
    waker = asyncio.ensure_future(_wake_on_disconnect(request, disconnected))
    try:
        while not is_done() and not disconnected.is_set():
            changed = request.changed
            await changed.wait()
    finally:
        waker.cancel()


async def _wake_on_disconnect(request: Request, disconnected: asyncio.Event) -> None:
    """Notify a request when its caller disconnects.

    One such task serves the whole response; waiting for both events at each chunk
    would create two tasks per chunk.
    """
    await disconnected.wait()
    request.notify()
