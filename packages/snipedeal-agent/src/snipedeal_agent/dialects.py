"""How targets are spoken to, by dialect.

A dialect registers itself in :data:`DIALECTS`. It is a set of functions that
turn a dispatch into a stream of :class:`Answered`, :class:`Chunks` and, where
the target counts, :class:`Usage`.
"""

import typing as t

import aiohttp
import attrs

from snipedeal.messages import Dispatch

#: Headers that concern one connection and are not passed on (RFC 9110, 7.6.1).
HOP_HEADERS = frozenset(
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
class Answered:
    """The target's status line and headers."""

    status: int
    headers: dict[str, str]


@attrs.frozen
class Chunks:
    """Parts of the answer.

    :param units: service units that they stand for.
    """

    payloads: list[bytes]
    units: float


@attrs.frozen
class Usage:
    """The target's own count at the end of an answer."""

    prompt_tokens: int
    output_tokens: int


TargetEvent = Answered | Chunks | Usage


@attrs.frozen
class Target:
    """The target beside which the agent stands.

    :param url: its base URL.
    :param session: the HTTP client session.
    """

    url: str
    session: aiohttp.ClientSession


@attrs.frozen
class Dialect:
    """Functions of a dialect.

    :param run: start an attempt and yield its events.
    :param resume: yield the events of an attempt from a chunk on, ``None``
        where targets of this dialect can't.
    :param cancel: stop an attempt, ``None`` where targets can't.
    """

    run: t.Callable[[Target, Dispatch], t.AsyncIterator[TargetEvent]]
    resume: t.Callable[[Target, str, int], t.AsyncIterator[TargetEvent]] | None
    cancel: t.Callable[[Target, str], t.Awaitable[None]] | None


#: Dialects by name.
DIALECTS: dict[str, Dialect] = {}


def request_headers(dispatch: Dispatch) -> dict[str, str]:
    """Return the caller's headers with those that name the attempt."""
    return {
        **dispatch.headers,
        "x-request-id": dispatch.request,
        "x-attempt-id": dispatch.attempt,
        "x-customer": dispatch.customer,
    }


def passed_headers(headers: t.Mapping[str, str]) -> dict[str, str]:
    """Return the headers that are passed on, names in lower case."""
    return {
        name.lower(): value
        for name, value in headers.items()
        if name.lower() not in HOP_HEADERS
    }
