"""Send the answer of a request to its caller."""

import asyncio
import typing as t

import falcon

from snipedeal_router.completion import assemble
from snipedeal_router.completion import is_usage_only
from snipedeal_router.disconnects import GONE
from snipedeal_router.refusals import problem_text
from snipedeal_router.refusals import write_refusal
from snipedeal_router.requests import Request

if t.TYPE_CHECKING:
    from snipedeal_router.dispatcher import Dispatcher

REQUEST_ID = "X-Request-Id"
_HTTP_OK = 200


async def wait_end(request: Request, gone: asyncio.Event) -> None:
    """Wait until a request has ended or its caller has gone."""
    await _wait(request, gone, lambda: request.is_ended)


async def wait_first_chunk(request: Request, gone: asyncio.Event) -> None:
    """Wait until something of an answer is there, or a request has ended."""
    await _wait(request, gone, lambda: bool(request.answer.chunks) or request.is_ended)


async def answer_whole(
    req: t.Any, resp: t.Any, request: Request, dispatcher: "Dispatcher"
) -> bool:
    """Wait for the end of a request; return whether its answer is whole.

    Otherwise the response is a refusal.
    """
    gone = req.scope[GONE]
    try:
        await wait_end(request, gone)
    finally:
        if not request.is_ended:
            dispatcher.abandon(request)
    resp.set_header(REQUEST_ID, request.id)
    if request.refusal is not None:
        write_refusal(resp, request.refusal, request.id)
        return False
    return request.is_ended


def write_plain(resp: t.Any, request: Request) -> None:
    """Pass the target's status, headers and body on."""
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
    """Answer with one completion object, or the engine's own error."""
    chunks = request.answer.chunks
    resp.status = request.status
    resp.content_type = falcon.MEDIA_JSON
    _copy_replayed(resp, request)
    if request.status != _HTTP_OK:
        resp.data = b"".join(chunks)
    else:
        resp.data = assemble(chunks, request.id, is_chat)


async def answer_stream(
    req: t.Any,
    resp: t.Any,
    request: Request,
    dispatcher: "Dispatcher",
    wants_usage: bool,
) -> None:
    """Answer with server-sent events as parts arrive.

    A refusal before the first part is a response of its own; one after it is
    an error event, after which the stream ends without ``[DONE]``.
    """
    gone = req.scope[GONE]
    try:
        await wait_first_chunk(request, gone)
    except asyncio.CancelledError:
        dispatcher.abandon(request)
        raise
    if gone.is_set():
        dispatcher.abandon(request)
    resp.set_header(REQUEST_ID, request.id)
    if request.refusal is not None:
        write_refusal(resp, request.refusal, request.id)
        return
    if request.is_ended and request.status != _HTTP_OK:
        resp.status = request.status
        resp.content_type = falcon.MEDIA_JSON
        resp.data = b"".join(request.answer.chunks)
        return
    _copy_replayed(resp, request)
    resp.content_type = "text/event-stream"
    resp.set_header("Cache-Control", "no-store")
    resp.stream = _events(request, gone, dispatcher, wants_usage)


async def _events(
    request: Request,
    gone: asyncio.Event,
    dispatcher: "Dispatcher",
    wants_usage: bool,
) -> t.AsyncIterator[bytes]:
    answer = request.answer
    waker = asyncio.ensure_future(_wake_when_gone(request, gone))
    try:
        while not gone.is_set():
            changed = request.changed
            ready = answer.chunks[answer.delivered :]
            if ready:
                answer.delivered += len(ready)
                yield _format(ready, wants_usage)
            if request.is_ended:
                yield _last_event(request)
                return
            await changed.wait()
    finally:
        waker.cancel()
        dispatcher.abandon(request)


def _format(chunks: t.Sequence[bytes], wants_usage: bool) -> bytes:
    kept = (chunk for chunk in chunks if wants_usage or not is_usage_only(chunk))
    return b"".join(b"data: " + chunk + b"\n\n" for chunk in kept)


def _last_event(request: Request) -> bytes:
    if request.refusal is None:
        return b"data: [DONE]\n\n"
    problem = problem_text(request.refusal, request.id)
    return b"event: error\ndata: " + problem.encode() + b"\n\n"


def _copy_replayed(resp: t.Any, request: Request) -> None:
    replayed = request.answer_headers.get("idempotent-replayed")
    if replayed:
        resp.set_header("Idempotent-Replayed", replayed)


async def _wait(
    request: Request, gone: asyncio.Event, is_done: t.Callable[[], bool]
) -> None:
    waker = asyncio.ensure_future(_wake_when_gone(request, gone))
    try:
        while not is_done() and not gone.is_set():
            changed = request.changed
            await changed.wait()
    finally:
        waker.cancel()


async def _wake_when_gone(request: Request, gone: asyncio.Event) -> None:
    """Wake the reader of a request when its caller goes.

    One such task serves a whole answer; waiting for two events at every part
    would cost two tasks a part.
    """
    await gone.wait()
    request.notify()
