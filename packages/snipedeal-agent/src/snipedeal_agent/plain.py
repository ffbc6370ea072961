"""Dialect for plain HTTP services: one request, without resume or cancel."""

import time
import typing as t

import aiohttp

from snipedeal import defaults
from snipedeal.exceptions import TargetError
from snipedeal.exceptions import TargetLostError
from snipedeal.exceptions import TargetResponseError
from snipedeal.messages import Dispatch
from snipedeal_agent.connections import check_status
from snipedeal_agent.dialects import DIALECTS
from snipedeal_agent.dialects import Chunks
from snipedeal_agent.dialects import Dialect
from snipedeal_agent.dialects import ResponseStart
from snipedeal_agent.dialects import Target
from snipedeal_agent.dialects import TargetEvent
from snipedeal_agent.dialects import forwarded_headers
from snipedeal_agent.dialects import request_headers
from snipedeal_agent.dialects import request_timeout


async def run(target: Target, dispatch: Dispatch) -> t.AsyncIterator[TargetEvent]:
    """Send the request; one service unit is one millisecond of its duration.

    :raises TargetError: the connection could not be opened, so nothing ran.
    :raises TargetLostError: the connection was lost before the response was
        complete, the response is invalid or too large, or the deadline passed.
    """
    headers = request_headers(dispatch)
    started = time.monotonic()
    try:
        async with target.session.request(
            dispatch.method,
            target.url + dispatch.path,
            data=dispatch.body,
            headers=headers,
            timeout=request_timeout(dispatch.remaining_ms),
            allow_redirects=False,
        ) as response:
            check_status(response)
            yield ResponseStart(response.status, forwarded_headers(response.headers))
            size = 0
            async for chunk in response.content.iter_chunked(defaults.BODY_CHUNK_BYTES):
                size += len(chunk)
                if size > defaults.TARGET_BODY_LIMIT_BYTES:
                    raise TargetResponseError("body too large", "call", target.url)
                yield Chunks([chunk], 0.0)
    except aiohttp.ClientConnectorError as error:
        raise TargetError(f"no connection: {error}", "connect", target.url) from error
    except aiohttp.ClientResponseError as error:
        raise TargetResponseError(str(error), "call", target.url) from error
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        reason = str(error) or type(error).__name__
        raise TargetLostError(reason, "call", target.url) from error
    yield Chunks([], (time.monotonic() - started) * 1000)


DIALECTS["plain"] = Dialect(run, None, None)
