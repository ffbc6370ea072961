"""Read response bodies of aiohttp within limits of memory."""

import aiohttp

from snipedeal.buffers import BufferBudget


async def read_body(
    response: aiohttp.ClientResponse, limit_bytes: int, budget: BufferBudget
) -> bytes:
    """Return the body of a response.

    :param budget: counts the bytes of all reads while they are in progress.
    :raises aiohttp.ClientPayloadError: the body is incomplete, longer than
        ``limit_bytes``, or beyond the budget.
    """
    body = bytearray()
    try:
        async for data in response.content.iter_any():
            before = len(body)
            body += data
            if len(body) > limit_bytes or not budget.resize(before, len(body)):
                raise aiohttp.ClientPayloadError("body too large")
        return bytes(body)
    finally:
        budget.release(len(body))
