"""Define dialects, the protocols that agents use to call their targets.

A dialect registers itself in :data:`DIALECTS`. Its functions ``run`` and ``resume``
yield a :class:`ResponseStart`, :class:`Chunks` and, if the target reports it,
:class:`Usage`, or :class:`Declined` and an error.
"""

import typing as t

import aiohttp
import attrs

from snipedeal import defaults
from snipedeal.exceptions import TargetResponseError
from snipedeal.messages import Dispatch

#: Response headers of the target that are not forwarded: those that apply to a single
#: connection (RFC 9110, 7.6.1), and those that the router sets itself.
NOT_FORWARDED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@attrs.frozen
class ResponseStart:
    """Status and headers of the target's response."""

    status: int
    headers: dict[str, str]


@attrs.frozen
class Chunks:
    """Consecutive chunks of the response.

    :param units: service units to charge for them.
    """

    payloads: list[bytes]
    units: float


@attrs.frozen
class Usage:
    """Usage that the target reports at the end of a response."""

    prompt_tokens: int
    output_tokens: int


@attrs.frozen
class Declined:
    """A response that is not forwarded, by which the target declines a request.

    :param retry_after: values of its ``Retry-After`` headers.
    """

    headers: dict[str, str]
    retry_after: list[str]


TargetEvent = ResponseStart | Chunks | Usage | Declined


@attrs.frozen
class Target:
    """The target that this agent is the sidecar of.

    :param url: base URL of the target.
    :param session: the HTTP client session.
    """

    url: str
    session: aiohttp.ClientSession


@attrs.frozen
class Dialect:
    """Functions of a dialect.

    :param run: start an attempt and yield its events.
    :param resume: yield the events of an attempt from a chunk offset until the
        remaining time, ms, is over; ``None`` if targets of this dialect can't resume.
    :param cancel: cancel an attempt, ``None`` if targets of this dialect can't.
    """

    run: t.Callable[[Target, Dispatch], t.AsyncIterator[TargetEvent]]
    resume: t.Callable[[Target, str, int, int], t.AsyncIterator[TargetEvent]] | None
    cancel: t.Callable[[Target, str], t.Awaitable[None]] | None


#: Dialects by name.
DIALECTS: dict[str, Dialect] = {}


def request_headers(dispatch: Dispatch) -> dict[str, str]:
    """Return the caller's headers and those that identify the attempt."""
    return {
        **dispatch.headers,
        "x-request-id": dispatch.request,
        "x-attempt-id": dispatch.attempt,
        "x-customer": dispatch.customer,
    }


def forwarded_headers(headers: t.Mapping[str, str]) -> dict[str, str]:
    """Return the target's headers to forward, with lower-case names."""
    return {
        name.lower(): value
        for name, value in headers.items()
        if name.lower() not in NOT_FORWARDED_HEADERS
    }


def request_timeout(remaining_ms: int) -> aiohttp.ClientTimeout:
    """Return the timeouts of a request whose caller waits for ``remaining_ms``."""
    return aiohttp.ClientTimeout(
        # aiohttp takes 0 for no timeout.
        total=max(1, remaining_ms) / 1000,
        sock_connect=defaults.TARGET_CONNECT_TIMEOUT_MS / 1000,
    )


async def read_short_body(response: aiohttp.ClientResponse) -> bytes:
    """Return the body of a failed response or of a load report.

    :raises TargetResponseError: it exceeds ``TARGET_SHORT_BODY_LIMIT_BYTES``.
    """
    body = b""
    while data := await response.content.readany():
        body += data
        if len(body) > defaults.TARGET_SHORT_BODY_LIMIT_BYTES:
            raise TargetResponseError("body too large", "read", str(response.url))
    return body
