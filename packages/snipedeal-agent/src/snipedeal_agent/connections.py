"""HTTP connections to the target that tell whole responses from cut ones."""

import asyncio
import functools

import aiohttp
from aiohttp.client_proto import ResponseHandler

from snipedeal.exceptions import TargetResponseError
from snipedeal.integrity import find_end_fault
from snipedeal.integrity import is_final_status


class TargetProtocol(ResponseHandler):
    """Client protocol for which only an orderly close ends a body.

    :class:`ResponseHandler` takes a body without a length or chunks for complete when
    its connection ends in any way, a reset among them.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the body in progress unless the target closed in good order."""
        payload = self._payload
        if payload is not None and not payload.is_eof():
            fault = str(exc) if exc else find_end_fault(self.transport)
            if fault:
                payload.set_exception(aiohttp.ClientPayloadError(fault))
        super().connection_lost(exc)


def make_connector() -> aiohttp.TCPConnector:
    """Return a connector that gives each request a connection of its own.

    On a connection that has carried a request, a target may write an earlier answer
    once more, which nothing tells from the answer to the next request.
    """
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    # aiohttp has no public parameter for the protocol of a connection.
    loop = asyncio.get_running_loop()
    connector._factory = functools.partial(TargetProtocol, loop=loop)
    return connector


def check_status(response: aiohttp.ClientResponse) -> None:
    """Check that a response has the status of a final HTTP response.

    :raises TargetResponseError: it has not. aiohttp returns 101 as a final response,
        but no request asks for another protocol.
    """
    if not is_final_status(response.status):
        text = f"{response.status} is not an HTTP status"
        raise TargetResponseError(text, "call", str(response.url))
