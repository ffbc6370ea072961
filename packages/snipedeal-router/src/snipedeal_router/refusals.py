"""Refusals as problem documents (RFC 9457) that OpenAI clients also accept."""

import json
import typing as t

import attrs
import falcon
from absl import logging

from snipedeal.exceptions import SnipedealError
from snipedeal_router.requests import NOT_RUN
from snipedeal_router.requests import Refusal

PROBLEM_TYPE = "application/problem+json"


class RefusedError(SnipedealError):
    """A request is refused.

    :param refusal: content of the response to the caller.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail, refusal.step, refusal.peer)
        self.refusal = refusal


@attrs.frozen
class _ErrorObject:
    """The ``error`` member that clients of the OpenAI API read."""

    message: str
    type: str
    code: str
    param: str | None = None


@attrs.frozen
class _Problem:
    """The members of a problem document."""

    type: str
    title: str
    status: int
    detail: str
    ran: str
    step: str
    peer: str
    request_id: str
    error: _ErrorObject


def refused_error(
    status: int, code: str, detail: str, step: str, retry_after_s: int = 0
) -> RefusedError:
    """Return the error that refuses a request which did not run."""
    return RefusedError(
        Refusal(status, code, detail, NOT_RUN, step, retry_after_s=retry_after_s)
    )


def problem_text(refusal: Refusal, request_id: str) -> str:
    """Return the problem document of a refusal as JSON text."""
    problem = _Problem(
        f"urn:snipedeal:{refusal.code}",
        refusal.code.replace("_", " "),
        refusal.status,
        refusal.detail,
        refusal.ran,
        refusal.step,
        refusal.peer,
        request_id,
        _ErrorObject(
            f"{refusal.detail} ({refusal.ran})", _error_type(refusal), refusal.code
        ),
    )
    return json.dumps(attrs.asdict(problem))


def write_refusal(
    resp: falcon.asgi.Response, refusal: Refusal, request_id: str
) -> None:
    """Write a refusal into a response."""
    resp.status = refusal.status
    resp.content_type = PROBLEM_TYPE
    resp.text = problem_text(refusal, request_id)
    if refusal.retry_after_s:
        resp.set_header("Retry-After", str(refusal.retry_after_s))
    if refusal.status == 401:
        resp.set_header("WWW-Authenticate", "Bearer")


def add_error_handlers(app: falcon.asgi.App) -> None:
    """Register handlers that answer all errors with a problem document."""
    app.add_error_handler(Exception, _on_exception)
    app.add_error_handler(falcon.HTTPError, _on_http_error)
    app.add_error_handler(RefusedError, _on_refused)


async def _on_refused(
    req: t.Any, resp: t.Any, error: RefusedError, params: t.Any
) -> None:
    write_refusal(resp, error.refusal, request_id_of(req))


async def _on_http_error(
    req: t.Any, resp: t.Any, error: falcon.HTTPError, params: t.Any
) -> None:
    code = error.title.lower().replace(" ", "_")
    detail = error.description or error.title
    refusal = Refusal(error.status_code, code, detail, NOT_RUN, "route")
    write_refusal(resp, refusal, request_id_of(req))


async def _on_exception(
    req: t.Any, resp: t.Any, error: Exception, params: t.Any
) -> None:
    logging.exception(
        "unhandled exception while processing request %s", request_id_of(req)
    )
    request = getattr(req.context, "request", None)
    ran = request.ran if request is not None else NOT_RUN
    refusal = Refusal(500, "internal", "an error inside the router", ran, "answer")
    write_refusal(resp, refusal, request_id_of(req))


def request_id_of(req: t.Any) -> str:
    """Return the identifier of a request, empty if it has none yet."""
    return getattr(req.context, "request_id", "")


def _error_type(refusal: Refusal) -> str:
    if refusal.status == 401:
        return "authentication_error"
    if refusal.status == 403:
        return "permission_error"
    if refusal.status == 429:
        return "rate_limit_error"
    return "invalid_request_error" if refusal.status < 500 else "server_error"
